package control

import (
	"maps"
	"slices"

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
// its declared state. If this host received the answer, it notifies the hosts that may grant the
// endpoint.
func (c *Core) noteLeaving(leaving LeavingEndpoint) {
	if known, ok := c.leavingEndpoints[leaving.Endpoint]; ok && known >= leaving.Lifetime {
		return
	}
	if len(c.leavingEndpoints) >= maxLeavingEndpoints {
		c.evictLeaving()
	}
	c.leavingEndpoints[leaving.Endpoint] = leaving.Lifetime
	c.effects.LeavingEndpoints = append(c.effects.LeavingEndpoints, leaving)
	if leaving.Source == c.cfg.Self {
		for _, h := range c.leavingRecipients(leaving.Endpoint) {
			if h != c.cfg.Self {
				c.out.Send(h, leavingMessage(leaving.Endpoint, leaving.Lifetime))
			}
		}
	}
	if c.declared != nil {
		c.snapshot = c.drainLeaving(c.declared)
		c.scheduling.Configure(c.now, c.snapshot, &c.out)
	}
}

// leavingCandidates is the number of hosts per pool that are notified of a leaving endpoint: the
// scheduler and those that would follow it.
const leavingCandidates = 3

// leavingRecipients returns the hosts that schedule an endpoint's target, or would next, in each
// domain. All hosts with requests for the target receive the answer that says that the endpoint
// leaves, so if each notified all others, it would open a link to every one of them. For an
// endpoint that isn't declared it returns all hosts.
func (c *Core) leavingRecipients(endpoint ident.Endpoint) []ident.Host {
	if c.declared == nil || c.declared.Endpoints[string(endpoint)].Name == "" || !c.cfg.External {
		return schedulingView{c}.Alive()
	}
	recipients := map[ident.Host]bool{}
	for _, d := range c.members.Domains() {
		pool := ident.Pool{Target: c.declared.Endpoints[string(endpoint)].Target, Domain: d}
		if host, ok := c.scheduler(pool); ok {
			recipients[host] = true
		}
		list := c.candidates(pool, c.members.Alive(d))
		for _, host := range list[:min(leavingCandidates, len(list))] {
			recipients[host] = true
		}
	}
	return slices.Sorted(maps.Keys(recipients))
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
