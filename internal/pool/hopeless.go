package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// watch sets the time at which a waiting request becomes urgent, or if it is,
// the time at which it can't be answered in time any more, as far as is known
// now.
func (s *Scheduler) watch(r *request) {
	total, ok := s.busy(r)
	if !ok {
		s.timers.set(&r.timer, r.Deadline, func() { s.hopeless(r) })
		return
	}
	cautious := time.Duration(float64(total) * s.surprise.Factor())
	if !r.urgent && s.now < r.Deadline-cautious {
		s.timers.set(&r.timer, r.Deadline-cautious, func() { s.urge(r) })
		return
	}
	r.urgent = true
	s.timers.set(&r.timer, max(r.Deadline-total, r.recheck), func() { s.hopeless(r) })
}

// spare says whether the pool has room to spare, so that a prefill which may be
// in vain takes nothing from others.
func (s *Scheduler) spare() bool {
	return s.queue.size() <= s.working && float64(s.totalFree) >= rules.SpareSlotFraction*float64(s.totalSlots)
}

// urge makes a request urgent: while the pool has room to spare it takes any
// endpoint that can be expected to answer in time, with no caution left and no
// wait for its prefix.
func (s *Scheduler) urge(r *request) {
	r.urgent = true
	s.fresh = append(s.fresh, r)
	s.watch(r)
}

// hopeless refuses a waiting request that no endpoint can answer in time any
// more. Speeds may have been learned since the time was set, so that the
// request may have to be looked at again.
func (s *Scheduler) hopeless(r *request) {
	total, ok := s.busy(r)
	if ok && s.now+total < r.Deadline {
		r.recheck = s.now + rules.RecheckInterval
		s.watch(r)
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

// drop forgets a waiting request.
func (s *Scheduler) drop(r *request) {
	s.withdraw(r)
	delete(s.requests, r.ID)
}

// refuse gives a request its final answer.
func (s *Scheduler) refuse(r *request, code result.Code, reason string) {
	s.emit(*s.refusal(r, code, s.retryAfter(r.order()), reason))
}
