package claim

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Limits of the sweep. One page each interval makes at most 100 removed rows
// and two transactions per second.
const (
	sweepPage     = 50
	sweepInterval = 500 * time.Millisecond
	// fenceInterval is the time between two advances of the fence, and the least
	// that it advances by.
	fenceInterval = 10 * time.Minute
	// maxFenceSteps limits an advance to this many intervals, so that a host
	// with a wrong clock can't move the fence far before that is noticed.
	maxFenceSteps = 2
)

// sweepPhase is the call that the sweep sends next or whose reply it awaits.
type sweepPhase int

const (
	// sweepReadFence reads the fence before it is advanced.
	sweepReadFence sweepPhase = iota
	sweepAdvanceFence
	// sweepTimed and sweepOpaque list a page of claims.
	sweepTimed
	sweepOpaque
	sweepRemove
)

// sweep advances the fence and removes old claims at a bounded rate. A pass
// advances the fence, removes the timed claims behind it and then, unless
// opaque claims are kept for ever, the opaque claims past their retention. Two
// hosts may sweep at the same time, since each write is conditional on the
// version read.
type sweep struct {
	active bool
	// wallOffsetMs is the wall time at time 0 of the system's clock, in
	// milliseconds of Unix time.
	wallOffsetMs int64
	phase        sweepPhase
	busy         bool
	timer        timer
	// fenceMs and fenceVersion are the fence as last read or written. targetMs is
	// the time that a write advances it to.
	fenceMs      int64
	fenceVersion uint64
	targetMs     int64
	// nextAdvance is when this host may next advance the fence.
	nextAdvance time.Duration
	// opaqueCursor is the key of the last opaque row listed in this pass.
	opaqueCursor string
	// nextPhase and nextDelay are the phase after a page and the delay before it.
	nextPhase sweepPhase
	nextDelay time.Duration
}

// SetSweeper sets whether this host is the one that removes old claims, and the
// wall time in milliseconds of Unix time. The caller calls it again when either
// changes.
func (s *System) SetSweeper(now time.Duration, wallMs int64, active bool) {
	w := &s.sweep
	w.wallOffsetMs = wallMs - now.Milliseconds()
	if active && !w.active && !w.busy {
		w.phase = sweepReadFence
		w.timer.start(now)
	}
	w.active = active
}

func (w *sweep) wallMs(now time.Duration) int64 {
	return w.wallOffsetMs + now.Milliseconds()
}

func (w *sweep) tick(s *System, now time.Duration, out *system.Outbox) {
	if !w.timer.fire(now) || !w.active {
		return
	}
	w.send(s, out)
}

// send sends the call of the current phase.
func (w *sweep) send(s *System, out *system.Outbox) {
	w.busy = true
	switch w.phase {
	case sweepReadFence:
		s.call(w, system.Call{Kind: system.CallGet, Key: RowFence}, out)
	case sweepAdvanceFence:
		s.call(w, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
			Conditions: []platform.Condition{{Key: RowFence, Version: w.fenceVersion}},
			Puts:       []platform.Put{{Key: RowFence, Value: strconv.AppendInt(nil, w.targetMs, 10)}},
		}}, out)
	case sweepTimed:
		s.call(w, system.Call{Kind: system.CallList, Key: PrefixTimed, Limit: sweepPage}, out)
	case sweepOpaque:
		s.call(w, system.Call{Kind: system.CallList, Key: PrefixOpaque, After: w.opaqueCursor, Limit: sweepPage}, out)
	}
}

func (w *sweep) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	w.busy = false
	switch w.phase {
	case sweepReadFence:
		w.handleFenceRead(s, now, r, out)
	case sweepAdvanceFence:
		w.handleFenceWrite(s, now, r, out)
	case sweepTimed:
		w.removeOld(s, now, r, w.behindFence, out)
	case sweepOpaque:
		w.removeOld(s, now, r, w.pastRetention(s, now), out)
	case sweepRemove:
		// Rows that could not be removed are listed again by a later page or
		// pass.
		w.schedule(now, w.nextPhase, w.nextDelay)
	}
}

// schedule sets the next phase and starts it after a delay.
func (w *sweep) schedule(now time.Duration, p sweepPhase, wait time.Duration) {
	w.phase = p
	w.timer.start(now + wait)
}

// handleFenceRead decides how far the fence advances.
func (w *sweep) handleFenceRead(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	wanted := w.wallMs(now) - s.cfg.Retention.Milliseconds()
	if errors.Is(r.Err, platform.ErrNotFound) {
		w.fenceVersion = 0
		w.targetMs = wanted
		w.phase = sweepAdvanceFence
		w.send(s, out)
		return
	}
	at, ok := fenceTime(r)
	if !ok {
		w.schedule(now, sweepReadFence, sweepInterval)
		return
	}
	w.fenceMs = at
	w.fenceVersion = r.Rows[0].Version
	w.targetMs = min(wanted, at+maxFenceSteps*fenceInterval.Milliseconds())
	if w.targetMs-at < fenceInterval.Milliseconds() || now < w.nextAdvance {
		w.schedule(now, sweepTimed, sweepInterval)
		return
	}
	w.phase = sweepAdvanceFence
	w.send(s, out)
}

// handleFenceWrite continues after a write of the fence. Claims are removed only
// behind a fence that was read or whose write succeeded.
func (w *sweep) handleFenceWrite(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if r.Err != nil {
		w.schedule(now, sweepReadFence, sweepInterval)
		return
	}
	w.fenceMs = w.targetMs
	w.fenceVersion = r.Version
	w.nextAdvance = now + fenceInterval
	s.fence.update(s, w.fenceMs, w.fenceVersion, out)
	w.schedule(now, sweepTimed, sweepInterval)
}

// behindFence reports whether a timed claim may be removed.
func (w *sweep) behindFence(row platform.Row) bool {
	created, ok := rowTime(row.Key)
	return ok && created < w.fenceMs
}

// pastRetention returns a function that reports whether an opaque claim may be
// removed.
func (w *sweep) pastRetention(s *System, now time.Duration) func(platform.Row) bool {
	before := w.wallMs(now) - s.cfg.OpaqueRetention.Milliseconds()
	return func(row platform.Row) bool {
		c, err := decode(row.Value)
		return err == nil && c.Created < before
	}
}

// removeOld removes the old claims of a listed page.
func (w *sweep) removeOld(s *System, now time.Duration, r system.Reply, old func(platform.Row) bool, out *system.Outbox) {
	if r.Err != nil {
		w.schedule(now, w.phase, sweepInterval)
		return
	}
	var txn platform.Txn
	for _, row := range r.Rows {
		if old(row) {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	w.planNext(s, r.Rows, len(txn.Deletes))
	if len(txn.Deletes) == 0 {
		w.schedule(now, w.nextPhase, w.nextDelay)
		return
	}
	w.phase = sweepRemove
	w.busy = true
	s.call(w, system.Call{Kind: system.CallCommit, Txn: txn}, out)
}

// planNext sets the phase that follows a page of rows. Timed rows sort by time, so
// a page of which some rows stay is the last one with rows to remove.
func (w *sweep) planNext(s *System, rows []platform.Row, removed int) {
	w.nextPhase = w.phase
	w.nextDelay = sweepInterval
	switch {
	case w.phase == sweepTimed && removed == sweepPage:
	case w.phase == sweepOpaque && len(rows) == sweepPage:
		w.opaqueCursor = rows[len(rows)-1].Key
	case w.phase == sweepTimed && s.cfg.OpaqueRetention > 0:
		w.nextPhase = sweepOpaque
		w.opaqueCursor = ""
	default:
		w.nextPhase = sweepReadFence
		w.nextDelay = fenceInterval
	}
}
