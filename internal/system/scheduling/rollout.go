package scheduling

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

const (
	// confirmationTimeout is how long the last word of the store counts as confirmed. The
	// orders arrive at least once a second while one of them runs; two may be late.
	confirmationTimeout = 3 * time.Second
	// unknownTargetMargin is the time before an order's limit at which it is rolled back if
	// its target has no endpoint. It covers a few attempts to write the decision.
	unknownTargetMargin = 3 * time.Second
	// verdictInterval is the time between two verdicts on an order without a pool.
	verdictInterval = 3 * time.Second
)

// rollouts holds the orders known to this host.
type rollouts struct {
	byTarget map[string]rolloutEntry
	bounds   rollout.Bounds
	// at is when the orders were last told.
	at       time.Duration
	verdicts []rollout.Verdict
}

// rolloutEntry is an order and the time at which its status was told.
type rolloutEntry struct {
	status rollout.Status
	at     time.Duration
	// decidedAt is the time of the last verdict of this system; 0: none.
	decidedAt time.Duration
}

// SetRollouts sets the orders known to this host and tells the pools of their targets.
func (s *System) SetRollouts(now time.Duration, list []rollout.Status, bounds rollout.Bounds, out *system.Outbox) {
	old := s.rollouts
	s.rollouts.byTarget = map[string]rolloutEntry{}
	s.rollouts.bounds, s.rollouts.at = bounds, now
	for _, x := range list {
		e := rolloutEntry{status: x, at: now}
		if last, known := old.byTarget[x.Order.Target]; known && last.status.Order.ID == x.Order.ID {
			e.decidedAt = last.decidedAt
		}
		s.rollouts.byTarget[x.Order.Target] = e
	}
	for _, p := range s.ownedPools() {
		before, was := old.byTarget[p.Target]
		after, is := s.rollouts.byTarget[p.Target]
		if was == is && old.bounds == bounds && unchanged(before.status, after.status) {
			continue
		}
		s.tellRollout(now, s.instances[p], out)
	}
}

// RolloutsEnabled reports whether roll-outs are configured.
func (s *System) RolloutsEnabled() bool { return s.rollouts.bounds.Enabled() }

// unchanged reports whether two statuses differ only in the time that has passed.
func unchanged(a, b rollout.Status) bool {
	a.Elapsed, b.Elapsed = 0, 0
	return a == b
}

// tellRollout passes the order of a pool's target to its scheduler. A scheduler that has not
// started yet gets it with its first events.
func (s *System) tellRollout(now time.Duration, in *instance, out *system.Outbox) {
	if in.scheduler == nil {
		return
	}
	in.enqueue(s.rolloutEvent(now, in.pool))
	s.step(now, in, out)
}

// rolloutEvent returns the event with the order of a pool's target.
func (s *System) rolloutEvent(now time.Duration, p ident.Pool) pool.RolloutChanged {
	e, known := s.rollouts.byTarget[p.Target]
	if !known {
		return pool.RolloutChanged{}
	}
	e.status.Elapsed += now - e.at
	return pool.RolloutChanged{Active: true, Status: e.status, Bounds: s.rollouts.bounds}
}

// rolloutEvents returns the first event about roll-outs of a scheduler that starts.
func (s *System) rolloutEvents(now time.Duration, p ident.Pool) []pool.Event {
	if _, known := s.rollouts.byTarget[p.Target]; !known {
		return nil
	}
	return []pool.Event{s.rolloutEvent(now, p)}
}

// rolloutDecided passes a decision on. A pool that moved no longer sees what its endpoints run,
// so its scheduler can't tell that the old ones are idle.
func (s *System) rolloutDecided(in *instance, e pool.RolloutDecided) {
	if in.movedAt == 0 {
		s.rollouts.verdicts = append(s.rollouts.verdicts, e.Verdict)
	}
}

// TakeVerdicts returns the decisions on roll-outs since the last call.
func (s *System) TakeVerdicts() []rollout.Verdict {
	list := s.rollouts.verdicts
	s.rollouts.verdicts = nil
	return list
}

// tickRollouts withdraws the confirmation of orders that were not told for some time, and
// rolls the orders for unknown targets back.
func (s *System) tickRollouts(now time.Duration, out *system.Outbox) {
	if len(s.rollouts.byTarget) == 0 {
		return
	}
	for _, target := range slices.Sorted(maps.Keys(s.rollouts.byTarget)) {
		e := s.rollouts.byTarget[target]
		if e.status.Confirmed && now-s.rollouts.at > confirmationTimeout {
			e.status.Confirmed = false
			s.rollouts.byTarget[target] = e
			if in := s.instances[ident.Pool{Target: target, Domain: s.cfg.Domain}]; in != nil {
				s.tellRollout(now, in, out)
			}
		}
		s.decideUnknownTarget(now, target, e)
	}
}

// decideUnknownTarget rolls an order back shortly before its limit if no endpoint serves its
// target, so that no pool's scheduler decides on it. The host that would schedule the pool
// decides.
func (s *System) decideUnknownTarget(now time.Duration, target string, e rolloutEntry) {
	p := ident.Pool{Target: target, Domain: s.cfg.Domain}
	due := e.status.Order.Duration - min(unknownTargetMargin, e.status.Order.Duration/4)
	if s.instances[p] != nil || s.snapshot == nil || s.suspended || !e.status.Known || e.status.State != rollout.Running ||
		e.status.Elapsed+now-e.at < due || e.decidedAt > 0 && now-e.decidedAt < verdictInterval {
		return
	}
	if host, ok := s.cfg.View.Scheduler(p); !ok || host != s.cfg.Self {
		return
	}
	e.decidedAt = now
	s.rollouts.byTarget[target] = e
	s.rollouts.verdicts = append(s.rollouts.verdicts, rollout.Verdict{
		Order: e.status.Order, Pool: p, State: rollout.RolledBack, Reason: "no endpoint serves the target",
	})
}
