package control

import (
	"maps"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// maxLeaving bounds the endpoints that are remembered to leave.
const maxLeaving = 4096

// LeavingEndpoint is an endpoint that said in an answer that it leaves.
type LeavingEndpoint struct {
	Endpoint ident.Endpoint
	Lifetime int64
	// Source is the host that got the answer.
	Source ident.Host
}

// endpointLeaves takes in that a lifetime of an endpoint leaves, whatever its declaration says.
// What an answer to this host told goes on to the others.
func (c *Core) endpointLeaves(x LeavingEndpoint) {
	if known, ok := c.leavingEndpoints[x.Endpoint]; ok && known >= x.Lifetime {
		return
	}
	if len(c.leavingEndpoints) >= maxLeaving {
		c.forgetGone()
	}
	c.leavingEndpoints[x.Endpoint] = x.Lifetime
	c.effect.LeavingEndpoints = append(c.effect.LeavingEndpoints, x)
	if x.Source == c.cfg.Self {
		for _, h := range (schedulingView{c}).Alive() {
			if h != c.cfg.Self {
				c.out.Send(h, leavingMessage(x.Endpoint, x.Lifetime))
			}
		}
	}
	if c.declared != nil {
		c.snapshot = c.withLeaving(c.declared)
		c.scheduling.Configure(c.now, c.snapshot, &c.out)
	}
}

// forgetGone makes room in the table of leaving endpoints: those that are not declared any
// more go first.
func (c *Core) forgetGone() {
	maps.DeleteFunc(c.leavingEndpoints, func(name ident.Endpoint, _ int64) bool {
		return c.declared == nil || c.declared.Endpoints[string(name)].Name == ""
	})
	for name := range c.leavingEndpoints {
		if len(c.leavingEndpoints) < maxLeaving {
			return
		}
		delete(c.leavingEndpoints, name)
	}
}

func leavingMessage(name ident.Endpoint, lifetime int64) *peerpb.Envelope {
	return peerpb.Wrap(&peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Endpoint: string(name), Lifetime: lifetime}})
}

// withLeaving returns a configuration in which the endpoints that leave by their own word
// drain. Another lifetime has said nothing yet.
func (c *Core) withLeaving(snap *resource.Snapshot) *resource.Snapshot {
	var out *resource.Snapshot
	for name, lifetime := range c.leavingEndpoints {
		e, ok := snap.Endpoints[string(name)]
		switch {
		case !ok || e.Started < lifetime:
			continue
		case e.Started > lifetime:
			delete(c.leavingEndpoints, name)
			continue
		}
		if out == nil {
			changed := *snap
			changed.Endpoints = maps.Clone(snap.Endpoints)
			out = &changed
		}
		e.State = resource.EndpointDrain
		out.Endpoints[string(name)] = e
	}
	if out == nil {
		return snap
	}
	return out
}

// remindOfLeaving tells a scheduler that grants an endpoint which leaves: it may have begun
// to schedule, or been out of reach, since others were told.
func (c *Core) remindOfLeaving(from ident.Host, endpoint ident.Endpoint) {
	lifetime, ok := c.leavingEndpoints[endpoint]
	if !ok || from == c.cfg.Self {
		return
	}
	if e, declared := c.snapshot.Endpoints[string(endpoint)]; declared && e.Started == lifetime {
		c.out.Send(from, leavingMessage(endpoint, lifetime))
	}
}
