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

// adoption is the claim of a dead holder whose answer is being rescued.
type adoption struct {
	request claim.Request
	lost    claim.Orphaned
}

// rescueClaim reads the answer of a request whose claim's holder is dead from
// the endpoint.
func (c *Core) rescueClaim(r claim.Orphaned) {
	a, ok := c.gated[r.ID]
	if !ok {
		return
	}
	if len(c.engines(a.Target)) == 0 {
		c.verdict(r.ID, result.New(result.OutcomeUnknown, "the host that ran this key has ended"))
		return
	}
	if !c.leaveCustody(r.ID) {
		return
	}
	c.adopted[r.ID] = adoption{request: claimRequest(a), lost: r}
	c.rescue(r.ID, r.Claim.Request, a.Target)
}

// rescue asks the endpoints of a target for a request's answer.
func (c *Core) rescue(id, request ident.Request, target string) {
	addresses := c.engines(target)
	if len(addresses) == 0 {
		c.effect.Directives = append(c.effect.Directives, custody.Directive{
			Kind: custody.Refuse, ID: id,
			Err: result.New(result.OutcomeUnknown, "the host that ran this key can't be reached"),
		})
		return
	}
	c.effect.Recoveries = append(c.effect.Recoveries, AnswerRecovery{ID: id, Request: request, Addresses: addresses})
}

// engines lists the addresses of a target's model engines, those of the own
// domain first. Plain services can't be asked for an answer again.
func (c *Core) engines(target string) []string {
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

// rescued keeps a whole answer with the claim of its dead holder.
func (c *Core) rescued(e AnswerRecovered) {
	a, ok := c.adopted[e.ID]
	if !ok {
		return
	}
	delete(c.adopted, e.ID)
	if e.Answer.Code == result.OK {
		c.claims.Adopt(a.request, a.lost)
		c.claims.Finish(e.ID, e.Answer, &c.out)
	}
}
