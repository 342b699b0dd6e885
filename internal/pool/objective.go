package pool

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// This file handles requests with an objective for their first token. Under overload, a
// queue in order of arrival makes every request late as soon as the wait in it exceeds
// the objective, and this lasts until the queue has drained. So a request that can't
// meet its objective any more is served after all that can. It keeps its place among
// the late requests, and waits there only as long as it may still be answered before its
// deadline.

// priority returns the request's place among the tiers, where the smallest value is
// served first: its rank, for a request beyond its team's share its rank behind all ranks,
// and for a late request its rank behind these.
func (r *request) priority() int {
	switch {
	case r.due:
		return r.Rank
	case r.late:
		return r.Rank + rules.LatePriorityOffset
	}
	return r.Rank + int(r.excess)*rules.ExcessPriorityOffset
}

// sortKey returns the request's place within its tier and team. Without an objective
// it is the deadline. With one, a long request stands behind shorter ones that arrive
// while it would run: when not all can be on time, more are if the short ones go
// first.
func (r *request) sortKey() time.Duration {
	switch {
	case r.before.Kept:
		return r.Deadline - rules.PromisedLead
	case r.FirstDue == 0:
		return r.Deadline
	case r.late:
		return r.Deadline + r.queueCost()
	}
	return r.FirstDue + r.queueCost()
}

// queueCost returns the slot time by which the request lets others go first.
func (r *request) queueCost() time.Duration {
	if r.starved {
		return 0
	}
	return r.cost
}

// checkStarvation counts an arriving request by its length, and marks it as starved if
// it is one of the longest of its tier and these are granted too rarely.
func (s *Scheduler) checkStarvation(r *request) {
	if r.FirstDue == 0 {
		return
	}
	class := rules.SizeClass(r.cost)
	s.sizes.RecordArrival(s.now, r.Rank, class)
	r.starved = s.sizes.Starved(s.now, r.Rank, class, rules.LongestFraction, rules.LongestMinGrantRatio)
}

// waitAt returns the time until a request with an objective is served at a priority. A
// request of a team that is within its share doesn't wait for the backlog of other
// teams.
func (s *Scheduler) waitAt(r *request, priority int) time.Duration {
	before := s.queue.tier(priority).backlogBefore(r, s.teams.get(r.Team))
	return s.drainTime(priority, s.backlogAbove(priority)+before+s.promisedWork(priority))
}

// objectiveTime returns the part of an estimate that counts against the objective: the
// time to the first token or, for a plain service, to the complete answer.
func (e *endpoint) objectiveTime(x estimate) time.Duration {
	if e.Type == resource.EndpointService {
		return x.total
	}
	return x.first
}

// fastestFirstToken estimates the least time to the first token of a request on any
// available endpoint, if it runs there alone.
func (s *Scheduler) fastestFirstToken(r *request) time.Duration {
	s.matchPrefix(r)
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.available(s.now) {
			continue
		}
		first := e.objectiveTime(s.estimateOn(e, r, s.cachedOn(r, e), 0, 0))
		if !found || first < best {
			best, found = first, true
		}
	}
	return best
}

// admitByObjective admits a request that will meet its objective, or that finds room
// among the late requests.
func (s *Scheduler) admitByObjective(r *request, total time.Duration) bool {
	slack := r.FirstDue - s.now - s.fastestFirstToken(r)
	if r.before.Kept {
		s.admitPromised(r, total)
		return true
	}
	r.late = r.late || min(s.waitAt(r, r.priority()), s.floorWait(r)) > slack
	return !r.late || s.admitLate(r, total)
}

// admitLate compares the slack of a late request with the time in which those before
// it are served. Late requests of lower tiers are shed before it, from the lowest up.
func (s *Scheduler) admitLate(r *request, total time.Duration) bool {
	if r.before.Kept {
		return true
	}
	slack := s.lateSlack(r, total)
	for s.waitAt(r, r.priority()) > slack {
		if s.shedLateBelow(r.priority()) {
			continue
		}
		if s.queue.waitsBelow(r.priority()) {
			// Only requests that returned at their promised time are left below. None may
			// be refused for lack of room while one of a lower tier waits.
			return true
		}
		s.spillOrRefuse(r, result.ShedTier, "it would be late, and those before it take longer than it can wait")
		return false
	}
	s.shedOverdue(r.priority(), r.Team)
	return true
}

// lateSlack returns how long a late request with an estimated total may wait: until
// its complete answer would miss the deadline, or until its caller would disconnect
// before the first token. A caller who has waited as long as it was told to returns only
// once, so its request is refused only if the wait would exceed that time by a factor.
func (s *Scheduler) lateSlack(r *request, total time.Duration) time.Duration {
	slack := r.Deadline - s.now - total
	if r.Patience > 0 {
		slack = min(slack, r.Patience-s.now-s.fastestFirstToken(r))
	}
	if r.before.Waited && !r.before.Kept {
		slack *= rules.ReturnWaitTolerance
	}
	return slack
}

// shedOverdue sheds the last of a team's late requests at a priority, for as long as
// those before it take longer than its slack.
func (s *Scheduler) shedOverdue(priority int, team ident.Team) {
	tq := s.queue.tier(priority).teams[team]
	for tq != nil && len(tq.requests) > 0 {
		r := slices.MaxFunc(tq.requests, compareUrgency)
		if r.before.Kept {
			return
		}
		total, ok := s.fastestTotal(r)
		if !ok || s.waitAt(r, priority) <= s.lateSlack(r, total) {
			return
		}
		s.shed(r)
	}
}

// checkObjective determines whether a request that enters the queue is late, and sets
// its timer.
func (s *Scheduler) checkObjective(r *request) {
	if r.FirstDue == 0 {
		return
	}
	s.ranksWithObjectives[r.Rank] = true
	r.late = r.late || r.FirstDue-s.fastestFirstToken(r) <= s.now
	s.setLateTimer(r)
}

// setLateTimer sets the time from which a waiting request is late. For one that is
// late already, it sets the time from which its caller would disconnect before the
// first token.
func (s *Scheduler) setLateTimer(r *request) {
	switch {
	case r.FirstDue > 0 && !r.late:
		s.timers.set(&r.lateTimer, r.FirstDue-s.fastestFirstToken(r), func() { s.markLate(r) })
	case r.FirstDue > 0 && r.before.Kept && !r.due:
		s.timers.set(&r.lateTimer, r.dueAt, func() { s.markDue(r) })
	case r.FirstDue > 0 && r.Patience > 0:
		s.timers.set(&r.lateTimer, r.Patience-s.fastestFirstToken(r), func() { s.refuseAbandoned(r) })
	}
}

// refuseAbandoned refuses a late request whose caller would disconnect before the
// first token.
func (s *Scheduler) refuseAbandoned(r *request) {
	if r.phase != phaseQueued && r.phase != phaseHeld {
		return
	}
	reason := "the caller would leave before the first token" + r.heldSuffix()
	s.drop(r)
	s.refuseForRoom(r, result.DeadlineTooNear, reason)
}

// markLate moves a waiting request behind all that can meet their objective, or
// refuses it if it would wait too long there.
func (s *Scheduler) markLate(r *request) {
	if r.phase != phaseQueued && r.phase != phaseHeld {
		return
	}
	s.withdraw(r)
	r.late = true
	total, _ := s.fastestTotal(r)
	if !s.admitLate(r, total) {
		delete(s.requests, r.ID)
		return
	}
	s.enqueue(r)
}

// belowFloor reports whether a tier is to be served before those above it, because it
// got less than its floor.
func (s *Scheduler) belowFloor(t *tierQueue) bool {
	return t.priority > 0 && t.priority < rules.LatePriorityOffset && s.ranksWithObjectives[t.priority] && s.shares.Below(t.priority, rules.TierFloorShare)
}

// floorWait returns the time until a request is served if its tier gets only its
// floor. The highest tier and requests beyond their team's share have no floor.
func (s *Scheduler) floorWait(r *request) time.Duration {
	if r.Rank == 0 || r.excess != share.Within {
		return math.MaxInt64
	}
	capacity := max(s.meter.Capacity(s.totalSlots), 1)
	before := s.queue.tier(r.Rank).backlogBefore(r, s.teams.get(r.Team))
	return time.Duration(before.Seconds() / (rules.TierFloorShare * capacity) * float64(time.Second))
}

// grantFloors serves the tiers that got less than their floor, up to the floor. It
// returns false if no endpoint has a free slot.
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
