package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Time limit and retry limits of one Lookup or Acquire.
const (
	opTimeout    = 1800 * time.Millisecond
	opMaxTries   = 6
	opFirstRetry = 50 * time.Millisecond
	opLastRetry  = 400 * time.Millisecond
)

// phase is the step that an op is in.
type phase int

const (
	// phaseLookup reads the row for a Lookup.
	phaseLookup phase = iota
	// phaseFence waits for the fence after a Lookup found no row.
	phaseFence
	// phaseInsert inserts the claim once guard and fence are known.
	phaseInsert
	// phaseReadBack reads the row after an insert that wasn't confirmed.
	phaseReadBack
	// phaseFetch reads the body of a stored answer from the object store.
	phaseFetch
)

// op is a Lookup or Acquire in progress.
type op struct {
	req Request
	// wallMs is the start of the Lookup or Acquire in milliseconds of Unix time.
	wallMs int64
	row    string
	timed  bool
	phase  phase
	tries  int
	timer  timer
	// awaitsVersions is set while the op waits for the guard or the fence.
	awaitsVersions bool
	deadline       time.Duration
	// claim is the claim that an Acquire inserts.
	claim Claim
	// replacesVersion is the version of the row that the insert replaces, or 0 if
	// there is no row.
	replacesVersion uint64
	// guardVersion is the guard's version at the last insert.
	guardVersion uint64
	// insertPending is set while an insert has no reply, ambiguous if it is
	// unknown whether an insert took effect.
	insertPending bool
	ambiguous     bool
	// conflicted is set if the last insert failed with a conflict.
	conflicted bool
	// answer is the stored answer whose body phaseFetch reads.
	answer Answer
}

func newOp(now time.Duration, wallMs int64, req Request, p phase) *op {
	_, timed := keyTime(req.Key)
	return &op{
		req:      req,
		wallMs:   wallMs,
		row:      rowKey(req),
		timed:    timed,
		phase:    p,
		deadline: now + opTimeout,
	}
}

// Lookup reads the outcome of earlier requests with the key. wallMs is the wall
// time in milliseconds of Unix time. The result is Unclaimed, Running, Orphaned,
// Answered or Refused.
func (s *System) Lookup(now time.Duration, wallMs int64, req Request, out *system.Outbox) {
	o := newOp(now, wallMs, req, phaseLookup)
	if s.answerLocally(o) {
		return
	}
	s.ops[req.ID] = o
	s.guard.ensureKnown(s, out)
	if o.timed {
		s.fence.ensureKnown(s, out)
	}
	o.send(s, out)
}

// Acquire claims the key for a granted request. wallMs is the wall time in
// milliseconds of Unix time. The result is Acquired, Running, Orphaned, Answered
// or Refused. After Acquired, the caller must end the claim with Finish, or with
// Release if the request was not dispatched.
func (s *System) Acquire(now time.Duration, wallMs int64, req Request, placement Placement, out *system.Outbox) {
	o := newOp(now, wallMs, req, phaseInsert)
	if s.answerLocally(o) {
		return
	}
	o.claim = Claim{
		Nonce:       s.cfg.Nonce(),
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Request:     req.ID,
		Fingerprint: req.Fingerprint,
		Created:     wallMs,
		Placement:   placement,
	}
	s.ops[req.ID] = o
	o.send(s, out)
}

// Cancel ends the Lookup or Acquire of a request without a result. It reports
// whether one was in progress.
func (s *System) Cancel(id ident.Request, out *system.Outbox) bool {
	o, ok := s.ops[id]
	if !ok {
		return false
	}
	delete(s.ops, id)
	o.discardInserts(s, out)
	return true
}

// answerLocally emits a result from the claims that this host holds, if there is
// one under the op's key. It reports whether it did.
func (s *System) answerLocally(o *op) bool {
	h, ok := s.heldByRow[o.row]
	if !ok {
		return false
	}
	c := h.claim
	c.Answer = h.answer
	s.emit(s.resultFor(o.req, c, platform.Row{Version: h.version}))
	return true
}

// resumeWaiting sends the calls that waited for the guard or the fence.
func (s *System) resumeWaiting(out *system.Outbox) {
	for _, id := range sortedKeys(s.ops) {
		if o := s.ops[id]; o.awaitsVersions {
			o.send(s, out)
		}
	}
	for _, nonce := range sortedKeys(s.discards) {
		if d := s.discards[nonce]; d.awaitsGuard {
			d.send(s, out)
		}
	}
}

// send sends the call of the current phase.
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

// insert sends the insert of the claim, or waits until guard and fence are
// known.
func (o *op) insert(s *System, out *system.Outbox) {
	s.guard.ensureKnown(s, out)
	if o.timed {
		s.fence.ensureKnown(s, out)
	}
	o.awaitsVersions = s.guard.version == 0 || (o.timed && !s.fence.known)
	if o.awaitsVersions {
		return
	}
	if refusal := s.expiryRefusal(o.req, o.wallMs); refusal != nil {
		o.finish(s, refusal)
		o.discardInserts(s, out)
		return
	}
	conditions := []platform.Condition{
		{Key: o.row, Version: o.replacesVersion},
		{Key: s.guard.key(s), Version: s.guard.version},
	}
	if o.timed {
		conditions = append(conditions, platform.Condition{Key: RowFence, Version: s.fence.version})
	}
	o.guardVersion = s.guard.version
	o.insertPending = true
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
		return // the op has ended; its discard removes an insert that took effect
	}
	switch o.phase {
	case phaseInsert:
		o.handleInsertReply(s, now, r, out)
	case phaseFetch:
		o.handleObject(s, now, r, out)
	default:
		o.handleRead(s, now, r, out)
	}
}

// handleInsertReply handles the table's reply to the insert.
func (o *op) handleInsertReply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	o.insertPending = false
	switch {
	case r.Err == nil:
		o.acquired(s, r.Version)
	case errors.Is(r.Err, platform.ErrConflict):
		// The cause may be another request's claim, an earlier try of this
		// insert, or a new version of the guard or the fence.
		o.conflicted = true
		o.readBack(s, out)
	case errors.Is(r.Err, platform.ErrUnavailable), errors.Is(r.Err, platform.ErrLimited):
		o.retry(s, now, phaseInsert, out)
	default:
		o.ambiguous = true
		o.readBack(s, out)
	}
}

func (o *op) readBack(s *System, out *system.Outbox) {
	o.phase = phaseReadBack
	o.send(s, out)
}

// handleRead handles the reply to the read of a Lookup or a read-back.
func (o *op) handleRead(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case errors.Is(r.Err, platform.ErrNotFound):
		o.handleMissingRow(s, now, out)
	case r.Err != nil || len(r.Rows) == 0:
		o.retry(s, now, o.phase, out)
	default:
		o.handleRow(s, now, r.Rows[0], out)
	}
}

// handleMissingRow continues after a read that found no row.
func (o *op) handleMissingRow(s *System, now time.Duration, out *system.Outbox) {
	if o.phase == phaseReadBack {
		// The nonce stays the same. Of this insert and an earlier one still in
		// flight only one can take effect, and both make the same claim.
		o.replacesVersion = 0
		o.rereadConditions(s, out)
		o.retry(s, now, phaseInsert, out)
		return
	}
	if s.claimMayBeRemoved(o.req, o.wallMs) {
		s.fence.reread(s, out)
	}
	o.phase = phaseFence
	o.send(s, out)
}

// rereadConditions reads the guard and the fence again after an insert conflicted
// although its condition on the row held.
func (o *op) rereadConditions(s *System, out *system.Outbox) {
	if !o.conflicted {
		return
	}
	o.conflicted = false
	s.guard.reread(s, out)
	if o.timed {
		s.fence.reread(s, out)
	}
}

// awaitFence finishes a Lookup that found no row, once the fence is known.
func (o *op) awaitFence(s *System, out *system.Outbox) {
	if o.timed {
		s.fence.ensureKnown(s, out)
	}
	o.awaitsVersions = o.timed && !s.fence.known
	if o.awaitsVersions {
		return
	}
	if refusal := s.expiryRefusal(o.req, o.wallMs); refusal != nil {
		o.finish(s, refusal)
		return
	}
	o.finish(s, Unclaimed{ID: o.req.ID})
}

// handleRow continues after a read that found a row.
func (o *op) handleRow(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	c, err := decode(row.Value)
	if err != nil {
		o.finish(s, refuse(o.req.ID, result.OutcomeUnknown, err.Error(), 0))
		o.discardInserts(s, out)
		return
	}
	if s.isOwn(c) && c.Nonce == o.claim.Nonce {
		o.acquired(s, row.Version)
		return
	}
	if s.isOwn(c) && s.discards[c.Nonce] != nil {
		o.replaceDiscarded(s, now, row, out)
		return
	}
	o.fetchOrFinish(s, s.resultFor(o.req, c, row), out)
}

// replaceDiscarded continues after a read found a claim of this host that was
// never dispatched. Such a claim is void, and the insert replaces it.
func (o *op) replaceDiscarded(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	if o.phase == phaseLookup {
		o.finish(s, Unclaimed{ID: o.req.ID})
		return
	}
	if o.replacesVersion == row.Version {
		o.rereadConditions(s, out)
	}
	o.replacesVersion = row.Version
	o.retry(s, now, phaseInsert, out)
}

// fetchOrFinish ends the op with a result. If that is an answer whose body is in
// the object store, the body is read first.
func (o *op) fetchOrFinish(s *System, r Result, out *system.Outbox) {
	a, ok := r.(Answered)
	if !ok || a.Answer.Object == "" {
		o.finish(s, r)
		o.discardInserts(s, out)
		return
	}
	o.answer = a.Answer
	o.phase = phaseFetch
	o.send(s, out)
}

// handleObject handles the reply to the read of a stored answer's body.
func (o *op) handleObject(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if r.Err != nil || len(r.Rows) == 0 {
		o.retry(s, now, phaseFetch, out)
		return
	}
	o.answer.Body = r.Rows[0].Value
	o.finish(s, Answered{ID: o.req.ID, Answer: o.answer})
	o.discardInserts(s, out)
}

// retry sends the call of phase p again: the first time at once, then with
// backoff until the tries or the time run out.
func (o *op) retry(s *System, now time.Duration, p phase, out *system.Outbox) {
	o.phase = p
	o.tries++
	if o.tries == 1 {
		o.send(s, out)
		return
	}
	wait := backoff(opFirstRetry, opLastRetry, o.tries-2)
	if o.tries >= opMaxTries || now+wait >= o.deadline {
		o.giveUp(s, out)
		return
	}
	o.timer.start(now + wait)
}

// acquired ends the op with this host holding the claim.
func (o *op) acquired(s *System, version uint64) {
	h := &heldClaim{
		req:          o.req,
		row:          o.row,
		claim:        o.claim,
		version:      version,
		guardVersion: o.guardVersion,
		ambiguous:    o.ambiguous,
	}
	s.held[o.req.ID] = h
	s.heldByRow[o.row] = h
	o.finish(s, Acquired{ID: o.req.ID})
}

// giveUp ends the op without a conclusive reply from the platform. The request
// is not dispatched, so a claim that was made or may still be is discarded.
func (o *op) giveUp(s *System, out *system.Outbox) {
	if o.phase == phaseFetch {
		o.finish(s, refuse(o.req.ID, result.AnswerUnreadable, "the kept answer can't be read", retryAfterOutage))
	} else {
		o.finish(s, refuseTableUnreachable(o.req))
	}
	o.discardInserts(s, out)
}

// discardInserts removes the claim that unconfirmed inserts of an ended op may
// have made.
func (o *op) discardInserts(s *System, out *system.Outbox) {
	if o.insertPending || o.ambiguous {
		s.discard(discard{row: o.row, nonce: o.claim.Nonce, guardVersion: o.guardVersion, ambiguous: true}, out)
	}
}

func (o *op) finish(s *System, r Result) {
	delete(s.ops, o.req.ID)
	s.emit(r)
}

// isOwn reports whether this process made the claim.
func (s *System) isOwn(c Claim) bool {
	return c.Holder == s.cfg.Host && c.Incarnation == s.cfg.Incarnation
}
