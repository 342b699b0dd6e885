// Package pool is the scheduler of one pool: the endpoints of one model or plain
// service in one failure domain. It decides which requests are admitted, queued,
// placed and shed. Its decisions are a pure function of time, events and seed: Step
// takes events and returns effects, and the package holds no goroutine, clock, socket
// or global state.
package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Request is what a scheduler knows about a request.
type Request struct {
	ID ident.Request
	// Host is the custodian: the host that holds the caller's connection.
	Host ident.Host
	// Rank is the rank of the request's tier; 0 is the highest.
	Rank int
	Team ident.Team
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens bounds the number of tokens to generate.
	MaxTokens int
	// Deadline is when the complete answer is due, on the scheduler's clock.
	Deadline time.Duration
	// Prefix holds the chained block hashes of the prompt.
	Prefix []uint64
	// PrefixTokens holds the length in tokens of each block of Prefix. If it is empty,
	// every block has prefix.BlockTokens.
	PrefixTokens []int
	// FirstDue is when the first token is due, on the scheduler's clock; 0 for a
	// request without an objective for it.
	FirstDue time.Duration
	// Patience is when the caller disconnects if it has had no token, on the
	// scheduler's clock; 0: not before the deadline.
	Patience time.Duration
	// ExpectedTokens is the caller's own estimate of the answer's length; 0: none.
	ExpectedTokens int
	// Avoid is an endpoint on which an earlier try of the request failed.
	Avoid ident.Endpoint
	// Near is the failure domain of the custodian, in a pool that spans several; if it
	// is empty, all endpoints are equally near.
	Near ident.Domain
	// Bytes is the expected number of bytes of the request and its answer; 0 if it is not known.
	Bytes int `cbor:",omitempty"`
	// KeyHash is the hash of the team and idempotency key; 0 without a key.
	KeyHash uint64
	// Fingerprint is the hash of the body, independent of the team.
	Fingerprint uint64
	// Parts holds the fingerprints of the prompt's parts that other requests may share,
	// wherever they stand in the prompt.
	Parts []uint64 `cbor:",omitempty"`
	// Repeats means that legitimate callers send the same body repeatedly, also
	// concurrently. The loss of an endpoint is then weaker evidence against the request
	// than it is against a request with a key.
	Repeats    bool `cbor:",omitempty"`
	Idempotent bool
	// Spilled marks a request that another domain passed on. It is not passed on again.
	Spilled bool
	// Route is the hash of the name of the request's route; 0 if it is not known.
	Route uint64 `cbor:",omitempty"`
}

// Event is an input of the scheduler. Its concrete types are in this file.
type Event interface{ event() }

// Arrive adds a new waiting request.
type Arrive struct{ Request Request }

// Cancel withdraws a waiting or granted request.
type Cancel struct{ ID ident.Request }

// Started reports that the custodian is about to send the first byte to the endpoint.
type Started struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// Declined reports that a grant was not used.
type Declined struct {
	ID      ident.Request
	Attempt ident.Attempt
	// Requeue means that the request still waits.
	Requeue bool
	// Unreachable means that the endpoint accepted no connection. Lifetime is the
	// endpoint's lifetime at that time; 0: not known.
	Unreachable bool
	Lifetime    int64 `cbor:",omitempty"`
	// Backoff is for how long the endpoint asked the request's host to send nothing.
	Backoff time.Duration `cbor:",omitempty"`
}

// FirstToken reports that the first token arrived.
type FirstToken struct {
	ID      ident.Request
	Attempt ident.Attempt
	// After is the time since dispatch.
	After time.Duration
	// LoadPercent is how long work takes at the endpoint, in percent of the usual time; 0:
	// not known. LoadAge is the age of the figure.
	LoadPercent int           `cbor:",omitempty"`
	LoadAge     time.Duration `cbor:",omitempty"`
}

// Outcome is the result of a dispatched request.
type Outcome int

// Outcomes.
const (
	// OutcomeCompleted means that the answer is complete.
	OutcomeCompleted Outcome = iota
	// OutcomeLost means that the endpoint was lost while it ran the request.
	OutcomeLost
	// OutcomeCanceled means that the caller disconnected or the deadline passed.
	OutcomeCanceled
	// OutcomeRejected means that the endpoint had no room and did not run the request.
	OutcomeRejected
	// OutcomeFailed means that the answer failed or was cut off while the endpoint
	// still accepted connections.
	OutcomeFailed
)

// Finished reports that a dispatched request left its endpoint.
type Finished struct {
	ID      ident.Request
	Attempt ident.Attempt
	Outcome Outcome
	// Lifetime is the lifetime of the endpoint in which the request ran; 0: not known.
	Lifetime int64 `cbor:",omitempty"`
	// Backoff is for how long the endpoint asked the request's host to send nothing.
	Backoff time.Duration `cbor:",omitempty"`
	// Answered means that a complete answer arrived although the run may have failed:
	// the endpoint did not crash during the run.
	Answered bool `cbor:",omitempty"`
	// Generated means that the endpoint generated at least a part of a successful answer.
	Generated    bool `cbor:",omitempty"`
	PromptTokens int
	// CachedTokens is the part of the prompt that the engine found in its cache;
	// negative if the engine doesn't report it.
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Total        time.Duration
	// LoadPercent and LoadAge are as in FirstToken, whose report is then without them.
	LoadPercent int           `cbor:",omitempty"`
	LoadAge     time.Duration `cbor:",omitempty"`
}

// LoadReport is a report of an endpoint on its own load, which may be out of date.
type LoadReport struct {
	Endpoint ident.Endpoint
	Running  int
	Waiting  int
	// Age is the age of the report.
	Age time.Duration
	// LoadPercent is as in FirstToken.
	LoadPercent int `cbor:",omitempty"`
}

// CacheEvent is a delayed notice of changes in an endpoint's prefix cache.
type CacheEvent struct {
	Endpoint ident.Endpoint
	// Stored and Evicted are block hashes.
	Stored  []uint64
	Evicted []uint64
	// Gap means that events before this one were missed.
	Gap bool
}

// Configure sets the declared resources that concern the pool.
type Configure struct {
	Revision  uint64
	Tiers     []resource.Tier
	Teams     []resource.Team
	Endpoints []resource.Endpoint
}

// Running is a dispatched request as its custodian reports it to a scheduler that has
// taken over.
type Running struct {
	Request  Request
	Endpoint ident.Endpoint
	Attempt  ident.Attempt
	// Age is the time since dispatch, and FirstTokenAge that since the first token; 0: none
	// has arrived.
	Age           time.Duration
	FirstTokenAge time.Duration `cbor:",omitempty"`
}

// Restore brings the requests of one host after a takeover. Waiting requests are
// queued in the order of their first arrival.
type Restore struct {
	Host    ident.Host
	Waiting []Request
	Running []Running
}

// HostLost reports that a custodian is lost. Its waiting requests are dropped. Its
// running requests keep their slots until the endpoint can be assumed free.
type HostLost struct{ Host ident.Host }

// Remote is the free capacity of another domain's pool with the same target.
type Remote struct {
	Domain ident.Domain
	// Free is the number of free slots.
	Free int
	// LowestRank is the numerically largest rank that waits or runs there.
	LowestRank int
	// Wait is the expected time in queue by rank.
	Wait []time.Duration
	// Gone means that the domain can't be reached.
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

func (RolloutChanged) event() {}

// Suspect is a request, or a part of prompts, that was in flight on an endpoint that
// crashed.
type Suspect struct {
	KeyHash     uint64
	Fingerprint uint64
	Crashes     int
	Quarantined bool
	// Part means that Fingerprint is that of a prompt part. CoSuspects are then the other
	// parts that are at least as suspicious: requests with only some of them may be
	// harmless.
	Part       bool     `cbor:",omitempty"`
	CoSuspects []uint64 `cbor:",omitempty"`
	// Trial announces that a quarantined suspect is being run once more.
	Trial bool `cbor:",omitempty"`
	// Repeats is the Repeats field of its requests.
	Repeats bool `cbor:",omitempty"`
	// Age is the time since the last crash, when one host tells another about the
	// suspect.
	Age time.Duration `cbor:",omitempty"`
}

// RequiresIsolation reports whether the suspect has to run in isolation.
func (x *Suspect) RequiresIsolation() bool {
	return !x.Repeats || x.Crashes >= rules.RepeatedCrashesToIsolate
}

// NewRepeatedSuspect returns a suspect among requests that repeat, with the number of
// endpoint crashes and the time since the last of them.
func NewRepeatedSuspect(fingerprint uint64, crashes int, age time.Duration) Suspect {
	x := Suspect{Fingerprint: fingerprint, Crashes: crashes, Repeats: true, Age: age}
	x.Quarantined = x.Crashes >= x.quarantineThreshold()
	return x
}

// NewSuspectPart returns a suspected prompt part, with its co-suspects, the number of
// endpoint crashes and the time since the last of them.
func NewSuspectPart(fingerprint uint64, coSuspects []uint64, crashes int, age time.Duration) Suspect {
	x := Suspect{Fingerprint: fingerprint, Crashes: crashes, Part: true, CoSuspects: coSuspects, Repeats: true, Age: age}
	x.Quarantined = x.Crashes >= x.quarantineThreshold()
	return x
}

// quarantineThreshold returns the number of crashes from which the suspect is
// quarantined.
func (x *Suspect) quarantineThreshold() int {
	switch {
	case x.Part:
		return rules.PartCrashesToQuarantine
	case x.Repeats:
		return rules.RepeatedCrashesToQuarantine
	}
	return rules.CrashesToQuarantine
}

// Retention returns how long the suspect is kept after its last crash.
func (x *Suspect) Retention() time.Duration {
	if x.Quarantined {
		return rules.QuarantineRetention
	}
	return rules.SuspectRetention
}

// Effect is a decision to carry out. Its concrete types are in this file.
type Effect interface{ effect() }

// Grant gives a request one slot.
type Grant struct {
	ID       ident.Request
	Host     ident.Host
	Endpoint ident.Endpoint
	Attempt  ident.Attempt
	// Expires is when an unused grant becomes void, on the scheduler's clock.
	Expires time.Duration
	// Isolated means that the endpoint runs nothing else beside this suspect.
	Isolated bool
	// Left means that the endpoint is outside the custodian's failure domain, where placements
	// are priced. Gain is what the caller gains by it against the best free endpoint of its own
	// domain; 0 if there is none. Bytes is the request's.
	Left  bool          `cbor:",omitempty"`
	Gain  time.Duration `cbor:",omitempty"`
	Bytes int           `cbor:",omitempty"`
	// Why is the reason for the placement, for explain.
	Why string
}

// Refuse ends a request that was not run.
type Refuse struct {
	ID         ident.Request
	Host       ident.Host
	Code       result.Code
	RetryAfter time.Duration
	Reason     string
	// Late means that the request could not meet its objective any more.
	Late bool `cbor:",omitempty"`
	// Promised means that capacity is kept for the caller at RetryAfter.
	Promised bool `cbor:",omitempty"`
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

func (RolloutDecided) effect() {}
func (RolloutStep) effect()    {}

// Config is fixed for the lifetime of a Scheduler.
type Config struct {
	Pool ident.Pool
	// Epoch is the scheduler's epoch; attempts are unique within it.
	Epoch uint64
	// Seed is the seed for breaking ties.
	Seed uint64
	// WithoutHolds places every request at once, wherever its prefix is cached. It
	// serves to measure what the waits for cached prefixes gain.
	WithoutHolds bool
	// ProtectShares keeps capacity for teams within their share from those that send much more
	// than usual, also of higher tiers.
	ProtectShares bool `cbor:",omitempty"`
	// Domains prices placements outside the custodian's failure domain.
	Domains domains.Prices `cbor:",omitzero"`
}
