package naive

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
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
