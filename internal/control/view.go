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

// custodyView gives custody access to the configuration and the membership.
type custodyView struct{ core *Core }

// Domains returns the domains with an active endpoint of the target: this host's
// domain first, then the others sorted by name.
func (v custodyView) Domains(target string) []ident.Domain {
	return v.core.servedDomains(target)
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

// Unresponsive records that a host did not answer a submission.
func (v custodyView) Unresponsive(h ident.Host) {
	if !v.core.isUnresponsive(h) {
		v.core.effects.UnresponsiveHosts = append(v.core.effects.UnresponsiveHosts, h)
	}
	m, _ := v.core.members.Member(h)
	v.core.unresponsive[h] = unansweredSubmission{v.core.now, m.Incarnation}
}

// unansweredSubmission records when a process of a host did not answer a submission.
type unansweredSubmission struct {
	at          time.Duration
	incarnation uint64
}

// isUnresponsive reports whether a host's current process left a submission unanswered
// within unresponsiveTime. A process that started later is not affected.
func (c *Core) isUnresponsive(h ident.Host) bool {
	last, known := c.unresponsive[h]
	m, _ := c.members.Member(h)
	return known && c.now-last.at < unresponsiveTime && m.Incarnation <= last.incarnation
}

// Endpoint returns a declared endpoint.
func (v custodyView) Endpoint(name ident.Endpoint) (resource.Endpoint, bool) {
	if v.core.snapshot == nil {
		return resource.Endpoint{}, false
	}
	e, ok := v.core.snapshot.Endpoints[string(name)]
	return e, ok
}

// schedulingView gives scheduling access to the configuration and the membership.
type schedulingView struct{ core *Core }

// Scheduler returns the host that schedules a pool.
func (v schedulingView) Scheduler(p ident.Pool) (ident.Host, bool) {
	return v.core.scheduler(p)
}

// Alive returns all hosts that may hold requests, including leaving ones.
func (v schedulingView) Alive() []ident.Host {
	var list []ident.Host
	for _, m := range v.core.members.Members() {
		if m.State != membership.Dead {
			list = append(list, m.Host)
		}
	}
	return list
}

// Incarnation returns the latest known incarnation of a host.
func (v schedulingView) Incarnation(h ident.Host) uint64 {
	m, _ := v.core.members.Member(h)
	return m.Incarnation
}

// Domains returns the domains with an active endpoint of the target.
func (v schedulingView) Domains(target string) []ident.Domain {
	return v.core.servedDomains(target)
}

// HostDomains returns the failure domains that have a host.
func (v schedulingView) HostDomains() []ident.Domain {
	return v.core.members.Domains()
}

// scheduler returns the host that schedules a pool: the first responsive one of the rendezvous
// hash over its domain's capable live hosts, or over the leaving ones if there are no others. It
// returns false if the domain is unreachable, because then the state of its hosts is
// unknown.
func (c *Core) scheduler(p ident.Pool) (ident.Host, bool) {
	if !c.reachable(p.Domain) {
		return "", false
	}
	alive := c.members.Alive(p.Domain)
	for _, h := range c.candidates(p, alive) {
		if c.responds(h, len(alive)) {
			return h, true
		}
	}
	hosts := c.responsive(alive)
	if len(hosts) == 0 {
		hosts = c.leavingHosts(p.Domain)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return rendezvous.First(p.String(), c.capableHosts(hosts)), true
}

// maxCandidates is the number of hosts of which one schedules a pool, unless all are unresponsive.
const maxCandidates = 8

// candidates returns the hosts that may schedule a pool, best first. They are kept until the
// membership changes, since they depend on all hosts and the scheduler is looked up for each
// waiting request.
func (c *Core) candidates(p ident.Pool, alive []ident.Host) []ident.Host {
	if c.rankedVersion != c.members.Version() {
		clear(c.ranked)
		c.rankedVersion = c.members.Version()
	}
	list, ok := c.ranked[p]
	if !ok {
		list = rendezvous.Pick(p.String(), c.capableHosts(alive), maxCandidates)
		c.ranked[p] = list
	}
	return list
}

// minCapacityShare is the smallest processor capacity, relative to the largest host, at
// which a host takes on duties for other hosts. On a smaller host they would compete with
// its own callers.
const minCapacityShare = 0.5

// capableHosts returns the hosts with at least minCapacityShare of the largest capacity,
// or all hosts if no capacity is known. The result is empty only if hosts is.
func (c *Core) capableHosts(hosts []ident.Host) []ident.Host {
	maxCapacity := uint32(0)
	for _, h := range hosts {
		m, _ := c.members.Member(h)
		maxCapacity = max(maxCapacity, m.Capacity)
	}
	if maxCapacity == 0 {
		return hosts
	}
	var list []ident.Host
	for _, h := range hosts {
		if m, _ := c.members.Member(h); float64(m.Capacity) >= minCapacityShare*float64(maxCapacity) {
			list = append(list, h)
		}
	}
	return list
}

// storeReaderCount is the number of hosts per domain that read the platform's store on
// behalf of the others. With two, one may fail.
const storeReaderCount = 2

// StoreReaders returns the hosts of this domain that read the platform's store on behalf
// of the others, according to this host's membership.
func (c *Core) StoreReaders() []ident.Host {
	hosts := c.responsive(c.members.Alive(c.cfg.Domain))
	if len(hosts) == 0 {
		return nil
	}
	return rendezvous.Pick("store", c.capableHosts(hosts), storeReaderCount)
}

// LiveHosts returns the hosts of this failure domain that are alive according to the
// membership.
func (c *Core) LiveHosts() []ident.Host {
	return c.members.Alive(c.cfg.Domain)
}

const (
	// unresponsiveTime is how long a host that did not answer a submission counts as
	// unresponsive. By then, membership has detected whether it is dead.
	unresponsiveTime = membership.DeathTimeout
	// maxMessageGap is the time without a message after which a host that is probed in
	// each round counts as unresponsive. It tolerates one late probe or answer, but not
	// two.
	maxMessageGap = 2 * membership.ProbeInterval
)

// responsive returns the hosts that are not known to be unresponsive. Membership takes
// longer to declare a host dead, since that has more consequences than moving a pool.
//
// Without External it returns all hosts and relies on membership alone: a host that resumes
// after a pause has no recent messages, and must not schedule by its old configuration.
func (c *Core) responsive(hosts []ident.Host) []ident.Host {
	if !c.cfg.External {
		return hosts
	}
	silent := func(h ident.Host) bool { return !c.responds(h, len(hosts)) }
	if !slices.ContainsFunc(hosts, silent) {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), silent)
}

// responds reports whether a host of a domain with the given number of live hosts is not known to
// be unresponsive.
func (c *Core) responds(h ident.Host, domainHosts int) bool {
	switch {
	case !c.cfg.External || h == c.cfg.Self:
		return true
	case c.isUnresponsive(h):
		return false
	}
	return domainHosts > membership.FullProbeSize || c.now-c.lastMessageAt[h] < maxMessageGap
}

// reachable reports whether a host of the domain answered recently. A newly known domain
// counts as reachable for membership.ReachTimeout.
func (c *Core) reachable(d ident.Domain) bool {
	if c.members.Reachable(c.now, d) {
		c.lastReachableAt[d] = c.now
		return true
	}
	at, known := c.lastReachableAt[d]
	if !known {
		c.lastReachableAt[d] = c.now
		return true
	}
	return c.now-at < membership.ReachTimeout
}

// leavingHosts returns the leaving hosts of a domain.
func (c *Core) leavingHosts(d ident.Domain) []ident.Host {
	var list []ident.Host
	for _, m := range c.members.Members() {
		if m.Domain == d && m.State == membership.Leaving {
			list = append(list, m.Host)
		}
	}
	return list
}

// servedDomains returns the domains that have an active endpoint of the target and a host
// to schedule it, this host's domain first.
func (c *Core) servedDomains(target string) []ident.Domain {
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

// peerAddresses returns the addresses of the other hosts, both members and seeds.
func (c *Core) peerAddresses() map[ident.Host]string {
	addresses := maps.Clone(c.members.Addresses())
	delete(addresses, c.cfg.Self)
	return addresses
}

// liveness returns the liveness of a claim's holder. A holder that is only unreachable may
// count as dead; the worst consequence is the answer that the request may have run.
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

// Duties performed by one host on behalf of others.
const (
	// dutyOrders is sending the orders to the domain's endpoints.
	dutyOrders = "orders"
	// dutySweep is deleting the rows of old claims of all domains.
	dutySweep = "sweep"
)

// hourMillis is an hour in milliseconds. The sweep moves to another host each hour,
// because it uses more than one host's share of the network.
const hourMillis = 60 * 60 * 1000

// duties holds the duties of this host and the state that they were computed from.
type duties struct {
	version uint64
	hour    int64
	paused  bool
	orders  bool
	sweep   bool
}

// updateDuties recomputes this host's duties when the membership, the hour or the paused
// state has changed.
func (c *Core) updateDuties() {
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

// owns reports whether this host is the one of the given hosts that has the duty.
func (c *Core) owns(duty string, hosts []ident.Host) bool {
	return !c.paused && len(hosts) > 0 && rendezvous.First(duty, hosts) == c.cfg.Self
}
