package control

import (
	"maps"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// maxLeavingEndpoints bounds the number of leaving endpoints that are kept.
const maxLeavingEndpoints = 4096

// LeavingEndpoint is an endpoint that announced in an answer that it is leaving.
type LeavingEndpoint struct {
	Endpoint ident.Endpoint
	Lifetime int64
	// Source is the host that received the answer.
	Source ident.Host
}

// noteLeaving records that an endpoint is leaving in its current lifetime, regardless of
// its declared state. If this host received the answer, it notifies the other hosts.
func (c *Core) noteLeaving(x LeavingEndpoint) {
	if known, ok := c.leavingEndpoints[x.Endpoint]; ok && known >= x.Lifetime {
		return
	}
	if len(c.leavingEndpoints) >= maxLeavingEndpoints {
		c.evictLeaving()
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
		c.snapshot = c.drainLeaving(c.declared)
		c.scheduling.Configure(c.now, c.snapshot, &c.out)
	}
}

// evictLeaving makes room in the table of leaving endpoints. Endpoints that are no longer
// declared are evicted first.
func (c *Core) evictLeaving() {
	maps.DeleteFunc(c.leavingEndpoints, func(name ident.Endpoint, _ int64) bool {
		return c.declared == nil || c.declared.Endpoints[string(name)].Name == ""
	})
	for name := range c.leavingEndpoints {
		if len(c.leavingEndpoints) < maxLeavingEndpoints {
			return
		}
		delete(c.leavingEndpoints, name)
	}
}

func leavingMessage(name ident.Endpoint, lifetime int64) *peerpb.Envelope {
	return peerpb.Wrap(&peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Endpoint: string(name), Lifetime: lifetime}})
}

// drainLeaving returns the snapshot with the leaving endpoints set to draining. Other
// lifetimes of an endpoint are not affected.
func (c *Core) drainLeaving(snap *resource.Snapshot) *resource.Snapshot {
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

// notifyIfLeaving notifies a scheduler that granted a leaving endpoint. It may have
// started to schedule, or have been unreachable, after the other hosts were notified.
func (c *Core) notifyIfLeaving(from ident.Host, endpoint ident.Endpoint) {
	lifetime, ok := c.leavingEndpoints[endpoint]
	if !ok || from == c.cfg.Self {
		return
	}
	if e, declared := c.snapshot.Endpoints[string(endpoint)]; declared && e.Started == lifetime {
		c.out.Send(from, leavingMessage(endpoint, lifetime))
	}
}
