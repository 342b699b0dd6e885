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
	// suspectTries is how often a suspect's row is written or removed at most.
	suspectTries = 40
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
	case !x.Repeats, x.Crashes == 0 && !known, x.Crashes > 0 && !x.Isolates(), !known && len(s.rows) >= mostSuspectRows:
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
		logs.With(h.log, logs.SuspectNotKept).WithField("fingerprint", fingerprintText(x.Fingerprint)).
			Warn("too many wait to be written")
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
	var err error
	for range suspectTries {
		bounded, cancel := context.WithTimeout(ctx, joinTimeout)
		if x.Crashes == 0 {
			err = h.store.ForgetSuspect(bounded, x.Fingerprint)
		} else {
			err = h.store.KeepSuspect(bounded, platform.Suspect{Fingerprint: x.Fingerprint, Ended: x.Crashes, Refused: x.Quarantined, At: at})
		}
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetry):
		}
	}
	logs.With(h.log, logs.SuspectNotKept).WithError(err).WithField("fingerprint", fingerprintText(x.Fingerprint)).Warn()
}

// learnSuspects brings the suspects that are kept in the store to control. Rows whose time
// is over, by the time of day, are removed.
func (h *Host) learnSuspects(rows []platform.Suspect) {
	var list []pool.Suspect
	for _, row := range rows {
		x := pool.Suspect{Fingerprint: row.Fingerprint, Crashes: row.Ended, Quarantined: row.Refused, Repeats: true}
		h.suspects.mu.Lock()
		h.suspects.rows[x.Fingerprint] = true
		h.suspects.mu.Unlock()
		x.Age = max(0, time.Since(row.At))
		if x.Age > rules.QuarantineMemory {
			x.Crashes = 0
			h.keepSuspect(x)
			continue
		}
		list = append(list, x)
	}
	if len(list) > 0 {
		h.loop.Post(control.Suspected{List: list})
	}
}
