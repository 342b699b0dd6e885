package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// displace sheds the request with the latest deadline of the lowest tier below
// rank that waits, so that one of rank can wait in its place. It returns false
// if none waits.
func (s *Scheduler) displace(rank int) bool {
	for _, t := range slices.Backward(s.queue.tiers) {
		if t.rank <= rank {
			return false
		}
		if t.size > 0 {
			s.yield(t.last())
			return true
		}
	}
	return false
}

// shedBelow sheds all that waits in tiers below rank, from the lowest up: no
// request is shed for want of room while one of a lower tier waits.
func (s *Scheduler) shedBelow(rank int) {
	for _, t := range slices.Backward(s.queue.tiers) {
		if t.rank <= rank {
			return
		}
		for _, r := range t.byDeadline() {
			s.yield(r)
		}
	}
}

// yield takes a waiting request out for one of a higher tier.
func (s *Scheduler) yield(r *request) {
	s.drop(r)
	s.spillOr(r, result.ShedTier, "a request of a higher tier took its place")
}

// retryAfter is when a request of a rank can be expected to find room.
func (s *Scheduler) retryAfter(rank int) time.Duration {
	return min(max(s.expectedWait(rank), rules.MinRetryAfter), rules.MaxRetryAfter)
}

// expectedWait is the time until what waits at a rank or above is served, at
// the rate that the pool drains and tiers above leave over.
func (s *Scheduler) expectedWait(rank int) time.Duration {
	return s.drainTime(rank, s.backlogAbove(rank)+s.queue.tier(rank).backlog.total())
}

// teamWait is the time until a new request of a team is served: a team that is
// within its share does not wait for the other teams' backlog.
func (s *Scheduler) teamWait(r *request) time.Duration {
	t := s.queue.tier(r.order())
	own := t.backlog.total()
	if share := t.shareTime(r, s.teams.get(r.Team)); share < own {
		own = share
	}
	return s.drainTime(r.Rank, s.backlogAbove(r.Rank)+own)
}

func (s *Scheduler) backlogAbove(rank int) time.Duration {
	var sum time.Duration
	for _, t := range s.queue.tiers {
		if t.rank < rank {
			sum += t.backlog.total()
		}
	}
	return sum
}

func (s *Scheduler) drainTime(rank int, backlog time.Duration) time.Duration {
	if backlog == 0 {
		return 0
	}
	capacity := max(s.meter.Capacity(s.totalSlots), 1)
	above := s.meter.ArrivalRateAbove(rank)
	if rank >= rules.LatePriorityOffset {
		// What can be on time goes first, whatever its rank, and a burst counts.
		above = s.meter.RecentArrivalRate()
	}
	left := max(capacity-above, rules.MinDrainFraction*capacity)
	return time.Duration(backlog.Seconds() / left * float64(time.Second))
}

// countSlots sums up the slots of the endpoints that take work.
func (s *Scheduler) countSlots() {
	s.totalSlots, s.totalFree, s.working, s.longPrefills = 0, 0, 0, 0
	for _, e := range s.endpoints.rows {
		if e.takesWork(s.now) {
			s.totalSlots += max(0, e.slots())
			s.totalFree += e.freeSlots()
			s.working++
			if s.longPrefill(e.pending) {
				s.longPrefills++
			}
		}
	}
}
