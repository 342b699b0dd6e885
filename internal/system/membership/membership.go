// Package membership maintains a host's view of the other entry hosts: which are
// alive, suspect, leaving or dead, and which configuration each has in force. The
// protocol follows SWIM.
//
// Hosts of one failure domain probe each other along a ring at the offsets 1, 2,
// 4 and so on, so that the number of hosts probing each host grows with the
// logarithm of the domain's size. An unanswered probe is repeated indirectly
// through other hosts. A host that answers neither becomes suspect, and dead if it
// doesn't refute the suspicion in time. The pings at the offsets 1, 4, 16 and so on
// carry gossip: the changes since the receiver last acknowledged one.
//
// Across failure domains a host pings a few contacts to learn whether the domain
// is reachable. A few hosts of each domain also send gossip with these pings. An
// unanswered ping of this kind never makes a host suspect, because a network
// partition between domains says nothing about the hosts behind it.
//
// The package performs no I/O: it is passed the time and the events, and puts
// outgoing messages into an outbox.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Timeouts and limits of the protocol.
const (
	// ProbeInterval is the time between rounds of probes.
	ProbeInterval = time.Second
	// AckTimeout is the wait for a direct answer before indirect probes are sent.
	AckTimeout = 400 * time.Millisecond
	// ProbeTimeout is the wait for any answer before the host becomes suspect.
	ProbeTimeout = time.Second
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout = 2 * time.Second
	// DeathTimeout is the minimum time between the last answer of a host and its
	// being declared dead.
	DeathTimeout = ProbeTimeout + SuspicionTimeout
	// PauseLimit is the gap between ticks from which on a host must assume that
	// others have declared it dead. The margin to DeathTimeout covers probes that
	// were in flight when the pause began.
	PauseLimit = DeathTimeout - 500*time.Millisecond
	// RejoinTimeout bounds how long a host waits for an answer after a pause
	// before it continues with its own view.
	RejoinTimeout = 2 * time.Second
	// ContactInterval is the time between pings to hosts of other domains.
	ContactInterval = 2 * time.Second
	// ReachTimeout is the time without an answer from any contact after which a
	// domain is considered unreachable.
	ReachTimeout = 3 * ContactInterval
	// ForgetAfter is how long a dead host is remembered, so that a host that was
	// partitioned in the meantime can't reintroduce it as alive.
	ForgetAfter = 3 * time.Hour

	// FullProbeSize is the largest number of hosts in a domain at which each host
	// probes all others.
	FullProbeSize = 12
	// contactsPerDomain is the number of contacts in each other domain.
	contactsPerDomain = 2
	// gatewaysPerDomain is the number of hosts of a domain that carry gossip to
	// each other domain.
	gatewaysPerDomain = 4
	// gossipRatio is the ratio between successive ring offsets that carry gossip.
	// It is a power of 2, the ratio between successive offsets that are probed.
	gossipRatio = 4
	// urgentDelay is the time from a death, departure or arrival to the round that
	// propagates it, and urgentInterval the minimum time between such rounds.
	urgentDelay    = 50 * time.Millisecond
	urgentInterval = 250 * time.Millisecond
	// indirectProbes is the number of hosts asked for an indirect probe.
	indirectProbes = 3
	// maxGossip bounds the members in one ping.
	maxGossip = 64
	// maxUnreachedProbes bounds the pings to dead hosts and unknown seeds in one round.
	maxUnreachedProbes = 2
	// maxTableRequests bounds the hosts that a started host asks for the whole table in one
	// round. One answer is enough; the others are in case that hosts are lost.
	maxTableRequests = 3
)

// Config describes this host.
type Config struct {
	Self        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is where this host accepts links.
	Address string
	// Capacity is this host's processor capacity in millicores; 0 if unknown.
	Capacity uint32
	// Seed seeds the random choice of helpers.
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
	// gossipClock is incremented with every change of the table, viewVersion only
	// with changes that other systems act on.
	gossipClock uint64
	viewVersion uint64
	// live and domains cache the results of Alive and Domains until the view
	// changes.
	live    map[ident.Domain][]ident.Host
	domains []ident.Domain

	// acked holds the gossip that each host has acknowledged.
	acked map[ident.Host]progress
	// seeds are the hosts in the platform's list, whether they are members or not.
	seeds map[ident.Host]seed
	// nextUnreached iterates over the dead hosts and unknown seeds.
	nextUnreached int

	seq       uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	suspected map[ident.Host]time.Duration
	diedAt    map[ident.Host]time.Duration
	// lost holds the dead hosts that had not announced their departure.
	lost map[ident.Host]bool
	// answeredAt is when a host of each other domain last answered, misses the number of
	// rounds since.
	answeredAt map[ident.Domain]time.Duration
	misses     map[ident.Domain]int

	started   bool
	lastTick  time.Duration
	lastRound time.Duration
	// urgent says that the view has changed since the last round.
	urgent bool
	// fresh says that no other host has sent its table yet. tableRequests counts the hosts
	// that were asked for it in this round, and asked holds all that were.
	fresh         bool
	tableRequests int
	asked         map[ident.Host]bool

	nextProbe   time.Duration
	nextContact time.Duration

	pauses    uint64
	rejoining bool
	rejoinBy  time.Duration
	// rejoinAfter is the sequence number of the last ping before the rejoin began.
	rejoinAfter uint64
	departed    bool
	superseded  bool
}

// seed is a host that may be running. The incarnation is 0 if it is unknown.
type seed struct {
	domain      ident.Domain
	address     string
	incarnation uint64
}

// New returns a membership in which the host knows only itself.
func New(cfg Config) *System {
	s := &System{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		table:      map[ident.Host]*entry{},
		live:       map[ident.Domain][]ident.Host{},
		acked:      map[ident.Host]progress{},
		seeds:      map[ident.Host]seed{},
		probes:     map[uint64]*probe{},
		relays:     map[uint64]relay{},
		suspected:  map[ident.Host]time.Duration{},
		diedAt:     map[ident.Host]time.Duration{},
		lost:       map[ident.Host]bool{},
		answeredAt: map[ident.Domain]time.Duration{},
		misses:     map[ident.Domain]int{},
		asked:      map[ident.Host]bool{},
		fresh:      true,
	}
	self := Member{
		Host:        cfg.Self,
		Incarnation: cfg.Incarnation,
		Domain:      cfg.Domain,
		Address:     cfg.Address,
		Version:     firstVersion,
		Capacity:    cfg.Capacity,
	}
	s.insert(self, cfg.Self)
	return s
}

// SetIncarnation replaces the incarnation of this process, before other hosts know of it.
func (s *System) SetIncarnation(incarnation uint64) {
	s.cfg.Incarnation = incarnation
	s.self().Incarnation = incarnation
}

// SetSeeds adds the hosts in the platform's list. Those with an incarnation become members, so
// that all hosts that start at the same time agree on the members before they have exchanged a
// message; if they are not running, the probes find out. The list may be out of date, so the
// others are used only as addresses to try.
func (s *System) SetSeeds(entries []platform.HostEntry) {
	for _, e := range entries {
		host := ident.Host(e.Host)
		if host == "" || host == s.cfg.Self || e.Address == "" {
			continue
		}
		named := seed{domain: ident.Domain(e.Domain), address: e.Address, incarnation: e.Incarnation}
		if s.seeds[host] == named {
			continue
		}
		s.seeds[host] = named
		s.viewChanged()
		if e.Incarnation > 0 && named.domain != "" {
			s.addListed(Member{
				Host: host, Incarnation: e.Incarnation, Domain: named.domain, Address: e.Address, Version: firstVersion, Capacity: e.Capacity,
			})
		}
	}
}

// firstVersion is the version of a host's row when its process starts.
const firstVersion = 1

// addListed adds the row of a started process that the platform's list or a message of the
// process tells of, unless the process or a later one is known.
func (s *System) addListed(m Member) {
	e := s.table[m.Host]
	if e != nil && e.Incarnation >= m.Incarnation {
		return
	}
	if e == nil {
		at, _ := slices.BinarySearch(s.order, m.Host)
		s.order = slices.Insert(s.order, at, m.Host)
	}
	s.table[m.Host] = &entry{Member: m, introduced: neverBrief, listed: true}
	delete(s.acked, m.Host)
	delete(s.suspected, m.Host)
	delete(s.diedAt, m.Host)
	delete(s.lost, m.Host)
	s.viewChanged()
}

// ObserveProcess records that a process has sent a message. A later process of a known host replaces the
// earlier one at once, before gossip brings its row.
func (s *System) ObserveProcess(host ident.Host, incarnation uint64) {
	if e := s.table[host]; e != nil && host != s.cfg.Self && e.Incarnation < incarnation && !s.departed {
		m := e.Member
		m.Incarnation, m.Version, m.State = incarnation, 0, Alive
		s.addListed(m)
	}
}

// Addresses returns the link address of each known host and each seed. It
// includes dead hosts, which are still pinged occasionally so that the two sides
// of a healed partition find each other.
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

// Alive returns the hosts of a domain that are neither leaving nor dead, sorted by
// name and including this host. The caller must not modify the slice.
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

// Domains returns the sorted failure domains that have a host that isn't dead. The
// caller must not modify the slice.
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

// Reachable reports whether a host of the domain has answered within ReachTimeout.
// This host's own domain is always reachable.
func (s *System) Reachable(now time.Duration, domain ident.Domain) bool {
	if domain == s.cfg.Domain {
		return true
	}
	at, ok := s.answeredAt[domain]
	return ok && now-at < ReachTimeout
}

// Version is incremented whenever a host joins, leaves, dies, returns or changes its
// incarnation, address or capacity, and with each new seed. The results of Alive and
// Addresses change only with it.
func (s *System) Version() uint64 {
	return s.viewVersion
}

// SetRevision announces the revision of the configuration in force here.
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

// amendSelf changes this host's row and increments its version.
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
	e.listed = false
	if old.Incarnation != m.Incarnation {
		e.introduced = s.gossipClock
		delete(s.acked, m.Host)
	}
	if old.Incarnation != m.Incarnation || old.Address != m.Address || old.Capacity != m.Capacity ||
		viewState(old.State) != viewState(m.State) {
		s.viewChanged()
	}
}

// viewState maps a state to the one that other systems act on: Alive, Leaving or Dead.
func viewState(state State) State {
	if state == Suspect {
		return Alive
	}
	return state
}

// viewChanged records a change that other systems act on.
func (s *System) viewChanged() {
	s.viewVersion++
	s.urgent = true
	clear(s.live)
	s.domains = nil
}
