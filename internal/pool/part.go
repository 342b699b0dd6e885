package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// A part of a prompt may crash every endpoint that begins to answer a request with it,
// whatever else the request holds. Such requests differ, so crashes are counted by part.
// A run that is answered proves all of its parts harmless. That clears a harmless part
// that is in flight at every crash, because other requests share it.

// lostPart is a prompt part of a request that was granted at one time and lost at
// another.
type lostPart struct {
	fingerprint   uint64
	granted, lost time.Duration
}

// addParts adds the parts of a lost request to a crash.
func (c *crash) addParts(parts []uint64, granted, lost time.Duration) {
	if c.indexOf == nil {
		c.indexOf = map[uint64]int{}
	}
	for _, p := range parts {
		i, known := c.indexOf[p]
		if !known {
			c.indexOf[p] = len(c.parts)
			c.parts = append(c.parts, lostPart{p, granted, lost})
			continue
		}
		c.parts[i].granted = max(c.parts[i].granted, granted)
		c.parts[i].lost = max(c.parts[i].lost, lost)
	}
}

// provesParts reports whether an attempt has been answered for so long that its prompt
// parts don't crash endpoints.
func (s *Scheduler) provesParts(a *attempt) bool {
	return a.sawFirstToken && s.now-a.firstTokenAt >= rules.AnsweringProof
}

// suspectParts returns the parts against which a crash counts, and adds those that were
// not suspected before. A crash with a quarantined part in flight counts against no other
// one. Concurrent runs count once, as they do for requests.
func (s *Scheduler) suspectParts(c *crash) []*suspect {
	explained := slices.ContainsFunc(c.parts, func(p lostPart) bool {
		x := s.parts.find(0, p.fingerprint)
		return x != nil && x.Quarantined
	})
	var found []*suspect
	var added []lostPart
	proven := s.provenParts(c)
	for i, p := range c.parts {
		x := s.parts.find(0, p.fingerprint)
		switch {
		case proven[i]:
		case x == nil:
			added = append(added, p)
		case explained && !x.Quarantined:
		case p.granted < x.lastLoss:
		default:
			x.lastLoss = max(x.lastLoss, p.lost)
			found = append(found, x)
		}
	}
	if explained {
		return found
	}
	// New rows come last, so that they evict none of those that this crash counts against.
	for _, p := range added {
		x := &suspect{Suspect: Suspect{Fingerprint: p.fingerprint, Part: true, Repeats: true}, lastLoss: p.lost}
		s.addSuspect(s.parts, x)
		found = append(found, x)
	}
	return found
}

// provenParts reports which parts of a crash are also in requests that have been answered
// for long enough.
func (s *Scheduler) provenParts(c *crash) []bool {
	proven := make([]bool, len(c.parts))
	if len(c.parts) == 0 {
		return proven
	}
	for _, a := range s.attempts.rows {
		if !a.holdsSlot || !s.provesParts(a) {
			continue
		}
		for _, p := range a.request.Parts {
			if i, lost := c.indexOf[p]; lost {
				proven[i] = true
			}
		}
	}
	return proven
}

// countPartCrash counts a crash against parts and returns those to publish, the most
// suspicious first.
func (s *Scheduler) countPartCrash(found []*suspect) []Suspect {
	for _, x := range found {
		s.recordCrash(x)
	}
	slices.SortStableFunc(found, func(a, b *suspect) int { return cmp.Compare(b.Crashes, a.Crashes) })
	var list []Suspect
	for _, x := range found {
		x.CoSuspects = coSuspectsOf(x, found)
		if len(list) < rules.MaxPublishedParts {
			list = append(list, x.Suspect)
		}
	}
	return list
}

// coSuspectsOf returns the parts among those of a crash, sorted by their crashes, that are
// at least as suspicious as x.
func coSuspectsOf(x *suspect, found []*suspect) []uint64 {
	var list []uint64
	for _, y := range found {
		if y.Crashes < x.Crashes || len(list) == rules.MaxCoSuspects {
			break
		}
		if y != x {
			list = append(list, y.Fingerprint)
		}
	}
	return list
}

// forgetCoSuspect removes a part that is no longer suspected from the co-suspects of the
// others.
func (s *Scheduler) forgetCoSuspect(fingerprint uint64) {
	for _, x := range s.parts.rows {
		x.CoSuspects = withoutPart(x.CoSuspects, fingerprint)
	}
}

// withoutPart returns a list without a part. It doesn't change the list, which may have
// been published.
func withoutPart(list []uint64, fingerprint uint64) []uint64 {
	if !slices.Contains(list, fingerprint) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(p uint64) bool { return p == fingerprint })
}

// findParts returns the suspects among the parts of a request.
func (s *Scheduler) findParts(r *Request) []*suspect {
	if len(s.parts.rows) == 0 {
		return nil
	}
	var list []*suspect
	for _, p := range r.Parts {
		if x := s.parts.find(0, p); x != nil && !slices.Contains(list, x) {
			list = append(list, x)
		}
	}
	return list
}

// quarantinedPart returns a quarantined part of a request, or nil. A request without all
// of the part's co-suspects isn't refused: it shows, in isolation, which of them crashes
// endpoints.
func (s *Scheduler) quarantinedPart(r *Request) *suspect {
	for _, x := range s.findParts(r) {
		if x.Quarantined && !slices.ContainsFunc(x.CoSuspects, func(p uint64) bool { return !slices.Contains(r.Parts, p) }) {
			return x
		}
	}
	return nil
}

// isolatesPart reports whether a request has a part that has to run in isolation.
func (s *Scheduler) isolatesPart(r *Request) bool {
	return slices.ContainsFunc(s.findParts(r), func(x *suspect) bool { return x.RequiresIsolation() })
}

// unprovenPart returns a suspected part of a request that is in flight elsewhere and may
// still crash its endpoint, or nil. Only one such run is allowed at a time.
func (s *Scheduler) unprovenPart(r *Request) *suspect {
	for _, x := range s.findParts(r) {
		if x.unproven > 0 {
			return x
		}
	}
	return nil
}

// holdParts counts an attempt as unproven for its suspected parts.
func (s *Scheduler) holdParts(a *attempt) {
	for _, x := range s.findParts(&a.request) {
		s.holdPart(a, x)
	}
}

func (s *Scheduler) holdPart(a *attempt, x *suspect) {
	if s.provesParts(a) {
		return
	}
	x.unproven++
	a.heldParts = append(a.heldParts, x)
	if a.sawFirstToken {
		s.setProofTimer(a)
	}
}

// countUnproven counts the attempts in flight with a part that is suspected from now on.
func (s *Scheduler) countUnproven(x *suspect) {
	for _, a := range s.attempts.rows {
		if a.holdsSlot && slices.Contains(a.request.Parts, x.Fingerprint) {
			s.holdPart(a, x)
		}
	}
}

// setProofTimer clears the suspected parts of an attempt once it has been answered for
// long enough.
func (s *Scheduler) setProofTimer(a *attempt) {
	if len(a.heldParts) > 0 {
		s.timers.set(&a.proofTimer, a.firstTokenAt+rules.AnsweringProof, func() { s.clearParts(a) })
	}
}

// releaseParts stops counting an attempt as unproven, and resumes a request that waits
// for it.
func (s *Scheduler) releaseParts(a *attempt) {
	held := a.heldParts
	a.heldParts = nil
	s.timers.stop(&a.proofTimer)
	s.releaseHeldParts(held)
}

// releaseHeldParts ends the hold of a run on its suspected parts.
func (s *Scheduler) releaseHeldParts(held []*suspect) {
	for _, x := range held {
		x.unproven--
		s.resumePartWaiters(x, false)
	}
}

// resumePartWaiters queues the first request that waits for a part, or all of them.
func (s *Scheduler) resumePartWaiters(x *suspect, all bool) {
	if x.unproven > 0 && !all {
		return
	}
	waiting := slices.Clone(x.parked)
	if len(waiting) > 1 && !all {
		waiting = waiting[:1]
	}
	for _, r := range waiting {
		s.withdraw(r)
		s.enqueue(r)
	}
}

// clearParts clears the suspicion of the parts of a request that was answered.
func (s *Scheduler) clearParts(a *attempt) {
	cleared := s.findParts(&a.request)
	if len(cleared) == 0 {
		return
	}
	s.releaseParts(a)
	var list []Suspect
	for _, x := range cleared {
		s.removeSuspect(x)
		list = append(list, Suspect{Fingerprint: x.Fingerprint, Part: true, Repeats: true})
	}
	s.emit(Publish{List: list})
	s.reclassifyWaiting()
}
