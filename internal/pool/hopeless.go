package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// recheck is the least time between two looks at whether a request can still
// be answered in time.
const recheck = 50 * time.Millisecond

// watch sets the time at which a waiting request can't be answered in time any
// more, as far as is known now.
func (s *Scheduler) watch(r *request) {
	at := r.Deadline
	if total, ok := s.busy(r); ok {
		at = min(at, r.Deadline-total)
	}
	s.timers.set(&r.timer, max(at, s.now+recheck), func() { s.hopeless(r) })
}

// hopeless refuses a waiting request that no endpoint can answer in time any
// more. Speeds may have been learned since the time was set, so that the
// request may have to be looked at again.
func (s *Scheduler) hopeless(r *request) {
	total, ok := s.busy(r)
	if ok && s.now+total < r.Deadline {
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
	s.emit(*s.refusal(r, code, s.retryAfter(r.Rank), reason))
}
