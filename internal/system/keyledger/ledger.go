// Package keyledger remembers, in the memory of the entry hosts, which run was
// the first of an idempotent key. Before a custodian dispatches a request with
// a key, the first two hosts of a rendezvous hash of the key, its holders, must
// both note the run. A resend learns the custodian and the request of the first
// run instead.
//
// Invariant: of two runs of a key at most one is told First, as long as
//   - two hosts' views of the live hosts differ by at most one host, or agree
//     again within SettleTime, and
//   - fewer than all of the hosts that know of the first run are lost within
//     SettleTime of each other.
//
// Two views that differ by one host share a holder. A holder that may have
// missed a note, because it has just started, was paused, took the key over a
// moment ago or can't reach a failure domain, says so, and a run needs the word
// of at least one holder that hasn't. Meanwhile custodians and holders bring
// the notes to the hosts that took keys over.
//
// The package is pure: it is told the time and what happened, and puts what is
// to be sent into an outbox.
package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// Times and bounds.
const (
	// Retention is how long a run is remembered after it was last noted. A run
	// that is under way is noted again in time.
	Retention = 15 * time.Minute
	// RefreshInterval is the time between notes of a run that is under way.
	RefreshInterval = Retention / 3
	// SettleTime is the time within which a change of the hosts is known
	// everywhere and the notes it concerns are at their new holders.
	SettleTime = 5 * time.Second
	// PartitionSettleTime is SettleTime for the end of a cut: longer, because each host
	// notices it in its own round of pings.
	PartitionSettleTime = 10 * time.Second
	// FirstAttemptTimeout is the wait for the holders after which a caller's first
	// attempt is proof enough, where it is one.
	FirstAttemptTimeout = 250 * time.Millisecond
	// HolderTimeout is the wait for the holders otherwise. It is longer than a
	// dead holder stays undetected.
	HolderTimeout = 8 * time.Second
	// PartitionTimeout is the wait while a failure domain can't be reached.
	PartitionTimeout = 500 * time.Millisecond
	// PartitionDetectionTime is the time after which the other side of a cut has noticed
	// it as well.
	PartitionDetectionTime = 2 * membership.ContactInterval
	// ContestTimeout is the wait for another run of the key to give way.
	ContestTimeout = time.Second
	// MaxKeys is the most keys that a host holds, and the most runs whose
	// custodian it is. Beyond it new keys are refused; none is forgotten early.
	MaxKeys = 100_000

	// holdersPerKey is the number of hosts that note a key.
	holdersPerKey = 2
	// resendInterval is the time between questions while a run is undecided.
	resendInterval = 250 * time.Millisecond
	// sweepInterval and sweepBatch spread the work of a change of the hosts.
	sweepInterval = 10 * time.Millisecond
	sweepBatch    = 256
	// sweepAgain is the time to the next try with holders that didn't confirm.
	sweepAgain = time.Second
	// sweepTries bounds these tries: a holder that still refuses holds the key
	// for a run of its own.
	sweepTries = 30
	// sweepSlack is the number of entries of gone notes that are put up with.
	sweepSlack = 1024
)

// View is what the ledger needs of the membership.
type View interface {
	// Members returns every known host, sorted by name.
	Members() []membership.Member
	// Version changes whenever the live hosts do.
	Version() uint64
	// Domains returns the failure domains that have hosts.
	Domains() []ident.Domain
	// Reachable reports whether a host of the domain answered lately.
	Reachable(now time.Duration, domain ident.Domain) bool
	// Fresh reports whether no other host has been heard although there should
	// be some.
	Fresh() bool
	// Minority reports whether this host may be on the smaller side of a cut
	// within the only failure domain.
	Minority() bool
	// StableSince reports whether no host of the own domain has been lost since a
	// time, nor is suspect.
	StableSince(since time.Duration) bool
	// Paused reports whether the own view may be stale.
	Paused(now time.Duration) bool
}

// Config describes this host.
type Config struct {
	Self ident.Host
	View View
}

// Run is a request that wants to be the first of its key.
type Run struct {
	// Key is the team and the idempotency key.
	Key         string
	Request     ident.Request
	Fingerprint uint64
	// FirstAttempt says that the caller has not sent the key before.
	FirstAttempt bool
}

// Outcome says what the ledger knows of a run.
type Outcome int

// Outcomes.
const (
	// First: no other run of the key is known; this one may be dispatched.
	First Outcome = iota
	// Repeat: another run came first.
	Repeat
	// Unproven: the holders can't tell whether the key has run, because some
	// are out of reach. The request must not be dispatched on this account.
	Unproven
	// Full: there is no room to remember another key.
	Full
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"first", "repeat", "unproven", "full"}[o]
}

// Result is the answer to a Note.
type Result struct {
	Request ident.Request
	Outcome Outcome
	// Custodian, Original and Fingerprint describe the first run of a Repeat.
	Custodian   ident.Host
	Original    ident.Request
	Fingerprint uint64
	// Partitioned says of Unproven that a failure domain can't be reached.
	Partitioned bool
	// ByAttempt says of First that the caller's attempt number proved it,
	// because the holders could not be asked.
	ByAttempt bool
}

// Stats counts what the ledger holds and did.
type Stats struct {
	// Held is the number of keys held for others, Runs that of runs whose
	// custodian this host is.
	Held, Runs, Pending int
	// Refused counts notes of known runs that a holder didn't take, because it
	// held the key for another run.
	Refused uint64
}

// System is the key ledger of one host.
type System struct {
	cfg Config

	// notes are the keys that this host holds, runs those whose custodian it
	// is, pending those of its requests that wait for their holders.
	notes   map[string]*note
	runs    map[ident.Request]*run
	pending map[ident.Request]*question
	// asked finds the question, run or note that a sequence number belongs to.
	asked map[uint64]entryRef
	// order lists the pending requests in the order of their arrival.
	order   []ident.Request
	results []Result

	hosts   hostSets
	expiry  expiryQueue
	refresh expiryQueue
	sweep   sweep
	seq     uint64
	refused uint64
}

// New returns an empty ledger.
func New(cfg Config) *System {
	return &System{
		cfg:     cfg,
		notes:   map[string]*note{},
		runs:    map[ident.Request]*run{},
		pending: map[ident.Request]*question{},
		asked:   map[uint64]entryRef{},
	}
}

// Tick does what is due.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	s.follow(now, out)
	s.sweepSome(now, out)
	s.expire(now)
	s.refreshRuns(now, out)
	for _, request := range slices.Clone(s.order) {
		if q, ok := s.pending[request]; ok {
			s.pursue(now, q, out)
		}
	}
}

// follow takes over changes of the view: open questions go to the new holders,
// and what is remembered is brought to them.
func (s *System) follow(now time.Duration, out *system.Outbox) {
	wasCut := s.hosts.cut
	changed := s.hosts.update(now, s.cfg.View)
	if changed {
		s.askAgain(now, out)
	}
	if changed || wasCut && !s.hosts.cut {
		s.startSweep(now)
	}
}

// NextWake returns when Tick is next due; false when nothing waits for a time.
func (s *System) NextWake() (time.Duration, bool) {
	var wake time.Duration
	found := false
	take := func(at time.Duration) {
		if !found || at < wake {
			wake, found = at, true
		}
	}
	for _, q := range s.pending {
		take(q.nextSend)
	}
	if at, ok := s.sweep.wake(s.hosts.cut); ok {
		take(at)
	}
	if at, ok := s.expiry.first(); ok {
		take(at)
	}
	if at, ok := s.refresh.first(); ok {
		take(at)
	}
	return wake, found
}

// Take returns the results since the last call, in order.
func (s *System) Take() []Result {
	results := s.results
	s.results = nil
	return results
}

// Stats returns the counters.
func (s *System) Stats() Stats {
	return Stats{
		Held: len(s.notes), Runs: len(s.runs), Pending: len(s.pending), Refused: s.refused,
	}
}
