package pool

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// body is the row of a request body that is in flight or that other requests wait for.
// Until a request with the body has run to completion, only one runs at a time:
// concurrent copies of a body that crashes endpoints would otherwise crash many at
// once.
type body struct {
	inFlight int
	// waiting are the requests that wait for the first to end, in order.
	waiting []*request
}

// bodyTable holds the bodies by fingerprint.
type bodyTable struct {
	rows map[uint64]*body
	// proven holds the fingerprints of bodies that have run to completion. The ring
	// evicts the oldest of them.
	proven map[uint64]bool
	ring   []uint64
	next   int
}

func newBodyTable() *bodyTable {
	return &bodyTable{rows: map[uint64]*body{}, proven: map[uint64]bool{}}
}

// mustWaitForBody reports whether a request has to wait until another with the same
// body ends.
func (s *Scheduler) mustWaitForBody(r *request) bool {
	if r.Fingerprint == 0 || !s.runsOneAtATime(r) {
		return false
	}
	row := s.bodies.rows[r.Fingerprint]
	return row != nil && row.inFlight > 0
}

// runsOneAtATime reports whether requests with the body of r run one at a time: until
// the body has run to completion or, for bodies that callers repeat anyway, while it
// is suspected.
func (s *Scheduler) runsOneAtATime(r *request) bool {
	if r.Repeats {
		return s.suspects.find(r.KeyHash, r.Fingerprint) != nil
	}
	return !s.bodies.proven[r.Fingerprint]
}

func (t *bodyTable) get(fingerprint uint64) *body {
	row := t.rows[fingerprint]
	if row == nil {
		row = &body{}
		t.rows[fingerprint] = row
	}
	return row
}

// removeUnused removes a row that no request refers to.
func (t *bodyTable) removeUnused(fingerprint uint64) {
	if row := t.rows[fingerprint]; row != nil && row.inFlight == 0 && len(row.waiting) == 0 {
		delete(t.rows, fingerprint)
	}
}

// markProven remembers that a body has run to completion.
func (t *bodyTable) markProven(fingerprint uint64) {
	if fingerprint == 0 || t.proven[fingerprint] {
		return
	}
	t.proven[fingerprint] = true
	if len(t.ring) < rules.MaxProvenBodies {
		t.ring = append(t.ring, fingerprint)
		return
	}
	delete(t.proven, t.ring[t.next])
	t.ring[t.next] = fingerprint
	t.next = (t.next + 1) % rules.MaxProvenBodies
}

func (t *bodyTable) park(r *request) {
	row := t.get(r.Fingerprint)
	row.waiting = append(row.waiting, r)
}

func (t *bodyTable) unpark(r *request) {
	row := t.get(r.Fingerprint)
	row.waiting = slices.DeleteFunc(row.waiting, func(x *request) bool { return x == r })
	t.removeUnused(r.Fingerprint)
}

// mustWait reports whether a request has to wait until another with the same body, or
// with the same suspected prompt part, ends.
func (s *Scheduler) mustWait(r *request) bool {
	return s.mustWaitForBody(r) || s.unprovenPart(&r.Request) != nil
}

// park sets a request aside until the one for which it has to wait has ended.
func (s *Scheduler) park(r *request) {
	s.withdraw(r)
	r.phase = phaseParked
	if x := s.unprovenPart(&r.Request); x != nil && !s.mustWaitForBody(r) {
		r.parkedOn = x
		x.parked = append(x.parked, r)
	} else {
		s.bodies.park(r)
	}
	s.setDeadlineTimer(r)
}

// unpark removes a request from those that wait for its body or for a prompt part.
func (s *Scheduler) unpark(r *request) {
	x := r.parkedOn
	if x == nil {
		s.bodies.unpark(r)
		return
	}
	r.parkedOn = nil
	x.parked = slices.DeleteFunc(x.parked, func(y *request) bool { return y == r })
}

// resumeParked queues the requests that wait for a body: all of them if it may run
// concurrently, otherwise the first.
func (s *Scheduler) resumeParked(fingerprint uint64) {
	row := s.bodies.rows[fingerprint]
	if row == nil || row.inFlight > 0 {
		return
	}
	waiting := slices.Clone(row.waiting)
	if len(waiting) > 1 && s.runsOneAtATime(waiting[0]) {
		waiting = waiting[:1]
	}
	for _, r := range waiting {
		s.withdraw(r)
		s.enqueue(r)
	}
	s.bodies.removeUnused(fingerprint)
}
