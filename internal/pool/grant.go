package pool

import "fmt"

// grant gives free slots to waiting requests: strict tiers, in a tier the
// team that is furthest behind its share, in a team the earliest deadline.
func (s *Scheduler) grant() {
	for _, t := range s.queue.tiers {
		s.grantTier(t)
	}
}

// grantTier serves one tier until nothing more fits. Teams that can't be
// served now are set aside and go back at the end.
func (s *Scheduler) grantTier(t *tierQueue) {
	var aside []*teamQueue
	for tq := t.popTeam(); tq != nil; tq = t.popTeam() {
		if tq.team.atLimit() {
			aside = append(aside, tq)
			continue
		}
		e := s.place()
		if e == nil {
			aside = append(aside, tq)
			break
		}
		r := tq.head()
		s.dequeue(r)
		s.queue.charge(r, tq.team)
		s.issue(r, e, fmt.Sprintf("free slot, %d of %d in use", e.inFlight, e.slots()))
		t.putBack(tq)
	}
	for _, tq := range aside {
		t.putBack(tq)
	}
}

// place returns the endpoint with the most free slots, or nil.
func (s *Scheduler) place() *endpoint {
	var best *endpoint
	for _, e := range s.endpoints.rows {
		free := e.slots() - e.inFlight
		if free <= 0 || !e.takesWork(s.now) {
			continue
		}
		if best == nil || free > best.slots()-best.inFlight {
			best = e
		}
	}
	return best
}
