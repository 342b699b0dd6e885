// Package membership keeps a host's view of the other entry hosts: which are
// alive, suspect, leaving or dead, and which configuration each has in force.
//
// Hosts of one failure domain probe each other along a ring with offsets 1, 2,
// 4 and so on, so that each is watched by a number of hosts that grows with
// the logarithm of the domain. A probe that isn't answered is repeated through
// other hosts; a host that answers neither is suspect, and dead when it does
// not refute that in time. The pings at the offsets 1, 4, 16 and so on carry
// gossip: what changed since the receiver last acknowledged one.
//
// Across failure domains a host pings a few contacts, which tells whether the
// domain can be reached; a few hosts of each domain carry gossip to the others
// with these pings. They never make a host suspect, because a cut between
// domains says nothing of the hosts behind it.
//
// The package is pure: it is told the time and what happened, and puts what is
// to be sent into an outbox.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Times and bounds of the protocol.
const (
	// ProbeInterval is the time between rounds of probes.
	ProbeInterval = time.Second
	// AckTimeout is the wait for a direct answer before others are asked.
	AckTimeout = 400 * time.Millisecond
	// ProbeTimeout is the wait for any answer before the host is suspect.
	ProbeTimeout = time.Second
	// SuspicionTimeout is the time a suspect has to refute.
	SuspicionTimeout = 2 * time.Second
	// DeathTimeout is the least time between the last sign of life of a host
	// and the moment that another takes it for dead.
	DeathTimeout = ProbeTimeout + SuspicionTimeout
	// PauseLimit is the gap between ticks from which on a host must think that
	// others have taken it for dead. The margin to DeathTimeout covers probes
	// that were under way when the pause began.
	PauseLimit = DeathTimeout - 500*time.Millisecond
	// RejoinTimeout bounds how long a paused host waits for another's answer
	// before it goes on alone.
	RejoinTimeout = 2 * time.Second
	// ContactInterval is the time between pings to hosts of other domains.
	ContactInterval = 2 * time.Second
	// ReachTimeout is the time without an answer from any contact after which
	// a domain counts as unreachable.
	ReachTimeout = 3 * ContactInterval
	// ForgetAfter is how long a dead host is remembered, so that a host that
	// was cut off in the meantime can't bring it back to life.
	ForgetAfter = 3 * time.Hour

	// FullProbeSize is the largest domain in which each host probes all others.
	FullProbeSize = 12
	// contactsPerDomain is the number of contacts in each other domain.
	contactsPerDomain = 2
	// gatewaysPerDomain is the number of hosts of a domain that carry gossip to
	// each other domain.
	gatewaysPerDomain = 4
	// gossipRatio is the ratio between the ring offsets that carry gossip. It
	// is a power of 2, the ratio between those that are probed.
	gossipRatio = 4
	// urgentDelay is the time from a death, departure or arrival to the round
	// that passes it on, and urgentInterval the least time between rounds.
	urgentDelay    = 50 * time.Millisecond
	urgentInterval = 250 * time.Millisecond
	// indirectProbes is the number of hosts asked to probe on one's behalf.
	indirectProbes = 3
	// maxGossip bounds the members in one ping.
	maxGossip = 64
	// reachOutPerRound bounds the pings to dead hosts and seeds in one round.
	reachOutPerRound = 2
)

// Config describes this host.
type Config struct {
	Self        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is where this host accepts links.
	Address string
	// Capacity is this host's processor in thousandths of a core; 0: not told.
	Capacity uint32
	// Seed feeds the choice of helpers and the phase of the rounds.
	Seed uint64
}

// System is the membership of one host.
type System struct {
	cfg  Config
	rand *rand.Rand

	// table holds every known host, this one included. order lists its keys
	// sorted.
	table map[ident.Host]*entry
	order []ident.Host
	// gossipClock grows with every change of the table; viewVersion only with
	// those that other systems act on.
	gossipClock uint64
	viewVersion uint64
	// live and domains answer Alive and Domains until the view changes.
	live    map[ident.Domain][]ident.Host
	domains []ident.Domain

	// acked holds what each host has acknowledged.
	acked map[ident.Host]progress
	// seeds are hosts that the platform's list names, whether known or not.
	seeds map[ident.Host]seed
	// reachNext walks over the dead hosts and seeds.
	reachNext int

	seq       uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	suspected map[ident.Host]time.Duration
	diedAt    map[ident.Host]time.Duration
	// lost holds the dead hosts that did not announce their departure.
	lost map[ident.Host]bool
	// heard is when a host of another domain last answered; misses counts the
	// rounds since.
	heard  map[ident.Domain]time.Duration
	misses map[ident.Domain]int

	started   bool
	lastTick  time.Duration
	lastRound time.Duration
	// urgent says that the view changed since the last round.
	urgent bool
	// fresh says that no other host has brought its table yet.
	fresh       bool
	nextProbe   time.Duration
	nextContact time.Duration

	pauses    uint64
	rejoining bool
	rejoinBy  time.Duration
	// rejoinAfter is the last ping sent before the rejoining began.
	rejoinAfter uint64
	departed    bool
	superseded  bool
}

// seed is a host that might be there.
type seed struct {
	domain  ident.Domain
	address string
}

// New returns the membership of a host that knows only itself.
func New(cfg Config) *System {
	s := &System{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		table:     map[ident.Host]*entry{},
		live:      map[ident.Domain][]ident.Host{},
		acked:     map[ident.Host]progress{},
		seeds:     map[ident.Host]seed{},
		probes:    map[uint64]*probe{},
		relays:    map[uint64]relay{},
		suspected: map[ident.Host]time.Duration{},
		diedAt:    map[ident.Host]time.Duration{},
		lost:      map[ident.Host]bool{},
		heard:     map[ident.Domain]time.Duration{},
		misses:    map[ident.Domain]int{},
		fresh:     true,
	}
	self := Member{
		Host:        cfg.Self,
		Incarnation: cfg.Incarnation,
		Domain:      cfg.Domain,
		Address:     cfg.Address,
		Version:     1,
		Capacity:    cfg.Capacity,
	}
	s.insert(self, cfg.Self)
	return s
}

// SetSeeds tells which hosts the platform's list names. The list lags: it is used
// only as a set of addresses to try.
func (s *System) SetSeeds(entries []platform.HostEntry) {
	for _, e := range entries {
		host := ident.Host(e.Host)
		if host == "" || host == s.cfg.Self || e.Address == "" {
			continue
		}
		named := seed{domain: ident.Domain(e.Domain), address: e.Address}
		if s.seeds[host] != named {
			s.seeds[host] = named
			s.viewChanged()
		}
	}
}

// Addresses returns where each known host and each seed accepts links. Dead
// hosts are among them: they are still tried now and then, so that the two
// sides of a healed cut find each other.
func (s *System) Addresses() map[ident.Host]string {
	addresses := make(map[ident.Host]string, len(s.table)+len(s.seeds))
	for host, sd := range s.seeds {
		addresses[host] = sd.address
	}
	for host, e := range s.table {
		if host != s.cfg.Self && e.Address != "" {
			addresses[host] = e.Address
		}
	}
	return addresses
}

// Members returns every known host, dead ones included, sorted by name.
func (s *System) Members() []Member {
	members := make([]Member, 0, len(s.order))
	for _, host := range s.order {
		members = append(members, s.table[host].Member)
	}
	return members
}

// Member returns one host.
func (s *System) Member(host ident.Host) (Member, bool) {
	e, ok := s.table[host]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Alive returns the hosts of a domain that are neither leaving nor dead,
// sorted by name; this host too, when it is one of them. The caller must not
// change the slice.
func (s *System) Alive(domain ident.Domain) []ident.Host {
	if hosts, ok := s.live[domain]; ok {
		return hosts
	}
	hosts := []ident.Host{}
	for _, host := range s.order {
		e := s.table[host]
		if e.Domain == domain && e.State <= Suspect {
			hosts = append(hosts, host)
		}
	}
	s.live[domain] = hosts
	return hosts
}

// Domains returns the failure domains that have hosts that are not dead,
// sorted. The caller must not change the slice.
func (s *System) Domains() []ident.Domain {
	if s.domains != nil {
		return s.domains
	}
	s.domains = []ident.Domain{}
	for _, host := range s.order {
		e := s.table[host]
		if e.State == Dead {
			continue
		}
		if at, found := slices.BinarySearch(s.domains, e.Domain); !found {
			s.domains = slices.Insert(s.domains, at, e.Domain)
		}
	}
	return s.domains
}

// Reachable reports whether a host of the domain answered lately. The own
// domain is always reachable.
func (s *System) Reachable(now time.Duration, domain ident.Domain) bool {
	if domain == s.cfg.Domain {
		return true
	}
	at, ok := s.heard[domain]
	return ok && now-at < ReachTimeout
}

// Version grows whenever a host comes, dies, leaves, returns, or changes its
// incarnation or address, and with each new seed. What Alive and Addresses
// return doesn't change without it.
func (s *System) Version() uint64 {
	return s.viewVersion
}

// SetRevision tells the other hosts which configuration is in force here.
func (s *System) SetRevision(revision uint64) {
	self := s.self()
	if self.Revision == revision {
		return
	}
	s.amendSelf(func(m *Member) { m.Revision = revision })
}

// self returns this host's row.
func (s *System) self() *entry {
	return s.table[s.cfg.Self]
}

// amendSelf changes this host's row under a new version.
func (s *System) amendSelf(change func(*Member)) {
	m := s.self().Member
	change(&m)
	m.Version++
	s.replace(m, s.cfg.Self)
}

// insert adds a host to the table.
func (s *System) insert(m Member, from ident.Host) {
	s.gossipClock++
	s.table[m.Host] = &entry{
		Member:      m,
		changed:     s.gossipClock,
		introduced:  s.gossipClock,
		learnedFrom: from,
	}
	at, _ := slices.BinarySearch(s.order, m.Host)
	s.order = slices.Insert(s.order, at, m.Host)
	s.viewChanged()
}

// replace overwrites the row of a known host.
func (s *System) replace(m Member, from ident.Host) {
	e := s.table[m.Host]
	old := e.Member
	s.gossipClock++
	e.Member = m
	e.changed = s.gossipClock
	e.learnedFrom = from
	if old.Incarnation != m.Incarnation {
		e.introduced = s.gossipClock
		delete(s.acked, m.Host)
	}
	if old.Incarnation != m.Incarnation || old.Address != m.Address || partOf(old.State) != partOf(m.State) {
		s.viewChanged()
	}
}

// partOf reduces a state to what other systems act on: live, leaving or dead.
func partOf(state State) State {
	if state == Suspect {
		return Alive
	}
	return state
}

// viewChanged notes a change that other systems act on.
func (s *System) viewChanged() {
	s.viewVersion++
	s.urgent = true
	clear(s.live)
	s.domains = nil
}
