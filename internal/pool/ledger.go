package pool

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// hold counts an attempt in its endpoint's and team's in-flight numbers.
func (s *Scheduler) hold(a *attempt) {
	if a.holds {
		return
	}
	a.holds = true
	a.endpoint.inFlight++
	a.endpoint.load.ObserveInFlight(s.now, a.endpoint.inFlight)
	if !a.firstSeen {
		a.endpoint.pending += a.uncached
	}
	s.running[a.request.Rank]++
	s.holdBody(a)
	s.teams.get(a.request.Team).inFlight++
}

// holdBody counts an attempt as in flight with its body.
func (s *Scheduler) holdBody(a *attempt) {
	if a.request.Fingerprint != 0 && !a.holdsBody {
		a.holdsBody = true
		s.bodies.get(a.request.Fingerprint).inFlight++
	}
}

// releaseBody lets those go on that wait for an attempt's body.
func (s *Scheduler) releaseBody(a *attempt) {
	if a.holdsBody {
		a.holdsBody = false
		s.bodies.get(a.request.Fingerprint).inFlight--
		s.bodyEnded(a.request.Fingerprint)
	}
}

// release takes an attempt out of the in-flight numbers.
func (s *Scheduler) release(a *attempt) {
	if !a.holds {
		return
	}
	a.holds = false
	a.endpoint.inFlight--
	a.endpoint.changed = true
	if !a.firstSeen {
		a.endpoint.pending -= a.uncached
	}
	s.running[a.request.Rank]--
	s.releaseBody(a)
	if s.isolation.attempt == a {
		s.isolation.release()
	}
	s.teams.get(a.request.Team).inFlight--
}

// settle ends an attempt: nothing more is expected of it.
func (s *Scheduler) settle(a *attempt) {
	s.release(a)
	s.timers.stop(&a.timer)
	s.attempts.remove(a)
}

// issue grants a queued request a slot of an endpoint.
func (s *Scheduler) issue(r *request, p placement) {
	e := p.endpoint
	s.lastAttempt++
	a := &attempt{
		id:       ident.Attempt(s.lastAttempt),
		request:  r.Request,
		endpoint: e,
		granted:  s.now,
		cached:   p.cached,
		uncached: max(0, r.PromptTokens-p.cached),
		others:   e.inFlight,
		expected: p.estimate.total,
	}
	a.ahead = e.pending + a.uncached
	s.blocks.Store(e.number, r.Prefix, r.PrefixTokens)
	s.attempts.put(a)
	s.hold(a)
	s.meter.RecordGrant(r.cost)
	if r.FirstDue > 0 {
		s.shares.RecordGrant(s.now, r.Rank, r.cost)
		s.sizes.RecordGrant(s.now, r.Rank, rules.SizeClass(r.cost))
	}
	s.totalFree--
	if s.longPrefill(a.uncached) {
		s.longPrefills++
	}
	r.phase, r.attempt = phaseGranted, a
	expires := s.now + rules.GrantLifetime
	s.timers.set(&a.timer, expires+rules.GrantReportMargin, func() { s.lapse(a) })
	s.emit(Grant{
		ID:       r.ID,
		Host:     r.Host,
		Endpoint: e.Name,
		Attempt:  a.id,
		Expires:  expires,
		Isolated: p.isolated,
		Why:      p.reason,
	})
}

// lapse frees the slot of a grant that nobody reported on, and queues its
// request again: the custodian dispatches a request once, whatever it is
// granted. The row stays for a while, for a report that comes later still.
func (s *Scheduler) lapse(a *attempt) {
	s.release(a)
	s.timers.set(&a.timer, s.now+rules.VoidAttemptRetention, func() { s.attempts.remove(a) })
	if r := s.requests[a.request.ID]; r != nil && r.attempt == a {
		if r.Deadline <= s.now {
			delete(s.requests, r.ID)
			return
		}
		s.enqueue(r)
	}
}
