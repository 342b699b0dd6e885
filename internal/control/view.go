package control

import (
	"maps"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// custodyView shows custody the configuration and the membership.
type custodyView struct{ core *Core }

// Domains lists the domains with an active endpoint of the target: the own one
// first, then the others in the order of their names.
func (v custodyView) Domains(target string) []ident.Domain {
	return v.core.domains(target)
}

// Scheduler returns the process that schedules a pool.
func (v custodyView) Scheduler(p ident.Pool) (custody.Scheduler, bool) {
	host, ok := v.core.scheduler(p)
	if !ok {
		return custody.Scheduler{}, false
	}
	m, ok := v.core.members.Member(host)
	return custody.Scheduler{Host: host, Incarnation: m.Incarnation}, ok
}

// Endpoint returns a declared endpoint.
func (v custodyView) Endpoint(name ident.Endpoint) (resource.Endpoint, bool) {
	if v.core.snapshot == nil {
		return resource.Endpoint{}, false
	}
	e, ok := v.core.snapshot.Endpoints[string(name)]
	return e, ok
}

// schedulingView shows scheduling the configuration and the membership.
type schedulingView struct{ core *Core }

// Scheduler returns the host that schedules a pool.
func (v schedulingView) Scheduler(p ident.Pool) (ident.Host, bool) {
	return v.core.scheduler(p)
}

// Alive lists every host that may hold requests.
func (v schedulingView) Alive() []ident.Host {
	var list []ident.Host
	for _, m := range v.core.members.Members() {
		if m.State != membership.Dead {
			list = append(list, m.Host)
		}
	}
	return list
}

// Incarnation returns the latest incarnation of a host.
func (v schedulingView) Incarnation(h ident.Host) uint64 {
	m, _ := v.core.members.Member(h)
	return m.Incarnation
}

// Domains lists the domains with an active endpoint of the target.
func (v schedulingView) Domains(target string) []ident.Domain {
	return v.core.domains(target)
}

// scheduler returns the first host of the rendezvous hash of a pool over its
// domain's live hosts, or over those that are leaving when there are no others.
func (c *Core) scheduler(p ident.Pool) (ident.Host, bool) {
	hosts := c.members.Alive(p.Domain)
	if len(hosts) == 0 {
		hosts = c.leaving(p.Domain)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return rendezvous.First(p.String(), hosts), true
}

// leaving lists the hosts of a domain that finish what they hold.
func (c *Core) leaving(d ident.Domain) []ident.Host {
	var list []ident.Host
	for _, m := range c.members.Members() {
		if m.Domain == d && m.State == membership.Leaving {
			list = append(list, m.Host)
		}
	}
	return list
}

// domains lists the domains that have an active endpoint of the target and a
// host to schedule it, the own one first.
func (c *Core) domains(target string) []ident.Domain {
	if c.snapshot == nil {
		return nil
	}
	set := map[ident.Domain]bool{}
	for _, e := range c.snapshot.Endpoints {
		if e.Target == target && e.State == resource.EndpointActive {
			set[e.Domain] = true
		}
	}
	list := slices.Sorted(maps.Keys(set))
	if i := slices.Index(list, c.cfg.Domain); i > 0 {
		list = slices.Insert(slices.Delete(list, i, i+1), 0, c.cfg.Domain)
	}
	return slices.DeleteFunc(list, func(d ident.Domain) bool {
		_, ok := c.scheduler(ident.Pool{Target: target, Domain: d})
		return !ok
	})
}

// peerAddresses returns the addresses of the other hosts, known or seeds.
func (c *Core) peerAddresses() map[ident.Host]string {
	addresses := maps.Clone(c.members.Addresses())
	delete(addresses, c.cfg.Self)
	return addresses
}

// liveness tells the claims what is known of a claim's holder.
func (c *Core) liveness(host ident.Host, incarnation uint64) claim.Liveness {
	m, ok := c.members.Member(host)
	switch {
	case !ok:
		return claim.Unreachable
	case m.Incarnation > incarnation:
		return claim.Dead
	case m.State == membership.Dead:
		return claim.Unreachable
	default:
		return claim.Alive
	}
}

// Duties that one host does for others.
const (
	// dutyOrders is sending orders to the domain's endpoints.
	dutyOrders = "orders"
	// dutySweep is removing the rows of old claims, for all domains.
	dutySweep = "sweep"
)

// sendsOrders reports whether this host is the one to send its domain's orders.
func (c *Core) sendsOrders() bool {
	return c.owns(dutyOrders, c.members.Alive(c.cfg.Domain))
}

// sweeps reports whether this host is the one to remove old claims.
func (c *Core) sweeps() bool {
	var hosts []ident.Host
	for _, d := range c.members.Domains() {
		hosts = append(hosts, c.members.Alive(d)...)
	}
	return c.owns(dutySweep, hosts)
}

// owns reports whether a duty that one of the hosts has is this host's.
func (c *Core) owns(duty string, hosts []ident.Host) bool {
	return !c.paused && len(hosts) > 0 && rendezvous.First(duty, hosts) == c.cfg.Self
}
