package pool

import "time"

const (
	// firstClosed is how long an endpoint is closed after a failure; it
	// doubles with each further one up to lastClosed.
	firstClosed = time.Second
	lastClosed  = 16 * time.Second
)

// endpointFailed closes an endpoint for a while after it was lost or took no
// connection. Its cache is taken to be empty and its window starts anew. More
// reports of the same failure change nothing.
func (s *Scheduler) endpointFailed(e *endpoint) {
	if s.now < e.closedUntil {
		return
	}
	closed := min(firstClosed<<min(e.failures, 8), lastClosed)
	e.failures++
	e.closedUntil = s.now + closed
	e.window.restart()
	s.blocks.Clear(e.number)
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
}
