// Package scheduling runs the pool schedulers that this host owns: it takes over pools,
// passes the custodians' reports to their schedulers, and sends out the schedulers'
// decisions. The scheduling decisions are made by package pool. Like all systems, it does
// no I/O: see package system.
package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

const (
	// warmUpTimeout bounds the wait for the holdings of the other hosts. It is longer
	// than a round trip and shorter than a caller's patience for the first token.
	warmUpTimeout = 300 * time.Millisecond
	// movedPoolRetention is how long a pool that moved to another host is kept for late
	// messages.
	movedPoolRetention = 10 * time.Second
	// missingGrace is how long a dispatched request may be absent from its custodian's
	// holdings before its slot is freed. It covers messages in flight.
	missingGrace = 3 * time.Second
	// maxReportGap is how long a dispatched request may go without a report before its
	// custodian is queried, as its last report may be lost.
	maxReportGap = 2 * missingGrace
	// statusInterval is the interval of status messages to other domains.
	statusInterval = 500 * time.Millisecond
)

// Process identifies one incarnation of a host's process.
type Process struct {
	Host        ident.Host
	Incarnation uint64
}

// View gives access to the membership and the configuration.
type View interface {
	// Scheduler returns the host that currently schedules a pool.
	Scheduler(pool ident.Pool) (ident.Host, bool)
	// Alive returns the live hosts. It includes leaving hosts, as they may hold requests.
	Alive() []ident.Host
	// Incarnation returns the latest known incarnation of a host.
	Incarnation(ident.Host) uint64
	// Domains returns the failure domains with an active endpoint of the target.
	Domains(target string) []ident.Domain
	// HostDomains returns the failure domains that have a host.
	HostDomains() []ident.Domain
}

// Config holds the fixed settings of a System.
type Config struct {
	Self   ident.Host
	Domain ident.Domain
	View   View
	// Seed initializes the schedulers' tie-breaking.
	Seed uint64
	// Quotas enforces the teams' rate limits; nil if there are none.
	Quotas *quota.System
	// Domains prices placements outside the custodian's failure domain.
	Domains domains.Prices
	// ProtectShares is pool.Config.ProtectShares.
	ProtectShares bool
}

// System holds the pools scheduled by this host.
type System struct {
	cfg      Config
	snapshot *resource.Snapshot
	// declared holds the pools that have an endpoint in the snapshot.
	declared  []ident.Pool
	instances map[ident.Pool]*instance
	// suspects holds the known suspects of endpoint crashes.
	suspects map[suspectKey]suspectEntry
	// suspended is set while no pool may start; see Suspend.
	suspended bool
	statusAt  time.Duration
	steps     []Step
	rollouts  rollouts
}

// Step records one call of a pool's scheduler, for traces and explain.
type Step struct {
	// Config identifies the scheduler.
	Config  pool.Config
	Now     time.Duration
	Events  []pool.Event
	Effects []pool.Effect
	// Closings holds the endpoints that the scheduler has closed.
	Closings []pool.Closing
}

// New returns a system without pools.
func New(cfg Config) *System {
	return &System{
		cfg:       cfg,
		instances: map[ident.Pool]*instance{},
		suspects:  map[suspectKey]suspectEntry{},
	}
}

// TakeSteps returns the scheduler steps since the last call.
func (s *System) TakeSteps() []Step {
	out := s.steps
	s.steps = nil
	return out
}

// Configure applies a new configuration to all pools.
func (s *System) Configure(now time.Duration, snap *resource.Snapshot, out *system.Outbox) {
	s.snapshot = snap
	set := map[ident.Pool]bool{}
	for _, e := range snap.Endpoints {
		set[e.Pool()] = true
	}
	s.declared = sortPools(maps.Keys(set))
	for _, p := range s.ownedPools() {
		in := s.instances[p]
		in.enqueue(poolConfiguration(snap, p))
		s.step(now, in, out)
	}
	s.Reassign(now, out)
}

// Reassign takes over the pools that the membership now assigns to this host.
func (s *System) Reassign(now time.Duration, out *system.Outbox) {
	if s.snapshot == nil {
		return
	}
	for _, p := range s.localPools() {
		host, ok := s.cfg.View.Scheduler(p)
		if ok && host == s.cfg.Self {
			s.ensureInstance(now, p, out)
		}
	}
	for _, p := range s.ownedPools() {
		s.updateHosts(now, s.instances[p], out)
	}
}

// localPools returns the pools of this domain that have an endpoint.
func (s *System) localPools() []ident.Pool {
	return slices.DeleteFunc(slices.Clone(s.declared), func(p ident.Pool) bool {
		return p.Domain != s.cfg.Domain
	})
}

// DeclaredPools returns the pools of all domains that have an endpoint. The caller must not modify
// the slice.
func (s *System) DeclaredPools() []ident.Pool {
	return s.declared
}

// Status returns the status of a pool scheduled by this host, or nil.
func (s *System) Status(p ident.Pool) *pool.Status {
	in := s.instances[p]
	if in == nil || in.scheduler == nil || in.movedAt > 0 {
		return nil
	}
	status := in.scheduler.Status()
	status.Epoch = in.epoch
	return &status
}

// ownedPools returns the pools that have an instance on this host.
func (s *System) ownedPools() []ident.Pool {
	return sortPools(maps.Keys(s.instances))
}

// ensureInstance returns the instance of a pool and takes the pool over if there is none.
func (s *System) ensureInstance(now time.Duration, p ident.Pool, out *system.Outbox) *instance {
	if in := s.instances[p]; in != nil {
		in.movedAt = 0
		return in
	}
	return s.takeOver(now, p, out)
}

// advanceEpoch handles the highest epoch that a custodian has seen. It is above this
// scheduler's epoch if another host scheduled the pool in the meantime, possibly for that
// custodian only, while this scheduler kept running. Custodians would refuse this
// scheduler's grants, and it does not know the other one's, so it continues in a higher
// epoch and queries the hosts for their holdings.
func (s *System) advanceEpoch(now time.Duration, in *instance, epoch uint64, out *system.Outbox) {
	in.seenEpoch = max(in.seenEpoch, epoch)
	if in.scheduler == nil || epoch <= in.epoch {
		return
	}
	in.epoch = epoch + 1
	s.notifyQuotas(now)
	queryHoldings(in.pool, s.cfg.View.Alive(), out)
}

// notifyQuotas notifies the quotas that this host took over a pool whose requests another
// host may have charged so far.
func (s *System) notifyQuotas(now time.Duration) {
	if s.cfg.Quotas != nil {
		s.cfg.Quotas.TakeOver(now)
	}
}

// takeOver starts a pool with a warm-up, during which the hosts report their holdings.
func (s *System) takeOver(now time.Duration, p ident.Pool, out *system.Outbox) *instance {
	in := newInstance(now, p, s.cfg.View.Alive())
	s.instances[p] = in
	s.notifyQuotas(now)
	s.queryNewProcesses(in, out)
	return in
}

// queryNewProcesses queries newly discovered processes for their holdings. A newly
// started host may schedule before it has discovered all others.
func (s *System) queryNewProcesses(in *instance, out *system.Outbox) {
	for _, h := range s.cfg.View.Alive() {
		incarnation := s.cfg.View.Incarnation(h)
		if known, ok := in.queried[h]; ok && known >= incarnation {
			continue
		}
		in.queried[h] = incarnation
		queryHoldings(in.pool, []ident.Host{h}, out)
	}
}

// queryHoldings asks hosts for the requests of a pool that they hold.
func queryHoldings(p ident.Pool, hosts []ident.Host, out *system.Outbox) {
	for _, h := range hosts {
		out.Send(h, peerpb.Wrap(&peerpb.Envelope_TakeOver{TakeOver: &peerpb.TakeOver{
			Target: p.Target, Domain: string(p.Domain),
		}}))
	}
}

// updateHosts removes the requests of dead hosts, and marks the pool as moved if another
// host schedules it or it is no longer declared. Tick removes a moved pool after
// movedPoolRetention. For a moved pool, new processes are not queried: when a fleet starts,
// a pool can move over several hosts, and each would query all others.
func (s *System) updateHosts(now time.Duration, in *instance, out *system.Outbox) {
	host, ok := s.cfg.View.Scheduler(in.pool)
	moved := !ok || host != s.cfg.Self || !slices.Contains(s.DeclaredPools(), in.pool)
	if moved && in.movedAt == 0 {
		in.movedAt = now
	}
	alive := s.cfg.View.Alive()
	if !moved {
		s.queryNewProcesses(in, out)
	}
	for _, h := range in.custodianHosts() {
		restarted := s.cfg.View.Incarnation(h) > in.custodians[h].incarnation
		if restarted || !slices.Contains(alive, h) {
			delete(in.awaited, h)
			in.dropHost(h)
		}
	}
	s.step(now, in, out)
}

// Suspend sets whether scheduling is suspended because this host's membership may be
// stale, after a pause in which other hosts may have taken over its pools. When the state
// changes, all instances are given up. While suspended, no pool starts; afterwards, the
// pools still assigned to this host are taken over again.
func (s *System) Suspend(now time.Duration, suspended bool, out *system.Outbox) {
	if suspended == s.suspended {
		return
	}
	s.suspended = suspended
	s.instances = map[ident.Pool]*instance{}
	s.Reassign(now, out)
}

// Restart gives up the state of all pools and takes them over again. The hosts report what they hold.
func (s *System) Restart(now time.Duration, out *system.Outbox) {
	s.instances = map[ident.Pool]*instance{}
	if !s.suspended {
		s.Reassign(now, out)
	}
}

// Tick runs what is due: ends of warm-ups, timers of the schedulers, and status messages
// to other domains.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	for _, p := range s.ownedPools() {
		in := s.instances[p]
		if in.movedAt > 0 && now-in.movedAt > movedPoolRetention {
			delete(s.instances, p)
			continue
		}
		queryHoldings(p, in.unresponsiveHosts(now), out)
		s.step(now, in, out)
	}
	s.tickRollouts(now, out)
	if now >= s.statusAt {
		s.statusAt = now + statusInterval
		s.expireSuspects(now)
		s.sendStatus(out)
		s.resendSuspects(now, out)
	}
}

// NextWake returns the time at which Tick is due.
func (s *System) NextWake() (time.Duration, bool) {
	if len(s.instances) == 0 {
		return 0, false
	}
	next := s.statusAt
	for _, in := range s.instances {
		if at, ok := in.nextWake(); ok {
			next = min(next, at)
		}
	}
	return next, true
}

// OwnedEndpoints returns the endpoints of the pools that this host schedules. This host
// watches their load and cache events.
func (s *System) OwnedEndpoints() []resource.Endpoint {
	var list []resource.Endpoint
	if s.snapshot == nil {
		return nil
	}
	for _, e := range s.snapshot.Endpoints {
		if in := s.instances[e.Pool()]; in != nil && in.movedAt == 0 {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b resource.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// sortPools returns pools in a fixed order.
func sortPools(seq func(func(ident.Pool) bool)) []ident.Pool {
	return slices.SortedFunc(seq, func(a, b ident.Pool) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain))
	})
}

// poolConfiguration returns the part of a configuration that concerns one pool.
func poolConfiguration(snap *resource.Snapshot, p ident.Pool) pool.Configure {
	c := pool.Configure{Revision: snap.Revision}
	for _, name := range slices.Sorted(maps.Keys(snap.Tiers)) {
		c.Tiers = append(c.Tiers, snap.Tiers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Teams)) {
		c.Teams = append(c.Teams, snap.Teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Endpoints)) {
		if e := snap.Endpoints[name]; e.Pool() == p {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	return c
}
