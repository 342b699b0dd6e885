package pool

import (
	"fmt"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// admit returns the refusal of a request that can't wait, or nil.
func (s *Scheduler) admit(r *request) *Refuse {
	if r.Deadline <= s.now {
		return s.refusal(r, result.Expired, 0, "the deadline passed before the request arrived")
	}
	total, ok := s.fastest(r)
	if !ok {
		return s.refusal(r, result.NoEndpoint, retryWithoutEndpoint, "no endpoint of the pool takes work")
	}
	if s.now+total > r.Deadline {
		return s.refusal(r, result.DeadlineTooNear, s.retryAfter(r.Rank),
			fmt.Sprintf("the fastest endpoint needs about %v", total.Round(time.Millisecond)))
	}
	return s.admitToQueue(r)
}

// admitToQueue holds the request against the declared limits.
func (s *Scheduler) admitToQueue(r *request) *Refuse {
	t := s.teams.get(r.Team)
	if t.MaxQueued > 0 && t.waiting >= t.MaxQueued {
		return s.refusal(r, result.TeamLimit, s.retryAfter(r.Rank), "the team has its most requests waiting")
	}
	limit := s.tiers.byRank[r.Rank].MaxQueued
	if limit > 0 && s.queue.tier(r.Rank).size >= limit && !s.displace(r.Rank) {
		return s.refusal(r, result.QueueFull, s.retryAfter(r.Rank), "the tier has its most requests waiting")
	}
	return nil
}
