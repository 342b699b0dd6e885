// Package configuration keeps a host's copy of the declared resources up to
// date. A few hosts of each failure domain, chosen by rendezvous hashing, poll the
// revision in the platform's table frequently, the others rarely. A host that gets a
// newer revision offers it to some other hosts at once. They pull it as a delta or
// a full snapshot and offer it in turn. Hosts that miss an offer learn of the
// revision from the membership's gossip. So changes also reach a host that can't
// reach the platform.
//
// Invariant: the revision in force never decreases.
//
// The package performs no I/O: it is passed the time and the events, and puts
// messages and platform calls into an outbox.
package configuration

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// Intervals, timeouts and limits.
const (
	// PollInterval is the time between reads of the revision by a poller.
	PollInterval = 2 * time.Second
	// nonPollerInterval is multiplied by the number of hosts of the domain to get
	// the interval between reads of a host that isn't a poller. So the non-pollers
	// of a domain together read about once in this time, whatever its size.
	nonPollerInterval = 500 * time.Millisecond
	// minNonPollerInterval is the minimum interval of a host that isn't a poller.
	minNonPollerInterval = 15 * time.Second
	// pollersPerDomain is the number of pollers in each failure domain.
	pollersPerDomain = 2
	// callTimeout is the wait for a reply of the platform before a call is
	// abandoned.
	callTimeout = 10 * time.Second
	// pullTimeout is the wait for an answer to a pull before another host is asked.
	pullTimeout = time.Second
	// checkInterval is the time between checks of the members' revisions.
	checkInterval = 2 * time.Second
	// listPage is the number of rows read per call.
	listPage = 500
	// readAttempts bounds how often the rows are read if they change meanwhile.
	readAttempts = 5
	// historyLength is the number of snapshots kept as bases for deltas.
	historyLength = 8
)

// View gives access to the membership.
type View interface {
	// Alive returns the live hosts of a domain, sorted.
	Alive(domain ident.Domain) []ident.Host
	// Domains returns the domains that have hosts, sorted.
	Domains() []ident.Domain
	// Members returns every known host, sorted by name.
	Members() []membership.Member
}

// Config describes this host.
type Config struct {
	Self   ident.Host
	Domain ident.Domain
	// Seed seeds the jitter of the polls and the choice of hosts.
	Seed uint64
	View View
	// External says that another part of the process reads the configuration and
	// passes it to Adopt: nothing is polled, offered or pulled.
	External bool
}

// Sources of a configuration other than host names.
const (
	// SourcePlatform is a configuration read from the table.
	SourcePlatform = "platform"
	// SourceOperator is a configuration that results from a change made at this host.
	SourceOperator = "operator"
)

// Status describes, for operators, where the configuration in force comes from.
type Status struct {
	// Revision is 0 while there is no configuration.
	Revision uint64
	// Source is SourcePlatform, SourceOperator or the host that it was pulled from.
	Source string
	// AdoptedAt is when the configuration came into force.
	AdoptedAt time.Duration
	// Poller says that this host polls the revision frequently.
	Poller bool
	// Contacted says that the platform has answered; LastContact is when it last
	// did.
	Contacted   bool
	LastContact time.Duration
	// LastError is the error of the last read; nil if it succeeded.
	LastError error
	// Rejected counts the states from other hosts that could not be used.
	Rejected uint64
}

// System is the configuration of one host.
type System struct {
	cfg  Config
	rand *rand.Rand

	current *resource.Snapshot
	history history
	status  Status

	started   bool
	nextPoll  time.Duration
	nextCheck time.Duration
	token     uint64
	read      *read

	// offers holds the newest revision that each host is known to have.
	offers map[ident.Host]uint64
	pull   *pull
}

// New returns the configuration of a host that has none yet.
func New(cfg Config) *System {
	return &System{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Self)))),
		offers: map[ident.Host]uint64{},
	}
}

// Current returns the configuration in force, or nil when there is none yet.
func (s *System) Current() *resource.Snapshot {
	return s.current
}

// Status returns the status of the configuration in force.
func (s *System) Status() Status {
	status := s.status
	status.Revision = s.revision()
	status.Poller = s.poller()
	return status
}

// revision returns the revision in force; 0 when there is none.
func (s *System) revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// Tick handles expired timeouts and starts the reads and pulls that are due.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	if s.cfg.External {
		return
	}
	if !s.started {
		s.started = true
		s.nextPoll = now
		s.nextCheck = now
	}
	if s.read != nil && now >= s.read.deadline {
		s.endRead(now, errNoReply)
	}
	if now >= s.nextPoll && s.read == nil {
		s.startRead(now, out)
	}
	s.expirePull(now, out)
	if now >= s.nextCheck {
		s.nextCheck = now + checkInterval
		s.pullMissed(now, out)
	}
}

// NextWake returns when Tick is next due.
func (s *System) NextWake() (time.Duration, bool) {
	if s.cfg.External {
		return 0, false
	}
	if !s.started {
		return 0, true
	}
	wake := s.nextCheck
	if s.read != nil {
		wake = min(wake, s.read.deadline)
	} else {
		wake = min(wake, s.nextPoll)
	}
	if s.pull != nil {
		wake = min(wake, s.pull.deadline)
	}
	return wake, true
}

// Adopt brings a configuration into force that results from a change made at this
// host. So the change spreads even if the platform can't be read right after it.
func (s *System) Adopt(now time.Duration, next *resource.Snapshot, out *system.Outbox) {
	s.adopt(now, next, SourceOperator, out)
}

// adopt brings a configuration into force and offers it to other hosts. It does
// nothing if the configuration isn't newer.
func (s *System) adopt(now time.Duration, next *resource.Snapshot, source string, out *system.Outbox) {
	if next.Revision <= s.revision() {
		return
	}
	s.current = next
	s.status.Source = source
	s.status.AdoptedAt = now
	if s.cfg.External {
		return
	}
	s.history.add(next)
	for host, revision := range s.offers {
		if revision < next.Revision {
			delete(s.offers, host)
		}
	}
	s.offer(out)
}
