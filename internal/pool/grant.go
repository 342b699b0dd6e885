package pool

import (
	"cmp"
	"math"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// grant gives free slots to waiting requests: strict tiers, in a tier the team
// that is furthest behind its share, in a team the request whose turn is first.
//
// Before a step no waiting request suited any open endpoint. So it is enough to
// hold those that waited against the endpoints that have changed, and those
// that are new against all. Estimates that change with time alone are caught
// by a sweep now and then.
func (s *Scheduler) grant() {
	changed := s.findOpen()
	if len(changed) > 0 {
		s.grantWaiting(changed)
	}
	s.grantFresh()
	if len(s.open) > 0 && s.queue.size() > 0 && s.sweepTimer.index == 0 {
		s.timers.set(&s.sweepTimer, s.now+rules.SweepInterval, s.sweep)
	}
}

// sweep makes every endpoint count as changed and every request as seen.
func (s *Scheduler) sweep() {
	s.unseen = noRank
	for _, e := range s.endpoints.rows {
		e.changed = true
	}
}

// findOpen lists the endpoints that can get a request now in s.open and
// returns those that have changed, in the order of the table.
func (s *Scheduler) findOpen() []*endpoint {
	s.open, s.changed = s.open[:0], s.changed[:0]
	for _, e := range s.endpoints.rows {
		if e.free() <= 0 || !e.takesWork(s.now) || e.isolating {
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

// noRank is a rank below that of every request.
const noRank = math.MaxInt

// grantWaiting serves those that waited before with the changed endpoints. If
// requests of a tier remain that were not looked at, what is free may be theirs:
// lower tiers get nothing, and new requests of lower tiers wait for the sweep.
func (s *Scheduler) grantWaiting(among []*endpoint) {
	if !s.grantFloors(among) {
		return
	}
	for _, t := range s.queue.tiers {
		s.grantHeld(t, among, always)
		switch s.grantTier(t, among, always) {
		case tierFull:
			return
		case tierUnseen:
			s.unseen = min(s.unseen, t.rank)
			return
		}
	}
}

// grantFresh serves the requests that were queued in this step, and those
// whose wait for their endpoint is over, with all open endpoints. Those below
// the rank unseen wait on.
func (s *Scheduler) grantFresh() {
	fresh := s.fresh
	s.fresh = nil
	slices.SortStableFunc(fresh, func(a, b *request) int { return cmp.Compare(a.order(), b.order()) })
	for _, r := range fresh {
		if r.phase != phaseQueued && r.phase != phaseHeld || r.order() > s.unseen {
			continue
		}
		if s.bodyBusy(r) {
			s.park(r)
			continue
		}
		if s.teams.get(r.Team).atLimit() {
			continue
		}
		p := s.place(r, s.open)
		if p.endpoint != nil {
			s.claim(r)
			s.issue(r, p)
			continue
		}
		if r.phase == phaseQueued && p.room {
			s.keep(r, p)
		}
	}
}

// always lets a tier be served as far as its requests fit.
func always() bool { return true }

// grantHeld serves the requests that wait for the right endpoint, for as long as a
// condition holds.
func (s *Scheduler) grantHeld(t *tierQueue, among []*endpoint, while func() bool) {
	for i := 0; i < len(t.held) && while(); {
		r := t.held[i]
		candidates := among
		if s.waitsForHome(r) {
			candidates = s.onlyHome(r, among)
		}
		if len(candidates) == 0 {
			i++
			continue
		}
		if s.bodyBusy(r) {
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

// tierResult says how serving a tier ended.
type tierResult int

const (
	// tierServed means that no request of the tier suits an endpoint.
	tierServed tierResult = iota
	// tierFull means that no endpoint has a free slot.
	tierFull
	// tierUnseen means that requests remain that were not looked at.
	tierUnseen
)

// onlyHome returns the request's home if it is among some endpoints.
func (s *Scheduler) onlyHome(r *request, among []*endpoint) []*endpoint {
	if !slices.Contains(among, r.home) {
		return nil
	}
	s.home[0] = r.home
	return s.home[:]
}

// grantTier serves one tier until nothing more fits, or a condition doesn't hold. Teams that can't be
// served now are set aside and go back at the end.
func (s *Scheduler) grantTier(t *tierQueue, among []*endpoint, while func() bool) tierResult {
	var aside []*teamQueue
	out := tierUnseen
	for look := rules.MaxTeamsExamined; look > 0 && while(); {
		tq := t.popTeam()
		if tq == nil {
			out = tierServed
			break
		}
		if tq.team.atLimit() {
			aside = append(aside, tq)
			continue
		}
		served, room := s.grantHead(tq, among)
		if served {
			t.putBack(tq)
			continue
		}
		aside = append(aside, tq)
		look--
		if !room {
			out = tierFull
			break
		}
	}
	for _, tq := range aside {
		t.putBack(tq)
	}
	return out
}

// grantHead deals with a team's first request. It returns false if it still
// stands there, and whether any endpoint looked at had a free slot.
func (s *Scheduler) grantHead(tq *teamQueue, among []*endpoint) (served, room bool) {
	r := tq.head()
	if s.bodyBusy(r) {
		s.park(r)
		return true, true
	}
	p := s.place(r, among)
	if p.endpoint != nil {
		s.claim(r)
		s.issue(r, p)
		return true, true
	}
	return p.room && s.keep(r, p), p.room
}

// claim takes a request that is to be granted out of the queue and books it to
// its team's share, unless that was done when it was held.
func (s *Scheduler) claim(r *request) {
	queued := r.phase == phaseQueued
	s.withdraw(r)
	if queued {
		s.queue.charge(r, s.teams.get(r.Team))
	}
}

// keep moves a request that the free slots don't suit to the held ones, so
// that others can have these. It returns false if too many are held.
func (s *Scheduler) keep(r *request, p placement) bool {
	t := s.queue.tier(r.order())
	r.heldForHome = p.hold > 0
	if !r.heldForHome && len(t.held)-t.homeHeld >= rules.MaxHeldPerTier {
		return false
	}
	s.claim(r)
	r.phase, r.blocked = phaseHeld, p.reason
	hold := p.hold
	if !r.heldForHome || r.FirstDue == 0 {
		hold = max(hold, s.holdLimit(r))
	}
	r.heldUntil = s.now + hold
	t.hold(r)
	s.watch(r)
	s.watchLate(r)
	if hold > 0 {
		s.timers.set(&r.holdTimer, r.heldUntil, func() { s.fresh = append(s.fresh, r) })
	}
	return true
}
