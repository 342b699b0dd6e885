// Package keyledger records, in the memory of the entry hosts, which run was the
// first under an idempotency key. Before a custodian dispatches a request with a
// key, both holders of the key must record the run. The holders are the first
// two hosts by rendezvous hashing. A resend gets the custodian and the request
// of the first run instead.
//
// Invariant: of two runs of a key at most one gets the outcome First, as long as
//   - two hosts' views of the live hosts differ by at most one host, or agree
//     again within SettleTime, and
//   - the hosts that know of the first run are not all lost within SettleTime of
//     each other.
//
// Two views that differ by one host share a holder. A holder may have missed a
// run if it has just started, was paused, has just become a holder of the key or
// can't reach a failure domain. It then says in its answer that it isn't
// settled, and a run needs the answer of at least one settled holder. Meanwhile
// custodians and holders replicate their records to the new holders.
//
// The package does no I/O and reads no clock: the caller passes in the time and
// the events, and messages to send go into an outbox.
package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// Timeouts, intervals and limits.
const (
	// Retention is how long a record is kept after its last refresh. The record
	// of an active run is refreshed before that.
	Retention = 15 * time.Minute
	// RefreshInterval is the time between refreshes of an active run's records.
	RefreshInterval = Retention / 3
	// SettleTime is the time within which a change of the host set is known
	// everywhere and the affected records are at their new holders.
	SettleTime = 5 * time.Second
	// PartitionSettleTime is SettleTime after the end of a partition. It is
	// longer, because each host detects the end in its own round of pings.
	PartitionSettleTime = 10 * time.Second
	// FirstAttemptTimeout is how long a request waits for the holders if it is
	// known to be the caller's first attempt and that suffices as proof.
	FirstAttemptTimeout = 250 * time.Millisecond
	// HolderTimeout is how long other requests wait for the holders. It is longer
	// than the time to detect a dead holder.
	HolderTimeout = 8 * time.Second
	// PartitionTimeout is how long a request waits for the holders while a
	// failure domain is unreachable.
	PartitionTimeout = 500 * time.Millisecond
	// PartitionDetectionTime is the time after which the other side of a partition
	// has detected it as well.
	PartitionDetectionTime = 2 * membership.ContactInterval
	// ConflictTimeout is how long a run waits for a conflicting run of the key to
	// yield.
	ConflictTimeout = time.Second
	// MaxKeys is the maximum number of keys that a host holds, and of runs that it
	// is the custodian of. Above it new keys are refused; none is evicted early.
	MaxKeys = 100_000

	// holdersPerKey is the number of hosts that record a key.
	holdersPerKey = 2
	// resendInterval is the time between queries while a run is undecided.
	resendInterval = 250 * time.Millisecond
	// rebalanceInterval and rebalanceBatch spread the work after a change of
	// the host set over time.
	rebalanceInterval = 10 * time.Millisecond
	rebalanceBatch    = 256
	// rebalanceRetryInterval is the delay before records are sent again to
	// holders that didn't confirm them.
	rebalanceRetryInterval = time.Second
	// rebalanceMaxRetries limits these retries. A holder that still refuses
	// holds the key for another run.
	rebalanceMaxRetries = 30
	// maxStaleEntries is the number of entries without a record or run that are
	// tolerated before the list is compacted.
	maxStaleEntries = 1024
)

// View is the part of the membership that the ledger uses.
type View interface {
	// Members returns every known host, sorted by name.
	Members() []membership.Member
	// Version changes whenever the set of live hosts changes.
	Version() uint64
	// Domains returns the failure domains that have hosts.
	Domains() []ident.Domain
	// Reachable reports whether a host of the domain has answered recently.
	Reachable(now time.Duration, domain ident.Domain) bool
	// Fresh reports whether no other host has been heard from although others
	// are expected.
	Fresh() bool
	// Minority reports whether this host may be on the smaller side of a
	// partition within the only failure domain.
	Minority() bool
	// StableSince reports whether no host of this host's domain has been lost since
	// the given time and none is suspect.
	StableSince(since time.Duration) bool
	// Paused reports whether this host's view may be stale.
	Paused(now time.Duration) bool
}

// Config configures a System.
type Config struct {
	Self ident.Host
	View View
}

// Run is a request that is to run as the first under its key.
type Run struct {
	// Key is composed of the team and the idempotency key.
	Key         string
	Request     ident.Request
	Fingerprint uint64
	// FirstAttempt is set if the caller states that it has not sent the key
	// before.
	FirstAttempt bool
}

// Outcome is the ledger's decision on a run.
type Outcome int

// Outcomes.
const (
	// First means that no other run of the key is known; this one may be
	// dispatched.
	First Outcome = iota
	// Repeat means that another run came first.
	Repeat
	// Unproven means that the ledger can't tell whether the key has run, because
	// some holders can't be reached. The request must not be dispatched on the
	// strength of the ledger.
	Unproven
	// Full means that there is no room to record another key.
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
	// Partitioned is set with Unproven if a failure domain is unreachable.
	Partitioned bool
	// ByAttempt is set with First if the caller's attempt number was the proof,
	// because not all holders answered.
	ByAttempt bool
}

// Stats holds the ledger's sizes and counters.
type Stats struct {
	// Held is the number of keys that this host holds, Runs the number of runs
	// that it is the custodian of, Pending the number of undecided runs.
	Held, Runs, Pending int
	// Refused counts the replicated records that a holder refused, because it
	// held the key for another run.
	Refused uint64
}

// System is the key ledger of one host.
type System struct {
	cfg Config

	// records holds the keys that this host is a holder of, runs the first runs
	// that it is the custodian of, pending its requests that await their holders.
	records map[string]*record
	runs    map[ident.Request]*firstRun
	pending map[ident.Request]*query
	// refBySeq maps a sequence number to its query, run or record.
	refBySeq map[uint64]entryRef
	// pendingOrder lists the pending requests in order of arrival.
	pendingOrder []ident.Request
	results      []Result

	hosts     hostSets
	expiry    expiryQueue
	refresh   expiryQueue
	rebalance rebalance
	seq       uint64
	refused   uint64
}

// New returns an empty ledger.
func New(cfg Config) *System {
	return &System{
		cfg:      cfg,
		records:  map[string]*record{},
		runs:     map[ident.Request]*firstRun{},
		pending:  map[ident.Request]*query{},
		refBySeq: map[uint64]entryRef{},
	}
}

// Tick does the work that is due.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	s.updateHosts(now, out)
	s.stepRebalance(now, out)
	s.expire(now)
	s.refreshRuns(now, out)
	for _, request := range slices.Clone(s.pendingOrder) {
		if q, ok := s.pending[request]; ok {
			s.advance(now, q, out)
		}
	}
}

// updateHosts takes over changes of the view: it sends open queries to the new
// holders and starts replicating records to them.
func (s *System) updateHosts(now time.Duration, out *system.Outbox) {
	wasPartitioned := s.hosts.partitioned
	changed := s.hosts.update(now, s.cfg.View)
	if changed {
		s.requeryAll(now, out)
	}
	if changed || wasPartitioned && !s.hosts.partitioned {
		s.startRebalance(now)
	}
}

// NextWake returns when Tick is next due. It returns false if no work is
// scheduled.
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
	if at, ok := s.rebalance.wake(s.hosts.partitioned); ok {
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

// Take returns the results since the previous call, in order.
func (s *System) Take() []Result {
	results := s.results
	s.results = nil
	return results
}

// Stats returns the ledger's sizes and counters.
func (s *System) Stats() Stats {
	return Stats{
		Held: len(s.records), Runs: len(s.runs), Pending: len(s.pending), Refused: s.refused,
	}
}
