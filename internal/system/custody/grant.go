package custody

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Accepted says that the scheduler knows a request.
func (s *System) Accepted(from Scheduler, m *peerpb.Accept) {
	r := s.rows[ident.Request(m.GetRequest())]
	if r != nil && r.state == stateQueued && r.scheduler == from {
		r.accepted = true
	}
}

// Granted takes a grant. It is used only if the request still waits, at the
// process that the request was submitted to, in an epoch not older than the
// newest seen: a scheduler that wakes after it was replaced grants nothing.
func (s *System) Granted(now time.Duration, from Scheduler, g *peerpb.Grant, out *system.Outbox) {
	pool := ident.Pool{Target: g.GetTarget(), Domain: ident.Domain(g.GetDomain())}
	r := s.rows[ident.Request(g.GetRequest())]
	stale := g.GetEpoch() < s.epochs[pool]
	if r == nil || r.state != stateQueued || r.scheduler != from || r.pool != pool || stale {
		s.declineForeign(now, from, pool, g, out)
		return
	}
	s.epochs[pool] = g.GetEpoch()
	r.attempt = ident.Attempt(g.GetAttempt())
	r.endpoint = ident.Endpoint(g.GetEndpoint())
	r.why = g.GetWhy()
	r.grantExpires = time.Duration(g.GetExpiresAtUs()) * time.Microsecond
	e, _ := s.cfg.View.Endpoint(r.endpoint)
	r.lifetime = e.Started
	if !s.usable(now, r) {
		s.giveBack(now, r, false, out)
		return
	}
	if r.needsClaim() {
		r.state = stateClaiming
		s.direct(Directive{Kind: AcquireClaim, ID: r.ID, Endpoint: r.endpoint, Attempt: r.attempt})
		return
	}
	s.connect(r)
}

// declineForeign returns a grant that no request here can use.
func (s *System) declineForeign(now time.Duration, from Scheduler, pool ident.Pool, g *peerpb.Grant, out *system.Outbox) {
	out.Send(from.Host, peerpb.Wrap(&peerpb.Envelope_Report{Report: &peerpb.Report{
		Request: g.GetRequest(), Target: g.GetTarget(), Domain: g.GetDomain(),
		Endpoint: g.GetEndpoint(), Attempt: g.GetAttempt(),
		Phase: peerpb.Report_PHASE_DECLINED, ClockUs: now.Microseconds(), Epoch: s.epochs[pool],
	}}))
}

// usable reports whether the request's grant may still lead to a dispatch. The
// endpoint's state is checked against the own configuration too, so that one
// stale scheduler can't give work to an endpoint that is to leave.
func (s *System) usable(now time.Duration, r *row) bool {
	e, ok := s.cfg.View.Endpoint(r.endpoint)
	return ok && e.State == resource.EndpointActive && now < r.grantExpires && s.backoffLeft(now, e) == 0
}

// backoff is what an endpoint asked of this host.
type backoff struct {
	until    time.Duration
	lifetime int64
}

// backOff keeps this host's requests from an endpoint for a time. The longest of its words
// stands.
func (s *System) backOff(now time.Duration, r *row, wait time.Duration) {
	old, known := s.backoffs[r.endpoint]
	if known && old.lifetime == r.lifetime && old.until > now+wait {
		return
	}
	s.backoffs[r.endpoint] = backoff{now + wait, r.lifetime}
}

// backoffLeft returns for how long an endpoint still wants nothing from this host.
func (s *System) backoffLeft(now time.Duration, e resource.Endpoint) time.Duration {
	b, known := s.backoffs[e.Name]
	if !known || b.lifetime != e.Started {
		return 0
	}
	return max(0, b.until-now)
}

// needsClaim reports whether a claim row has to be written before the dispatch.
func (r *row) needsClaim() bool {
	return r.Key != "" && !r.Idempotent && !r.claimed
}

// connect asks for a connection to the granted endpoint.
func (s *System) connect(r *row) {
	e, _ := s.cfg.View.Endpoint(r.endpoint)
	r.state, r.lifetime = stateGranted, e.Started
	s.direct(Directive{
		Kind: Connect, ID: r.ID, Endpoint: r.endpoint, Address: e.Address, Lifetime: e.Started,
		Attempt: r.attempt, Why: r.why,
	})
}

// Claimed ends the writing of a claim. A nil verdict means that the claim row
// is this request's.
func (s *System) Claimed(now time.Duration, id ident.Request, verdict *result.Error, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateClaiming {
		if verdict == nil {
			s.direct(Directive{Kind: ReleaseClaim, ID: id})
		}
		return
	}
	if verdict != nil {
		s.withdraw(now, r, out)
		s.refuse(r, verdict)
		return
	}
	r.claimed = true
	if !s.usable(now, r) {
		s.giveBack(now, r, false, out)
		return
	}
	s.connect(r)
}

// Connected says that the traffic side has a connection. The answer is a
// Commit directive.
func (s *System) Connected(now time.Duration, id ident.Request, attempt ident.Attempt, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateGranted || r.attempt != attempt {
		s.direct(Directive{Kind: Commit, ID: id, Attempt: attempt})
		return
	}
	if !s.usable(now, r) {
		s.direct(Directive{Kind: Commit, ID: id, Attempt: attempt})
		s.giveBack(now, r, false, out)
		return
	}
	s.dispatch(now, r, out)
}

// dispatch makes the single transition to dispatched.
func (s *System) dispatch(now time.Duration, r *row, out *system.Outbox) {
	r.state = stateDispatched
	r.dispatchedAt = now
	s.report(now, r, &peerpb.Report{Phase: peerpb.Report_PHASE_STARTED}, out)
	s.direct(Directive{Kind: Commit, ID: r.ID, Attempt: r.attempt, Endpoint: r.endpoint, Go: true})
}

// Unreachable says that no connection to the granted endpoint could be made.
// Nothing was sent, so the request waits again.
func (s *System) Unreachable(now time.Duration, id ident.Request, attempt ident.Attempt, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateGranted || r.attempt != attempt {
		return
	}
	s.giveBack(now, r, true, out)
}

// giveBack returns a grant unused and puts the request back into the queue. The
// request is submitted anew at the next tick, not at once, so that a scheduler
// with an older configuration is not asked in a tight loop.
func (s *System) giveBack(now time.Duration, r *row, unreachable bool, out *system.Outbox) {
	var wait time.Duration
	if e, ok := s.cfg.View.Endpoint(r.endpoint); ok {
		wait = s.backoffLeft(now, e)
	}
	s.report(now, r, &peerpb.Report{
		Phase: peerpb.Report_PHASE_DECLINED, Unreachable: unreachable, Lifetime: r.lifetime, BackoffUs: wait.Microseconds(),
	}, out)
	r.state = stateQueued
	r.accepted = false
	r.submittedAt = now - acceptTimeout
	r.returned = true
	r.attempt = 0
}

// Refused takes a scheduler's refusal of a waiting request.
func (s *System) Refused(from Scheduler, m *peerpb.Refuse) {
	r := s.rows[ident.Request(m.GetRequest())]
	if r == nil || r.state != stateQueued || r.scheduler != from {
		return
	}
	s.refuse(r, &result.Error{
		Code:       result.Code(m.GetCode()),
		Reason:     m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterUs()) * time.Microsecond,
	})
}

// Spilled moves a waiting request to another domain's pool.
func (s *System) Spilled(now time.Duration, from Scheduler, m *peerpb.Spill, out *system.Outbox) {
	r := s.rows[ident.Request(m.GetRequest())]
	if r == nil || r.state != stateQueued || r.scheduler != from {
		return
	}
	r.spilled = true
	r.pool.Domain = ident.Domain(m.GetToDomain())
	s.submit(now, r, out)
}

// End is how a dispatched request left its endpoint.
type End struct {
	Phase        peerpb.Report_Phase
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken and Total are times since dispatch.
	FirstToken time.Duration
	Total      time.Duration
	// Backoff is for how long the endpoint wants nothing from this host.
	Backoff time.Duration
	// Answered says that a whole answer came, also of a run that failed.
	Answered bool
}

// FirstToken tells the scheduler that the first token came.
func (s *System) FirstToken(now time.Duration, id ident.Request, after time.Duration, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	s.report(now, r, &peerpb.Report{
		Phase: peerpb.Report_PHASE_FIRST_TOKEN, FirstTokenUs: after.Microseconds(),
	}, out)
}

// Finished takes a dispatched request out of custody.
func (s *System) Finished(now time.Duration, id ident.Request, end End, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	delete(s.rows, id)
	if end.Backoff > 0 {
		s.backOff(now, r, end.Backoff)
	}
	s.report(now, r, &peerpb.Report{
		BackoffUs: end.Backoff.Microseconds(), Answered: end.Answered, Phase: end.Phase, Lifetime: r.lifetime,
		PromptTokens: int64(end.PromptTokens), CachedTokens: int64(end.CachedTokens),
		OutputTokens: int64(end.OutputTokens),
		FirstTokenUs: end.FirstToken.Microseconds(), TotalUs: end.Total.Microseconds(),
	}, out)
}
