package control

import (
	"maps"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// claimRecovery is the recovery of the answer to a claim whose holder is dead.
type claimRecovery struct {
	request claim.Request
	lost    claim.Orphaned
}

// recoverClaim starts to recover the answer of a claim whose holder is dead from the
// endpoint.
func (c *Core) recoverClaim(r claim.Orphaned) {
	a, ok := c.keyed[r.ID]
	if !ok {
		return
	}
	if len(c.engineAddresses(a.Target)) == 0 {
		c.reject(r.ID, result.New(result.OutcomeUnknown, "the host that ran this key has ended"))
		return
	}
	if !c.leaveCustody(r.ID) {
		return
	}
	c.recovering[r.ID] = claimRecovery{request: claimRequest(a), lost: r}
	c.recoverAnswer(r.ID, r.Claim.Request, a.Target)
}

// recoverAnswer queries the endpoints of a target for the answer of a request.
func (c *Core) recoverAnswer(id, request ident.Request, target string) {
	addresses := c.engineAddresses(target)
	if len(addresses) == 0 {
		c.effect.Directives = append(c.effect.Directives, custody.Directive{
			Kind: custody.Refuse, ID: id,
			Err: result.New(result.OutcomeUnknown, "the host that ran this key can't be reached"),
		})
		return
	}
	c.effect.Recoveries = append(c.effect.Recoveries, AnswerRecovery{ID: id, Request: request, Addresses: addresses})
}

// engineAddresses returns the addresses of a target's model engines, those of this host's
// domain first. Plain services do not support reading an answer again.
func (c *Core) engineAddresses(target string) []string {
	var own, other []string
	for _, name := range slices.Sorted(maps.Keys(c.snapshot.Endpoints)) {
		e := c.snapshot.Endpoints[name]
		switch {
		case e.Target != target || e.Type != resource.EndpointEngine:
		case e.Domain == c.cfg.Domain:
			own = append(own, e.Address)
		default:
			other = append(other, e.Address)
		}
	}
	return append(own, other...)
}

// answerRecovered stores a complete answer with the claim of its dead holder.
func (c *Core) answerRecovered(e AnswerRecovered) {
	a, ok := c.recovering[e.ID]
	if !ok {
		return
	}
	delete(c.recovering, e.ID)
	if e.Answer.Code == result.OK {
		c.claims.Adopt(a.request, a.lost)
		c.claims.Finish(e.ID, e.Answer, &c.out)
	}
}
