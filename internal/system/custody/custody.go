// Package custody tracks the requests whose callers are connected to this host.
// A request changes from waiting to dispatched at most once. Only dispatch makes
// that transition, before the first byte is sent to an endpoint, and it is never
// reverted. The package performs no I/O: see package system.
package custody

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

const (
	// acceptTimeout is how long a submitted request waits for the scheduler's
	// acknowledgement before it is submitted again.
	acceptTimeout = 250 * time.Millisecond
	// refreshInterval is how often a waiting request is sent again to a scheduler
	// that has accepted it.
	refreshInterval = 2 * time.Second
	// holdingsInterval is the time between two reports of all dispatched requests.
	holdingsInterval = 2 * time.Second
	// tickInterval is the time between two checks of the waiting requests.
	tickInterval = 50 * time.Millisecond
	// defaultRetryAfter is the Retry-After of refusals when no queue's expected wait
	// is known.
	defaultRetryAfter = 1 * time.Second
)

// Scheduler identifies one process that schedules a pool.
type Scheduler struct {
	Host        ident.Host
	Incarnation uint64
}

// View gives access to the configuration and the membership.
type View interface {
	// Domains returns the failure domains with an active endpoint of the target,
	// most preferred first.
	Domains(target string) []ident.Domain
	// Scheduler returns the process that currently schedules a pool.
	Scheduler(pool ident.Pool) (Scheduler, bool)
	// Unresponsive is called when a host has not answered a submission in time.
	Unresponsive(ident.Host)
	// Endpoint returns a declared endpoint.
	Endpoint(name ident.Endpoint) (resource.Endpoint, bool)
}

// Arrival describes a request received from a caller.
type Arrival struct {
	ID   ident.Request
	Rank int
	Team ident.Team
	// Target is the requested model or plain service.
	Target       string
	PromptTokens int
	MaxTokens    int
	// Deadline is the time by which the answer must be complete, on the host's clock.
	Deadline time.Duration
	// Prefix holds the chained block hashes of the prompt, PrefixTokens the length
	// of each block; see pool.Request.
	Prefix       []uint64
	PrefixTokens []int
	// FirstDue is when the first token is due, on the host's clock; 0 if the
	// request has no such objective.
	FirstDue time.Duration
	// Patience is when the caller disconnects if it has received no token, on the
	// host's clock; 0 means not before the deadline.
	Patience time.Duration
	// ExpectedTokens is the caller's estimate of the answer's length; 0 if unknown.
	ExpectedTokens int
	// Avoid is an endpoint that failed an earlier attempt of this request.
	Avoid ident.Endpoint
	// Near is the failure domain whose endpoints are preferred; empty for none.
	Near ident.Domain
	// Key is the caller's idempotency key, empty if there is none. KeyHash is the
	// hash of the team and the key.
	Key         string
	KeyHash     uint64
	Fingerprint uint64
	// Parts holds the fingerprints of the prompt's parts; see pool.Request.
	Parts []uint64
	// Repeats says that legitimate callers send requests with this fingerprint
	// repeatedly.
	Repeats    bool
	Idempotent bool
	// Cost is what the request is charged against its team's rate; 0 for nothing.
	Cost float64
	// Route is the hash of the route's name; 0 if it is not known. It is sent to the scheduler
	// only where roll-outs are configured.
	Route uint64
	// Bytes is the expected number of bytes of the request and its answer; 0 if it is not known.
	Bytes int
	// FirstAttempt says that the caller declares that it has not sent the key before.
	FirstAttempt bool
}

// Config is fixed for the life of a System.
type Config struct {
	Self ident.Host
	View View
}

// state is the state of a request. Only dispatch sets stateDispatched.
type state int

const (
	// stateChecking: earlier runs of the key are being looked up.
	stateChecking state = iota
	// stateQueued: submitted to a scheduler.
	stateQueued
	// stateClaiming: granted; the claim of a non-idempotent request is being
	// written.
	stateClaiming
	// stateGranted: granted; a connection is being made.
	stateGranted
	// stateDispatched: the first byte may have been sent.
	stateDispatched
)

// entry is one request in custody.
type entry struct {
	Arrival
	state     state
	pool      ident.Pool
	scheduler Scheduler
	// accepted says that the scheduler has acknowledged the request.
	accepted    bool
	submittedAt time.Duration
	// declined says that a grant was declined since the last tick, so the request
	// has to be submitted again.
	declined bool
	spilled  bool
	// claimed says that the request holds its claim row.
	claimed  bool
	attempt  ident.Attempt
	endpoint ident.Endpoint
	// lifetime is the lifetime of the endpoint whose address was used.
	lifetime int64
	// why is the scheduler's reason for choosing the endpoint.
	why          string
	grantExpires time.Duration
	dispatchedAt time.Duration
	// firstTokenAt is when the first token arrived; 0: none has.
	firstTokenAt time.Duration
}

// System holds the requests in custody.
type System struct {
	cfg     Config
	entries map[ident.Request]*entry
	// order lists the entries by arrival, so that every iteration is
	// deterministic. It may hold entries that were removed; Tick drops them.
	order []*entry
	// epochs holds the highest scheduler epoch seen for each pool.
	epochs map[ident.Pool]uint64
	// reported holds the pools whose last holdings report was not empty.
	reported   map[ident.Pool]bool
	holdingsAt time.Duration
	// backoffs holds the endpoints that asked this host to back off.
	backoffs   map[ident.Endpoint]backoff
	directives []Directive
}

// New returns an empty system.
func New(cfg Config) *System {
	return &System{
		cfg:      cfg,
		entries:  map[ident.Request]*entry{},
		epochs:   map[ident.Pool]uint64{},
		reported: map[ident.Pool]bool{},
		backoffs: map[ident.Endpoint]backoff{},
	}
}

// Take returns the directives issued since the last call.
func (s *System) Take() []Directive {
	out := s.directives
	s.directives = nil
	return out
}

// Counts returns how many requests are waiting and how many are dispatched.
func (s *System) Counts() (waiting, dispatched int) {
	for _, r := range s.entries {
		if r.state == stateDispatched {
			dispatched++
		} else {
			waiting++
		}
	}
	return waiting, dispatched
}

// Arrive takes a new request into custody. If the request has a key, earlier
// runs of the key are looked up first. Without a key there are none to find, and
// the single dispatch here ensures that the request runs at most once.
func (s *System) Arrive(now time.Duration, a Arrival, out *system.Outbox) {
	r := &entry{Arrival: a, state: stateChecking}
	s.entries[a.ID] = r
	s.order = append(s.order, r)
	switch {
	case a.Key == "":
		s.queue(now, r, out)
	case !a.Idempotent:
		s.emit(Directive{Kind: LookupClaim, ID: a.ID})
	default:
		s.emit(Directive{Kind: LookupKey, ID: a.ID})
	}
}

// KeyChecked completes the lookup of a key. If err is nil the request is queued,
// otherwise it is refused with err.
func (s *System) KeyChecked(now time.Duration, id ident.Request, err *result.Error, out *system.Outbox) {
	r := s.entries[id]
	if r == nil || r.state != stateChecking {
		return
	}
	if err != nil {
		s.refuse(r, err)
		return
	}
	s.queue(now, r, out)
}

// Joined removes a request that gets its answer from an earlier one with the same
// key. It returns false if the request was already answered or dispatched.
func (s *System) Joined(now time.Duration, id ident.Request, out *system.Outbox) bool {
	r := s.entries[id]
	if r == nil || r.state == stateDispatched {
		return false
	}
	s.withdraw(now, r, out)
	delete(s.entries, id)
	return true
}

// queue submits a request to the most preferred pool of its target.
func (s *System) queue(now time.Duration, r *entry, out *system.Outbox) {
	domains := s.cfg.View.Domains(r.Target)
	if len(domains) == 0 {
		s.refuse(r, &result.Error{
			Code: result.NoEndpoint, RetryAfter: defaultRetryAfter,
			Reason: "no active endpoint that can be reached is declared for " + r.Target,
		})
		return
	}
	r.pool = ident.Pool{Target: r.Target, Domain: domains[0]}
	s.submit(now, r, out)
}

// submit sends a waiting request to the current scheduler of its pool. If the pool
// has none, because its domain has lost its hosts, the request moves to the most
// preferred domain.
func (s *System) submit(now time.Duration, r *entry, out *system.Outbox) {
	sched, ok := s.cfg.View.Scheduler(r.pool)
	if domains := s.cfg.View.Domains(r.Target); !ok && len(domains) > 0 {
		r.pool.Domain = domains[0]
		sched, ok = s.cfg.View.Scheduler(r.pool)
	}
	if !ok {
		s.refuse(r, &result.Error{
			Code: result.CutOff, RetryAfter: defaultRetryAfter,
			Reason: "no live host schedules " + r.pool.String(),
		})
		return
	}
	r.state = stateQueued
	r.scheduler = sched
	r.accepted = false
	r.submittedAt = now
	m := r.submission(now, s.epochs[r.pool])
	out.Send(sched.Host, peerpb.Wrap(&peerpb.Envelope_Submit{Submit: m}))
}

// refresh sends an accepted request to its scheduler again, in case the scheduler
// has lost it since. The prefix is omitted because it only improves placement.
func (s *System) refresh(now time.Duration, r *entry, out *system.Outbox) {
	r.submittedAt = now
	m := r.submission(now, s.epochs[r.pool])
	m.Prefix, m.PrefixTokens = nil, nil
	out.Send(r.scheduler.Host, peerpb.Wrap(&peerpb.Envelope_Submit{Submit: m}))
}

// refuse ends a request that was not dispatched.
func (s *System) refuse(r *entry, err *result.Error) {
	delete(s.entries, r.ID)
	if r.claimed {
		s.emit(Directive{Kind: ReleaseClaim, ID: r.ID})
	}
	s.emit(Directive{Kind: Refuse, ID: r.ID, Err: err})
}

// Forget removes a request that was not dispatched, without a directive.
func (s *System) Forget(id ident.Request) {
	if r := s.entries[id]; r != nil && r.state != stateDispatched {
		delete(s.entries, id)
	}
}

// withdraw cancels a request or its grant at the scheduler.
func (s *System) withdraw(now time.Duration, r *entry, out *system.Outbox) {
	switch r.state {
	case stateQueued:
		out.Send(r.scheduler.Host, peerpb.Wrap(&peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{
			Request: string(r.ID), Target: r.pool.Target, Domain: string(r.pool.Domain),
		}}))
	case stateClaiming, stateGranted:
		s.report(now, r, &peerpb.Report{Phase: peerpb.Report_PHASE_DECLINED}, out)
	}
}

// CallerGone handles the disconnect of a request's caller. A waiting request is
// withdrawn. A dispatched one is canceled unless it has a key, by which a resent
// request may still ask for its answer.
func (s *System) CallerGone(now time.Duration, id ident.Request, out *system.Outbox) {
	r := s.entries[id]
	if r == nil {
		return
	}
	if r.state == stateDispatched {
		if r.Key == "" {
			s.emit(Directive{Kind: CancelRun, ID: id, Endpoint: r.endpoint})
		}
		return
	}
	s.withdraw(now, r, out)
	s.refuse(r, result.New(result.CallerGone, "the caller closed its connection"))
}

// RefuseWaiting refuses every request that was not dispatched.
func (s *System) RefuseWaiting(now time.Duration, err *result.Error, out *system.Outbox) {
	for _, r := range slices.Clone(s.order) {
		if s.entries[r.ID] == r && r.state != stateDispatched {
			s.withdraw(now, r, out)
			s.refuse(r, err)
		}
	}
}

// emit queues a directive for Take.
func (s *System) emit(d Directive) {
	s.directives = append(s.directives, d)
}
