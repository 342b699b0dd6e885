package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// minRetryAfter and maxRetryAfter bound what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// displace sheds one request of the lowest tier below rank that waits, so that
// one of rank can wait in its place. It returns false if none waits.
func (s *Scheduler) displace(rank int) bool {
	for i := len(s.queue.tiers) - 1; i >= 0; i-- {
		t := s.queue.tiers[i]
		if t.rank <= rank {
			return false
		}
		if t.size == 0 {
			continue
		}
		r := t.last()
		s.drop(r)
		s.refuse(r, result.ShedTier, "a request of a higher tier took its place")
		return true
	}
	return false
}

// retryAfter is when a request of a rank can be expected to find room.
func (s *Scheduler) retryAfter(rank int) time.Duration {
	return min(max(s.expectedWait(rank), minRetryAfter), maxRetryAfter)
}

// expectedWait is the time until what waits at a rank or above is served, by
// the pool's slots.
func (s *Scheduler) expectedWait(rank int) time.Duration {
	var backlog time.Duration
	for _, t := range s.queue.tiers {
		if t.rank <= rank {
			backlog += t.backlog
		}
	}
	slots := 0
	for _, e := range s.endpoints.rows {
		if e.takesWork(s.now) {
			slots += e.slots()
		}
	}
	return backlog / time.Duration(max(1, slots))
}
