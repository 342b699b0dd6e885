package control

import (
	"maps"
	"slices"
	"strconv"
	"time"

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

// Unresponsive says that a host left a submission without an answer.
func (v custodyView) Unresponsive(h ident.Host) {
	if !v.core.silent(h) {
		v.core.effect.UnresponsiveHosts = append(v.core.effect.UnresponsiveHosts, h)
	}
	m, _ := v.core.members.Member(h)
	v.core.unresponsive[h] = silence{v.core.now, m.Incarnation}
}

// silence is when a process of a host left a submission without an answer.
type silence struct {
	at          time.Duration
	incarnation uint64
}

// silent reports whether the process that a host runs left a submission without an answer
// lately. One that has started since then has not.
func (c *Core) silent(h ident.Host) bool {
	x, known := c.unresponsive[h]
	m, _ := c.members.Member(h)
	return known && c.now-x.at < unresponsiveTime && m.Incarnation <= x.incarnation
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

// HostDomains lists the failure domains that have a host.
func (v schedulingView) HostDomains() []ident.Domain {
	return v.core.members.Domains()
}

// scheduler returns the first host of the rendezvous hash of a pool over its
// domain's live hosts, or over those that are leaving when there are no others.
// A domain that can't be reached has none: its hosts may live or not.
func (c *Core) scheduler(p ident.Pool) (ident.Host, bool) {
	if !c.reachable(p.Domain) {
		return "", false
	}
	hosts := c.responsive(c.members.Alive(p.Domain))
	if len(hosts) == 0 {
		hosts = c.leaving(p.Domain)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return rendezvous.First(p.String(), c.able(hosts)), true
}

// ableShare is the part of the largest host's processor from which on a host takes
// duties for others: their work should find room beside its callers.
const ableShare = 0.5

// able returns the hosts of a list with the most processor, as far as that is told.
// The list is not empty, nor is the result.
func (c *Core) able(hosts []ident.Host) []ident.Host {
	most := uint32(0)
	for _, h := range hosts {
		m, _ := c.members.Member(h)
		most = max(most, m.Capacity)
	}
	if most == 0 {
		return hosts
	}
	var list []ident.Host
	for _, h := range hosts {
		if m, _ := c.members.Member(h); float64(m.Capacity) >= ableShare*float64(most) {
			list = append(list, h)
		}
	}
	return list
}

// storeReaders is how many hosts of a domain read the platform's store for the
// others: two, so that one may die.
const storeReaders = 2

// StoreReaders returns the hosts that read the store for the others, as this host
// sees it.
func (c *Core) StoreReaders() []ident.Host {
	hosts := c.responsive(c.members.Alive(c.cfg.Domain))
	if len(hosts) == 0 {
		return nil
	}
	return rendezvous.Pick("store", c.able(hosts), storeReaders)
}

// LiveHosts returns the hosts of the own failure domain that membership thinks alive.
func (c *Core) LiveHosts() []ident.Host {
	return c.members.Alive(c.cfg.Domain)
}

const (
	// unresponsiveTime is how long a host that left a submission without an answer
	// schedules no pool for this host: membership has found out by then whether it
	// is dead.
	unresponsiveTime = membership.DeathTimeout
	// silenceLimit is the time without a message from a host that is probed each
	// round after which it schedules no pool for this host: one probe and its
	// answer may be late, but not two.
	silenceLimit = 2 * membership.ProbeInterval
)

// responsive returns the hosts of a list that answer this one, as far as is
// known. Membership takes longer to call a host dead, since that has more
// consequences than a pool that moves.
//
// Without External it is left to membership: a host that wakes from a pause has heard
// nobody, and must not schedule by the configuration that it had before.
func (c *Core) responsive(hosts []ident.Host) []ident.Host {
	if !c.cfg.External {
		return hosts
	}
	probesAll := len(hosts) <= membership.FullProbeSize
	answers := func(h ident.Host) bool {
		if h == c.cfg.Self {
			return true
		}
		if c.silent(h) {
			return false
		}
		return !probesAll || c.now-c.heard[h] < silenceLimit
	}
	if !slices.ContainsFunc(hosts, func(h ident.Host) bool { return !answers(h) }) {
		return hosts
	}
	var list []ident.Host
	for _, h := range hosts {
		if answers(h) {
			list = append(list, h)
		}
	}
	return list
}

// reachable reports whether a host of a domain answered lately, or may yet answer
// for the first time.
func (c *Core) reachable(d ident.Domain) bool {
	if c.members.Reachable(c.now, d) {
		c.reached[d] = c.now
		return true
	}
	at, known := c.reached[d]
	if !known {
		c.reached[d] = c.now
		return true
	}
	return c.now-at < membership.ReachTimeout
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
			set[e.Pool().Domain] = true
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

// liveness tells the claims what is known of a claim's holder. A holder that is
// only cut off may count as dead: all that follows is the answer that the request
// may have run.
func (c *Core) liveness(host ident.Host, incarnation uint64) claim.Liveness {
	m, ok := c.members.Member(host)
	switch {
	case !ok:
		return claim.Unreachable
	case m.Incarnation > incarnation:
		return claim.Dead
	case m.State == membership.Dead:
		return claim.Dead
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

// hourMillis is an hour in milliseconds. Sweeping costs its host more than its
// share of the network, so it goes to another host each hour.
const hourMillis = 60 * 60 * 1000

// duties are those of this host.
type duties struct {
	version uint64
	hour    int64
	paused  bool
	orders  bool
	sweep   bool
}

// reviewDuties finds the own duties anew when the hosts or the hour changed.
func (c *Core) reviewDuties() {
	hour := c.wall / hourMillis
	d := &c.duties
	if d.version == c.members.Version() && d.hour == hour && d.paused == c.paused {
		return
	}
	var all []ident.Host
	for _, domain := range c.members.Domains() {
		all = append(all, c.members.Alive(domain)...)
	}
	*d = duties{
		version: c.members.Version(), hour: hour, paused: c.paused,
		orders: c.owns(dutyOrders, c.members.Alive(c.cfg.Domain)),
		sweep:  c.owns(dutySweep+strconv.FormatInt(hour, 10), all),
	}
}

// owns reports whether a duty that one of the hosts has is this host's.
func (c *Core) owns(duty string, hosts []ident.Host) bool {
	return !c.paused && len(hosts) > 0 && rendezvous.First(duty, hosts) == c.cfg.Self
}
