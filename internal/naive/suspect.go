package naive

import (
	"cmp"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// suspect returns the suspect that a request is, by its body or else its key.
func (s *Scheduler) suspect(r pool.Request) *suspect {
	return s.findSuspect(r.KeyHash, r.Fingerprint)
}

func (s *Scheduler) findSuspect(key, body uint64) *suspect {
	for _, x := range slices.Backward(s.suspects) {
		if body != 0 && x.Fingerprint == body {
			return x
		}
	}
	for _, x := range slices.Backward(s.suspects) {
		if key != 0 && x.KeyHash == key {
			return x
		}
	}
	return nil
}

func (s *Scheduler) crashed(e *endpoint) {
	var list []*attempt
	for _, a := range s.attempts {
		if a.endpoint == e && a.holds && !a.blamed {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.granted, b.granted), cmp.Compare(a.request.ID, b.request.ID))
	})
	var found []*suspect
	for _, a := range list {
		a.blamed = true
		r := a.request
		if r.KeyHash == 0 && r.Fingerprint == 0 {
			continue
		}
		x := s.suspect(r)
		if x == nil {
			x = &suspect{pool.Suspect{KeyHash: r.KeyHash, Fingerprint: r.Fingerprint}}
			s.suspects = append(s.suspects, x)
		}
		if !slices.Contains(found, x) {
			found = append(found, x)
		}
	}
	var published []pool.Suspect
	for _, x := range found {
		x.Crashes++
		x.Quarantined = x.Quarantined || x.Crashes >= rules.CrashesToQuarantine
		s.remember(x)
		published = append(published, x.Suspect)
	}
	if len(published) > 0 {
		s.out = append(s.out, pool.Publish{List: published})
		s.sortOut()
	}
}

func (s *Scheduler) remember(x *suspect) {
	keep := rules.SuspectRetention
	if x.Quarantined {
		keep = rules.QuarantineRetention
	}
	s.set(x, "suspect", s.now+keep, func() { s.forget(x) })
}

func (s *Scheduler) forget(x *suspect) {
	s.stop(x, "suspect")
	s.suspects = slices.DeleteFunc(s.suspects, func(y *suspect) bool { return x == y })
}

func (s *Scheduler) clearSuspect(r pool.Request) {
	x := s.suspect(r)
	if x == nil || x.Quarantined {
		return
	}
	s.forget(x)
	s.out = append(s.out, pool.Publish{List: []pool.Suspect{{KeyHash: x.KeyHash, Fingerprint: x.Fingerprint}}})
	s.sortOut()
}

func (s *Scheduler) learnSuspects(list []pool.Suspect) {
	for _, d := range list {
		x := s.findSuspect(d.KeyHash, d.Fingerprint)
		if d.Crashes == 0 {
			if x != nil && !x.Quarantined {
				s.forget(x)
			}
			continue
		}
		if x == nil {
			x = &suspect{d}
			s.suspects = append(s.suspects, x)
		}
		x.Crashes = max(x.Crashes, d.Crashes)
		x.Quarantined = x.Quarantined || d.Quarantined
		s.remember(x)
	}
	s.sortOut()
}

// sortOut moves waiting requests to where their suspicion wants them.
func (s *Scheduler) sortOut() {
	for _, r := range s.waiting() {
		x := s.suspect(r.Request)
		switch {
		case x != nil && x.Quarantined:
			s.drop(r)
			s.refuseQuarantined(r)
		case (x != nil) != (r.state == isolated):
			s.withdraw(r)
			s.enqueue(r)
		}
	}
}

func (s *Scheduler) releaseIsolated() {
	if s.isolated != nil {
		s.isolated.changed = true
	}
	s.isolated, s.isolatedAlone = nil, nil
}

func (s *Scheduler) isolate() {
	if s.isolatedAlone != nil {
		return
	}
	waiting := s.in(isolated)
	if len(waiting) == 0 {
		s.releaseIsolated()
		return
	}
	r := slices.MinFunc(waiting, compareUrgency)
	if s.isolated == nil || !s.takesWork(s.isolated) {
		s.releaseIsolated()
		s.isolated = s.emptiest(r)
	}
	e := s.isolated
	if e == nil || s.inFlight(e) > 0 || slots(e) < 1 {
		return
	}
	s.withdraw(r)
	s.issue(r, place{endpoint: e, cached: s.cachedOn(r, e)}, true)
	s.isolatedAlone = r.attempt
}

func (s *Scheduler) emptiest(r *request) *endpoint {
	var best *endpoint
	for _, e := range s.endpoints {
		if !s.takesWork(e) || s.now+s.estimate(e, r, 0, 0, 0) > r.Deadline {
			continue
		}
		if best == nil || s.inFlight(e) < s.inFlight(best) {
			best = e
		}
	}
	return best
}

// bodyBusy says whether a request waits for another with the same body.
func (s *Scheduler) bodyBusy(r *request) bool {
	if r.Fingerprint == 0 || slices.Contains(s.proven, r.Fingerprint) {
		return false
	}
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool {
		return a.holds && !a.orphan && a.request.Fingerprint == r.Fingerprint
	})
}

func (s *Scheduler) prove(fingerprint uint64) {
	if fingerprint == 0 || slices.Contains(s.proven, fingerprint) {
		return
	}
	s.proven = append(s.proven, fingerprint)
	if len(s.proven) > rules.MaxProvenBodies {
		s.proven = s.proven[1:]
	}
}

func (s *Scheduler) park(r *request) {
	s.withdraw(r)
	s.parked++
	r.state, r.setAside = parked, s.parked
	s.watch(r)
}

// bodyEnded lets those go on that wait for a body.
func (s *Scheduler) bodyEnded(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	for _, a := range s.attempts {
		if a.holds && !a.orphan && a.request.Fingerprint == fingerprint {
			return
		}
	}
	var list []*request
	for _, r := range s.in(parked) {
		if r.Fingerprint == fingerprint {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.setAside, b.setAside) })
	if !slices.Contains(s.proven, fingerprint) && len(list) > 1 {
		list = list[:1]
	}
	for _, r := range list {
		s.withdraw(r)
		s.enqueue(r)
	}
}
