package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Bounds of one Look or Acquire.
const (
	opBudget     = 1800 * time.Millisecond
	opTries      = 6
	opFirstRetry = 50 * time.Millisecond
	opLastRetry  = 400 * time.Millisecond
)

// phase is what an op waits for.
type phase int

const (
	// phaseLook reads the row for Look.
	phaseLook phase = iota
	// phaseInsert writes the claim.
	phaseInsert
	// phaseReadBack reads the row after an insert that didn't succeed.
	phaseReadBack
	// phaseFetch reads the body of a kept answer from the object store.
	phaseFetch
)

// op is one Look or Acquire under way.
type op struct {
	req      Request
	row      string
	phase    phase
	tries    int
	timer    timer
	deadline time.Duration
	// claim is what an Acquire inserts.
	claim Claim
	// replaces is the version of the row that the insert replaces; 0: none.
	replaces uint64
	// sent says that the table may have got the insert.
	sent bool
	// answer is what phaseFetch completes.
	answer Answer
}

// Look reads what became of earlier requests with the key. Its result is Free,
// Running, Lost, Answered or Refused.
func (s *System) Look(now time.Duration, req Request, out *system.Outbox) {
	o := &op{req: req, row: rowKey(req), phase: phaseLook, deadline: now + opBudget}
	if s.local(o) {
		return
	}
	s.ops[req.ID] = o
	o.send(s, out)
}

// Acquire claims the key for a granted request, at the given wall time in
// milliseconds of Unix time. Its result is Acquired, Running, Lost, Answered or
// Refused. After Acquired the caller must end the claim by Finish, or by
// Release if the request was not dispatched.
func (s *System) Acquire(now time.Duration, wall int64, req Request, at Placement, out *system.Outbox) {
	o := &op{req: req, row: rowKey(req), phase: phaseInsert, deadline: now + opBudget}
	if s.local(o) {
		return
	}
	o.claim = Claim{
		Nonce:       s.cfg.Nonce(),
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Request:     req.ID,
		Fingerprint: req.Fingerprint,
		Created:     wall,
		Placement:   at,
	}
	s.ops[req.ID] = o
	o.send(s, out)
}

// local answers from the claims of this host, without a call.
func (s *System) local(o *op) bool {
	h, ok := s.heldRow[o.row]
	if !ok {
		return false
	}
	c := h.claim
	c.Answer = h.answer
	s.emit(s.judge(o.req, c, platform.Row{Version: h.version}))
	return true
}

// send sends the call of the op's phase.
func (o *op) send(s *System, out *system.Outbox) {
	switch o.phase {
	case phaseInsert:
		o.sent = true
		s.call(o, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
			Conditions: []platform.Condition{{Key: o.row, Version: o.replaces}},
			Puts:       []platform.Put{{Key: o.row, Value: o.claim.encode()}},
		}}, out)
	case phaseFetch:
		s.call(o, system.Call{Kind: system.CallGetObject, Key: o.answer.Object}, out)
	default:
		s.call(o, system.Call{Kind: system.CallGet, Key: o.row}, out)
	}
}

func (o *op) tick(s *System, now time.Duration, out *system.Outbox) {
	if now >= o.deadline {
		o.giveUp(s, now, out)
		return
	}
	if o.timer.fire(now) {
		o.send(s, out)
	}
}

func (o *op) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if s.ops[o.req.ID] != o {
		return // given up; an insert that took effect is left to its discard
	}
	switch o.phase {
	case phaseInsert:
		o.inserted(s, now, r, out)
	case phaseFetch:
		o.fetched(s, now, r, out)
	default:
		o.read(s, now, r, out)
	}
}

// inserted takes the table's answer to the insert.
func (o *op) inserted(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case r.Err == nil:
		o.acquired(s, r.Version)
	case errors.Is(r.Err, platform.ErrConflict), errors.Is(r.Err, platform.ErrAmbiguous):
		// A conflict may be with an earlier try of this insert, whose answer
		// was lost.
		o.phase = phaseReadBack
		o.send(s, out)
	default:
		o.retry(s, now, phaseInsert, out)
	}
}

// read takes the row that Look or the read-back found.
func (o *op) read(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case errors.Is(r.Err, platform.ErrNotFound):
		o.absent(s, now, out)
	case r.Err != nil || len(r.Rows) == 0:
		o.retry(s, now, o.phase, out)
	default:
		o.found(s, r.Rows[0], out)
	}
}

// absent goes on after a read that found no row.
func (o *op) absent(s *System, now time.Duration, out *system.Outbox) {
	if o.phase == phaseLook {
		o.end(s, Free{ID: o.req.ID})
		return
	}
	// The nonce stays the same: of this insert and an earlier one that is
	// still on its way, one takes effect, and either is this claim.
	o.replaces = 0
	o.retry(s, now, phaseInsert, out)
}

// found goes on after a read that found a row.
func (o *op) found(s *System, row platform.Row, out *system.Outbox) {
	c, err := decode(row.Value)
	if err != nil {
		o.end(s, refuse(o.req.ID, result.OutcomeUnknown, err.Error(), 0))
		return
	}
	if s.mine(c) && c.Nonce == o.claim.Nonce {
		o.acquired(s, row.Version)
		return
	}
	if s.mine(c) && s.discards[c.Nonce] != nil {
		o.takeOver(s, row, out)
		return
	}
	o.conclude(s, s.judge(o.req, c, row), out)
}

// takeOver goes on after a read that found a claim of this host that was never
// dispatched: it counts for nothing, and the insert replaces it.
func (o *op) takeOver(s *System, row platform.Row, out *system.Outbox) {
	if o.phase == phaseLook {
		o.end(s, Free{ID: o.req.ID})
		return
	}
	o.replaces = row.Version
	o.phase = phaseInsert
	o.send(s, out)
}

// conclude ends the op with a result, after reading the body of an answer that
// is kept in the object store.
func (o *op) conclude(s *System, r Result, out *system.Outbox) {
	a, ok := r.(Answered)
	if !ok || a.Answer.Object == "" {
		o.end(s, r)
		return
	}
	o.answer = a.Answer
	o.phase = phaseFetch
	o.send(s, out)
}

// fetched takes the body of a kept answer.
func (o *op) fetched(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if r.Err != nil || len(r.Rows) == 0 {
		o.retry(s, now, phaseFetch, out)
		return
	}
	o.answer.Body = r.Rows[0].Value
	o.end(s, Answered{ID: o.req.ID, Answer: o.answer})
}

// retry sends the phase's call after a wait, or gives up.
func (o *op) retry(s *System, now time.Duration, p phase, out *system.Outbox) {
	o.phase = p
	o.tries++
	wait := backoff(opFirstRetry, opLastRetry, o.tries-1)
	if o.tries >= opTries || now+wait >= o.deadline {
		o.giveUp(s, now, out)
		return
	}
	o.timer.start(now + wait)
}

// acquired ends the op with the claim held.
func (o *op) acquired(s *System, version uint64) {
	h := &held{req: o.req, row: o.row, claim: o.claim, version: version}
	s.held[o.req.ID] = h
	s.heldRow[o.row] = h
	o.end(s, Acquired{ID: o.req.ID})
}

// giveUp ends the op without an answer of the platform. Nothing was dispatched
// and nothing will be, so that a claim that stands or comes later is discarded.
func (o *op) giveUp(s *System, now time.Duration, out *system.Outbox) {
	if o.phase == phaseFetch {
		o.end(s, refuse(o.req.ID, result.AnswerUnreadable, "the kept answer can't be read", retryAfterOutage))
		return
	}
	o.end(s, refuseUnreachable(o.req))
	o.withdraw(s, now, out)
}

// withdraw discards the claim that the op may have inserted.
func (o *op) withdraw(s *System, now time.Duration, out *system.Outbox) {
	if o.sent {
		s.discard(now, discard{row: o.row, nonce: o.claim.Nonce}, out)
	}
}

func (o *op) end(s *System, r Result) {
	delete(s.ops, o.req.ID)
	s.emit(r)
}

// mine reports whether this process made the claim.
func (s *System) mine(c Claim) bool {
	return c.Holder == s.cfg.Host && c.Incarnation == s.cfg.Incarnation
}

// Withdraw ends a Look or Acquire without a result, because its request is no
// longer wanted. It reports whether there was one.
func (s *System) Withdraw(now time.Duration, id ident.Request, out *system.Outbox) bool {
	o, ok := s.ops[id]
	if !ok {
		return false
	}
	delete(s.ops, id)
	o.withdraw(s, now, out)
	return true
}
