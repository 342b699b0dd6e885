package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// unprovenRetryAfter is the retry delay given to a request whose key could not be looked
// up. It is longer than the detection of a dead host takes.
const unprovenRetryAfter = 3 * time.Second

// lookUpKey asks the key ledger for earlier runs of a request's idempotency key.
func (c *Core) lookUpKey(id ident.Request) {
	a := c.keyed[id]
	c.keys.Register(c.now, keyledger.Run{
		Key: ledgerKey(a), Request: id, Fingerprint: a.Fingerprint, FirstAttempt: a.FirstAttempt,
	}, &c.out)
}

// ledgerKey returns the ledger's key for a request. It includes the team, so that the keys
// of different teams are distinct.
func ledgerKey(a custody.Arrival) string {
	return string(a.Team) + "/" + a.Key
}

// handleKeyResults handles the results of the key ledger. It reports whether there were
// any.
func (c *Core) handleKeyResults() bool {
	list := c.keys.Take()
	for _, r := range list {
		c.handleKeyResult(r)
	}
	return len(list) > 0
}

// handleKeyResult handles the result of one key lookup.
func (c *Core) handleKeyResult(r keyledger.Result) {
	switch r.Outcome {
	case keyledger.First:
		c.custody.KeyChecked(c.now, r.Request, nil, &c.out)
	case keyledger.Repeat:
		c.joinKey(r)
	case keyledger.Unproven:
		c.custody.KeyChecked(c.now, r.Request, &result.Error{
			Code: result.CutOff, RetryAfter: unprovenRetryAfter,
			Reason: "the hosts that would know of earlier runs of the key can't be asked",
		}, &c.out)
	case keyledger.Full:
		c.custody.KeyChecked(c.now, r.Request, &result.Error{
			Code: result.QueueFull, RetryAfter: keyledger.SettleTime,
			Reason: "there is no room to remember another idempotency key",
		}, &c.out)
	}
}

// joinKey attaches a resent request to the answer of the first run of its key.
func (c *Core) joinKey(r keyledger.Result) {
	a, ok := c.keyed[r.Request]
	if !ok {
		return
	}
	if a.Fingerprint != r.Fingerprint {
		c.custody.KeyChecked(c.now, r.Request, result.New(result.KeyMismatch,
			"the idempotency key was used with another request"), &c.out)
		return
	}
	if !c.leaveCustody(r.Request) {
		return
	}
	if m, known := c.members.Member(r.Custodian); known && m.State == membership.Dead {
		c.recoverAnswer(r.Request, r.Original, a.Target)
		return
	}
	c.effect.Joins = append(c.effect.Joins, Join{
		ID: r.Request, Custodian: r.Custodian, Request: r.Original, Target: a.Target,
	})
}
