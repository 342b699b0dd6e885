package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// CloseReason says why an endpoint was closed.
type CloseReason string

// Reasons to close an endpoint.
const (
	// ClosedUnreachable: it took no connection.
	ClosedUnreachable CloseReason = "unreachable"
	// ClosedLost: it was lost with requests in flight.
	ClosedLost CloseReason = "lost"
	// ClosedFailing: several answers in a row failed.
	ClosedFailing CloseReason = "failing"
	// ClosedBackoff: it asked one host to send it nothing for a time.
	ClosedBackoff CloseReason = "asked_to_wait"
)

// Closing tells that an endpoint gets no requests for a while.
type Closing struct {
	Endpoint ident.Endpoint
	Reason   CloseReason
	// For is how long, and Failures which failure in a row it is.
	For      time.Duration
	Failures int
	// Host is the one that may send nothing; empty: none may.
	Host ident.Host
	// Holding are the requests that were in flight there, in the order of their grants.
	Holding []ident.Request
}

// Closings returns the endpoints that the last step closed.
func (s *Scheduler) Closings() []Closing {
	return s.closings
}

// lostRun is a run whose connection broke, or that was given up at its deadline.
type lostRun struct {
	request       Request
	granted, lost time.Duration
}

// noteLost remembers a run that failed until it is known whether its endpoint has ended:
// at once, if its entry is gone without notice.
func (s *Scheduler) noteLost(a *attempt) {
	r := a.request
	if !r.Repeats || a.blamed || !a.started {
		return
	}
	e := a.endpoint
	if !e.declared && e.State != resource.EndpointDrain {
		s.countLoss(a)
		return
	}
	e.lost = slices.DeleteFunc(e.lost, func(l lostRun) bool { return s.now-l.lost > rules.BrokenRunRetention })
	if len(e.lost) == rules.MaxBrokenRuns {
		e.lost = slices.Delete(e.lost, 0, 1)
	}
	e.lost = append(e.lost, lostRun{
		request: Request{KeyHash: r.KeyHash, Fingerprint: r.Fingerprint, Repeats: true}, granted: a.granted, lost: s.now,
	})
}

// suspectsLostWith returns the suspects among the runs that broke lately on an endpoint that
// has ended.
func (s *Scheduler) suspectsLostWith(e *endpoint) []*suspect {
	var found []*suspect
	for _, l := range e.lost {
		if s.now-l.lost <= rules.BrokenRunRetention {
			found = s.addSuspect(found, l.request, l.granted, l.lost)
		}
	}
	e.lost = nil
	return found
}

// lifetimeEnded takes in that an endpoint has ended that didn't say that it leaves. One
// whose entry is gone may still run what it has, so only what broke counts.
func (s *Scheduler) lifetimeEnded(e *endpoint) {
	found := s.suspectsLostWith(e)
	if e.declared {
		s.blocks.Clear(e.number)
		for _, a := range s.attempts.on(e) {
			if a.request.Repeats && a.started && !a.blamed {
				a.blamed = true
				found = s.addSuspect(found, a.request, a.granted, s.now)
			}
		}
	}
	s.countCrash(found)
}

// endpointFailed closes an endpoint for a while after it was lost or took no
// connection. Its cache is taken to be empty and its window starts anew. More
// reports of the same failure change nothing.
//
// The last one that takes work stays open while it only fails some answers: some are
// better than none. If it is gone, all are tried again soon.
func (s *Scheduler) endpointFailed(e *endpoint, why CloseReason) {
	if s.now < e.closedUntil {
		return
	}
	last := !s.othersTakeWork(e)
	if last && why == ClosedFailing {
		return
	}
	closed := min(rules.InitialCloseTime<<min(e.failures, 8), rules.MaxCloseTime)
	if last {
		closed = rules.InitialCloseTime
		s.openBy(s.now + closed)
	}
	e.failures++
	e.closedUntil = s.now + closed
	e.window.Restart()
	s.blocks.Clear(e.number)
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
	closing := Closing{Endpoint: e.Name, Reason: why, For: closed, Failures: e.failures}
	for _, a := range s.attempts.on(e) {
		closing.Holding = append(closing.Holding, a.request.ID)
	}
	s.closings = append(s.closings, closing)
}

// othersTakeWork reports whether an endpoint beside one takes work.
func (s *Scheduler) othersTakeWork(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints.rows, func(x *endpoint) bool { return x != e && x.takesWork(s.now) })
}

// openBy ends what closes the endpoints at a time at the latest.
func (s *Scheduler) openBy(at time.Duration) {
	for _, e := range s.endpoints.rows {
		if e.closedUntil > at {
			e.closedUntil = at
			s.timers.set(&e.reopen, at, func() { e.changed = true })
		}
	}
}

// endpointFull closes an endpoint for a moment after it refused a request for want
// of room: others than this scheduler may have filled it.
func (s *Scheduler) endpointFull(e *endpoint) {
	until := s.now + rules.RejectedCloseTime
	if until <= e.closedUntil {
		return
	}
	e.closedUntil = until
	s.timers.set(&e.reopen, e.closedUntil, func() { e.changed = true })
}
