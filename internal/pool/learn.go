package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// firstToken updates the prefill speed of an endpoint.
func (s *Scheduler) firstToken(e FirstToken) {
	a := s.attempts.find(e.ID, e.Attempt)
	if a == nil || a.sawFirstToken {
		return
	}
	s.observeFactor(a.endpoint, e.LoadPercent, e.LoadAge)
	if a.holdsSlot {
		a.endpoint.pendingTokens -= a.uncached
	}
	a.sawFirstToken, a.firstTokenAt = true, s.now
	s.setProofTimer(a)
	a.endpoint.changed = true
	if a.endpoint.Type == resource.EndpointService {
		return
	}
	a.endpoint.speed.ObservePrefill(s.now, a.prefillBacklog, e.After-rules.DispatchOverhead)
	a.endpoint.window.Observe(s.now, a.endpoint.speed.Pace(s.now))
}

// observeFinished updates an endpoint's speed, cache trust and health, and the
// expected length of answers, from a finished request.
func (s *Scheduler) observeFinished(a *attempt, f Finished) {
	e := a.endpoint
	if !e.supersedes(f.Lifetime) {
		s.observeFactor(e, f.LoadPercent, f.LoadAge)
	}
	switch f.Outcome {
	case OutcomeLost:
		if e.supersedes(f.Lifetime) {
			s.blameAttempt(a)
			return
		}
		s.blameAllOn(e)
		s.closeAfterFailure(e, ClosedLost)
		return
	case OutcomeRejected:
		// An endpoint that asks one host to wait says nothing about other hosts.
		if f.Backoff == 0 {
			s.closeAfterRejection(e)
		}
		return
	case OutcomeFailed:
		if !f.Answered {
			s.recordBrokenRun(a)
		}
		if e.errors.Observe(s.now, true) {
			s.closeAfterFailure(e, ClosedFailing)
		}
		return
	}
	// A caller that left without an answer may have waited for an endpoint that had ended.
	if f.Outcome == OutcomeCanceled && (s.now >= a.request.Deadline || e.declared && !a.sawFirstToken) {
		s.recordBrokenRun(a)
	}
	if f.Outcome == OutcomeCompleted || s.now >= a.request.Deadline {
		s.overrun.Observe(a.expectedTotal, f.Total, f.Outcome != OutcomeCompleted)
	}
	others := float64(a.concurrent+e.inFlight-1) / 2
	if e.Type == resource.EndpointService {
		e.speed.ObserveCall(s.now, f.Total, others)
	} else if f.FirstToken > 0 {
		e.speed.ObserveDecode(s.now, f.OutputTokens, f.Total-f.FirstToken, others)
		if f.CachedTokens >= 0 {
			s.observeCached(a, f.CachedTokens)
		}
	}
	e.window.Observe(s.now, e.speed.Pace(s.now))
	if f.Outcome != OutcomeCompleted {
		return
	}
	e.failures = 0
	if f.Lifetime <= e.Started {
		// The endpoint has survived the runs that ended before this one began.
		s.forgetBrokenRuns(e, a.granted)
	}
	e.errors.Observe(s.now, false)
	if !a.request.Repeats {
		s.bodies.markProven(a.request.Fingerprint)
	}
	if e.Type == resource.EndpointEngine {
		s.lengths.Observe(a.request.Team, a.request.MaxTokens, f.OutputTokens)
	}
}

// loadReport compares an endpoint's load report with the ledger.
func (s *Scheduler) loadReport(r LoadReport) {
	e := s.endpoints.byName[r.Endpoint]
	if e == nil {
		return
	}
	e.load.ObserveInFlight(s.now, e.inFlight)
	e.load.ObserveReport(r.Running+r.Waiting, r.Age)
	s.observeFactor(e, r.LoadPercent, r.Age)
	e.changed = true
}

// observeFactor records the momentary factor that an endpoint reported some time ago; a
// percentage of 0 is none.
func (s *Scheduler) observeFactor(e *endpoint, percent int, age time.Duration) {
	if percent > 0 {
		e.speed.ObserveFactor(s.now-max(0, age), float64(percent)/100)
	}
}
