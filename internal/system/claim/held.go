package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Bounds of keeping answers.
const (
	// maxInlineAnswer is the largest body, in bytes, kept in the row itself.
	maxInlineAnswer = 4 << 10
	// maxUnstored bounds the bytes of all bodies that wait for the platform.
	maxUnstored     = 16 << 20
	storeFirstRetry = 100 * time.Millisecond
	storeLastRetry  = 5 * time.Second
)

// held is a claim that this host holds: its request runs, or its answer is
// being stored.
type held struct {
	req     Request
	row     string
	claim   Claim
	version uint64
	// guard and loose are those of the insert.
	guard uint64
	loose bool
	// adopted says that another process made the claim: it is never removed.
	adopted bool
	// answer is set by Finish. It is whole until it is stored.
	answer *Answer
	// objectStored says that the body is in the object store.
	objectStored bool
	tries        int
	timer        timer
}

// Adopt takes the claim of a process that has ended, so that Finish keeps the
// answer that was resumed from the endpoint. Release gives it back.
func (s *System) Adopt(req Request, lost Orphaned) {
	h := &held{req: req, row: rowKey(req), claim: lost.Claim, version: lost.Version, adopted: true}
	s.held[req.ID] = h
	s.heldRow[h.row] = h
}

// Finish keeps the final answer to a claimed request. Until the table has it,
// a resend gets it from this host. A request that wasn't claimed is ignored.
// When too many bodies wait for the platform, AnswerUnreadable is kept instead.
func (s *System) Finish(id ident.Request, answer Answer, out *system.Outbox) {
	h, ok := s.held[id]
	if !ok || h.answer != nil {
		return
	}
	if s.unstored+len(answer.Body) > maxUnstored {
		answer = Answer{Code: result.AnswerUnreadable}
	}
	s.unstored += len(answer.Body)
	h.answer = &answer
	s.storing[id] = h
	h.send(s, out)
}

// Release ends the claim of a request that was not dispatched and won't be.
func (s *System) Release(id ident.Request, out *system.Outbox) {
	h, ok := s.held[id]
	if !ok || h.answer != nil {
		return
	}
	h.drop(s)
	if h.adopted {
		return
	}
	d := discard{row: h.row, nonce: h.claim.Nonce, guard: h.guard, loose: h.loose}
	if !h.loose {
		d.version = h.version
	}
	s.discard(d, out)
}

// UnstoredAnswer returns the final answer of a request that this host claimed and that
// the table may not have yet.
func (s *System) UnstoredAnswer(id ident.Request) (Answer, bool) {
	h, ok := s.held[id]
	if !ok || h.answer == nil {
		return Answer{}, false
	}
	return *h.answer, true
}

// large reports whether the body goes to the object store.
func (h *held) large() bool {
	return len(h.answer.Body) > maxInlineAnswer
}

// object returns the key of the answer's object. It has the request's id, so
// that the answers of two hosts don't replace each other.
func (h *held) object() string {
	return PrefixAnswer + string(h.claim.Request) + "/" + string(h.req.ID)
}

// send stores first the body, if it is large, and then the row.
func (h *held) send(s *System, out *system.Outbox) {
	if h.large() && !h.objectStored {
		s.call(h, system.Call{Kind: system.CallPutObject, Key: h.object(), Value: h.answer.Body}, out)
		return
	}
	c := h.claim
	stored := *h.answer
	if h.large() {
		stored.Body = nil
		stored.Object = h.object()
	}
	c.Answer = &stored
	s.call(h, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: h.row, Version: h.version}},
		Puts:       []platform.Put{{Key: h.row, Value: c.encode()}},
	}}, out)
}

func (h *held) tick(s *System, now time.Duration, out *system.Outbox) {
	if h.timer.fire(now) {
		h.send(s, out)
	}
}

func (h *held) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case r.Err == nil && h.large() && !h.objectStored:
		h.objectStored = true
		h.send(s, out)
	case r.Err == nil, errors.Is(r.Err, platform.ErrConflict):
		// The row changes only by an answer: on a conflict it is there, from
		// an earlier try or from a host that resumed it.
		h.drop(s)
	default:
		h.timer.start(now + backoff(storeFirstRetry, storeLastRetry, h.tries))
		h.tries++
	}
}

// drop forgets the claim.
func (h *held) drop(s *System) {
	if h.answer != nil {
		s.unstored -= len(h.answer.Body)
	}
	delete(s.held, h.req.ID)
	delete(s.storing, h.req.ID)
	if s.heldRow[h.row] == h {
		delete(s.heldRow, h.row)
	}
}
