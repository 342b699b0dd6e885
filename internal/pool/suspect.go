package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// suspect is the row of a request that was in flight on an endpoint that crashed. It
// is found by its key or by its body, because callers send the same body again under
// new keys.
type suspect struct {
	Suspect
	// lastCrash is when the suspect last crashed an endpoint, as far as is known.
	lastCrash time.Duration
	// lastLoss is when the last run that counts against the suspect was lost.
	lastLoss time.Duration
	// trialAt is when the suspect may run once more although it is quarantined; 0:
	// never.
	trialAt time.Duration
	timer   timer
}

// suspectTable holds the suspects.
type suspectTable struct {
	byKey  map[uint64]*suspect
	byBody map[uint64]*suspect
	// rows is in the order in which the suspects were found.
	rows []*suspect
}

func newSuspectTable() *suspectTable {
	return &suspectTable{byKey: map[uint64]*suspect{}, byBody: map[uint64]*suspect{}}
}

// find returns the suspect with a key or body, or nil. A hash of 0 matches none.
func (t *suspectTable) find(key, body uint64) *suspect {
	if x := t.byBody[body]; x != nil && body != 0 {
		return x
	}
	if x := t.byKey[key]; x != nil && key != 0 {
		return x
	}
	return nil
}

// add adds a suspect. If there are too many, the oldest that isn't quarantined is
// evicted.
func (t *suspectTable) add(x *suspect) {
	if len(t.rows) >= rules.MaxSuspects {
		t.evictOldest()
	}
	t.rows = append(t.rows, x)
	t.index(x)
}

// evictOldest removes the oldest suspect that isn't quarantined, or if there is none,
// the oldest.
func (t *suspectTable) evictOldest() {
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

// blameAllOn counts a crash of an endpoint against every request in flight on it. Each
// attempt is blamed once, although every custodian reports the loss of its own.
func (s *Scheduler) blameAllOn(e *endpoint) {
	found := s.takeBrokenRunSuspects(e)
	for _, a := range s.attempts.onEndpoint(e) {
		if !a.blamed {
			a.blamed = true
			found = s.collectSuspect(found, a.request, a.granted, s.now)
		}
	}
	s.countCrash(found)
}

// blameAttempt counts the loss of one attempt in a lifetime of its endpoint that is
// known to have ended.
func (s *Scheduler) blameAttempt(a *attempt) {
	if a.blamed {
		return
	}
	a.blamed = true
	s.countCrash(s.collectSuspect(nil, a.request, a.granted, s.now))
}

// collectSuspect appends to found the suspect of a request that was granted at one
// time and lost at another. Of requests that repeat, concurrent runs count once: when
// many endpoints are lost together, no request is the cause.
func (s *Scheduler) collectSuspect(found []*suspect, r Request, granted, lost time.Duration) []*suspect {
	x := s.findOrAddSuspect(r)
	if x == nil || slices.Contains(found, x) || r.Repeats && x.Crashes > 0 && granted < x.lastLoss {
		return found
	}
	x.lastLoss = max(x.lastLoss, lost)
	return append(found, x)
}

// countCrash counts a crash against each of the suspects and tells the other hosts.
func (s *Scheduler) countCrash(found []*suspect) {
	if len(found) == 0 {
		return
	}
	var list []Suspect
	for _, x := range found {
		s.recordCrash(x)
		list = append(list, x.Suspect)
	}
	s.emit(Publish{List: list})
	s.reclassifyWaiting()
}

// findOrAddSuspect returns the row of a request and creates it if needed. It returns
// nil for a request without a key and fingerprint.
func (s *Scheduler) findOrAddSuspect(r Request) *suspect {
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

// recordCrash counts one crash against a suspect, however many requests with its body
// were in flight on the endpoint.
func (s *Scheduler) recordCrash(x *suspect) {
	x.Crashes++
	x.lastCrash = s.now
	x.Quarantined = x.Quarantined || x.Crashes >= x.quarantineThreshold()
	s.setExpiry(x)
}

// scheduleTrial sets when a quarantined request that repeats may run once more: the
// endpoints that it was lost with may have ended for another reason.
func (x *suspect) scheduleTrial(now time.Duration) {
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

// useTrial reports whether a quarantined request may run once more now. If so, it
// schedules the next trial.
func (s *Scheduler) useTrial(x *suspect) bool {
	if x.trialAt == 0 || s.now < x.trialAt {
		return false
	}
	x.scheduleTrial(s.now)
	return true
}

// setExpiry sets when a suspect expires and when it may run on trial.
func (s *Scheduler) setExpiry(x *suspect) {
	s.timers.set(&x.timer, x.lastCrash+x.Retention(), func() { s.suspects.remove(x) })
	x.scheduleTrial(x.lastCrash)
}

// clearSuspect clears the suspicion of a request that has run to completion.
func (s *Scheduler) clearSuspect(r Request) {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	if x == nil || x.Quarantined && !x.Repeats {
		return
	}
	s.removeSuspect(x)
	s.emit(Publish{List: []Suspect{{KeyHash: x.KeyHash, Fingerprint: x.Fingerprint, Repeats: x.Repeats}}})
	s.reclassifyWaiting()
}

func (s *Scheduler) removeSuspect(x *suspect) {
	s.timers.stop(&x.timer)
	s.suspects.remove(x)
}

// mergeSuspects merges the suspects that other schedulers of the domain found. One
// without crashes has been cleared.
func (s *Scheduler) mergeSuspects(list []Suspect) {
	for _, d := range list {
		s.mergeSuspect(d)
	}
	s.reclassifyWaiting()
}

func (s *Scheduler) mergeSuspect(d Suspect) {
	x := s.suspects.find(d.KeyHash, d.Fingerprint)
	if d.Crashes == 0 {
		if x != nil && (!x.Quarantined || x.Repeats) {
			s.removeSuspect(x)
		}
		return
	}
	if x == nil {
		x = &suspect{Suspect: d, lastCrash: s.now - d.Age}
		x.Age = 0
		s.suspects.add(x)
	}
	x.Crashes = max(x.Crashes, d.Crashes)
	x.lastCrash = max(x.lastCrash, s.now-d.Age)
	x.Quarantined = x.Quarantined || d.Quarantined
	s.setExpiry(x)
}

// reclassifyWaiting refuses or requeues the waiting requests whose suspicion has
// changed.
func (s *Scheduler) reclassifyWaiting() {
	for _, r := range s.waiting() {
		s.reclassify(r)
	}
}

// reclassify refuses a waiting request that is quarantined now. It requeues one that
// has to run in isolation from now on or no longer has to, and one that repeats and is
// cleared while it is parked behind its body.
func (s *Scheduler) reclassify(r *request) {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	alone := x != nil && x.RequiresIsolation()
	switch {
	case x != nil && x.Quarantined && !r.onTrial:
		s.drop(r)
		s.emit(*s.quarantined(r))
	case alone != (r.phase == phaseIsolated), x == nil && r.Repeats && r.phase == phaseParked:
		s.withdraw(r)
		s.enqueue(r)
	}
}
