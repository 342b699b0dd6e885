package custody

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Accepted handles a scheduler's acknowledgement of a submission.
func (s *System) Accepted(from Scheduler, m *peerpb.Accept) {
	r := s.entries[ident.Request(m.GetRequest())]
	if r != nil && r.state == stateQueued && r.scheduler == from {
		r.accepted = true
	}
}

// Granted handles a grant. The grant is used only if the request still waits, if
// it comes from the process that the request was submitted to, and if its epoch is
// not older than the newest seen. So a superseded scheduler that resumes after a
// pause can't cause a dispatch.
func (s *System) Granted(now time.Duration, from Scheduler, g *peerpb.Grant, out *system.Outbox) {
	pool := ident.Pool{Target: g.GetTarget(), Domain: ident.Domain(g.GetDomain())}
	r := s.entries[ident.Request(g.GetRequest())]
	stale := g.GetEpoch() < s.epochs[pool]
	if r == nil || r.state != stateQueued || r.scheduler != from || r.pool != pool || stale {
		s.declineUnmatched(now, from, pool, g, out)
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
		s.declineGrant(now, r, false, out)
		return
	}
	if r.needsClaim() {
		r.state = stateClaiming
		s.emit(Directive{Kind: AcquireClaim, ID: r.ID, Endpoint: r.endpoint, Attempt: r.attempt})
		return
	}
	s.connect(r)
}

// declineUnmatched declines a grant that no request here can use.
func (s *System) declineUnmatched(now time.Duration, from Scheduler, pool ident.Pool, g *peerpb.Grant, out *system.Outbox) {
	out.Send(from.Host, peerpb.Wrap(&peerpb.Envelope_Report{Report: &peerpb.Report{
		Request: g.GetRequest(), Target: g.GetTarget(), Domain: g.GetDomain(),
		Endpoint: g.GetEndpoint(), Attempt: g.GetAttempt(),
		Phase: peerpb.Report_PHASE_DECLINED, ClockUs: now.Microseconds(), Epoch: s.epochs[pool],
	}}))
}

// usable reports whether the request may still be dispatched on its grant. It also
// checks the endpoint's state in this host's configuration, so that a scheduler
// with stale configuration can't send work to a draining endpoint.
func (s *System) usable(now time.Duration, r *entry) bool {
	e, ok := s.cfg.View.Endpoint(r.endpoint)
	return ok && e.State == resource.EndpointActive && now < r.grantExpires && s.backoffLeft(now, e) == 0
}

// backoff is a backoff that an endpoint asked of this host.
type backoff struct {
	until    time.Duration
	lifetime int64
}

// extendBackoff keeps this host from sending requests to an endpoint for a time. It
// never shortens an earlier backoff of the same lifetime.
func (s *System) extendBackoff(now time.Duration, r *entry, wait time.Duration) {
	old, known := s.backoffs[r.endpoint]
	if known && old.lifetime == r.lifetime && old.until > now+wait {
		return
	}
	s.backoffs[r.endpoint] = backoff{now + wait, r.lifetime}
}

// backoffLeft returns the remaining backoff of an endpoint.
func (s *System) backoffLeft(now time.Duration, e resource.Endpoint) time.Duration {
	b, known := s.backoffs[e.Name]
	if !known || b.lifetime != e.Started {
		return 0
	}
	return max(0, b.until-now)
}

// needsClaim reports whether a claim has to be written before the dispatch.
func (r *entry) needsClaim() bool {
	return r.Key != "" && !r.Idempotent && !r.claimed
}

// connect requests a connection to the granted endpoint.
func (s *System) connect(r *entry) {
	e, _ := s.cfg.View.Endpoint(r.endpoint)
	r.state, r.lifetime = stateGranted, e.Started
	s.emit(Directive{
		Kind: Connect, ID: r.ID, Endpoint: r.endpoint, Address: e.Address, Lifetime: e.Started,
		Attempt: r.attempt, Why: r.why,
	})
}

// Claimed completes the acquisition of a claim. If err is nil the request holds
// the claim.
func (s *System) Claimed(now time.Duration, id ident.Request, err *result.Error, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateClaiming {
		if err == nil {
			s.emit(Directive{Kind: ReleaseClaim, ID: id})
		}
		return
	}
	if err != nil {
		s.withdraw(now, r, out)
		s.refuse(r, err)
		return
	}
	r.claimed = true
	if !s.usable(now, r) {
		s.declineGrant(now, r, false, out)
		return
	}
	s.connect(r)
}

// Connected handles an established connection. It replies with a Commit directive.
func (s *System) Connected(now time.Duration, id ident.Request, attempt ident.Attempt, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateGranted || r.attempt != attempt {
		s.emit(Directive{Kind: Commit, ID: id, Attempt: attempt})
		return
	}
	if !s.usable(now, r) {
		s.emit(Directive{Kind: Commit, ID: id, Attempt: attempt})
		s.declineGrant(now, r, false, out)
		return
	}
	s.dispatch(now, r, out)
}

// dispatch is the only transition to stateDispatched.
func (s *System) dispatch(now time.Duration, r *entry, out *system.Outbox) {
	r.state = stateDispatched
	r.dispatchedAt = now
	s.report(now, r, &peerpb.Report{Phase: peerpb.Report_PHASE_STARTED}, out)
	s.emit(Directive{Kind: Commit, ID: r.ID, Attempt: r.attempt, Endpoint: r.endpoint, Proceed: true})
}

// Unreachable handles a failed connection to the granted endpoint. Nothing was
// sent, so the request is queued again.
func (s *System) Unreachable(now time.Duration, id ident.Request, attempt ident.Attempt, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateGranted || r.attempt != attempt {
		return
	}
	s.declineGrant(now, r, true, out)
}

// declineGrant declines an unused grant and queues the request again. The request
// is submitted at the next tick rather than at once, to avoid a tight loop with a
// scheduler whose configuration is older.
func (s *System) declineGrant(now time.Duration, r *entry, unreachable bool, out *system.Outbox) {
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
	r.declined = true
	r.attempt = 0
}

// Refused handles a scheduler's refusal of a waiting request.
func (s *System) Refused(from Scheduler, m *peerpb.Refuse) {
	r := s.entries[ident.Request(m.GetRequest())]
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
	r := s.entries[ident.Request(m.GetRequest())]
	if r == nil || r.state != stateQueued || r.scheduler != from {
		return
	}
	r.spilled = true
	r.pool.Domain = ident.Domain(m.GetToDomain())
	s.submit(now, r, out)
}

// End describes how the run of a dispatched request ended.
type End struct {
	Phase        peerpb.Report_Phase
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken and Total are times since dispatch.
	FirstToken time.Duration
	Total      time.Duration
	// Backoff is the backoff that the endpoint asked of this host.
	Backoff time.Duration
	// Answered says that a complete answer was received, even if the run failed.
	Answered bool
	// Generated says that the endpoint generated at least a part of a successful answer.
	Generated bool
	// LoadPercent is how long work takes at the endpoint, in percent of the usual time, as
	// the head of its answer says; 0: nothing is said, or it was sent with the first token.
	LoadPercent int
}

// FirstToken reports the first token of a dispatched request to the scheduler, with the
// load that the answer's head states.
func (s *System) FirstToken(now time.Duration, id ident.Request, after time.Duration, loadPercent int, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	r.firstTokenAt = now
	s.report(now, r, &peerpb.Report{
		Phase: peerpb.Report_PHASE_FIRST_TOKEN, FirstTokenUs: after.Microseconds(), LoadPercent: uint32(loadPercent),
	}, out)
}

// Finished removes a dispatched request from custody and reports its end to the
// scheduler.
func (s *System) Finished(now time.Duration, id ident.Request, end End, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	delete(s.entries, id)
	if end.Backoff > 0 {
		s.extendBackoff(now, r, end.Backoff)
	}
	s.report(now, r, &peerpb.Report{
		BackoffUs: end.Backoff.Microseconds(), Answered: end.Answered, Generated: end.Generated, Phase: end.Phase, Lifetime: r.lifetime,
		PromptTokens: int64(end.PromptTokens), CachedTokens: int64(end.CachedTokens),
		OutputTokens: int64(end.OutputTokens),
		FirstTokenUs: end.FirstToken.Microseconds(), TotalUs: end.Total.Microseconds(),
		LoadPercent: uint32(end.LoadPercent),
	}, out)
}
