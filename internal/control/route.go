package control

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// receive dispatches a message to the system that handles it.
func (c *Core) receive(m *peerpb.Envelope) {
	from := custody.Scheduler{Host: ident.Host(m.GetFrom()), Incarnation: m.GetIncarnation()}
	c.lastMessageAt[from.Host] = c.now
	c.members.ObserveProcess(from.Host, from.Incarnation)
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_Ping, *peerpb.Envelope_Ack, *peerpb.Envelope_PingReq:
		c.members.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_ConfigOffer, *peerpb.Envelope_ConfigPull, *peerpb.Envelope_ConfigState:
		c.configuration.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_Leaving:
		c.noteLeaving(LeavingEndpoint{ident.Endpoint(body.Leaving.GetEndpoint()), body.Leaving.GetLifetime(), from.Host})
	case *peerpb.Envelope_Grant:
		c.notifyIfLeaving(from.Host, ident.Endpoint(body.Grant.GetEndpoint()))
		c.custody.Granted(c.now, from, body.Grant, &c.out)
	case *peerpb.Envelope_Refuse:
		c.custody.Refused(from, body.Refuse)
	case *peerpb.Envelope_Accept:
		c.custody.Accepted(from, body.Accept)
	case *peerpb.Envelope_Spill:
		c.custody.Spilled(c.now, from, body.Spill, &c.out)
	case *peerpb.Envelope_TakeOver:
		c.custody.TakeOver(c.now, from, body.TakeOver, c.suspectsFor(body.TakeOver), &c.out)
	case *peerpb.Envelope_KeyNote, *peerpb.Envelope_KeyAnswer:
		c.keys.Receive(c.now, m, &c.out)
	case *peerpb.Envelope_Join, *peerpb.Envelope_Part:
		c.effects.JoinMessages = append(c.effects.JoinMessages, m)
	case *peerpb.Envelope_StoreAsk, *peerpb.Envelope_StoreTell:
		c.effects.StoreMessages = append(c.effects.StoreMessages, m)
	case *peerpb.Envelope_Usage:
		c.receiveUsage(from.Host, body.Usage)
	default:
		c.scheduling.Receive(c.now, scheduling.Process(from), m, &c.out)
	}
}

// suspectsFor returns the suspects that this host answers a take-over with. Suspects are published
// to all hosts and stored, so a new scheduler that has missed some gets them from the hosts that
// may schedule the pool. From every host, they would take megabytes in a large fleet.
func (c *Core) suspectsFor(m *peerpb.TakeOver) []*peerpb.Suspect {
	p := ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}
	if c.cfg.External && !slices.Contains(c.candidates(p, c.members.Alive(p.Domain)), c.cfg.Self) {
		return nil
	}
	return c.scheduling.Suspects(c.now)
}

// replied passes the result of a platform call to the system that made it.
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

// callerLeft withdraws a request whose caller closed its connection.
func (c *Core) callerLeft(id ident.Request) {
	c.custody.CallerGone(c.now, id, &c.out)
}

// ended removes a dispatched request from custody and stores the answer of a
// non-idempotent one with its claim.
func (c *Core) ended(e Ended) {
	c.custody.Finished(c.now, e.ID, e.End, &c.out)
	a, ok := c.keyed[e.ID]
	switch {
	case !ok:
	case a.Idempotent:
		c.keys.Finish(c.now, e.ID)
	default:
		c.claims.Finish(e.ID, e.Answer, &c.out)
	}
	delete(c.keyed, e.ID)
}

// handleDirectives carries out the directives about claims and keys and forwards the
// others. It reports whether there were any.
func (c *Core) handleDirectives() bool {
	list := c.custody.Take()
	for _, d := range list {
		switch d.Kind {
		case custody.LookupClaim:
			c.claims.Lookup(c.now, c.wall, claimRequest(c.keyed[d.ID]), &c.out)
		case custody.AcquireClaim:
			at := claim.Placement{Endpoint: d.Endpoint, Attempt: d.Attempt}
			c.claims.Acquire(c.now, c.wall, claimRequest(c.keyed[d.ID]), at, &c.out)
		case custody.ReleaseClaim:
			c.claims.Release(d.ID, &c.out)
		case custody.LookupKey:
			c.lookUpKey(d.ID)
		default:
			c.forwardDirective(d)
		}
	}
	return len(list) > 0
}

// forwardDirective forwards a directive to the data path.
func (c *Core) forwardDirective(d custody.Directive) {
	if d.Kind == custody.Refuse {
		c.claims.Cancel(d.ID, &c.out)
		c.keys.Release(c.now, d.ID, &c.out)
		delete(c.keyed, d.ID)
	}
	c.effects.Directives = append(c.effects.Directives, d)
}

// claimRequest returns a request's description for the claim system.
func claimRequest(a custody.Arrival) claim.Request {
	return claim.Request{
		ID: a.ID, Team: a.Team, Key: a.Key, Fingerprint: a.Fingerprint, FirstAttempt: a.FirstAttempt,
	}
}

// handleClaimResults handles the results of the claim system. It reports whether there
// were any.
func (c *Core) handleClaimResults() bool {
	list := c.claims.Take()
	for _, r := range list {
		c.handleClaimResult(r)
	}
	return len(list) > 0
}

// handleClaimResult handles the result of one lookup or claim.
func (c *Core) handleClaimResult(r claim.Result) {
	id := r.Request()
	switch r := r.(type) {
	case claim.Unclaimed:
		c.custody.KeyChecked(c.now, id, nil, &c.out)
	case claim.Acquired:
		c.custody.Claimed(c.now, id, nil, &c.out)
	case claim.Answered:
		if c.leaveCustody(id) {
			c.effects.Settled = append(c.effects.Settled, StoredAnswer{ID: id, Answer: r.Answer})
		}
	case claim.Running:
		c.joinClaim(id, r)
	case claim.Orphaned:
		c.recoverClaim(r)
	case claim.Refused:
		c.reject(id, r.Err)
	}
}

// joinClaim attaches a request to the answer of the running request with the same key.
func (c *Core) joinClaim(id ident.Request, r claim.Running) {
	if !r.Reachable {
		c.reject(id, &result.Error{
			Code: result.InProgress, RetryAfter: time.Second,
			Reason: "a request with this key runs at a host that can't be reached",
		})
		return
	}
	target := c.keyed[id].Target
	if !c.leaveCustody(id) {
		return
	}
	c.effects.Joins = append(c.effects.Joins, Join{
		ID: id, Custodian: r.Claim.Holder, Request: r.Claim.Request, Target: target,
	})
}

// leaveCustody removes a request from custody because its answer comes from an earlier
// request. It returns false if the request got its final answer in this step.
func (c *Core) leaveCustody(id ident.Request) bool {
	if !c.custody.Joined(c.now, id, &c.out) {
		return false
	}
	delete(c.keyed, id)
	return true
}

// reject ends the lookup or the claim of a request with an error as its final answer.
func (c *Core) reject(id ident.Request, v *result.Error) {
	c.custody.KeyChecked(c.now, id, v, &c.out)
	c.custody.Claimed(c.now, id, v, &c.out)
}
