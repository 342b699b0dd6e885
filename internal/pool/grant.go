package pool

import "time"

const (
	// maxHeld is the most requests of a tier that wait for their endpoint.
	maxHeld = 16
	// maxLook is the most teams of a tier looked at in one step without a
	// grant.
	maxLook = 16
)

// grant gives free slots to waiting requests: strict tiers, in a tier the
// team that is furthest behind its share, in a team the earliest deadline.
func (s *Scheduler) grant() {
	s.findOpen()
	if len(s.open) == 0 {
		return
	}
	for _, t := range s.queue.tiers {
		s.grantHeld(t)
		s.grantTier(t)
	}
	s.wakeForHeld()
}

// findOpen lists the endpoints that can get a request now.
func (s *Scheduler) findOpen() {
	s.open = s.open[:0]
	for _, e := range s.endpoints.rows {
		if e.free() > 0 && e.takesWork(s.now) && !e.isolating {
			s.open = append(s.open, e)
		}
	}
}

// grantHeld serves the requests that wait for the right endpoint.
func (s *Scheduler) grantHeld(t *tierQueue) {
	for i := 0; i < len(t.held); {
		r := t.held[i]
		p := s.place(r)
		if p.endpoint == nil {
			i++
			continue
		}
		s.withdraw(r)
		s.issue(r, p)
	}
}

// grantTier serves one tier until nothing more fits. Teams that can't be
// served now are set aside and go back at the end.
func (s *Scheduler) grantTier(t *tierQueue) {
	var aside []*teamQueue
	look := maxLook
	for look > 0 {
		tq := t.popTeam()
		if tq == nil {
			break
		}
		if tq.team.atLimit() {
			aside = append(aside, tq)
			continue
		}
		r := tq.head()
		p := s.place(r)
		if p.endpoint != nil {
			s.choose(r, tq)
			s.issue(r, p)
			t.putBack(tq)
			continue
		}
		look--
		if !p.room || !s.keep(r, tq, p) {
			aside = append(aside, tq)
		}
		t.putBackUnless(tq, aside)
		if !p.room {
			break
		}
	}
	for _, tq := range aside {
		t.putBack(tq)
	}
}

// choose takes a request out of the queue and books it to its team's share.
func (s *Scheduler) choose(r *request, tq *teamQueue) {
	s.withdraw(r)
	s.queue.charge(r, tq.team)
}

// keep moves a chosen request that the free slots don't suit to the held ones,
// so that others can have these. It returns false if too many are held.
func (s *Scheduler) keep(r *request, tq *teamQueue, p placement) bool {
	t := tq.tier
	if len(t.held) >= maxHeld || p.reason == reasonReserved {
		return false
	}
	s.choose(r, tq)
	r.phase = phaseHeld
	r.heldSince = s.now
	r.heldUntil = s.now + s.holdLimit(r)
	t.hold(r)
	s.watch(r)
	return true
}

// holdLimit bounds the wait for the endpoint with the prefix.
func (s *Scheduler) holdLimit(r *request) time.Duration {
	total, _ := s.fastest(r)
	spare := r.Deadline - s.now - total
	return max(0, min(time.Duration(holdSlack*float64(spare)), maxHold))
}

// wakeForHeld plans a step for when the first held request takes any endpoint.
func (s *Scheduler) wakeForHeld() {
	soonest, any := time.Duration(0), false
	for _, t := range s.queue.tiers {
		for _, r := range t.held {
			if r.heldUntil > s.now && (!any || r.heldUntil < soonest) {
				soonest, any = r.heldUntil, true
			}
		}
	}
	if any {
		s.timers.set(&s.heldTimer, soonest, func() {})
	}
}
