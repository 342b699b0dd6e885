package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Limits and retry delays for storing answers.
const (
	// maxInlineAnswer is the largest body, in bytes, stored in the row itself.
	maxInlineAnswer = 4 << 10
	// maxUnstored limits the total bytes of the bodies waiting to be stored.
	maxUnstored     = 16 << 20
	storeFirstRetry = 100 * time.Millisecond
	storeLastRetry  = 5 * time.Second
)

// heldClaim is a claim that this host holds: its request is running, or its
// answer is being stored.
type heldClaim struct {
	req     Request
	row     string
	claim   Claim
	version uint64
	// guardVersion and ambiguous are those of the insert.
	guardVersion uint64
	ambiguous    bool
	// adopted is set if another process made the claim, which is then never
	// removed.
	adopted bool
	// answer is set by Finish and has the whole body until it is stored.
	answer *Answer
	// objectStored is set once the body is in the object store.
	objectStored bool
	tries        int
	timer        timer
}

// Adopt takes over the claim of a process that has ended, so that Finish stores
// the answer that was resumed from the endpoint. Release gives the claim up
// without removing it.
func (s *System) Adopt(req Request, lost Orphaned) {
	h := &heldClaim{req: req, row: rowKey(req), claim: lost.Claim, version: lost.Version, adopted: true}
	s.held[req.ID] = h
	s.heldByRow[h.row] = h
}

// Finish stores the final answer to a claimed request. Until the table has it,
// resends get it from this host. Requests without a claim are ignored. If too
// many bytes are waiting to be stored, AnswerUnreadable is stored instead.
func (s *System) Finish(id ident.Request, answer Answer, out *system.Outbox) {
	h, ok := s.held[id]
	if !ok || h.answer != nil {
		return
	}
	if s.unstoredBytes+len(answer.Body) > maxUnstored {
		answer = Answer{Code: result.AnswerUnreadable}
	}
	s.unstoredBytes += len(answer.Body)
	h.answer = &answer
	s.storing[id] = h
	h.send(s, out)
}

// Release ends the claim of a request that has not been and won't be dispatched.
func (s *System) Release(id ident.Request, out *system.Outbox) {
	h, ok := s.held[id]
	if !ok || h.answer != nil {
		return
	}
	h.forget(s)
	if h.adopted {
		return
	}
	d := discard{row: h.row, nonce: h.claim.Nonce, guardVersion: h.guardVersion, ambiguous: h.ambiguous}
	if !h.ambiguous {
		d.version = h.version
	}
	s.discard(d, out)
}

// UnstoredAnswer returns the final answer to a request that this host claimed,
// as long as the answer may not be in the table.
func (s *System) UnstoredAnswer(id ident.Request) (Answer, bool) {
	h, ok := s.held[id]
	if !ok || h.answer == nil {
		return Answer{}, false
	}
	return *h.answer, true
}

// large reports whether the body belongs in the object store.
func (h *heldClaim) large() bool {
	return len(h.answer.Body) > maxInlineAnswer
}

// objectKey returns the object store's key for the answer's body. It contains the
// request ID, so that the answers of two hosts don't overwrite each other.
func (h *heldClaim) objectKey() string {
	return PrefixAnswer + string(h.claim.Request) + "/" + string(h.req.ID)
}

// send stores a large body first and then the row.
func (h *heldClaim) send(s *System, out *system.Outbox) {
	if h.large() && !h.objectStored {
		s.call(h, system.Call{Kind: system.CallPutObject, Key: h.objectKey(), Value: h.answer.Body}, out)
		return
	}
	c := h.claim
	stored := *h.answer
	if h.large() {
		stored.Body = nil
		stored.Object = h.objectKey()
	}
	c.Answer = &stored
	s.call(h, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: h.row, Version: h.version}},
		Puts:       []platform.Put{{Key: h.row, Value: c.encode()}},
	}}, out)
}

func (h *heldClaim) tick(s *System, now time.Duration, out *system.Outbox) {
	if h.timer.fire(now) {
		h.send(s, out)
	}
}

func (h *heldClaim) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case r.Err == nil && h.large() && !h.objectStored:
		h.objectStored = true
		h.send(s, out)
	case r.Err == nil, errors.Is(r.Err, platform.ErrConflict):
		// A claim's row changes only when its answer is stored. A conflict
		// means that an answer is there, from an earlier try of this write or
		// from a host that resumed the request.
		h.forget(s)
	default:
		h.timer.start(now + backoff(storeFirstRetry, storeLastRetry, h.tries))
		h.tries++
	}
}

// forget forgets the claim.
func (h *heldClaim) forget(s *System) {
	if h.answer != nil {
		s.unstoredBytes -= len(h.answer.Body)
	}
	delete(s.held, h.req.ID)
	delete(s.storing, h.req.ID)
	if s.heldByRow[h.row] == h {
		delete(s.heldByRow, h.row)
	}
}
