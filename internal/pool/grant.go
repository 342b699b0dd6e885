package pool

import (
	"cmp"
	"math"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// grant assigns free slots to waiting requests: strictly by tier, in a tier to the
// team that is furthest behind its share, in a team by sort key.
//
// Before a step, no waiting request suited any open endpoint. So it is enough to match
// the requests that waited before against the endpoints that have changed, and the new
// requests against all. Estimates that change only with time are covered by a periodic
// sweep.
func (s *Scheduler) grant() {
	changed := s.findOpen()
	if len(changed) > 0 {
		s.grantWaiting(changed)
	}
	s.grantNew()
	if len(s.open) > 0 && s.queue.size() > 0 && s.sweepTimer.index == 0 {
		s.timers.set(&s.sweepTimer, s.now+rules.SweepInterval, s.sweep)
	}
}

// sweep marks every endpoint as changed and every request as examined.
func (s *Scheduler) sweep() {
	s.unexaminedPriority = noPriority
	for _, e := range s.endpoints.rows {
		e.changed = true
	}
}

// findOpen lists the endpoints that can get a request now in s.open, and returns those
// among them that have changed, in the order of the table.
func (s *Scheduler) findOpen() []*endpoint {
	s.open, s.changed = s.open[:0], s.changed[:0]
	for _, e := range s.endpoints.rows {
		if e.free() <= 0 || !e.available(s.now) || e.isolating {
			continue
		}
		s.open = append(s.open, e)
		if e.changed {
			s.changed = append(s.changed, e)
		}
		e.changed = false
	}
	return s.changed
}

// noPriority is a priority below that of every request.
const noPriority = math.MaxInt

// grantWaiting assigns slots of the changed endpoints to requests that waited before.
// If requests of a tier remain unexamined, the free slots may suit them: lower tiers
// get nothing, and new requests of lower tiers wait for the sweep.
func (s *Scheduler) grantWaiting(among []*endpoint) {
	if !s.grantFloors(among) {
		return
	}
	for _, t := range s.queue.tiers {
		s.grantHeld(t, among, always)
		switch s.grantTier(t, among, always) {
		case tierFull:
			return
		case tierUnexamined:
			s.unexaminedPriority = min(s.unexaminedPriority, t.priority)
			return
		}
	}
}

// grantNew matches the requests that were queued in this step, and those whose wait
// for their cache endpoint is over, against all open endpoints. Requests below
// unexaminedPriority keep waiting.
func (s *Scheduler) grantNew() {
	requests := s.toExamine
	s.toExamine = nil
	slices.SortStableFunc(requests, func(a, b *request) int { return cmp.Compare(a.priority(), b.priority()) })
	for _, r := range requests {
		if r.phase != phaseQueued && r.phase != phaseHeld || r.priority() > s.unexaminedPriority {
			continue
		}
		if s.mustWait(r) {
			s.park(r)
			continue
		}
		if s.teams.get(r.Team).atLimit() {
			continue
		}
		p := s.place(r, s.open)
		if p.endpoint != nil {
			s.dequeue(r)
			s.issue(r, p)
			continue
		}
		if r.phase == phaseQueued && p.sawFreeSlot {
			s.holdBack(r, p)
		}
	}
}

// always lets a tier be served without a limit.
func always() bool { return true }

// grantHeld serves the held requests of a tier as long as the condition while holds.
func (s *Scheduler) grantHeld(t *tierQueue, among []*endpoint, while func() bool) {
	for i := 0; i < len(t.held) && while(); {
		r := t.held[i]
		candidates := among
		if s.waitsForCache(r) {
			candidates = s.onlyCacheEndpoint(r, among)
		}
		if len(candidates) == 0 {
			i++
			continue
		}
		if s.mustWait(r) {
			s.park(r)
			continue
		}
		p := s.place(r, candidates)
		if p.endpoint == nil || t.teams[r.Team].team.atLimit() {
			i++
			continue
		}
		s.withdraw(r)
		s.issue(r, p)
	}
}

// tierResult says why serving a tier ended.
type tierResult int

const (
	// tierServed means that no request of the tier suits an endpoint.
	tierServed tierResult = iota
	// tierFull means that no endpoint has a free slot.
	tierFull
	// tierUnexamined means that requests remain that were not examined.
	tierUnexamined
)

// onlyCacheEndpoint returns the request's cache endpoint if it is in among, or
// nothing.
func (s *Scheduler) onlyCacheEndpoint(r *request, among []*endpoint) []*endpoint {
	if !slices.Contains(among, r.cacheEndpoint) {
		return nil
	}
	s.cacheEndpointScratch[0] = r.cacheEndpoint
	return s.cacheEndpointScratch[:]
}

// grantTier serves one tier until no more requests fit or the condition while no
// longer holds. Teams that can't be served now are set aside and put back at the end.
func (s *Scheduler) grantTier(t *tierQueue, among []*endpoint, while func() bool) tierResult {
	var deferred []*teamQueue
	out := tierUnexamined
	for budget := rules.MaxTeamsExamined; budget > 0 && while(); {
		tq := t.popTeam()
		if tq == nil {
			out = tierServed
			break
		}
		if tq.team.atLimit() {
			deferred = append(deferred, tq)
			continue
		}
		served, sawFreeSlot := s.grantHead(tq, among)
		if served {
			t.putBack(tq)
			continue
		}
		deferred = append(deferred, tq)
		budget--
		if !sawFreeSlot {
			out = tierFull
			break
		}
	}
	for _, tq := range deferred {
		t.putBack(tq)
	}
	return out
}

// grantHead handles a team's first request. served is false if the request remains at
// the head; room reports whether an examined endpoint had a free slot.
func (s *Scheduler) grantHead(tq *teamQueue, among []*endpoint) (served, sawFreeSlot bool) {
	r := tq.head()
	if s.mustWait(r) {
		s.park(r)
		return true, true
	}
	p := s.place(r, among)
	if p.endpoint != nil {
		s.dequeue(r)
		s.issue(r, p)
		return true, true
	}
	return p.sawFreeSlot && s.holdBack(r, p), p.sawFreeSlot
}

// dequeue removes a request that is to be granted from the queue and charges it to its
// team's share, unless that was done when the request was held.
func (s *Scheduler) dequeue(r *request) {
	queued := r.phase == phaseQueued
	s.withdraw(r)
	if queued {
		s.queue.charge(r, s.teams.get(r.Team))
	}
}

// holdBack moves a request that no free slot suits to the held ones, so that other
// requests can have these slots. It returns false if too many are held.
func (s *Scheduler) holdBack(r *request, p placement) bool {
	t := s.queue.tier(r.priority())
	r.heldForCache = p.hold > 0
	if !r.heldForCache && len(t.held)-t.heldForCache >= rules.MaxHeldPerTier {
		return false
	}
	s.dequeue(r)
	r.phase, r.holdReason = phaseHeld, p.reason
	hold := p.hold
	if !r.heldForCache || r.FirstDue == 0 {
		hold = max(hold, s.holdLimit(r))
	}
	r.heldUntil = s.now + hold
	t.hold(r)
	s.setDeadlineTimer(r)
	s.setLateTimer(r)
	if hold > 0 {
		s.timers.set(&r.holdTimer, r.heldUntil, func() { s.toExamine = append(s.toExamine, r) })
	}
	return true
}
