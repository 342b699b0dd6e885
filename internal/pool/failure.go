package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// CloseReason is the reason why an endpoint was closed.
type CloseReason string

// Reasons to close an endpoint.
const (
	// ClosedUnreachable means that the endpoint accepted no connection.
	ClosedUnreachable CloseReason = "unreachable"
	// ClosedLost means that the endpoint was lost with requests in flight.
	ClosedLost CloseReason = "lost"
	// ClosedFailing means that several consecutive answers failed.
	ClosedFailing CloseReason = "failing"
	// ClosedBackoff means that the endpoint asked one host to send nothing for a time.
	ClosedBackoff CloseReason = "asked_to_wait"
)

// Closing reports that an endpoint gets no requests for a time.
type Closing struct {
	Endpoint ident.Endpoint
	Reason   CloseReason
	// For is the duration, and Failures the number of consecutive failures.
	For      time.Duration
	Failures int
	// Host is the only host that may not send requests; if it is empty, none may.
	Host ident.Host
	// Holding are the requests that were in flight there, in the order of their grants.
	// Answering is the number of them whose answers had begun.
	Holding   []ident.Request
	Answering int
}

// Closings returns the endpoints that the last step closed.
func (s *Scheduler) Closings() []Closing {
	return s.closings
}

// brokenRun is a run whose connection broke, or that was abandoned unanswered.
type brokenRun struct {
	request          Request
	granted, endedAt time.Duration
	// holdsBody and heldParts are the attempt's: while it isn't known whether a suspect has
	// crashed the endpoint, it counts as in flight. timer bounds that.
	holdsBody bool
	heldParts []*suspect
	timer     timer
}

// recordBrokenRun keeps a failed run until it is known whether its endpoint has ended.
// If the endpoint's entry was removed unplanned, that is known at once.
func (s *Scheduler) recordBrokenRun(a *attempt) {
	r := a.request
	if !r.Repeats || a.blamed || !a.started {
		return
	}
	e := a.endpoint
	if !e.declared && e.State != resource.EndpointDrain {
		s.blameAttempt(a)
		return
	}
	s.forgetBrokenRuns(e, s.now-rules.BrokenRunRetention)
	if len(e.brokenRuns) == rules.MaxBrokenRuns {
		s.releaseBrokenRun(e.brokenRuns[0])
		e.brokenRuns = slices.Delete(e.brokenRuns, 0, 1)
	}
	l := &brokenRun{
		request: Request{KeyHash: r.KeyHash, Fingerprint: r.Fingerprint, Repeats: true, Parts: s.unprovenParts(a)},
		granted: a.granted, endedAt: s.now,
	}
	e.brokenRuns = append(e.brokenRuns, l)
	if s.suspects.find(r.KeyHash, r.Fingerprint) != nil {
		l.holdsBody, a.holdsBody = a.holdsBody, false
	}
	l.heldParts, a.heldParts = a.heldParts, nil
	if l.holdsBody || len(l.heldParts) > 0 {
		s.timers.set(&l.timer, s.now+rules.UnresolvedRunHold, func() { s.releaseBrokenRun(l) })
	}
}

// releaseBrokenRun stops counting a broken run as in flight.
func (s *Scheduler) releaseBrokenRun(l *brokenRun) {
	s.timers.stop(&l.timer)
	held, fingerprint := l.heldParts, l.request.Fingerprint
	l.heldParts = nil
	if l.holdsBody {
		l.holdsBody = false
		s.bodies.get(fingerprint).inFlight--
		s.resumeParked(fingerprint)
	}
	s.releaseHeldParts(held)
}

// forgetBrokenRuns removes the broken runs that ended before a time.
func (s *Scheduler) forgetBrokenRuns(e *endpoint, before time.Duration) {
	kept := e.brokenRuns[:0]
	var forgotten []*brokenRun
	for _, l := range e.brokenRuns {
		if l.endedAt < before {
			forgotten = append(forgotten, l)
		} else {
			kept = append(kept, l)
		}
	}
	clear(e.brokenRuns[len(kept):])
	e.brokenRuns = kept
	for _, l := range forgotten {
		s.releaseBrokenRun(l)
	}
}

// unprovenParts returns the parts of an attempt's prompt unless it proves them harmless.
func (s *Scheduler) unprovenParts(a *attempt) []uint64 {
	if s.provesParts(a) {
		return nil
	}
	return a.request.Parts
}

// takeBrokenRuns removes the broken runs of an endpoint that has ended, and returns the
// recent ones as a crash.
func (s *Scheduler) takeBrokenRuns(e *endpoint) *crash {
	c := &crash{}
	ended := e.brokenRuns
	e.brokenRuns = nil
	for _, l := range ended {
		s.releaseBrokenRun(l)
		if s.now-l.endedAt <= rules.BrokenRunRetention {
			s.collectRequest(c, l.request, l.granted, l.endedAt)
			c.addParts(l.request.Parts, l.granted, l.endedAt)
		}
	}
	return c
}

// lifetimeEnded handles the unplanned end of an endpoint's lifetime. An endpoint whose
// entry was removed may still run its requests, so only its broken runs count.
func (s *Scheduler) lifetimeEnded(e *endpoint) {
	c := s.takeBrokenRuns(e)
	if e.declared {
		s.blocks.Clear(e.number)
		for _, a := range s.attempts.onEndpoint(e) {
			if a.request.Repeats && a.started && !a.blamed {
				a.blamed = true
				s.collectAttempt(c, a)
			}
		}
	}
	s.countCrash(c)
}

// closeAfterFailure closes an endpoint for a time after it was lost or accepted no
// connection. Its cache is assumed empty, and its window restarts. Further reports of
// the same failure have no effect.
//
// The last available endpoint stays open if it merely fails some answers, because some
// answers are better than none. If it is lost or unreachable, all endpoints are tried
// again soon.
func (s *Scheduler) closeAfterFailure(e *endpoint, why CloseReason) {
	if s.now < e.closedUntil {
		return
	}
	last := !s.anotherAvailable(e)
	if last && why == ClosedFailing {
		return
	}
	duration := min(rules.InitialCloseTime<<min(e.failures, 8), rules.MaxCloseTime)
	if last {
		duration = rules.InitialCloseTime
		s.reopenBy(s.now + duration)
	}
	e.failures++
	e.closedUntil = s.now + duration
	e.window.Restart()
	s.blocks.Clear(e.number)
	s.timers.set(&e.reopenTimer, e.closedUntil, func() { e.changed = true })
	closing := Closing{Endpoint: e.Name, Reason: why, For: duration, Failures: e.failures}
	for _, a := range s.attempts.onEndpoint(e) {
		closing.Holding = append(closing.Holding, a.request.ID)
		if a.sawFirstToken {
			closing.Answering++
		}
	}
	s.closings = append(s.closings, closing)
}

// anotherAvailable reports whether an endpoint other than e is available.
func (s *Scheduler) anotherAvailable(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints.rows, func(x *endpoint) bool { return x != e && x.available(s.now) })
}

// reopenBy opens all closed endpoints at the given time at the latest.
func (s *Scheduler) reopenBy(at time.Duration) {
	for _, e := range s.endpoints.rows {
		if e.closedUntil > at {
			e.closedUntil = at
			s.timers.set(&e.reopenTimer, at, func() { e.changed = true })
		}
	}
}

// closeAfterRejection closes an endpoint briefly after it rejected a request for lack
// of room: clients other than this scheduler may have filled it.
func (s *Scheduler) closeAfterRejection(e *endpoint) {
	until := s.now + rules.RejectedCloseTime
	if until <= e.closedUntil {
		return
	}
	e.closedUntil = until
	s.timers.set(&e.reopenTimer, e.closedUntil, func() { e.changed = true })
}
