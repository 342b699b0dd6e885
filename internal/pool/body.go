package pool

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// body is the row of a request body that is in flight or that others like it
// wait for. While no request with a body has run whole, one runs at a time: a
// poison body sent many times at once would else crash many endpoints at once.
type body struct {
	inFlight int
	// waiting are the requests that wait for the first to end, in order.
	waiting []*request
}

// bodyTable holds the bodies by fingerprint.
type bodyTable struct {
	rows map[uint64]*body
	// proven are the bodies that have run whole, remembered in a ring.
	proven map[uint64]bool
	ring   []uint64
	next   int
}

func newBodyTable() *bodyTable {
	return &bodyTable{rows: map[uint64]*body{}, proven: map[uint64]bool{}}
}

// bodyBusy says whether a request has to wait for another with the same body.
func (s *Scheduler) bodyBusy(r *request) bool {
	if r.Fingerprint == 0 || !s.oneAtATime(r) {
		return false
	}
	row := s.bodies.rows[r.Fingerprint]
	return row != nil && row.inFlight > 0
}

// oneAtATime says whether requests with the body of one wait for one another: until the
// body has run whole, or, where callers repeat it anyway, while it is suspected.
func (s *Scheduler) oneAtATime(r *request) bool {
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

func (t *bodyTable) sweep(fingerprint uint64) {
	if row := t.rows[fingerprint]; row != nil && row.inFlight == 0 && len(row.waiting) == 0 {
		delete(t.rows, fingerprint)
	}
}

// prove remembers that a body has run whole.
func (t *bodyTable) prove(fingerprint uint64) {
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
	t.sweep(r.Fingerprint)
}

// park sets a request aside until the one with the same body has ended.
func (s *Scheduler) park(r *request) {
	s.withdraw(r)
	r.phase = phaseParked
	s.bodies.park(r)
	s.watch(r)
}

// bodyEnded lets those go on that wait for a body: all if it has run whole,
// else the first.
func (s *Scheduler) bodyEnded(fingerprint uint64) {
	row := s.bodies.rows[fingerprint]
	if row == nil || row.inFlight > 0 {
		return
	}
	waiting := slices.Clone(row.waiting)
	if len(waiting) > 1 && s.oneAtATime(waiting[0]) {
		waiting = waiting[:1]
	}
	for _, r := range waiting {
		s.withdraw(r)
		s.enqueue(r)
	}
	s.bodies.sweep(fingerprint)
}
