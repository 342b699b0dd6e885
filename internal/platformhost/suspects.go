package platformhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// suspectWriteTimeout bounds the attempts to write or remove a suspect's row.
	suspectWriteTimeout = 10 * time.Second
	// maxSuspectRows bounds the rows that one host writes, and its queue of pending changes.
	maxSuspectRows = 64
)

// suspects tracks the stored rows of requests that are suspected of crashing endpoints.
// A host that starts when no other live host knows the suspects restores them from the rows.
type suspects struct {
	// changes queues rows to write. A change with no crashes removes the row.
	changes chan pool.Suspect

	mu sync.Mutex
	// stored holds the rows in the store, as far as this host knows, and written those that this host
	// has written or read.
	stored  map[storedSuspect]bool
	written map[storedSuspect]platform.Suspect
}

// storedSuspect identifies the row of a suspect.
type storedSuspect struct {
	fingerprint uint64
	part        bool
}

func (s *suspects) init() {
	s.changes, s.stored = make(chan pool.Suspect, maxSuspectRows), map[storedSuspect]bool{}
	s.written = map[storedSuspect]platform.Suspect{}
}

// storeSuspect queues the row of a suspect for writing, or for removal if the suspect was
// cleared. It never blocks. Suspects that don't require isolation, such as those of a single
// crash, are not stored: they are many and weak evidence.
func (h *Host) storeSuspect(x pool.Suspect) {
	s := &h.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	key := storedSuspect{x.Fingerprint, x.Part}
	stored := s.stored[key]
	switch {
	case !x.Repeats, x.Crashes == 0 && !stored, x.Crashes > 0 && !x.RequiresIsolation():
		return
	case !stored && len(s.stored) >= maxSuspectRows:
		h.logNotStored(x, "this host has written as many rows as it may")
		return
	}
	select {
	case s.changes <- x:
		if x.Crashes > 0 {
			s.stored[key] = true
		} else {
			delete(s.stored, key)
		}
	default:
		h.logNotStored(x, "too many wait to be written")
	}
}

// writeSuspects writes the changes that storeSuspect queued, until ctx is done.
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

// writeSuspect writes or removes one row and retries until suspectWriteTimeout.
func (h *Host) writeSuspect(ctx context.Context, x pool.Suspect) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(ctx, suspectWriteTimeout)
	defer cancel()
	row := platform.Suspect{Fingerprint: x.Fingerprint, Part: x.Part, CoSuspects: x.CoSuspects, Crashes: x.Crashes, At: at}
	h.suspects.keep(row)
	_, ok := retry(ctx, h, logs.SuspectNotKept, func(ctx context.Context) (struct{}, error) {
		switch {
		case x.Crashes > 0:
			return struct{}{}, h.store.PutSuspect(ctx, row)
		case x.Part:
			return struct{}{}, h.store.DeleteSuspectPart(ctx, x.Fingerprint)
		}
		return struct{}{}, h.store.DeleteSuspect(ctx, x.Fingerprint)
	})
	if !ok {
		h.logNotStored(x, "the store took no row in time")
	}
}

// keep keeps a row that is in the store, or forgets it if it was removed there.
func (s *suspects) keep(row platform.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := storedSuspect{row.Fingerprint, row.Part}
	if row.Crashes > 0 {
		s.written[key] = row
	} else {
		delete(s.written, key)
	}
}

// rewriteSuspects writes the rows again that the store may have lost.
func (h *Host) rewriteSuspects(ctx context.Context) {
	h.suspects.mu.Lock()
	rows := slices.Collect(maps.Values(h.suspects.written))
	h.suspects.mu.Unlock()
	for _, row := range rows {
		bounded, cancel := context.WithTimeout(ctx, suspectWriteTimeout)
		_, ok := retry(bounded, h, logs.SuspectNotKept, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, h.store.PutSuspect(ctx, row)
		})
		cancel()
		if !ok {
			return
		}
	}
}

// logNotStored logs why a suspect's row was not written or removed.
func (h *Host) logNotStored(x pool.Suspect, reason string) {
	logs.With(h.log, logs.SuspectNotKept).WithField("fingerprint", formatFingerprint(x.Fingerprint)).Warn(reason)
}

// restoreSuspects passes the stored suspects to the control loop and removes the rows that
// have outlived the quarantine retention, measured by wall clock.
func (h *Host) restoreSuspects(rows []platform.Suspect) {
	var list []pool.Suspect
	for _, row := range rows {
		age := max(0, time.Since(row.At))
		x := pool.NewRepeatedSuspect(row.Fingerprint, row.Crashes, age)
		if row.Part {
			x = pool.NewSuspectPart(row.Fingerprint, row.CoSuspects, row.Crashes, age)
		}
		h.suspects.keep(row)
		h.suspects.mu.Lock()
		h.suspects.stored[storedSuspect{x.Fingerprint, x.Part}] = true
		h.suspects.mu.Unlock()
		if x.Age > rules.QuarantineRetention {
			x.Crashes = 0
			h.storeSuspect(x)
			continue
		}
		list = append(list, x)
	}
	if len(list) > 0 {
		h.loop.Post(control.SuspectsRestored{List: list})
	}
}
