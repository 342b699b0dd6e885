package platformhost

import (
	"context"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// suspectWriteTime bounds the tries to write or remove a suspect's row.
	suspectWriteTime = 10 * time.Second
	// mostSuspectRows bounds the rows that one host writes, and the changes that wait.
	mostSuspectRows = 64
)

// suspects are the rows of requests that endpoints ended under. They are for hosts that
// start when no other is left that knows of them.
type suspects struct {
	// changes are to be written; one without crashes is to be removed.
	changes chan pool.Suspect

	mu sync.Mutex
	// rows are those that are there, as far as this host knows.
	rows map[uint64]bool
}

func (s *suspects) init() {
	s.changes, s.rows = make(chan pool.Suspect, mostSuspectRows), map[uint64]bool{}
}

// keepSuspect has the row of a suspect written, or removed if it was cleared. Suspects that
// were lost with one endpoint only are many and mean little: they have no row.
func (h *Host) keepSuspect(x pool.Suspect) {
	s := &h.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.rows[x.Fingerprint]
	switch {
	case !x.Repeats, x.Crashes == 0 && !known, x.Crashes > 0 && !x.RequiresIsolation():
		return
	case !known && len(s.rows) >= mostSuspectRows:
		h.tellNotKept(x, "this host has written as many rows as it may")
		return
	}
	select {
	case s.changes <- x:
		if x.Crashes > 0 {
			s.rows[x.Fingerprint] = true
		} else {
			delete(s.rows, x.Fingerprint)
		}
	default:
		h.tellNotKept(x, "too many wait to be written")
	}
}

// writeSuspects writes what keepSuspect asks for.
func (h *Host) writeSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-h.suspects.changes:
			h.writeSuspect(ctx, x)
		}
	}
}

func (h *Host) writeSuspect(ctx context.Context, x pool.Suspect) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(ctx, suspectWriteTime)
	defer cancel()
	_, ok := retry(ctx, h, logs.SuspectNotKept, func(ctx context.Context) (struct{}, error) {
		if x.Crashes == 0 {
			return struct{}{}, h.store.DeleteSuspect(ctx, x.Fingerprint)
		}
		return struct{}{}, h.store.PutSuspect(ctx, platform.Suspect{Fingerprint: x.Fingerprint, Crashes: x.Crashes, At: at})
	})
	if !ok {
		h.tellNotKept(x, "the store took no row in time")
	}
}

// tellNotKept logs that a suspect's row is not what it should be.
func (h *Host) tellNotKept(x pool.Suspect, why string) {
	logs.With(h.log, logs.SuspectNotKept).WithField("fingerprint", fingerprintText(x.Fingerprint)).Warn(why)
}

// learnSuspects brings the suspects that are kept in the store to control. Rows whose time
// is over, by the time of day, are removed.
func (h *Host) learnSuspects(rows []platform.Suspect) {
	var list []pool.Suspect
	for _, row := range rows {
		x := pool.NewRepeatedSuspect(row.Fingerprint, row.Crashes, max(0, time.Since(row.At)))
		h.suspects.mu.Lock()
		h.suspects.rows[x.Fingerprint] = true
		h.suspects.mu.Unlock()
		if x.Age > rules.QuarantineRetention {
			x.Crashes = 0
			h.keepSuspect(x)
			continue
		}
		list = append(list, x)
	}
	if len(list) > 0 {
		h.loop.Post(control.SuspectsRestored{List: list})
	}
}
