package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// suspect is the row of a request that was in flight on an endpoint that crashed, or of a
// prompt part. A request is found by its key or by its body, because callers send the
// same body again under new keys.
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
	// unproven counts the runs in flight with a suspected part that may still crash their
	// endpoint, and parked are the requests that wait for these to end.
	unproven int
	parked   []*request
}

// suspectTable holds the suspects.
type suspectTable struct {
	byKey  map[uint64]*suspect
	byBody map[uint64]*suspect
	// rows is in the order in which the suspects were found, and has at most max.
	rows []*suspect
	max  int
}

func newSuspectTable(limit int) *suspectTable {
	return &suspectTable{byKey: map[uint64]*suspect{}, byBody: map[uint64]*suspect{}, max: limit}
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

// add adds a suspect. It returns the one that was evicted for it, if there were too many.
func (t *suspectTable) add(x *suspect) (evicted *suspect) {
	if len(t.rows) >= t.max {
		evicted = t.leastSuspicious()
		t.remove(evicted)
	}
	t.rows = append(t.rows, x)
	t.index(x)
	return evicted
}

// leastSuspicious returns the suspect with the fewest crashes that isn't quarantined, or
// if there is none, that with the fewest; the oldest of several.
func (t *suspectTable) leastSuspicious() *suspect {
	return slices.MinFunc(t.rows, func(a, b *suspect) int {
		switch {
		case a.Quarantined && !b.Quarantined:
			return 1
		case b.Quarantined && !a.Quarantined:
			return -1
		}
		return cmp.Compare(a.Crashes, b.Crashes)
	})
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
	c := s.takeBrokenRuns(e)
	for _, a := range s.attempts.onEndpoint(e) {
		if !a.blamed {
			a.blamed = true
			s.collectAttempt(c, a)
		}
	}
	s.countCrash(c)
}

// blameAttempt counts the loss of one attempt in a lifetime of its endpoint that is
// known to have ended.
func (s *Scheduler) blameAttempt(a *attempt) {
	if a.blamed {
		return
	}
	a.blamed = true
	c := &crash{}
	s.collectAttempt(c, a)
	s.countCrash(c)
}

// crash collects what was in flight on an endpoint that crashed.
type crash struct {
	// requests are the suspects among the requests, and parts the prompt parts of those
	// that had not been answered for long enough to prove them harmless.
	requests []*suspect
	parts    []lostPart
	// indexOf holds the indexes of parts by fingerprint.
	indexOf map[uint64]int
}

// collectAttempt adds an attempt that is lost now to a crash.
func (s *Scheduler) collectAttempt(c *crash, a *attempt) {
	s.collectRequest(c, a.request, a.granted, s.now)
	if !s.provesParts(a) {
		c.addParts(a.request.Parts, a.granted, s.now)
	}
}

// collectRequest adds to a crash the suspect of a request that was granted at one time
// and lost at another. Of requests that repeat, concurrent runs count once: when many
// endpoints are lost together, no request is the cause.
func (s *Scheduler) collectRequest(c *crash, r Request, granted, lost time.Duration) {
	x := s.findOrAddSuspect(r)
	if x == nil || slices.Contains(c.requests, x) || r.Repeats && x.Crashes > 0 && granted < x.lastLoss {
		return
	}
	x.lastLoss = max(x.lastLoss, lost)
	c.requests = append(c.requests, x)
}

// countCrash counts a crash against each of its suspects and tells the other hosts.
func (s *Scheduler) countCrash(c *crash) {
	parts := s.suspectParts(c)
	if len(c.requests)+len(parts) == 0 {
		return
	}
	var list []Suspect
	for _, x := range c.requests {
		s.recordCrash(x)
		list = append(list, x.Suspect)
	}
	s.emit(Publish{List: append(list, s.countPartCrash(parts)...)})
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
		s.addSuspect(s.suspects, x)
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
	trials := x.Crashes - x.quarantineThreshold()
	if !x.Repeats || !x.Quarantined || trials >= rules.MaxTrials {
		return
	}
	wait := rules.FirstTrialDelay
	for range trials {
		wait *= rules.TrialDelayFactor
	}
	x.trialAt = now + wait
}

// useTrial reports whether a quarantined suspect may run once more now. If so, it
// schedules the next trial, and tells the schedulers of other domains to wait as long.
func (s *Scheduler) useTrial(x *suspect) bool {
	if x.trialAt == 0 || s.now < x.trialAt {
		return false
	}
	x.scheduleTrial(s.now)
	announced := x.Suspect
	announced.Trial = true
	s.emit(Publish{List: []Suspect{announced}})
	return true
}

// setExpiry sets when a suspect expires and when it may run on trial.
func (s *Scheduler) setExpiry(x *suspect) {
	s.timers.set(&x.timer, x.lastCrash+x.Retention(), func() { s.removeSuspect(x) })
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
	if x.Part {
		s.parts.remove(x)
		s.forgetCoSuspect(x.Fingerprint)
		s.resumePartWaiters(x, true)
		return
	}
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
	table := s.suspects
	if d.Part {
		table = s.parts
	}
	x := table.find(d.KeyHash, d.Fingerprint)
	switch {
	case d.Crashes == 0:
		if x != nil && (!x.Quarantined || x.Repeats) {
			s.removeSuspect(x)
		}
		return
	case d.Trial:
		if x != nil {
			x.scheduleTrial(s.now)
		}
		return
	case x == nil:
		x = &suspect{Suspect: d, lastCrash: s.now - d.Age}
		x.Age = 0
		s.addSuspect(table, x)
	}
	if d.Crashes >= x.Crashes {
		x.CoSuspects = d.CoSuspects
	}
	x.Crashes = max(x.Crashes, d.Crashes)
	x.lastCrash = max(x.lastCrash, s.now-d.Age)
	x.Quarantined = x.Quarantined || d.Quarantined
	s.setExpiry(x)
}

// addSuspect adds a suspect to its table, and counts the runs in flight with it if it is a
// part.
func (s *Scheduler) addSuspect(table *suspectTable, x *suspect) {
	if evicted := table.add(x); evicted != nil {
		s.timers.stop(&evicted.timer)
		s.resumePartWaiters(evicted, true)
	}
	if x.Part {
		s.countUnproven(x)
	}
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
	quarantined := s.quarantinedBy(&r.Request)
	alone := s.requiresIsolation(&r.Request)
	switch {
	case quarantined != nil && !r.onTrial:
		s.drop(r)
		s.emit(*s.quarantined(r, quarantined))
	case alone != (r.phase == phaseIsolated), x == nil && r.Repeats && r.phase == phaseParked && r.parkedOn == nil:
		s.withdraw(r)
		s.enqueue(r)
	}
}

// quarantinedBy returns the suspect for which a request is refused, or nil.
func (s *Scheduler) quarantinedBy(r *Request) *suspect {
	if x := s.suspects.find(r.KeyHash, r.Fingerprint); x != nil && x.Quarantined {
		return x
	}
	return s.quarantinedPart(r)
}

// requiresIsolation reports whether a request, or a part of its prompt, has to run in
// isolation.
func (s *Scheduler) requiresIsolation(r *Request) bool {
	x := s.suspects.find(r.KeyHash, r.Fingerprint)
	return x != nil && x.RequiresIsolation() || s.isolatesPart(r)
}
