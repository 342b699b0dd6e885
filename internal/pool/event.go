// Package pool is the scheduler of one pool: the endpoints of one model or
// plain service in one failure domain. It decides who is admitted, queued,
// placed and shed. It is a pure function of time, events and seed: Step takes
// what happened and returns what to do, and the package holds no goroutine,
// clock, socket or global.
package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Request is what a scheduler knows of one request.
type Request struct {
	ID ident.Request
	// Host is the custodian: the entry host that holds the caller's connection.
	Host ident.Host
	// Rank is the rank of the request's tier; 0 is the highest.
	Rank int
	Team ident.Team
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens bounds the tokens to generate.
	MaxTokens int
	// Deadline is when the whole answer is due, on the scheduler's clock.
	Deadline time.Duration
	// Prefix holds the chained block hashes of the prompt.
	Prefix []uint64
	// PrefixTokens holds the length in tokens of each block of Prefix. If it is
	// empty, every block has prefix.BlockTokens.
	PrefixTokens []int
	// FirstDue is when the first token is due, on the scheduler's clock; 0 for
	// a request without that objective.
	FirstDue time.Duration
	// Patience is when the caller leaves if it has had no token, on the scheduler's
	// clock; 0: not before the deadline.
	Patience time.Duration
	// ExpectedTokens is the caller's own estimate of the answer's length; 0: none.
	ExpectedTokens int
	// Avoid is an endpoint that failed an earlier try of the request.
	Avoid ident.Endpoint
	// Near is the failure domain of the custodian, in a pool of several; empty: any
	// endpoint is as near.
	Near ident.Domain
	// KeyHash is the hash of the team and idempotency key; 0 without a key.
	KeyHash uint64
	// Fingerprint is the hash of the team-independent body.
	Fingerprint uint64
	// Repeats says that honest callers send the same body again and again, at once too: a
	// loss says less of it than of a request with a key.
	Repeats    bool `cbor:",omitempty"`
	Idempotent bool
	// Spilled marks a request that another domain passed on. It is not passed
	// on again.
	Spilled bool
}

// Event is something that happened. Its concrete types are in this file.
type Event interface{ event() }

// Arrive brings a new waiting request.
type Arrive struct{ Request Request }

// Cancel withdraws a request, waiting or granted.
type Cancel struct{ ID ident.Request }

// Started says that the custodian is about to send the first byte.
type Started struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// Declined says that a grant was not used.
type Declined struct {
	ID      ident.Request
	Attempt ident.Attempt
	// Requeue says that the request still waits.
	Requeue bool
	// Unreachable says that the endpoint took no connection, in a lifetime; 0: not known.
	Unreachable bool
	Lifetime    int64 `cbor:",omitempty"`
	// Backoff is for how long the endpoint wants nothing from the request's host.
	Backoff time.Duration `cbor:",omitempty"`
}

// FirstToken says that the first token came.
type FirstToken struct {
	ID      ident.Request
	Attempt ident.Attempt
	// After is the time since dispatch.
	After time.Duration
}

// Outcome says how a dispatched request ended.
type Outcome int

// Outcomes.
const (
	// OutcomeCompleted is a whole answer.
	OutcomeCompleted Outcome = iota
	// OutcomeLost means that the endpoint was lost with the request on it.
	OutcomeLost
	// OutcomeCanceled means that the caller left or the deadline passed.
	OutcomeCanceled
	// OutcomeRejected means that the endpoint said that it has no room and did
	// not run the request.
	OutcomeRejected
	// OutcomeFailed means that the answer failed or broke off, while the
	// endpoint still took connections.
	OutcomeFailed
)

// Finished says that a dispatched request left its endpoint.
type Finished struct {
	ID      ident.Request
	Attempt ident.Attempt
	Outcome Outcome
	// Lifetime is that of the endpoint in which the request ran; 0: not known.
	Lifetime int64 `cbor:",omitempty"`
	// Backoff is for how long the endpoint wants nothing from the request's host.
	Backoff time.Duration `cbor:",omitempty"`
	// Answered says that a whole answer came, though the run may have failed: the endpoint
	// did not end under it.
	Answered     bool `cbor:",omitempty"`
	PromptTokens int
	// CachedTokens is the part of the prompt that the engine found cached; negative
	// if it doesn't say.
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Total        time.Duration
}

// LoadReport is an endpoint's own, lagging report.
type LoadReport struct {
	Endpoint ident.Endpoint
	Running  int
	Waiting  int
	// Age is how old the report is.
	Age time.Duration
}

// CacheEvent is a late notice of an endpoint's prefix cache.
type CacheEvent struct {
	Endpoint ident.Endpoint
	// Stored and Evicted are block hashes.
	Stored  []uint64
	Evicted []uint64
	// Gap says that events before this one were missed.
	Gap bool
}

// Configure sets the declared resources that concern the pool.
type Configure struct {
	Revision  uint64
	Tiers     []resource.Tier
	Teams     []resource.Team
	Endpoints []resource.Endpoint
}

// Running is a dispatched request as its custodian reports it to a scheduler
// that has taken over.
type Running struct {
	Request  Request
	Endpoint ident.Endpoint
	Attempt  ident.Attempt
	// Age is the time since dispatch.
	Age time.Duration
}

// Restore brings what one host holds, after a take-over. Waiting requests are
// queued as of their first arrival order.
type Restore struct {
	Host    ident.Host
	Waiting []Request
	Running []Running
}

// HostLost says that a custodian is dead. Its waiting requests are dropped;
// its running ones keep their slots until the endpoint can be thought free.
type HostLost struct{ Host ident.Host }

// Remote is the room another domain's pool of the same target has.
type Remote struct {
	Domain ident.Domain
	// Free is the number of free slots.
	Free int
	// LowestRank is the numerically largest rank waiting or running there.
	LowestRank int
	// Wait is the expected time in queue by rank.
	Wait []time.Duration
	// Gone says that the domain can't be reached.
	Gone bool
}

// Suspects brings crash suspects that other schedulers of the domain found.
type Suspects struct{ List []Suspect }

func (Arrive) event()     {}
func (Cancel) event()     {}
func (Started) event()    {}
func (Declined) event()   {}
func (FirstToken) event() {}
func (Finished) event()   {}
func (LoadReport) event() {}
func (CacheEvent) event() {}
func (Configure) event()  {}
func (Restore) event()    {}
func (HostLost) event()   {}
func (Remote) event()     {}
func (Suspects) event()   {}

// Suspect is a request that was in flight on an endpoint that crashed.
type Suspect struct {
	KeyHash     uint64
	Fingerprint uint64
	Crashes     int
	Quarantined bool
	// Repeats is that of its requests.
	Repeats bool `cbor:",omitempty"`
	// Age is the time since its last crash, where one host tells another of it.
	Age time.Duration `cbor:",omitempty"`
}

// RequiresIsolation reports whether a suspect runs alone.
func (x *Suspect) RequiresIsolation() bool {
	return !x.Repeats || x.Crashes >= rules.RepeatedCrashesToIsolate
}

// NewRepeatedSuspect returns a suspect among requests that repeat, by how often and how long
// ago endpoints were lost with it.
func NewRepeatedSuspect(fingerprint uint64, crashes int, age time.Duration) Suspect {
	x := Suspect{Fingerprint: fingerprint, Crashes: crashes, Repeats: true, Age: age}
	x.Quarantined = x.Crashes >= x.mostCrashes()
	return x
}

// mostCrashes is from how many crashes on a suspect is quarantined.
func (x *Suspect) mostCrashes() int {
	if x.Repeats {
		return rules.RepeatedCrashesToQuarantine
	}
	return rules.CrashesToQuarantine
}

// Retention is how long a suspect is remembered after its last crash.
func (x *Suspect) Retention() time.Duration {
	if x.Quarantined {
		return rules.QuarantineRetention
	}
	return rules.SuspectRetention
}

// Effect is something to do. Its concrete types are in this file.
type Effect interface{ effect() }

// Grant gives a request one slot.
type Grant struct {
	ID       ident.Request
	Host     ident.Host
	Endpoint ident.Endpoint
	Attempt  ident.Attempt
	// Expires is when an unused grant is void, on the scheduler's clock.
	Expires time.Duration
	// Isolated says that the endpoint runs nothing beside this suspect.
	Isolated bool
	// Why is the placement's reason, for explain.
	Why string
}

// Refuse gives a request its final answer: not run.
type Refuse struct {
	ID         ident.Request
	Host       ident.Host
	Code       result.Code
	RetryAfter time.Duration
	Reason     string
	// Late says that the request could not meet its objective any more.
	Late bool `cbor:",omitempty"`
}

// Spill passes a waiting request to another domain's pool.
type Spill struct {
	ID     ident.Request
	Host   ident.Host
	Domain ident.Domain
	Reason string
}

// Publish tells the other hosts of the domain about suspects.
type Publish struct{ List []Suspect }

func (Grant) effect()   {}
func (Refuse) effect()  {}
func (Spill) effect()   {}
func (Publish) effect() {}

// Config is fixed for the life of a Scheduler.
type Config struct {
	Pool ident.Pool
	// Epoch is the scheduler's epoch; attempts are unique within it.
	Epoch uint64
	// Seed feeds tie-breaking.
	Seed uint64
	// WithoutHolds places every request at once, wherever its prefix is cached. It is
	// there to measure what the waits for prefixes gain.
	WithoutHolds bool
}
