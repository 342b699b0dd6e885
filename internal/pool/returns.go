package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// This file handles requests that were refused for lack of room and whose callers return.
// Under overload, callers who are all told the same time return together and are refused
// again. So each is promised a time at which the pool is expected to have room for it, if
// there is one that it can wait for.

// lacksRoom reports whether a refusal with a code says that the pool has no room.
func lacksRoom(code result.Code) bool {
	return code == result.ShedTier || code == result.QueueFull
}

// refuseForRoom refuses a request for lack of room, and tells it when to return.
func (s *Scheduler) refuseForRoom(r *request, code result.Code, reason string) {
	refusal := s.refusal(r, code, s.retryAfter(r.priority()), reason)
	if r.Fingerprint != 0 && !r.Spilled {
		total, _ := s.fastestTotal(r)
		answer := s.promises.Refuse(s.now, promise.Refused{
			Key: r.promiseKey(), FirstDue: r.FirstDue, Deadline: r.Deadline,
			Repeats: r.Repeats, Cost: r.cost, Total: total,
		}, r.before, s.roomForReturns(r))
		refusal.Promised = answer.Promised
		refusal.RetryAfter = answer.After
		if !answer.Promised {
			refusal.RetryAfter = min(max(s.retryAfter(r.priority()), answer.After), rules.MaxRetryAfter)
		}
	}
	s.emit(*refusal)
}

func (r *request) promiseKey() promise.Key {
	return promise.Key{Team: r.Team, Fingerprint: r.Fingerprint}
}

// roomForReturns returns the capacity that is expected for a request that returns: what
// newcomers leave when they arrive at their usual rate. A burst may end before it returns.
func (s *Scheduler) roomForReturns(r *request) promise.Room {
	usual, known := s.meter.UsualArrivalRate()
	if !known {
		return promise.Room{}
	}
	last := r.Rank + rules.LatePriorityOffset
	return promise.Room{
		Ahead: s.backlogAbove(r.Rank) + s.backlogAbove(last) - s.backlogAbove(rules.LatePriorityOffset) + s.queue.tier(last).backlog.total(),
		Rate:  max(s.meter.Capacity(s.totalSlots), 1) - max(usual, s.meter.RecentArrivalRateAbove(r.Rank)),
	}
}

// recognize finds out whether an arriving request was refused before. Its objective counts
// from its first arrival.
func (s *Scheduler) recognize(r *request) {
	if r.Fingerprint == 0 {
		return
	}
	r.before = s.promises.Arrive(s.now, r.promiseKey(), r.Deadline)
	if r.before.FirstDue > 0 && r.FirstDue > 0 {
		r.FirstDue = min(r.FirstDue, r.before.FirstDue)
	}
}

// admitPromised admits a request that returns at its promised time. If it is late, it waits
// behind the requests that can be on time, but for no longer than half of the time that it
// can wait.
func (s *Scheduler) admitPromised(r *request, total time.Duration) {
	r.dueAt = s.now + time.Duration(rules.PromisedWaitFraction*float64(s.lateSlack(r, total)))
}

// markDue moves a waiting request, which returned at its promised time and can't wait for much
// longer, before the newcomers of its tier.
func (s *Scheduler) markDue(r *request) {
	if r.phase != phaseQueued && r.phase != phaseHeld {
		return
	}
	s.withdraw(r)
	r.due = true
	s.enqueue(r)
}

// promisedWork returns the slot time that is kept at a priority for callers who have not
// returned yet.
func (s *Scheduler) promisedWork(priority int) time.Duration {
	if priority < rules.LatePriorityOffset {
		return 0
	}
	return s.promises.Outstanding(s.now)
}
