package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// setDeadlineTimer sets the time at which a waiting request becomes urgent or, if it
// is, the time at which it can't be answered before its deadline any more, according
// to the current estimates.
func (s *Scheduler) setDeadlineTimer(r *request) {
	total, ok := s.fastestTotalUnderLoad(r)
	if !ok {
		s.timers.set(&r.deadlineTimer, r.Deadline, func() { s.refuseIfTooLate(r) })
		return
	}
	cautious := time.Duration(float64(total) * s.overrun.Factor())
	if !r.urgent && s.now < r.Deadline-cautious {
		s.timers.set(&r.deadlineTimer, r.Deadline-cautious, func() { s.markUrgent(r) })
		return
	}
	r.urgent = true
	s.timers.set(&r.deadlineTimer, max(r.Deadline-total, r.recheckAt), func() { s.refuseIfTooLate(r) })
}

// hasSpareCapacity reports whether the pool has so much free capacity that a prefill
// which may be wasted takes nothing from other requests.
func (s *Scheduler) hasSpareCapacity() bool {
	return s.queue.size() <= s.availableEndpoints && float64(s.totalFreeSlots) >= rules.SpareSlotFraction*float64(s.totalSlots)
}

// markUrgent makes a request urgent. While the pool has spare capacity, an urgent
// request takes any endpoint that is expected to answer in time, without a safety
// margin and without waiting for its prefix.
func (s *Scheduler) markUrgent(r *request) {
	r.urgent = true
	s.toExamine = append(s.toExamine, r)
	s.setDeadlineTimer(r)
}

// refuseIfTooLate refuses a waiting request that no endpoint can answer before its
// deadline any more. The estimates may have changed since the timer was set, so that
// the request may have to be checked again.
func (s *Scheduler) refuseIfTooLate(r *request) {
	total, ok := s.fastestTotalUnderLoad(r)
	if ok && s.now+total < r.Deadline {
		r.recheckAt = s.now + rules.RecheckInterval
		s.setDeadlineTimer(r)
		return
	}
	s.drop(r)
	switch {
	case s.now >= r.Deadline:
		s.refuse(r, result.Expired, "the deadline passed in the queue")
	case !ok:
		s.refuse(r, result.NoEndpoint, "no endpoint of the pool takes work")
	default:
		s.refuse(r, result.DeadlineTooNear, "no endpoint can answer it before its deadline any more")
	}
}

// drop removes a waiting request.
func (s *Scheduler) drop(r *request) {
	s.withdraw(r)
	delete(s.requests, r.ID)
}

// refuse ends a request with a refusal.
func (s *Scheduler) refuse(r *request, code result.Code, reason string) {
	if lacksRoom(code) {
		s.refuseForRoom(r, code, reason)
		return
	}
	s.emit(*s.refusal(r, code, s.retryAfter(r.priority()), reason))
}
