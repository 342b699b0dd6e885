package pool

import (
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// endpointFailed closes an endpoint for a while after it was lost or took no
// connection. Its cache is taken to be empty and its window starts anew. More
// reports of the same failure change nothing.
func (s *Scheduler) endpointFailed(e *endpoint) {
	if s.now < e.closedUntil {
		return
	}
	closed := min(rules.FirstClosed<<min(e.failures, 8), rules.LastClosed)
	e.failures++
	e.closedUntil = s.now + closed
	e.window.Restart()
	s.blocks.Clear(e.number)
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
}

// endpointFull closes an endpoint for a moment after it refused a request for want
// of room: others than this scheduler may have filled it.
func (s *Scheduler) endpointFull(e *endpoint) {
	until := s.now + rules.RejectedClosed
	if until <= e.closedUntil {
		return
	}
	e.closedUntil = until
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
}
