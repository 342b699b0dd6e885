package pool

import (
	"fmt"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// admit reports whether a request may wait. If not, it has been refused or passed to
// another domain.
func (s *Scheduler) admit(r *request) bool {
	total, ok := s.fastestTotal(r)
	x := s.quarantinedBy(&r.Request)
	switch {
	case x != nil && !s.useTrial(x):
		s.emit(*s.quarantined(r, x))
	case r.Deadline <= s.now:
		s.refuse(r, result.Expired, "the deadline passed before the request arrived")
	case !ok:
		s.spillOrRefuse(r, result.NoEndpoint, "no endpoint of the pool takes work")
	case s.now+total > r.Deadline:
		s.refuse(r, result.DeadlineTooNear,
			fmt.Sprintf("the fastest endpoint needs about %v", total.Round(time.Millisecond)))
	case s.refuseIfBackedOff(r, total):
	default:
		r.onTrial = x != nil
		return s.admitToQueue(r, total)
	}
	return false
}

// refuseIfBackedOff refuses a request if every endpoint that could take it asked its
// host to send nothing for too long. It reports whether it did.
func (s *Scheduler) refuseIfBackedOff(r *request, total time.Duration) bool {
	refusal := s.backoffRefusal(r, total)
	if refusal != nil {
		s.emit(*refusal)
	}
	return refusal != nil
}

// spillOrRefuse passes a request to another domain or, if none has room, refuses it.
func (s *Scheduler) spillOrRefuse(r *request, code result.Code, reason string) {
	if !s.spill(r, reason) {
		s.refuse(r, code, reason)
	}
}

// admitToQueue checks a request against the declared queue limits and the expected
// wait.
func (s *Scheduler) admitToQueue(r *request, total time.Duration) bool {
	r.late = r.FirstDue > 0 && r.FirstDue-s.now < s.fastestFirstToken(r)
	t := s.teams.get(r.Team)
	limit := s.tiers.byRank[r.Rank].MaxQueued
	if t.MaxQueued > 0 && t.waiting >= t.MaxQueued {
		s.refuse(r, result.TeamLimit, "the team has its most requests waiting")
		return false
	}
	if limit > 0 && !r.before.Kept && s.queue.tier(r.priority()).size >= limit {
		return s.admitToFullTier(r)
	}
	return s.admitByWait(r, total)
}

// admitToFullTier makes room for a request whose tier has its most requests waiting:
// it passes the request to another domain or sheds one of a lower tier.
func (s *Scheduler) admitToFullTier(r *request) bool {
	const reason = "the tier has its most requests waiting"
	if s.spill(r, reason) {
		return false
	}
	if s.shedOneBelow(r.priority()) {
		return true
	}
	s.refuse(r, result.QueueFull, reason)
	return false
}

// admitByWait refuses a request that would wait longer than its deadline allows. While
// requests of lower tiers wait, it tolerates a longer expected wait, and sheds them
// before it refuses the request.
func (s *Scheduler) admitByWait(r *request, total time.Duration) bool {
	if r.FirstDue > 0 {
		return s.admitByObjective(r, total)
	}
	if r.before.Kept {
		return true
	}
	wait := s.teamWait(r)
	tolerance := 1.0
	if s.queue.waitsBelow(r.Rank) {
		tolerance = rules.WaitToleranceOverLowerTiers
	}
	slack := r.Deadline - s.now - total
	if wait <= slack {
		return true
	}
	reason := fmt.Sprintf("the expected wait is %v", wait.Round(time.Millisecond))
	if s.spill(r, reason) {
		return false
	}
	if wait <= time.Duration(tolerance*float64(slack)) {
		return true
	}
	s.shedAllBelow(r.Rank)
	s.refuse(r, result.ShedTier, reason)
	return false
}
