package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// shedOneBelow sheds the least urgent waiting request of the lowest tier below a
// priority, so that a request of that priority can wait in its place. It returns false
// if none waits.
func (s *Scheduler) shedOneBelow(priority int) bool {
	for _, t := range slices.Backward(s.queue.tiers) {
		if t.priority <= priority {
			return false
		}
		if t.size > 0 {
			s.shed(t.leastUrgent())
			return true
		}
	}
	return false
}

// shedLateBelow sheds the last of the late requests of the lowest tier below a priority. It
// returns false if there are none. Requests that returned at their promised time stay: they
// are served after those of the priority, and their slot time was counted before they came.
func (s *Scheduler) shedLateBelow(priority int) bool {
	if priority < rules.LatePriorityOffset {
		return false
	}
	for _, t := range slices.Backward(s.queue.tiers) {
		if t.priority <= priority {
			return false
		}
		if t.size == 0 {
			continue
		}
		if r := t.leastUrgent(); !r.before.Kept {
			s.shed(r)
			return true
		}
	}
	return false
}

// shedAllBelow sheds all waiting requests of the tiers below rank, from the lowest up:
// no request is shed for lack of room while one of a lower tier waits.
func (s *Scheduler) shedAllBelow(rank int) {
	for _, t := range slices.Backward(s.queue.tiers) {
		if t.priority <= rank {
			return
		}
		for _, r := range t.leastUrgentFirst() {
			s.shed(r)
		}
	}
}

// shed removes a waiting request in favour of one of a higher tier.
func (s *Scheduler) shed(r *request) {
	s.drop(r)
	s.spillOrRefuse(r, result.ShedTier, "a request of a higher tier took its place")
}

// retryAfter returns when a request of a priority is expected to find room.
func (s *Scheduler) retryAfter(priority int) time.Duration {
	return min(max(s.expectedWait(priority), rules.MinRetryAfter), rules.MaxRetryAfter)
}

// expectedWait returns the time until the requests that wait at a priority or above
// are served, at the rate at which the pool drains less what arrives above.
func (s *Scheduler) expectedWait(priority int) time.Duration {
	return s.drainTime(priority, s.backlogAbove(priority)+s.queue.tier(priority).backlog.total())
}

// teamWait returns the time until a new request of a team is served. A team that is
// within its share doesn't wait for the backlog of other teams.
func (s *Scheduler) teamWait(r *request) time.Duration {
	t := s.queue.tier(r.priority())
	backlog := t.backlog.total()
	if share := t.fairShareTime(r, s.teams.get(r.Team)); share < backlog {
		backlog = share
	}
	return s.drainTime(r.Rank, s.backlogAbove(r.Rank)+backlog)
}

// backlogAbove returns the slot time that waits above a priority.
func (s *Scheduler) backlogAbove(priority int) time.Duration {
	var sum time.Duration
	for _, t := range s.queue.tiers {
		if t.priority < priority {
			sum += t.backlog.total()
		}
	}
	return sum
}

// drainTime returns the time until a backlog at a priority is served.
func (s *Scheduler) drainTime(priority int, backlog time.Duration) time.Duration {
	if backlog == 0 {
		return 0
	}
	capacity := max(s.meter.Capacity(s.totalSlots), 1)
	above := s.meter.ArrivalRateAbove(priority)
	if priority >= rules.LatePriorityOffset {
		// Requests that can be on time go first, whatever their rank. The recent rate is
		// used so that bursts count.
		above = s.meter.RecentArrivalRate()
	}
	remaining := max(capacity-above, rules.MinDrainFraction*capacity)
	return time.Duration(backlog.Seconds() / remaining * float64(time.Second))
}

// countSlots sums up the slots of the available endpoints.
func (s *Scheduler) countSlots() {
	s.totalSlots, s.totalFreeSlots, s.availableEndpoints, s.longPrefillEndpoints = 0, 0, 0, 0
	priced := s.domains.Enabled()
	if priced {
		s.domains.ClearSlots()
	}
	for _, e := range s.endpoints.rows {
		if e.available(s.now) {
			if priced {
				s.domains.AddSlots(e.Domain, max(0, e.slots()))
			}
			s.totalSlots += max(0, e.slots())
			s.totalFreeSlots += e.freeSlots()
			s.availableEndpoints++
			if s.longPrefill(e.pendingTokens) {
				s.longPrefillEndpoints++
			}
		}
	}
}
