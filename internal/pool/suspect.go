package pool

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// suspect is the row of a request that was in flight on an endpoint that
// crashed. It is found by its key or by its body: callers send again under new
// keys.
type suspect struct {
	Suspect
	timer timer
}

// suspectTable holds the suspects.
type suspectTable struct {
	byKey  map[uint64]*suspect
	byBody map[uint64]*suspect
	// rows is in the order in which suspects were found.
	rows []*suspect
}

func newSuspectTable() *suspectTable {
	return &suspectTable{byKey: map[uint64]*suspect{}, byBody: map[uint64]*suspect{}}
}

// find returns the suspect with a key or body, or nil. Hash 0 is none.
func (t *suspectTable) find(key, body uint64) *suspect {
	if x := t.byBody[body]; x != nil && body != 0 {
		return x
	}
	if x := t.byKey[key]; x != nil && key != 0 {
		return x
	}
	return nil
}

func (t *suspectTable) add(x *suspect) {
	t.rows = append(t.rows, x)
	t.index(x)
}

func (t *suspectTable) index(x *suspect) {
	if x.KeyHash != 0 {
		t.byKey[x.KeyHash] = x
	}
	if x.Fingerprint != 0 {
		t.byBody[x.Fingerprint] = x
	}
}

func (t *suspectTable) remove(x *suspect) {
	t.rows = slices.DeleteFunc(t.rows, func(y *suspect) bool { return x == y })
	deleteIf(t.byKey, x.KeyHash, x)
	deleteIf(t.byBody, x.Fingerprint, x)
}

func deleteIf(m map[uint64]*suspect, hash uint64, x *suspect) {
	if m[hash] == x {
		delete(m, hash)
	}
}

// crashed marks everything in flight on an endpoint as suspect, once for each
// attempt: every custodian reports its own.
func (s *Scheduler) crashed(e *endpoint) {
	var found []*suspect
	for _, a := range s.attempts.on(e) {
		if a.blamed {
			continue
		}
		a.blamed = true
		x := s.suspectOf(a.request)
		if x != nil && !slices.Contains(found, x) {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		return
	}
	var list []Suspect
	for _, x := range found {
		s.blame(x)
		list = append(list, x.Suspect)
	}
	s.emit(Publish{List: list})
	s.sortOutSuspects()
}

// suspectOf returns the row of a request, made if needed, and nil for a request
// without any hash to know it by.
func (s *Scheduler) suspectOf(r Request) *suspect {
	if r.KeyHash == 0 && r.Fingerprint == 0 {
		return nil
	}
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	if x == nil {
		x = &suspect{Suspect: Suspect{KeyHash: r.KeyHash, Fingerprint: r.Fingerprint}}
		s.suspects.add(x)
	}
	return x
}

// blame counts a crash against a suspect: one, however many requests with its
// body were in flight on the endpoint.
func (s *Scheduler) blame(x *suspect) {
	x.Crashes++
	x.Quarantined = x.Quarantined || x.Crashes >= rules.CrashesToQuarantine
	s.remember(x)
}

// remember keeps a suspect for its time.
func (s *Scheduler) remember(x *suspect) {
	keep := rules.SuspectMemory
	if x.Quarantined {
		keep = rules.QuarantineMemory
	}
	s.timers.set(&x.timer, s.now+keep, func() { s.suspects.remove(x) })
}

// clearSuspect takes back the suspicion of a request that has run whole.
func (s *Scheduler) clearSuspect(r Request) {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	if x == nil || x.Quarantined {
		return
	}
	s.forgetSuspect(x)
	s.emit(Publish{List: []Suspect{{KeyHash: x.KeyHash, Fingerprint: x.Fingerprint}}})
	s.sortOutSuspects()
}

func (s *Scheduler) forgetSuspect(x *suspect) {
	s.timers.stop(&x.timer)
	s.suspects.remove(x)
}

// learnSuspects takes in what other schedulers of the domain found. A suspect
// without crashes has been cleared.
func (s *Scheduler) learnSuspects(list []Suspect) {
	for _, d := range list {
		s.learnSuspect(d)
	}
	s.sortOutSuspects()
}

func (s *Scheduler) learnSuspect(d Suspect) {
	x := s.suspects.find(d.KeyHash, d.Fingerprint)
	if d.Crashes == 0 {
		if x != nil && !x.Quarantined {
			s.forgetSuspect(x)
		}
		return
	}
	if x == nil {
		x = &suspect{Suspect: d}
		s.suspects.add(x)
	}
	x.Crashes = max(x.Crashes, d.Crashes)
	x.Quarantined = x.Quarantined || d.Quarantined
	s.remember(x)
}

// sortOutSuspects moves the waiting requests to where their suspicion, new or
// taken back, wants them.
func (s *Scheduler) sortOutSuspects() {
	for _, r := range s.waiting() {
		s.sortOut(r)
	}
}

func (s *Scheduler) sortOut(r *request) {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	isolated := r.phase == phaseIsolated
	switch {
	case x != nil && x.Quarantined:
		s.drop(r)
		s.emit(*s.quarantined(r))
	case x == nil && isolated, x != nil && !isolated:
		s.withdraw(r)
		s.enqueue(r)
	}
}
