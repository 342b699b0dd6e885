package pool

import (
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// firstToken learns the prefill speed.
func (s *Scheduler) firstToken(e FirstToken) {
	a := s.attempts.find(e.ID, e.Attempt)
	if a == nil || a.firstSeen {
		return
	}
	if a.holds {
		a.endpoint.pending -= a.uncached
	}
	a.firstSeen = true
	a.endpoint.changed = true
	if a.endpoint.Type == resource.EndpointService {
		return
	}
	a.endpoint.speed.ObservePrefill(s.now, a.ahead, e.After-rules.DispatchOverhead)
	a.endpoint.window.Observe(s.now, a.endpoint.speed.Pace(s.now))
}

// learn takes in what a finished request tells of its endpoint's speed and
// cache and of the length of answers.
func (s *Scheduler) learn(a *attempt, f Finished) {
	e := a.endpoint
	switch f.Outcome {
	case OutcomeLost:
		if e.outlived(f.Lifetime) {
			s.countLoss(a)
			return
		}
		s.crashed(e)
		s.endpointFailed(e, ClosedLost)
		return
	case OutcomeRejected:
		// One that asks its sender to wait says nothing about other hosts.
		if f.Backoff == 0 {
			s.endpointFull(e)
		}
		return
	case OutcomeFailed:
		if !f.Answered {
			s.noteLost(a)
		}
		if e.errors.Observe(s.now, true) {
			s.endpointFailed(e, ClosedFailing)
		}
		return
	}
	if f.Outcome == OutcomeCanceled && s.now >= a.request.Deadline {
		s.noteLost(a)
	}
	if f.Outcome == OutcomeCompleted || s.now >= a.request.Deadline {
		s.surprise.Observe(a.expected, f.Total, f.Outcome != OutcomeCompleted)
	}
	others := float64(a.others+e.inFlight-1) / 2
	if e.Type == resource.EndpointService {
		e.speed.ObserveCall(s.now, f.Total, others)
	} else if f.FirstToken > 0 {
		e.speed.ObserveDecode(s.now, f.OutputTokens, f.Total-f.FirstToken, others)
		if f.CachedTokens >= 0 {
			s.sawCached(a, f.CachedTokens)
		}
	}
	e.window.Observe(s.now, e.speed.Pace(s.now))
	if f.Outcome != OutcomeCompleted {
		return
	}
	e.failures = 0
	e.errors.Observe(s.now, false)
	if !a.request.Repeats {
		s.bodies.prove(a.request.Fingerprint)
	}
	if e.Type == resource.EndpointEngine {
		s.lengths.Observe(a.request.Team, a.request.MaxTokens, f.OutputTokens)
	}
}

// loadReport compares an endpoint's report with the ledger.
func (s *Scheduler) loadReport(r LoadReport) {
	e := s.endpoints.byName[r.Endpoint]
	if e == nil {
		return
	}
	e.load.ObserveInFlight(s.now, e.inFlight)
	e.load.ObserveReport(r.Running+r.Waiting, r.Age)
	e.changed = true
}
