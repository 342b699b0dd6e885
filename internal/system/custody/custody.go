// Package custody owns the requests whose callers are connected to this host.
// A request moves waiting -> dispatched once; the move is made in one place
// (dispatch), before the first byte goes to an endpoint, and is never undone.
// The system is pure: see package system.
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
	// word before it is submitted again.
	acceptTimeout = 250 * time.Millisecond
	// refreshInterval is how often a scheduler is told again of a request that
	// waits there.
	refreshInterval = 2 * time.Second
	// holdingsInterval is the time between two reports of everything held.
	holdingsInterval = 2 * time.Second
	// tickInterval is the time between two looks at the waiting requests.
	tickInterval = 50 * time.Millisecond
	// retryWithoutQueue is the time to come back where no queue tells one.
	retryWithoutQueue = 1 * time.Second
)

// Scheduler names one process that schedules a pool.
type Scheduler struct {
	Host        ident.Host
	Incarnation uint64
}

// View is what custody needs to know of the configuration and the membership.
type View interface {
	// Domains lists the failure domains with an active endpoint of the target,
	// the one to try first in front.
	Domains(target string) []ident.Domain
	// Scheduler returns the process that schedules a pool now.
	Scheduler(pool ident.Pool) (Scheduler, bool)
	// Unresponsive says that a host left a submission without an answer.
	Unresponsive(ident.Host)
	// Endpoint returns a declared endpoint.
	Endpoint(name ident.Endpoint) (resource.Endpoint, bool)
}

// Arrival is a request that a caller has sent.
type Arrival struct {
	ID   ident.Request
	Rank int
	Team ident.Team
	// Target is the model or plain service.
	Target       string
	PromptTokens int
	MaxTokens    int
	// Deadline is when the answer is due, on the host's clock.
	Deadline time.Duration
	// Prefix holds the chained block hashes of the prompt, and PrefixTokens the
	// blocks' lengths; see pool.Request.
	Prefix       []uint64
	PrefixTokens []int
	// FirstDue is when the first token is due, on the host's clock; 0 without
	// that objective.
	FirstDue time.Duration
	// Patience is when the caller leaves if it has had no token, on the host's clock; 0:
	// not before the deadline.
	Patience time.Duration
	// ExpectedTokens is the caller's estimate of the answer's length; 0: none.
	ExpectedTokens int
	// Avoid is an endpoint that failed an earlier try of this request.
	Avoid ident.Endpoint
	// Near is the failure domain whose endpoints are preferred; empty: none.
	Near ident.Domain
	// Key is the caller's idempotency key; empty without one. KeyHash is the
	// hash of the team and the key.
	Key         string
	KeyHash     uint64
	Fingerprint uint64
	// Repeats says that honest callers send requests with the same fingerprint.
	Repeats    bool
	Idempotent bool
	// Cost is what the request counts against its team's rate; 0: nothing.
	Cost float64
	// FirstAttempt says that the caller declares this the key's first sending.
	FirstAttempt bool
}

// Config is fixed for the life of a System.
type Config struct {
	Self ident.Host
	View View
}

// state is where a request stands. Only dispatch sets stateDispatched.
type state int

const (
	// stateChecking: the key's earlier runs are being looked up.
	stateChecking state = iota
	// stateQueued: submitted to a scheduler.
	stateQueued
	// stateClaiming: granted, while the claim of a non-idempotent request is
	// being written.
	stateClaiming
	// stateGranted: granted, while a connection is being made.
	stateGranted
	// stateDispatched: the first byte may have been sent.
	stateDispatched
)

// row is one request.
type row struct {
	Arrival
	state     state
	pool      ident.Pool
	scheduler Scheduler
	// accepted says that the scheduler has confirmed the request.
	accepted    bool
	submittedAt time.Duration
	// returned says that a grant was given back since the last look: the request
	// is to be submitted anew.
	returned bool
	spilled  bool
	// claimed says that the claim row of a non-idempotent request is ours.
	claimed  bool
	attempt  ident.Attempt
	endpoint ident.Endpoint
	// lifetime is that of the endpoint whose address was used.
	lifetime int64
	// why is the scheduler's reason for the endpoint.
	why          string
	grantExpires time.Duration
	dispatchedAt time.Duration
}

// System is the table of requests in custody.
type System struct {
	cfg  Config
	rows map[ident.Request]*row
	// order lists the rows by arrival, so that every walk is deterministic. It
	// may hold rows that are gone; sweep drops them.
	order []*row
	// epochs holds the highest scheduler epoch seen of each pool.
	epochs map[ident.Pool]uint64
	// reported holds the pools for which the last holdings were not empty.
	reported   map[ident.Pool]bool
	holdingsAt time.Duration
	// backoffs holds the endpoints that asked this host to send nothing.
	backoffs   map[ident.Endpoint]backoff
	directives []Directive
}

// New returns an empty system.
func New(cfg Config) *System {
	return &System{
		cfg:      cfg,
		rows:     map[ident.Request]*row{},
		epochs:   map[ident.Pool]uint64{},
		reported: map[ident.Pool]bool{},
		backoffs: map[ident.Endpoint]backoff{},
	}
}

// Take returns the directives since the last call.
func (s *System) Take() []Directive {
	out := s.directives
	s.directives = nil
	return out
}

// Counts returns the number of requests not yet dispatched and dispatched.
func (s *System) Counts() (waiting, dispatched int) {
	for _, r := range s.rows {
		if r.state == stateDispatched {
			dispatched++
		} else {
			waiting++
		}
	}
	return waiting, dispatched
}

// Arrive takes a new request into custody. One with a key is looked up by it
// first. One without has no earlier run that could be found: that it runs at
// most once follows from its single dispatch here.
func (s *System) Arrive(now time.Duration, a Arrival, out *system.Outbox) {
	r := &row{Arrival: a, state: stateChecking}
	s.rows[a.ID] = r
	s.order = append(s.order, r)
	switch {
	case a.Key == "":
		s.queue(now, r, out)
	case !a.Idempotent:
		s.direct(Directive{Kind: LookUpClaim, ID: a.ID})
	default:
		s.direct(Directive{Kind: LookUpKey, ID: a.ID})
	}
}

// KeyChecked ends the look-up of a key. A nil verdict lets the request go on;
// otherwise the request leaves custody with the verdict.
func (s *System) KeyChecked(now time.Duration, id ident.Request, verdict *result.Error, out *system.Outbox) {
	r := s.rows[id]
	if r == nil || r.state != stateChecking {
		return
	}
	if verdict != nil {
		s.refuse(r, verdict)
		return
	}
	s.queue(now, r, out)
}

// Joined removes a request whose answer comes from an earlier one with its key.
// It returns false for a request that has its final answer or was dispatched.
func (s *System) Joined(now time.Duration, id ident.Request, out *system.Outbox) bool {
	r := s.rows[id]
	if r == nil || r.state == stateDispatched {
		return false
	}
	s.withdraw(now, r, out)
	delete(s.rows, id)
	return true
}

// queue submits a request to the pool that its target has first.
func (s *System) queue(now time.Duration, r *row, out *system.Outbox) {
	domains := s.cfg.View.Domains(r.Target)
	if len(domains) == 0 {
		s.refuse(r, &result.Error{
			Code: result.NoEndpoint, RetryAfter: retryWithoutQueue,
			Reason: "no active endpoint that can be reached is declared for " + r.Target,
		})
		return
	}
	r.pool = ident.Pool{Target: r.Target, Domain: domains[0]}
	s.submit(now, r, out)
}

// submit sends a waiting request to its pool's scheduler of now. A pool without
// a scheduler, whose domain has lost its hosts, is left for another domain's.
func (s *System) submit(now time.Duration, r *row, out *system.Outbox) {
	sched, ok := s.cfg.View.Scheduler(r.pool)
	if domains := s.cfg.View.Domains(r.Target); !ok && len(domains) > 0 {
		r.pool.Domain = domains[0]
		sched, ok = s.cfg.View.Scheduler(r.pool)
	}
	if !ok {
		s.refuse(r, &result.Error{
			Code: result.CutOff, RetryAfter: retryWithoutQueue,
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

// refresh tells the scheduler of a request that it has confirmed before, in case
// it has lost it since. The prefix is left out: it only helps placement.
func (s *System) refresh(now time.Duration, r *row, out *system.Outbox) {
	r.submittedAt = now
	m := r.submission(now, s.epochs[r.pool])
	m.Prefix, m.PrefixTokens = nil, nil
	out.Send(r.scheduler.Host, peerpb.Wrap(&peerpb.Envelope_Submit{Submit: m}))
}

// refuse ends a request that was not dispatched.
func (s *System) refuse(r *row, verdict *result.Error) {
	delete(s.rows, r.ID)
	if r.claimed {
		s.direct(Directive{Kind: ReleaseClaim, ID: r.ID})
	}
	s.direct(Directive{Kind: Refuse, ID: r.ID, Err: verdict})
}

// withdraw tells the scheduler to forget a request or its grant.
func (s *System) withdraw(now time.Duration, r *row, out *system.Outbox) {
	switch r.state {
	case stateQueued:
		out.Send(r.scheduler.Host, peerpb.Wrap(&peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{
			Request: string(r.ID), Target: r.pool.Target, Domain: string(r.pool.Domain),
		}}))
	case stateClaiming, stateGranted:
		s.report(now, r, &peerpb.Report{Phase: peerpb.Report_PHASE_DECLINED}, out)
	}
}

// CallerGone says that the caller of a request has left. A waiting request is
// withdrawn. A dispatched one is canceled, unless a resend may still ask for
// its answer by its key.
func (s *System) CallerGone(now time.Duration, id ident.Request, out *system.Outbox) {
	r := s.rows[id]
	if r == nil {
		return
	}
	if r.state == stateDispatched {
		if r.Key == "" {
			s.direct(Directive{Kind: CancelRun, ID: id, Endpoint: r.endpoint})
		}
		return
	}
	s.withdraw(now, r, out)
	s.refuse(r, result.New(result.CallerGone, "the caller closed its connection"))
}

// RefuseWaiting ends every request that was not dispatched.
func (s *System) RefuseWaiting(now time.Duration, verdict *result.Error, out *system.Outbox) {
	for _, r := range slices.Clone(s.order) {
		if s.rows[r.ID] == r && r.state != stateDispatched {
			s.withdraw(now, r, out)
			s.refuse(r, verdict)
		}
	}
}

// direct adds a directive.
func (s *System) direct(d Directive) {
	s.directives = append(s.directives, d)
}
