package pool

import (
	"fmt"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// admit says whether a request may wait. If not, it has been refused or passed
// to another domain.
func (s *Scheduler) admit(r *request) bool {
	total, ok := s.fastest(r)
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	switch {
	case x != nil && x.Quarantined && !s.takeTrial(x):
		s.emit(*s.quarantined(r))
	case r.Deadline <= s.now:
		s.refuse(r, result.Expired, "the deadline passed before the request arrived")
	case !ok:
		s.spillOr(r, result.NoEndpoint, "no endpoint of the pool takes work")
	case s.now+total > r.Deadline:
		s.refuse(r, result.DeadlineTooNear,
			fmt.Sprintf("the fastest endpoint needs about %v", total.Round(time.Millisecond)))
	case s.refuseInVain(r, total):
	default:
		r.trial = x != nil && x.Quarantined
		return s.admitToQueue(r, total)
	}
	return false
}

// refuseInVain refuses a request that would wait in vain for endpoints that asked its host
// to wait.
func (s *Scheduler) refuseInVain(r *request, total time.Duration) bool {
	refusal := s.waitsInVain(r, total)
	if refusal != nil {
		s.emit(*refusal)
	}
	return refusal != nil
}

// spillOr passes a request to another domain or refuses it.
func (s *Scheduler) spillOr(r *request, code result.Code, reason string) {
	if !s.spill(r, reason) {
		s.refuse(r, code, reason)
	}
}

// admitToQueue holds the request against the declared limits and the expected
// wait.
func (s *Scheduler) admitToQueue(r *request, total time.Duration) bool {
	r.late = r.FirstDue > 0 && r.FirstDue-s.now < s.firstAlone(r)
	t := s.teams.get(r.Team)
	limit := s.tiers.byRank[r.Rank].MaxQueued
	if t.MaxQueued > 0 && t.waiting >= t.MaxQueued {
		s.refuse(r, result.TeamLimit, "the team has its most requests waiting")
		return false
	}
	if limit > 0 && s.queue.tier(r.order()).size >= limit {
		return s.admitToFull(r)
	}
	return s.admitForRoom(r, total)
}

// admitToFull finds room for a request whose tier has its most requests
// waiting: in another domain, or in place of one of a lower tier.
func (s *Scheduler) admitToFull(r *request) bool {
	const reason = "the tier has its most requests waiting"
	if s.spill(r, reason) {
		return false
	}
	if s.displace(r.order()) {
		return true
	}
	s.refuse(r, result.QueueFull, reason)
	return false
}

// admitForRoom refuses a request that would wait longer than it can. What
// waits in lower tiers is shed before it.
func (s *Scheduler) admitForRoom(r *request, total time.Duration) bool {
	if r.FirstDue > 0 {
		return s.admitByObjective(r, total)
	}
	wait := s.teamWait(r)
	patience := 1.0
	if s.queue.waitsBelow(r.Rank) {
		patience = rules.WaitToleranceOverLowerTiers
	}
	spare := r.Deadline - s.now - total
	if wait <= spare {
		return true
	}
	reason := fmt.Sprintf("the expected wait is %v", wait.Round(time.Millisecond))
	if s.spill(r, reason) {
		return false
	}
	if wait <= time.Duration(patience*float64(spare)) {
		return true
	}
	s.shedBelow(r.Rank)
	s.refuse(r, result.ShedTier, reason)
	return false
}
