package pool

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Requests with an objective for their first token. Under more load than the pool
// can serve, a queue in order of arrival makes every request late once it is longer
// than the objective, and stays so for as long as it takes to drain. So a request
// that can't meet its objective any more lets all go first that can. It keeps its
// place among the late ones, and waits there only as long as it may still be answered
// before its deadline.

// order is the request's place among the tiers: its rank, and behind all ranks for
// one that is late.
func (r *request) order() int {
	if r.late {
		return r.Rank + rules.LatePriorityOffset
	}
	return r.Rank
}

// turn is the request's place in its tier and team. Without an objective it is the
// deadline. With one, long requests stand behind shorter ones that arrive in the time
// that they run: when not all can be on time, more are if the short ones go first.
func (r *request) turn() time.Duration {
	switch {
	case r.FirstDue == 0:
		return r.Deadline
	case r.late:
		return r.Deadline + r.length()
	}
	return r.FirstDue + r.length()
}

// length is the slot time by which a request lets others go first.
func (r *request) length() time.Duration {
	if r.favoured {
		return 0
	}
	return r.cost
}

// favour counts a request that arrives by its length, and favours one of the longest of
// its tier if these are served too seldom.
func (s *Scheduler) favour(r *request) {
	if r.FirstDue == 0 {
		return
	}
	class := rules.SizeClass(r.cost)
	s.sizes.RecordArrival(s.now, r.Rank, class)
	r.favoured = s.sizes.Starved(s.now, r.Rank, class, rules.LongestFraction, rules.LongestMinGrantRatio)
}

// waitOf is the time until a request with an objective is served among those of an
// order. One of a team that is within its share doesn't wait for the other teams'
// backlog.
func (s *Scheduler) waitOf(r *request, order int) time.Duration {
	before := s.queue.tier(order).backlogBefore(r, s.teams.get(r.Team))
	return s.drainTime(order, s.backlogAbove(order)+before)
}

// objective is the part of an estimate that counts against the objective: the time
// to the first token or, for a plain service, to the whole answer.
func (e *endpoint) objective(x estimate) time.Duration {
	if e.Type == resource.EndpointService {
		return x.total
	}
	return x.first
}

// firstAlone estimates the least time to the first token of a request on any
// endpoint that may take it, were it alone there.
func (s *Scheduler) firstAlone(r *request) time.Duration {
	s.matchPrefix(r)
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.takesWork(s.now) {
			continue
		}
		first := e.objective(s.estimateOn(e, r, s.cachedOn(r, e), 0, 0))
		if !found || first < best {
			best, found = first, true
		}
	}
	return best
}

// admitByObjective admits a request that will meet its objective, or that finds room
// among the late ones.
func (s *Scheduler) admitByObjective(r *request, total time.Duration) bool {
	spare := r.FirstDue - s.now - s.firstAlone(r)
	r.late = r.late || min(s.waitOf(r, r.Rank), s.floorWait(r)) > spare
	return !r.late || s.admitLate(r, total)
}

// admitLate holds a late request against the time in which those before it are
// served. What is late in lower tiers is shed before it, from the lowest up.
func (s *Scheduler) admitLate(r *request, total time.Duration) bool {
	spare := s.lateSpare(r, total)
	for s.waitOf(r, r.order()) > spare {
		if s.yieldLateBelow(r.order()) {
			continue
		}
		s.spillOr(r, result.ShedTier, "it would be late, and those before it take longer than it can wait")
		return false
	}
	s.shedOverlong(r.order(), r.Team)
	return true
}

// lateSpare is how long a late request that takes a total may wait: until its whole
// answer would miss the deadline, or its first token finds the caller gone.
func (s *Scheduler) lateSpare(r *request, total time.Duration) time.Duration {
	spare := r.Deadline - s.now - total
	if r.Patience > 0 {
		spare = min(spare, r.Patience-s.now-s.firstAlone(r))
	}
	return spare
}

// shedOverlong sheds the last of a team's late requests of an order for as long as those
// before it take longer than it can wait.
func (s *Scheduler) shedOverlong(order int, team ident.Team) {
	tq := s.queue.tier(order).teams[team]
	for tq != nil && len(tq.requests) > 0 {
		r := slices.MaxFunc(tq.requests, compareUrgency)
		total, ok := s.fastest(r)
		if !ok || s.waitOf(r, order) <= s.lateSpare(r, total) {
			return
		}
		s.yield(r)
	}
}

// yieldLateBelow sheds the last of the late requests of the lowest tier below an
// order. It returns false if there are none.
func (s *Scheduler) yieldLateBelow(order int) bool {
	if order < rules.LatePriorityOffset {
		return false
	}
	return s.displace(order)
}

// watchObjective finds out whether a request that enters the queue is late, and sets the
// timer of that.
func (s *Scheduler) watchObjective(r *request) {
	if r.FirstDue == 0 {
		return
	}
	s.objectives[r.Rank] = true
	r.late = r.late || r.FirstDue-s.firstAlone(r) <= s.now
	s.watchLate(r)
}

// watchLate sets the time from which on a waiting request is late, or for one that is
// late, the time from which on its caller would leave before the first token.
func (s *Scheduler) watchLate(r *request) {
	switch {
	case r.FirstDue > 0 && !r.late:
		s.timers.set(&r.lateTimer, r.FirstDue-s.firstAlone(r), func() { s.becomeLate(r) })
	case r.FirstDue > 0 && r.Patience > 0:
		s.timers.set(&r.lateTimer, r.Patience-s.firstAlone(r), func() { s.outwaited(r) })
	}
}

// outwaited refuses a late request whose caller would leave before its first token.
func (s *Scheduler) outwaited(r *request) {
	if r.phase != phaseQueued && r.phase != phaseHeld {
		return
	}
	reason := "the caller would leave before the first token" + r.whyHeld()
	s.drop(r)
	s.refuse(r, result.DeadlineTooNear, reason)
}

// becomeLate moves a waiting request behind all that can meet their objective, or
// refuses it if it would wait too long there.
func (s *Scheduler) becomeLate(r *request) {
	if r.phase != phaseQueued && r.phase != phaseHeld {
		return
	}
	s.withdraw(r)
	r.late = true
	total, _ := s.fastest(r)
	if !s.admitLate(r, total) {
		delete(s.requests, r.ID)
		return
	}
	s.enqueue(r)
}

// belowFloor reports whether a tier is to be served before those above it: it has got
// less than its floor.
func (s *Scheduler) belowFloor(t *tierQueue) bool {
	return t.rank > 0 && t.rank < rules.LatePriorityOffset && s.objectives[t.rank] && s.shares.Below(t.rank, rules.TierFloorShare)
}

// floorWait is the time until a request is served by its tier's floor alone. The highest
// tier has none.
func (s *Scheduler) floorWait(r *request) time.Duration {
	if r.Rank == 0 {
		return math.MaxInt64
	}
	capacity := max(s.meter.Capacity(s.totalSlots), 1)
	before := s.queue.tier(r.Rank).backlogBefore(r, s.teams.get(r.Team))
	return time.Duration(before.Seconds() / (rules.TierFloorShare * capacity) * float64(time.Second))
}

// grantFloors serves the tiers that have got less than their floor, as far as that. It
// returns false when no endpoint has a free slot.
func (s *Scheduler) grantFloors(among []*endpoint) bool {
	for _, t := range s.queue.tiers {
		below := func() bool { return s.belowFloor(t) }
		if !below() {
			continue
		}
		s.grantHeld(t, among, below)
		if s.grantTier(t, among, below) == tierFull {
			return false
		}
	}
	return true
}
