// Package scheduling runs the pool schedulers that this host owns: it takes
// pools over, feeds their schedulers with what the custodians report, and sends
// their decisions out. The decisions themselves are in package pool. The system
// is pure: see package system.
package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

const (
	// warmUpLimit bounds the wait for what the other hosts hold. It is longer
	// than a round trip and shorter than a caller's patience for a first token.
	warmUpLimit = 300 * time.Millisecond
	// idleLimit is how long a pool that moved away is kept for late messages.
	idleLimit = 10 * time.Second
	// missingGrace is how long a dispatched request may be absent from its
	// custodian's holdings before its slot is freed; it covers messages under
	// way.
	missingGrace = 3 * time.Second
	// silentLimit is how long a dispatched request may go without a word of its
	// custodian before that is asked: its last report may be lost.
	silentLimit = 2 * missingGrace
	// statusInterval is the time between two words to other domains.
	statusInterval = 500 * time.Millisecond
)

// Process is one run of a host's process.
type Process struct {
	Host        ident.Host
	Incarnation uint64
}

// View is what scheduling needs to know of the membership.
type View interface {
	// Scheduler returns the host that schedules a pool now.
	Scheduler(pool ident.Pool) (ident.Host, bool)
	// Alive lists the live hosts, leaving ones included: they may hold requests.
	Alive() []ident.Host
	// Incarnation returns the latest incarnation of a host.
	Incarnation(ident.Host) uint64
	// Domains lists the failure domains with an active endpoint of the target.
	Domains(target string) []ident.Domain
	// HostDomains lists the failure domains that have a host.
	HostDomains() []ident.Domain
}

// Config is fixed for the life of a System.
type Config struct {
	Self   ident.Host
	Domain ident.Domain
	View   View
	// Seed feeds the schedulers' tie-breaking.
	Seed uint64
	// Quotas keeps the teams' rates; nil: there are none.
	Quotas *quota.System
}

// System is the table of pools that this host schedules.
type System struct {
	cfg       Config
	snapshot  *resource.Snapshot
	instances map[ident.Pool]*instance
	// suspects is what the hosts of the domain know of crashes.
	suspects map[suspectKey]suspectRow
	// held says that no pool may start, see Hold.
	held     bool
	statusAt time.Duration
	steps    []Step
}

// Step records one call of a pool's scheduler, for traces and explain.
type Step struct {
	// Config tells which scheduler it was.
	Config  pool.Config
	Now     time.Duration
	Events  []pool.Event
	Effects []pool.Effect
	// Closings are the endpoints that it closed.
	Closings []pool.Closing
}

// New returns a system without pools.
func New(cfg Config) *System {
	return &System{
		cfg:       cfg,
		instances: map[ident.Pool]*instance{},
		suspects:  map[suspectKey]suspectRow{},
	}
}

// TakeSteps returns the scheduler steps since the last call.
func (s *System) TakeSteps() []Step {
	out := s.steps
	s.steps = nil
	return out
}

// Configure brings a new configuration to every pool.
func (s *System) Configure(now time.Duration, snap *resource.Snapshot, out *system.Outbox) {
	s.snapshot = snap
	for _, p := range s.owned() {
		in := s.instances[p]
		in.queue(configure(snap, p))
		s.step(now, in, out)
	}
	s.Reassign(now, out)
}

// Reassign takes over the pools that the membership now gives to this host.
func (s *System) Reassign(now time.Duration, out *system.Outbox) {
	if s.snapshot == nil {
		return
	}
	for _, p := range s.declared() {
		host, ok := s.cfg.View.Scheduler(p)
		if ok && host == s.cfg.Self {
			s.own(now, p, out)
		}
	}
	for _, p := range s.owned() {
		s.reviewHosts(now, s.instances[p], out)
	}
}

// declared lists the pools of this domain that have an endpoint.
func (s *System) declared() []ident.Pool {
	return slices.DeleteFunc(s.DeclaredPools(), func(p ident.Pool) bool {
		return p.Domain != s.cfg.Domain
	})
}

// DeclaredPools lists the pools of every domain that have an endpoint.
func (s *System) DeclaredPools() []ident.Pool {
	set := map[ident.Pool]bool{}
	for _, e := range s.snapshot.Endpoints {
		set[e.Pool()] = true
	}
	return sortPools(maps.Keys(set))
}

// Status describes a pool that is scheduled here, or returns nil.
func (s *System) Status(p ident.Pool) *pool.Status {
	in := s.instances[p]
	if in == nil || in.scheduler == nil || in.movedAt > 0 {
		return nil
	}
	status := in.scheduler.Status()
	status.Epoch = in.epoch
	return &status
}

// owned lists the pools with a scheduler here.
func (s *System) owned() []ident.Pool {
	return sortPools(maps.Keys(s.instances))
}

// own starts the scheduler of a pool, unless it runs.
func (s *System) own(now time.Duration, p ident.Pool, out *system.Outbox) *instance {
	if in := s.instances[p]; in != nil {
		in.movedAt = 0
		return in
	}
	return s.takeOver(now, p, out)
}

// supersede looks at the highest epoch that a custodian has seen. Another host that
// scheduled the pool in between, maybe for that custodian alone, had a higher one than
// a scheduler that never stopped here. Custodians would refuse this one's grants, and it
// doesn't know of the other's: it goes on in an epoch above and asks what the hosts hold.
func (s *System) supersede(now time.Duration, in *instance, epoch uint64, out *system.Outbox) {
	in.seenEpoch = max(in.seenEpoch, epoch)
	if in.scheduler == nil || epoch <= in.epoch {
		return
	}
	in.epoch = epoch + 1
	s.chargeAnew(now)
	ask(in.pool, s.cfg.View.Alive(), out)
}

// chargeAnew tells the teams' rates that another host may have charged them.
func (s *System) chargeAnew(now time.Duration) {
	if s.cfg.Quotas != nil {
		s.cfg.Quotas.TakeOver(now)
	}
}

// takeOver starts a pool with a warm-up, in which the hosts tell what they hold.
func (s *System) takeOver(now time.Duration, p ident.Pool, out *system.Outbox) *instance {
	in := newInstance(now, p, s.cfg.View.Alive())
	s.instances[p] = in
	s.chargeAnew(now)
	s.askNew(in, out)
	return in
}

// askNew asks the processes that have come to be known for what they hold. A host that
// has just started schedules before it has heard of all others.
func (s *System) askNew(in *instance, out *system.Outbox) {
	for _, h := range s.cfg.View.Alive() {
		incarnation := s.cfg.View.Incarnation(h)
		if known, ok := in.asked[h]; ok && known >= incarnation {
			continue
		}
		in.asked[h] = incarnation
		ask(in.pool, []ident.Host{h}, out)
	}
}

// ask asks hosts for what they hold of a pool.
func ask(p ident.Pool, hosts []ident.Host, out *system.Outbox) {
	for _, h := range hosts {
		out.Send(h, peerpb.Wrap(&peerpb.Envelope_TakeOver{TakeOver: &peerpb.TakeOver{
			Target: p.Target, Domain: string(p.Domain),
		}}))
	}
}

// reviewHosts drops what dead hosts had, and the pool itself some time after it
// moved to another host or out of the configuration.
func (s *System) reviewHosts(now time.Duration, in *instance, out *system.Outbox) {
	alive := s.cfg.View.Alive()
	s.askNew(in, out)
	for _, h := range in.hosts() {
		restarted := s.cfg.View.Incarnation(h) > in.custodians[h].incarnation
		if restarted || !slices.Contains(alive, h) {
			delete(in.awaited, h)
			in.loseHost(h)
		}
	}
	s.step(now, in, out)
	host, ok := s.cfg.View.Scheduler(in.pool)
	moved := !ok || host != s.cfg.Self || !slices.Contains(s.DeclaredPools(), in.pool)
	if moved && in.movedAt == 0 {
		in.movedAt = now
	}
}

// Suspend says whether this process's view of the others may be stale, because it
// stood still for a time in which they may have taken over. It gives up every
// pool then, and starts none before the view is known to be fresh again: what is
// still this host's is taken over anew.
func (s *System) Suspend(now time.Duration, held bool, out *system.Outbox) {
	if held == s.held {
		return
	}
	s.held = held
	s.instances = map[ident.Pool]*instance{}
	s.Reassign(now, out)
}

// Tick runs what is due: ends of warm-up, timers of the schedulers, words to
// other domains.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	for _, p := range s.owned() {
		in := s.instances[p]
		if in.movedAt > 0 && now-in.movedAt > idleLimit {
			delete(s.instances, p)
			continue
		}
		ask(p, in.silentHosts(now), out)
		s.step(now, in, out)
	}
	if now >= s.statusAt {
		s.statusAt = now + statusInterval
		s.sweepSuspects(now)
		s.sendStatus(out)
		s.tellSuspects(now, out)
	}
}

// NextWake returns when Tick is due.
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

// OwnedEndpoints lists the endpoints of the pools that this host schedules; their
// load and cache events are watched from here.
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

// configure selects what concerns one pool.
func configure(snap *resource.Snapshot, p ident.Pool) pool.Configure {
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
