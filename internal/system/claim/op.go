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
	// phaseFence reads the fence for a Look that found no row.
	phaseFence
	// phaseInsert writes the claim, when guard and fence are known.
	phaseInsert
	// phaseReadBack reads the row after an insert that didn't succeed.
	phaseReadBack
	// phaseFetch reads the body of a kept answer from the object store.
	phaseFetch
)

// op is one Look or Acquire under way.
type op struct {
	req Request
	// wall is the time of the Look or Acquire in milliseconds of Unix time.
	wall  int64
	row   string
	timed bool
	phase phase
	tries int
	timer timer
	// waiting says that the op waits for the guard or the fence.
	waiting  bool
	deadline time.Duration
	// claim is what an Acquire inserts.
	claim Claim
	// replaces is the version of the row that the insert replaces; 0: none.
	replaces uint64
	// guard is the version of the guard that the last insert was sent under.
	guard uint64
	// flying says that an insert has no reply yet; loose, that the effect of
	// an insert is unknown.
	flying bool
	loose  bool
	// conflict says that the last insert met a conflict.
	conflict bool
	// answer is what phaseFetch completes.
	answer Answer
}

func newOp(now time.Duration, wall int64, req Request, p phase) *op {
	_, timed := keyTime(req.Key)
	return &op{
		req:      req,
		wall:     wall,
		row:      rowKey(req),
		timed:    timed,
		phase:    p,
		deadline: now + opBudget,
	}
}

// Lookup reads what became of earlier requests with the key. The wall time is in
// milliseconds of Unix time. Its result is Free, Running, Lost, Answered or
// Refused.
func (s *System) Lookup(now time.Duration, wall int64, req Request, out *system.Outbox) {
	o := newOp(now, wall, req, phaseLook)
	if s.local(o) {
		return
	}
	s.ops[req.ID] = o
	s.guard.want(s, out)
	if o.timed {
		s.fence.want(s, out)
	}
	o.send(s, out)
}

// Acquire claims the key for a granted request. The wall time is in
// milliseconds of Unix time. Its result is Acquired, Running, Lost, Answered or
// Refused. After Acquired the caller must end the claim by Finish, or by
// Release if the request was not dispatched.
func (s *System) Acquire(now time.Duration, wall int64, req Request, at Placement, out *system.Outbox) {
	o := newOp(now, wall, req, phaseInsert)
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

// Cancel ends a Look or Acquire without a result, because its request is no
// longer wanted. It reports whether there was one.
func (s *System) Cancel(id ident.Request, out *system.Outbox) bool {
	o, ok := s.ops[id]
	if !ok {
		return false
	}
	delete(s.ops, id)
	o.discard(s, out)
	return true
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

// resume sends what waited for the guard or the fence.
func (s *System) resume(out *system.Outbox) {
	for _, id := range sortedKeys(s.ops) {
		if o := s.ops[id]; o.waiting {
			o.send(s, out)
		}
	}
	for _, nonce := range sortedKeys(s.discards) {
		if d := s.discards[nonce]; d.waiting {
			d.send(s, out)
		}
	}
}

// send sends the call of the op's phase.
func (o *op) send(s *System, out *system.Outbox) {
	switch o.phase {
	case phaseInsert:
		o.insert(s, out)
	case phaseFence:
		o.awaitFence(s, out)
	case phaseFetch:
		s.call(o, system.Call{Kind: system.CallGetObject, Key: o.answer.Object}, out)
	default:
		s.call(o, system.Call{Kind: system.CallGet, Key: o.row}, out)
	}
}

// insert sends the claim, or waits until guard and fence are known.
func (o *op) insert(s *System, out *system.Outbox) {
	s.guard.want(s, out)
	if o.timed {
		s.fence.want(s, out)
	}
	o.waiting = s.guard.version == 0 || (o.timed && !s.fence.known)
	if o.waiting {
		return
	}
	if refusal := s.expired(o.req, o.wall); refusal != nil {
		o.end(s, refusal)
		o.discard(s, out)
		return
	}
	conditions := []platform.Condition{
		{Key: o.row, Version: o.replaces},
		{Key: s.guard.key(s), Version: s.guard.version},
	}
	if o.timed {
		conditions = append(conditions, platform.Condition{Key: RowFence, Version: s.fence.version})
	}
	o.guard = s.guard.version
	o.flying = true
	s.call(o, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: conditions,
		Puts:       []platform.Put{{Key: o.row, Value: o.claim.encode()}},
	}}, out)
}

func (o *op) tick(s *System, now time.Duration, out *system.Outbox) {
	if now >= o.deadline {
		o.giveUp(s, out)
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
	o.flying = false
	switch {
	case r.Err == nil:
		o.acquired(s, r.Version)
	case errors.Is(r.Err, platform.ErrConflict):
		// The conflict may be with another's claim, with an earlier try of
		// this insert, or with a guard or fence that has moved.
		o.conflict = true
		o.readBack(s, out)
	case errors.Is(r.Err, platform.ErrUnavailable), errors.Is(r.Err, platform.ErrLimited):
		o.retry(s, now, phaseInsert, out)
	default:
		o.loose = true
		o.readBack(s, out)
	}
}

func (o *op) readBack(s *System, out *system.Outbox) {
	o.phase = phaseReadBack
	o.send(s, out)
}

// read takes the row that Look or the read-back found.
func (o *op) read(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case errors.Is(r.Err, platform.ErrNotFound):
		o.absent(s, now, out)
	case r.Err != nil || len(r.Rows) == 0:
		o.retry(s, now, o.phase, out)
	default:
		o.found(s, now, r.Rows[0], out)
	}
}

// absent goes on after a read that found no row.
func (o *op) absent(s *System, now time.Duration, out *system.Outbox) {
	if o.phase == phaseReadBack {
		// The nonce stays the same: of this insert and an earlier one that is
		// still on its way, one takes effect, and either is this claim.
		o.replaces = 0
		o.checkConditions(s, out)
		o.retry(s, now, phaseInsert, out)
		return
	}
	if s.mayBeRemoved(o.req, o.wall) {
		s.fence.check(s, out)
	}
	o.phase = phaseFence
	o.send(s, out)
}

// checkConditions has the guard and the fence read again after an insert that
// met a conflict although there is no row.
func (o *op) checkConditions(s *System, out *system.Outbox) {
	if !o.conflict {
		return
	}
	o.conflict = false
	s.guard.check(s, out)
	if o.timed {
		s.fence.check(s, out)
	}
}

// awaitFence ends a Look that found no row, when the fence is known.
func (o *op) awaitFence(s *System, out *system.Outbox) {
	if o.timed {
		s.fence.want(s, out)
	}
	o.waiting = o.timed && !s.fence.known
	if o.waiting {
		return
	}
	if refusal := s.expired(o.req, o.wall); refusal != nil {
		o.end(s, refusal)
		return
	}
	o.end(s, Unclaimed{ID: o.req.ID})
}

// found goes on after a read that found a row.
func (o *op) found(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	c, err := decode(row.Value)
	if err != nil {
		o.end(s, refuse(o.req.ID, result.OutcomeUnknown, err.Error(), 0))
		o.discard(s, out)
		return
	}
	if s.mine(c) && c.Nonce == o.claim.Nonce {
		o.acquired(s, row.Version)
		return
	}
	if s.mine(c) && s.discards[c.Nonce] != nil {
		o.takeOver(s, now, row, out)
		return
	}
	o.conclude(s, s.judge(o.req, c, row), out)
}

// takeOver goes on after a read that found a claim of this host that was never
// dispatched: it counts for nothing, and the insert replaces it.
func (o *op) takeOver(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	if o.phase == phaseLook {
		o.end(s, Unclaimed{ID: o.req.ID})
		return
	}
	if o.replaces == row.Version {
		o.checkConditions(s, out)
	}
	o.replaces = row.Version
	o.retry(s, now, phaseInsert, out)
}

// conclude ends the op with a result, after reading the body of an answer that
// is kept in the object store.
func (o *op) conclude(s *System, r Result, out *system.Outbox) {
	a, ok := r.(Answered)
	if !ok || a.Answer.Object == "" {
		o.end(s, r)
		o.discard(s, out)
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
	o.discard(s, out)
}

// retry sends the phase's call again, at first at once and then after a wait,
// or gives up.
func (o *op) retry(s *System, now time.Duration, p phase, out *system.Outbox) {
	o.phase = p
	o.tries++
	if o.tries == 1 {
		o.send(s, out)
		return
	}
	wait := backoff(opFirstRetry, opLastRetry, o.tries-2)
	if o.tries >= opTries || now+wait >= o.deadline {
		o.giveUp(s, out)
		return
	}
	o.timer.start(now + wait)
}

// acquired ends the op with the claim held.
func (o *op) acquired(s *System, version uint64) {
	h := &held{
		req:     o.req,
		row:     o.row,
		claim:   o.claim,
		version: version,
		guard:   o.guard,
		loose:   o.loose,
	}
	s.held[o.req.ID] = h
	s.heldRow[o.row] = h
	o.end(s, Acquired{ID: o.req.ID})
}

// giveUp ends the op without an answer of the platform. Nothing was dispatched
// and nothing will be, so that a claim that stands or comes later is discarded.
func (o *op) giveUp(s *System, out *system.Outbox) {
	if o.phase == phaseFetch {
		o.end(s, refuse(o.req.ID, result.AnswerUnreadable, "the kept answer can't be read", retryAfterOutage))
	} else {
		o.end(s, refuseUnreachable(o.req))
	}
	o.discard(s, out)
}

// discard removes what inserts of an op that has ended may leave behind.
func (o *op) discard(s *System, out *system.Outbox) {
	if o.flying || o.loose {
		s.discard(discard{row: o.row, nonce: o.claim.Nonce, guard: o.guard, loose: true}, out)
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
