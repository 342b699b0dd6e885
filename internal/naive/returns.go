package naive

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// refuseForRoom refuses a request for lack of room.
func (s *Scheduler) refuseForRoom(r *request, code result.Code) {
	out := pool.Refuse{ID: r.ID, Host: r.Host, Code: code, RetryAfter: s.retryAfter(r.order()), Late: r.late}
	if r.Fingerprint != 0 && !r.Spilled {
		total, _ := s.fastest(r)
		x := s.promises.Refuse(s.now, promise.Refused{
			Key: keyOf(r), FirstDue: r.FirstDue, Deadline: r.Deadline, Repeats: r.Repeats, Cost: r.cost, Total: total,
		}, r.before, s.roomFor(r))
		if x.Promised {
			out.Promised, out.RetryAfter = true, x.After
		} else {
			out.RetryAfter = min(max(out.RetryAfter, x.After), rules.MaxRetryAfter)
		}
	}
	s.out = append(s.out, out)
}

func keyOf(r *request) promise.Key {
	return promise.Key{Team: r.Team, Fingerprint: r.Fingerprint}
}

// roomFor is the capacity that newcomers leave at their usual rate.
func (s *Scheduler) roomFor(r *request) promise.Room {
	usual, known := s.meter.UsualArrivalRate()
	if !known {
		return promise.Room{}
	}
	var ahead time.Duration
	for _, x := range s.ranks() {
		if x < r.Rank || x >= rules.LatePriorityOffset && x <= rules.LatePriorityOffset+r.Rank {
			ahead += cost(s.inTier(x))
		}
	}
	capacity := max(s.meter.Capacity(s.totals.slots), 1)
	return promise.Room{Ahead: ahead, Rate: capacity - max(usual, s.meter.RecentArrivalRateAbove(r.Rank))}
}

// recognize finds out whether a request was refused before.
func (s *Scheduler) recognize(r *request) {
	if r.Fingerprint == 0 {
		return
	}
	r.before = s.promises.Arrive(s.now, keyOf(r), r.Deadline)
	if r.before.FirstDue > 0 && r.FirstDue > 0 {
		r.FirstDue = min(r.FirstDue, r.before.FirstDue)
	}
}

// becomeDue moves a waiting request before the newcomers of its tier.
func (s *Scheduler) becomeDue(r *request) {
	if r.state != queued && r.state != held {
		return
	}
	s.withdraw(r)
	r.due = true
	s.enqueue(r)
}

// countArrival counts a request, and finds out whether it is beyond its team's share.
func (s *Scheduler) countArrival(r *request) {
	order := r.Rank
	if s.config.ProtectShares && r.FirstDue > 0 {
		capacity := max(s.meter.Capacity(s.totals.slots), 1)
		level := s.usual.Arrive(s.now, r.Team, weight(s.team(r.Team)), r.cost, capacity)
		if s.lastSlots() {
			r.excess = level
			order = r.order()
		}
		if r.excess == share.FarBeyond {
			s.lending = s.now + rules.LendingTime
		}
	}
	if !r.before.Known() {
		s.meter.RecordArrival(order, r.cost)
	}
}

// lastSlots says whether only the slots that are kept for teams within their share are free.
func (s *Scheduler) lastSlots() bool {
	slots := float64(s.totals.slots)
	return float64(s.totals.free) <= min(rules.ShareReserveSpread*math.Sqrt(slots), rules.SpareSlotFraction*slots)
}

// kept says whether the free slots are kept from a request for teams within their share.
func (s *Scheduler) kept(r *request) bool {
	return s.now < s.lending && r.order() >= int(share.FarBeyond)*rules.ExcessPriorityOffset && s.lastSlots()
}
