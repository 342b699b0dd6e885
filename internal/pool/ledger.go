package pool

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// occupySlot counts an attempt in the in-flight numbers of its endpoint and team.
func (s *Scheduler) occupySlot(a *attempt) {
	if a.holdsSlot {
		return
	}
	a.holdsSlot = true
	a.endpoint.inFlight++
	a.endpoint.load.ObserveInFlight(s.now, a.endpoint.inFlight)
	if !a.sawFirstToken {
		a.endpoint.pendingTokens += a.uncached
	}
	s.runningByRank[a.request.Rank]++
	s.holdBody(a)
	s.holdParts(a)
	s.teams.get(a.request.Team).inFlight++
}

// holdBody counts an attempt as in flight with its body.
func (s *Scheduler) holdBody(a *attempt) {
	if a.request.Fingerprint != 0 && !a.holdsBody {
		a.holdsBody = true
		s.bodies.get(a.request.Fingerprint).inFlight++
	}
}

// releaseBody stops counting an attempt as in flight with its body, and resumes
// requests that wait for the body.
func (s *Scheduler) releaseBody(a *attempt) {
	if a.holdsBody {
		a.holdsBody = false
		s.bodies.get(a.request.Fingerprint).inFlight--
		s.resumeParked(a.request.Fingerprint)
	}
}

// releaseSlot takes an attempt out of the in-flight numbers.
func (s *Scheduler) releaseSlot(a *attempt) {
	if !a.holdsSlot {
		return
	}
	a.holdsSlot = false
	a.endpoint.inFlight--
	a.endpoint.changed = true
	if !a.sawFirstToken {
		a.endpoint.pendingTokens -= a.uncached
	}
	s.runningByRank[a.request.Rank]--
	s.releaseBody(a)
	s.releaseParts(a)
	if s.isolation.attempt == a {
		s.isolation.release()
	}
	s.teams.get(a.request.Team).inFlight--
}

// settle ends an attempt for which no further report is expected.
func (s *Scheduler) settle(a *attempt) {
	s.releaseSlot(a)
	s.timers.stop(&a.timer)
	s.attempts.remove(a)
}

// issue grants a request a slot of an endpoint.
func (s *Scheduler) issue(r *request, p placement) {
	e := p.endpoint
	s.lastAttempt++
	a := &attempt{
		id:            ident.Attempt(s.lastAttempt),
		request:       r.Request,
		endpoint:      e,
		granted:       s.now,
		cached:        p.cached,
		uncached:      max(0, r.PromptTokens-p.cached),
		concurrent:    e.inFlight,
		expectedTotal: p.estimate.total,
	}
	a.prefillBacklog = e.pendingTokens + a.uncached
	s.blocks.Store(e.number, r.Prefix, r.PrefixTokens)
	s.attempts.add(a)
	s.occupySlot(a)
	s.countRollout(a)
	s.meter.RecordGrant(r.cost)
	if r.FirstDue > 0 {
		s.shares.RecordGrant(s.now, r.Rank, r.cost)
		s.sizes.RecordGrant(s.now, r.Rank, rules.SizeClass(r.cost))
	}
	s.totalFreeSlots--
	if s.longPrefill(a.uncached) {
		s.longPrefillEndpoints++
	}
	r.phase, r.attempt = phaseGranted, a
	expires := s.now + rules.GrantLifetime
	s.timers.set(&a.timer, expires+rules.GrantReportMargin, func() { s.expireGrant(a) })
	s.emit(Grant{
		ID:       r.ID,
		Host:     r.Host,
		Endpoint: e.Name,
		Attempt:  a.id,
		Expires:  expires,
		Isolated: p.isolated,
		Why:      p.reason,
		Left:     p.left,
		Gain:     p.gain,
		Bytes:    r.Bytes,
	})
}

// expireGrant frees the slot of an expired grant that nobody reported on, and queues its
// request again. That is safe because the custodian dispatches a request only once,
// however many grants it gets. The row is kept for a time, for a report that arrives
// even later.
func (s *Scheduler) expireGrant(a *attempt) {
	s.releaseSlot(a)
	s.uncountRollout(a, false)
	s.timers.set(&a.timer, s.now+rules.VoidAttemptRetention, func() { s.attempts.remove(a) })
	if r := s.requests[a.request.ID]; r != nil && r.attempt == a {
		if r.Deadline <= s.now {
			delete(s.requests, r.ID)
			return
		}
		s.enqueue(r)
	}
}
