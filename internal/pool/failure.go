package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// ClosedFor says why an endpoint was closed.
type ClosedFor string

// Reasons of ClosedFor.
const (
	// ClosedUnreachable: it took no connection.
	ClosedUnreachable ClosedFor = "unreachable"
	// ClosedLost: it was lost with requests in flight.
	ClosedLost ClosedFor = "lost"
	// ClosedFailing: several answers in a row failed.
	ClosedFailing ClosedFor = "failing"
)

// Closing tells that an endpoint gets no requests for a while.
type Closing struct {
	Endpoint ident.Endpoint
	For      ClosedFor
	// Time is how long, and Failures which failure in a row it is.
	Time     time.Duration
	Failures int
	// Holding are the requests that were in flight there, in the order of their grants.
	Holding []ident.Request
}

// Closings returns the endpoints that the last step closed.
func (s *Scheduler) Closings() []Closing {
	return s.closings
}

// endpointFailed closes an endpoint for a while after it was lost or took no
// connection. Its cache is taken to be empty and its window starts anew. More
// reports of the same failure change nothing.
func (s *Scheduler) endpointFailed(e *endpoint, why ClosedFor) {
	if s.now < e.closedUntil {
		return
	}
	closed := min(rules.FirstClosed<<min(e.failures, 8), rules.LastClosed)
	e.failures++
	e.closedUntil = s.now + closed
	e.window.Restart()
	s.blocks.Clear(e.number)
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
	closing := Closing{Endpoint: e.Name, For: why, Time: closed, Failures: e.failures}
	for _, a := range s.attempts.on(e) {
		closing.Holding = append(closing.Holding, a.request.ID)
	}
	s.closings = append(s.closings, closing)
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
