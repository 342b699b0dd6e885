package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// receive gives a message to the systems it concerns.
func (c *Core) receive(m *peerpb.Envelope) {
	from := custody.Scheduler{Host: ident.Host(m.GetFrom()), Incarnation: m.GetIncarnation()}
	c.heard[from.Host] = c.now
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_Ping, *peerpb.Envelope_Ack, *peerpb.Envelope_PingReq:
		c.members.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_ConfigOffer, *peerpb.Envelope_ConfigPull, *peerpb.Envelope_ConfigState:
		c.configuration.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_Leaving:
		c.endpointLeaves(LeavingEndpoint{ident.Endpoint(body.Leaving.GetEndpoint()), body.Leaving.GetLifetime(), from.Host})
	case *peerpb.Envelope_Grant:
		c.remindOfLeaving(from.Host, ident.Endpoint(body.Grant.GetEndpoint()))
		c.custody.Granted(c.now, from, body.Grant, &c.out)
	case *peerpb.Envelope_Refuse:
		c.custody.Refused(from, body.Refuse)
	case *peerpb.Envelope_Accept:
		c.custody.Accepted(from, body.Accept)
	case *peerpb.Envelope_Spill:
		c.custody.Spilled(c.now, from, body.Spill, &c.out)
	case *peerpb.Envelope_TakeOver:
		c.custody.TakeOver(c.now, from, body.TakeOver, c.scheduling.Suspects(c.now), &c.out)
	case *peerpb.Envelope_KeyNote, *peerpb.Envelope_KeyAnswer:
		c.keys.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_Join, *peerpb.Envelope_Part:
		c.effect.JoinMessages = append(c.effect.JoinMessages, m)
	case *peerpb.Envelope_StoreAsk, *peerpb.Envelope_StoreTell:
		c.effect.StoreMessages = append(c.effect.StoreMessages, m)
	case *peerpb.Envelope_Usage:
		c.quotas.ReceiveReport(c.now, from.Host, usesOf(body.Usage))
	default:
		c.scheduling.Receive(c.now, scheduling.Process(from), m, &c.out)
	}
}

// replied gives the result of a platform call to the system that asked.
func (c *Core) replied(r system.Reply) {
	switch r.Owner {
	case system.OwnerClaim:
		c.claims.Reply(c.now, r, &c.out)
	case system.OwnerOrder:
		c.orders.Reply(c.now, r, &c.out)
	case system.OwnerConfiguration:
		c.configuration.Reply(c.now, r, &c.out)
	}
}

// gone withdraws a request whose caller has left.
func (c *Core) gone(id ident.Request) {
	c.custody.CallerGone(c.now, id, &c.out)
}

// ended takes a dispatched request out of custody and keeps the answer of a
// non-idempotent one.
func (c *Core) ended(e Ended) {
	c.custody.Finished(c.now, e.ID, e.End, &c.out)
	a, ok := c.gated[e.ID]
	switch {
	case !ok:
	case a.Idempotent:
		c.keys.Finish(c.now, e.ID)
	default:
		c.claims.Finish(e.ID, e.Answer, &c.out)
	}
	delete(c.gated, e.ID)
}

// settleDirectives acts on the directives that concern claims and keys and
// passes the others on.
func (c *Core) settleDirectives() bool {
	list := c.custody.Take()
	for _, d := range list {
		switch d.Kind {
		case custody.LookupClaim:
			c.claims.Lookup(c.now, c.wall, claimRequest(c.gated[d.ID]), &c.out)
		case custody.AcquireClaim:
			at := claim.Placement{Endpoint: d.Endpoint, Attempt: d.Attempt}
			c.claims.Acquire(c.now, c.wall, claimRequest(c.gated[d.ID]), at, &c.out)
		case custody.ReleaseClaim:
			c.claims.Release(d.ID, &c.out)
		case custody.LookupKey:
			c.noteKey(d.ID)
		default:
			c.passOn(d)
		}
	}
	return len(list) > 0
}

// passOn gives a directive to the traffic side.
func (c *Core) passOn(d custody.Directive) {
	if d.Kind == custody.Refuse {
		c.claims.Cancel(d.ID, &c.out)
		c.keys.Release(c.now, d.ID, &c.out)
		delete(c.gated, d.ID)
	}
	c.effect.Directives = append(c.effect.Directives, d)
}

// claimRequest returns what the claims need to know of a request.
func claimRequest(a custody.Arrival) claim.Request {
	return claim.Request{
		ID: a.ID, Team: a.Team, Key: a.Key, Fingerprint: a.Fingerprint, FirstAttempt: a.FirstAttempt,
	}
}

// settleClaims acts on the results of the claims.
func (c *Core) settleClaims() bool {
	list := c.claims.Take()
	for _, r := range list {
		c.settleClaim(r)
	}
	return len(list) > 0
}

// settleClaim acts on one result of a look-up or a claim.
func (c *Core) settleClaim(r claim.Result) {
	id := r.Request()
	switch r := r.(type) {
	case claim.Unclaimed:
		c.custody.KeyChecked(c.now, id, nil, &c.out)
	case claim.Acquired:
		c.custody.Claimed(c.now, id, nil, &c.out)
	case claim.Answered:
		if c.leaveCustody(id) {
			c.effect.Settled = append(c.effect.Settled, StoredAnswer{ID: id, Answer: r.Answer})
		}
	case claim.Running:
		c.joinClaim(id, r)
	case claim.Orphaned:
		c.rescueClaim(r)
	case claim.Refused:
		c.verdict(id, r.Err)
	}
}

// joinClaim lets a request take part in the answer of the one that runs.
func (c *Core) joinClaim(id ident.Request, r claim.Running) {
	if !r.Reachable {
		c.verdict(id, &result.Error{
			Code: result.InProgress, RetryAfter: time.Second,
			Reason: "a request with this key runs at a host that can't be reached",
		})
		return
	}
	target := c.gated[id].Target
	if !c.leaveCustody(id) {
		return
	}
	c.effect.Joins = append(c.effect.Joins, Join{
		ID: id, Custodian: r.Claim.Holder, Request: r.Claim.Request, Target: target,
	})
}

// leaveCustody takes a request out of custody whose answer comes from an earlier
// one. It returns false for a request that got its final answer in this step.
func (c *Core) leaveCustody(id ident.Request) bool {
	if !c.custody.Joined(c.now, id, &c.out) {
		return false
	}
	delete(c.gated, id)
	return true
}

// verdict ends the look-up or the claim of a request with a final answer.
func (c *Core) verdict(id ident.Request, v *result.Error) {
	c.custody.KeyChecked(c.now, id, v, &c.out)
	c.custody.Claimed(c.now, id, v, &c.out)
}
