// Package configuration keeps a host's copy of the declared resources up to
// date. A few hosts of each failure domain, chosen by a rendezvous hash, read
// the revision from the platform's table often and the others rarely. A host
// with a newer revision offers it to some others at once, which pull it as a
// delta or a whole snapshot and offer it on; what an offer misses is made up
// from the revisions that the membership gossips. So a host that is cut off
// from the platform still hears of changes.
//
// Invariant: the revision in force never falls.
//
// The package is pure: it is told the time and what happened, and puts
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

// Times and bounds.
const (
	// PollInterval is the time between reads of the revision by a poller.
	PollInterval = 2 * time.Second
	// restInterval is, for each host of the domain, the part of the interval
	// between reads of a host that is no poller: the rest of a domain together
	// reads once in this time, however many hosts it has.
	restInterval = 500 * time.Millisecond
	// minRestInterval is the least interval of a host that is no poller.
	minRestInterval = 15 * time.Second
	// pollersPerDomain is the number of pollers in each failure domain.
	pollersPerDomain = 2
	// callTimeout is the wait for a reply of the platform before the call is
	// given up.
	callTimeout = 10 * time.Second
	// pullTimeout is the wait for a pulled revision before another host is
	// asked.
	pullTimeout = time.Second
	// checkInterval is the time between looks at the revisions of the members.
	checkInterval = 2 * time.Second
	// listPage is the number of rows read at a time.
	listPage = 500
	// readAttempts bounds how often rows that changed while they were read are
	// read again.
	readAttempts = 5
	// historyLength is the number of snapshots kept to make deltas from.
	historyLength = 8
)

// View is what the configuration needs of the membership.
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
	// Seed feeds the phase of the polls and the choice of hosts.
	Seed uint64
	View View
	// External says that another part of the process reads the configuration and
	// brings it by Adopt: nothing is polled, offered or pulled.
	External bool
}

// Sources of a configuration beside host names.
const (
	// SourcePlatform is a configuration read from the table.
	SourcePlatform = "platform"
	// SourceOperator is a configuration that a change made at this host led to.
	SourceOperator = "operator"
)

// Status tells operators where the configuration in force comes from.
type Status struct {
	// Revision is 0 while there is no configuration.
	Revision uint64
	// Source is SourcePlatform or the host that it was pulled from.
	Source string
	// AdoptedAt is when it came into force.
	AdoptedAt time.Duration
	// Poller says that this host reads the revision often.
	Poller bool
	// Contacted says whether the platform ever answered; LastContact is when
	// it last did.
	Contacted   bool
	LastContact time.Duration
	// LastError is the last failure of a read; nil after a success.
	LastError error
	// Rejected counts states from other hosts that could not be used.
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

	// offers holds the newest revision that each host said it has.
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

// Status returns where the configuration comes from.
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

// Tick does what is due.
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
		s.check(now, out)
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

// Adopt takes a configuration that a change made at this host has led to. So it
// spreads even if the platform can't be read right after the change.
func (s *System) Adopt(now time.Duration, next *resource.Snapshot, out *system.Outbox) {
	s.adopt(now, next, SourceOperator, out)
}

// adopt brings a newer configuration into force and offers it to others. One
// that isn't newer changes nothing.
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
