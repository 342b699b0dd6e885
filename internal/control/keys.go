package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// unprovenRetry is the time to come back for a request whose key could not be
// looked up. It is longer than a dead host stays undetected.
const unprovenRetry = 3 * time.Second

// noteKey looks up the earlier runs of an idempotent key.
func (c *Core) noteKey(id ident.Request) {
	a := c.gated[id]
	c.keys.Register(c.now, keyledger.Run{
		Key: ledgerKey(a), Request: id, Fingerprint: a.Fingerprint, FirstAttempt: a.FirstAttempt,
	}, &c.out)
}

// ledgerKey returns a team's key as the ledger knows it.
func ledgerKey(a custody.Arrival) string {
	return string(a.Team) + "/" + a.Key
}

// settleKeys acts on the results of the key ledger.
func (c *Core) settleKeys() bool {
	list := c.keys.Take()
	for _, r := range list {
		c.settleKey(r)
	}
	return len(list) > 0
}

// settleKey acts on the result of one look-up.
func (c *Core) settleKey(r keyledger.Result) {
	switch r.Outcome {
	case keyledger.First:
		c.custody.KeyChecked(c.now, r.Request, nil, &c.out)
	case keyledger.Repeat:
		c.joinKey(r)
	case keyledger.Unproven:
		c.custody.KeyChecked(c.now, r.Request, &result.Error{
			Code: result.CutOff, RetryAfter: unprovenRetry,
			Reason: "the hosts that would know of earlier runs of the key can't be asked",
		}, &c.out)
	case keyledger.Full:
		c.custody.KeyChecked(c.now, r.Request, &result.Error{
			Code: result.QueueFull, RetryAfter: keyledger.SettleTime,
			Reason: "there is no room to remember another idempotency key",
		}, &c.out)
	}
}

// joinKey lets a resend take part in the first run's answer.
func (c *Core) joinKey(r keyledger.Result) {
	a, ok := c.gated[r.Request]
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
		c.rescue(r.Request, r.Original, a.Target)
		return
	}
	c.effect.Joins = append(c.effect.Joins, Join{
		ID: r.Request, Custodian: r.Custodian, Request: r.Original, Target: a.Target,
	})
}
