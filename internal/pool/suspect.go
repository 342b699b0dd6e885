package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// suspect is the row of a request that was in flight on an endpoint that
// crashed. It is found by its key or by its body: callers send again under new
// keys.
type suspect struct {
	Suspect
	// crashedAt is when it last crashed an endpoint, as far as that was heard of.
	crashedAt time.Duration
	// lostAt is when the last run that counts against it was lost.
	lostAt time.Duration
	// trialAt is when it may run once more though it is quarantined; 0: never.
	trialAt time.Duration
	timer   timer
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

// add keeps a suspect. The oldest that isn't quarantined gives way to it if there are
// too many.
func (t *suspectTable) add(x *suspect) {
	if len(t.rows) >= rules.MaxSuspects {
		t.drop()
	}
	t.rows = append(t.rows, x)
	t.index(x)
}

// drop removes the oldest suspect that isn't quarantined, or else the oldest.
func (t *suspectTable) drop() {
	i := max(0, slices.IndexFunc(t.rows, func(x *suspect) bool { return !x.Quarantined }))
	t.remove(t.rows[i])
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
	found := s.suspectsLostWith(e)
	for _, a := range s.attempts.on(e) {
		if !a.blamed {
			a.blamed = true
			found = s.addSuspect(found, a.request, a.granted, s.now)
		}
	}
	s.countCrash(found)
}

// countLoss counts the loss of one attempt, with a lifetime of its endpoint that others know
// to be over.
func (s *Scheduler) countLoss(a *attempt) {
	if a.blamed {
		return
	}
	a.blamed = true
	s.countCrash(s.addSuspect(nil, a.request, a.granted, s.now))
}

// addSuspect adds the suspect that a request is, granted at one time and lost at another. Of
// requests that repeat, those that ran at one moment count once: where many endpoints are
// lost together, no request is the cause.
func (s *Scheduler) addSuspect(found []*suspect, r Request, granted, lost time.Duration) []*suspect {
	x := s.suspectOf(r)
	if x == nil || slices.Contains(found, x) || r.Repeats && x.Crashes > 0 && granted < x.lostAt {
		return found
	}
	x.lostAt = max(x.lostAt, lost)
	return append(found, x)
}

// countCrash counts a crash against each of some suspects and tells the other hosts.
func (s *Scheduler) countCrash(found []*suspect) {
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
		x = &suspect{Suspect: Suspect{KeyHash: r.KeyHash, Fingerprint: r.Fingerprint, Repeats: r.Repeats}}
		s.suspects.add(x)
	}
	return x
}

// blame counts a crash against a suspect: one, however many requests with its
// body were in flight on the endpoint.
func (s *Scheduler) blame(x *suspect) {
	x.Crashes++
	x.crashedAt = s.now
	x.Quarantined = x.Quarantined || x.Crashes >= x.mostCrashes()
	s.remember(x)
}

// planTrial sets when a quarantined request that repeats may run once more: it may have
// been at endpoints that ended for another reason.
func (x *suspect) planTrial(now time.Duration) {
	x.trialAt = 0
	trials := x.Crashes - rules.RepeatedCrashesToQuarantine
	if !x.Repeats || !x.Quarantined || trials >= rules.MaxTrials {
		return
	}
	wait := rules.FirstTrialDelay
	for range trials {
		wait *= rules.TrialDelayFactor
	}
	x.trialAt = now + wait
}

// takeTrial reports whether a quarantined request may run once more, now.
func (s *Scheduler) takeTrial(x *suspect) bool {
	if x.trialAt == 0 || s.now < x.trialAt {
		return false
	}
	x.planTrial(s.now)
	return true
}

// remember keeps a suspect for its time.
func (s *Scheduler) remember(x *suspect) {
	s.timers.set(&x.timer, x.crashedAt+x.Retention(), func() { s.suspects.remove(x) })
	x.planTrial(x.crashedAt)
}

// clearSuspect takes back the suspicion of a request that has run whole.
func (s *Scheduler) clearSuspect(r Request) {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	if x == nil || x.Quarantined && !x.Repeats {
		return
	}
	s.forgetSuspect(x)
	s.emit(Publish{List: []Suspect{{KeyHash: x.KeyHash, Fingerprint: x.Fingerprint, Repeats: x.Repeats}}})
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
		if x != nil && (!x.Quarantined || x.Repeats) {
			s.forgetSuspect(x)
		}
		return
	}
	if x == nil {
		x = &suspect{Suspect: d, crashedAt: s.now - d.Age}
		x.Age = 0
		s.suspects.add(x)
	}
	x.Crashes = max(x.Crashes, d.Crashes)
	x.crashedAt = max(x.crashedAt, s.now-d.Age)
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
	alone := x != nil && x.RequiresIsolation()
	switch {
	case x != nil && x.Quarantined && !r.trial:
		s.drop(r)
		s.emit(*s.quarantined(r))
	case alone != (r.phase == phaseIsolated), x == nil && r.Repeats && r.phase == phaseParked:
		s.withdraw(r)
		s.enqueue(r)
	}
}
