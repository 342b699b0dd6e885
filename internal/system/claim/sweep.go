package claim

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Bounds of the sweep. A page each interval is at most 100 removed rows and
// two transactions a second.
const (
	sweepPage     = 50
	sweepInterval = 500 * time.Millisecond
	// fenceStep is the time between two moves of the fence.
	fenceStep = 10 * time.Minute
	// fenceCatchUp bounds a move to this many steps, so that a host whose
	// clock is wrong can't move the fence far before it is noticed.
	fenceCatchUp = 2
)

// sweepPhase is what the sweep does next, or waits for.
type sweepPhase int

const (
	// sweepReadFence reads the fence before it is moved.
	sweepReadFence sweepPhase = iota
	sweepMoveFence
	// sweepTimed and sweepOpaque list a page of rows.
	sweepTimed
	sweepOpaque
	sweepRemove
)

// sweep moves the fence and removes claims at a bounded rate. A pass moves the
// fence, removes the timed claims behind it and, where opaque claims aren't
// kept for ever, walks over these. Two hosts that sweep at once do no harm:
// each write is conditional on the version read.
type sweep struct {
	mine bool
	// offset is the wall time at time 0 of the system's clock.
	offset int64
	phase  sweepPhase
	busy   bool
	timer  timer
	// at and version are the fence as it was last read or written, and target
	// is where a write moves it.
	at      int64
	version uint64
	target  int64
	// nextMove is when this host may move the fence again.
	nextMove time.Duration
	// after is the last opaque row seen in this pass.
	after string
	// following and wait are the phase after a page, and the time until then.
	following sweepPhase
	wait      time.Duration
}

// SetSweeper tells whether this host is the one that removes old claims, and the
// wall time in milliseconds of Unix time. The caller repeats it when either
// changes.
func (s *System) SetSweeper(now time.Duration, wall int64, mine bool) {
	w := &s.sweep
	w.offset = wall - now.Milliseconds()
	if mine && !w.mine && !w.busy {
		w.phase = sweepReadFence
		w.timer.start(now)
	}
	w.mine = mine
}

func (w *sweep) wall(now time.Duration) int64 {
	return w.offset + now.Milliseconds()
}

func (w *sweep) tick(s *System, now time.Duration, out *system.Outbox) {
	if !w.timer.fire(now) || !w.mine {
		return
	}
	w.send(s, out)
}

// send sends the call of the phase.
func (w *sweep) send(s *System, out *system.Outbox) {
	w.busy = true
	switch w.phase {
	case sweepReadFence:
		s.call(w, system.Call{Kind: system.CallGet, Key: RowFence}, out)
	case sweepMoveFence:
		s.call(w, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
			Conditions: []platform.Condition{{Key: RowFence, Version: w.version}},
			Puts:       []platform.Put{{Key: RowFence, Value: strconv.AppendInt(nil, w.target, 10)}},
		}}, out)
	case sweepTimed:
		s.call(w, system.Call{Kind: system.CallList, Key: PrefixTimed, Limit: sweepPage}, out)
	case sweepOpaque:
		s.call(w, system.Call{Kind: system.CallList, Key: PrefixOpaque, After: w.after, Limit: sweepPage}, out)
	}
}

func (w *sweep) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	w.busy = false
	switch w.phase {
	case sweepReadFence:
		w.readFence(s, now, r, out)
	case sweepMoveFence:
		w.movedFence(s, now, r, out)
	case sweepTimed:
		w.listed(s, now, r, w.behindFence, out)
	case sweepOpaque:
		w.listed(s, now, r, w.pastRetention(s, now), out)
	case sweepRemove:
		// What could not be removed is found again by a later page or pass.
		w.next(now, w.following, w.wait)
	}
}

// next goes on with a phase after a wait.
func (w *sweep) next(now time.Duration, p sweepPhase, wait time.Duration) {
	w.phase = p
	w.timer.start(now + wait)
}

// readFence decides how far the fence moves.
func (w *sweep) readFence(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	wanted := w.wall(now) - s.cfg.Retention.Milliseconds()
	if errors.Is(r.Err, platform.ErrNotFound) {
		w.version = 0
		w.target = wanted
		w.phase = sweepMoveFence
		w.send(s, out)
		return
	}
	at, ok := fenceTime(r)
	if !ok {
		w.next(now, sweepReadFence, sweepInterval)
		return
	}
	w.at = at
	w.version = r.Rows[0].Version
	w.target = min(wanted, at+fenceCatchUp*fenceStep.Milliseconds())
	if w.target-at < fenceStep.Milliseconds() || now < w.nextMove {
		w.next(now, sweepTimed, sweepInterval)
		return
	}
	w.phase = sweepMoveFence
	w.send(s, out)
}

// movedFence goes on after the fence was written. Rows are removed only behind
// a fence that was read or whose write succeeded.
func (w *sweep) movedFence(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if r.Err != nil {
		w.next(now, sweepReadFence, sweepInterval)
		return
	}
	w.at = w.target
	w.version = r.Version
	w.nextMove = now + fenceStep
	s.fence.learn(s, w.at, w.version, out)
	w.next(now, sweepTimed, sweepInterval)
}

// behindFence reports whether a timed row may be removed.
func (w *sweep) behindFence(row platform.Row) bool {
	created, ok := rowTime(row.Key)
	return ok && created < w.at
}

// pastRetention returns a function that reports whether an opaque row may be
// removed.
func (w *sweep) pastRetention(s *System, now time.Duration) func(platform.Row) bool {
	before := w.wall(now) - s.cfg.OpaqueRetention.Milliseconds()
	return func(row platform.Row) bool {
		c, err := decode(row.Value)
		return err == nil && c.Created < before
	}
}

// listed removes the rows of a page that are old.
func (w *sweep) listed(s *System, now time.Duration, r system.Reply, old func(platform.Row) bool, out *system.Outbox) {
	if r.Err != nil {
		w.next(now, w.phase, sweepInterval)
		return
	}
	var txn platform.Txn
	for _, row := range r.Rows {
		if old(row) {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	w.plan(s, r.Rows, len(txn.Deletes))
	if len(txn.Deletes) == 0 {
		w.next(now, w.following, w.wait)
		return
	}
	w.phase = sweepRemove
	w.busy = true
	s.call(w, system.Call{Kind: system.CallCommit, Txn: txn}, out)
}

// plan decides what follows a page of rows of which some are removed. Timed
// rows sort by time, so that a page that isn't removed whole is the last.
func (w *sweep) plan(s *System, rows []platform.Row, removed int) {
	w.following = w.phase
	w.wait = sweepInterval
	switch {
	case w.phase == sweepTimed && removed == sweepPage:
	case w.phase == sweepOpaque && len(rows) == sweepPage:
		w.after = rows[len(rows)-1].Key
	case w.phase == sweepTimed && s.cfg.OpaqueRetention > 0:
		w.following = sweepOpaque
		w.after = ""
	default:
		w.following = sweepReadFence
		w.wait = fenceStep
	}
}
