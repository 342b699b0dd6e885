// Package gateway serves callers on the users' platform: it takes their requests,
// asks control for a place, carries each request to its endpoint and the answer
// back as it comes. Which request goes where and when is control's decision; which
// failed try may be repeated is that of retry.go.
package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/limit"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/tcp"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
)

const (
	// maxHeaderBytes bounds the head of a request before a configuration is known.
	maxHeaderBytes = 64 << 10
	// headTimeout bounds the reading of a request's head, and idleTimeout how long
	// an unused connection of a caller is kept: both well over what configurations
	// allow callers, so that a request doesn't cross its connection's end.
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// idlePerEndpoint bounds the unused connections to an endpoint.
	idlePerEndpoint = 8
)

// Options configures a Gateway.
type Options struct {
	Host ident.Host
	// Domain is the host's failure domain: its endpoints are preferred.
	Domain ident.Domain
	Log    logrus.FieldLogger
	// Post hands an event to control, whose clock Now reads.
	Post func(control.Event)
	Now  func() time.Duration
	// ConfigurationAge returns the time since the configuration was last known to
	// be the newest one; false if it never was.
	ConfigurationAge func() (time.Duration, bool)
	// Tuning is what may change while the gateway serves.
	Tuning Tuning
	// OnOutcome is told of each final answer, Gap of the time between two parts of one, and
	// Dropped of each answer of an endpoint that was not taken whole.
	OnOutcome func(*Outcome)
	OnGap     func(ruleset.Kind, time.Duration)
	OnDrop    func(DropReason)
}

// Tuning is what may change while the gateway serves.
type Tuning struct {
	// Version names the settings.
	Version string
	// KeyLife is the configuration's age from which on keys are not accepted.
	KeyLife time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound further tries, over all hosts.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// HeadLimit bounds the head of an endpoint's answer, EventLimit one event of a
	// stream that may be resumed, in bytes.
	HeadLimit, EventLimit int
	// DiscardWait is how long the rest of an answer that goes to nobody is waited for.
	DiscardWait time.Duration
	// MaxBackoff bounds for how long an endpoint may want nothing from this host.
	MaxBackoff time.Duration
}

// DropReason says why an endpoint's answer was not taken whole.
type DropReason string

// Reasons of Drop.
const (
	DropHeadTooLong  DropReason = "head_too_long"
	DropOtherRequest DropReason = "another_request"
	DropUnread       DropReason = "rest_not_taken"
	DropEventTooLong DropReason = "event_too_long"
)

// Gateway serves callers.
type Gateway struct {
	*jobs
	opts   Options
	server *http.Server
	conns  *upstream.Pool

	rules    atomic.Pointer[ruleset.Ruleset]
	tuning   atomic.Pointer[Tuning]
	stopping atomic.Pointer[time.Time]
	active   atomic.Int64
	sequence atomic.Uint64
	// backoffTold is the second of the last line about a bounded backoff, in Unix time.
	backoffTold atomic.Int64
	// hosts is how many hosts share the budget of further tries.
	hosts atomic.Int64

	mu      sync.Mutex
	budgets map[string]*limit.Budget
}

// New returns a gateway that refuses every request until it has a configuration.
func New(opts Options) *Gateway {
	g := &Gateway{
		jobs: newJobs(), opts: opts, conns: upstream.NewPool(idlePerEndpoint),
		budgets: map[string]*limit.Budget{},
	}
	g.hosts.Store(1)
	g.tuning.Store(&opts.Tuning)
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return g
}

// SetTuning brings other settings into force for the requests that come from now on.
func (g *Gateway) SetTuning(t Tuning) {
	before := g.tuning.Swap(&t)
	if before.RetryRatio == t.RetryRatio && before.RetryWindow == t.RetryWindow {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// What was used in the window so far counts on in the new budgets.
	for _, b := range g.budgets {
		b.Resize(g.opts.Now(), t.RetryRatio, t.RetryWindow)
	}
}

// Tuning returns the settings in force.
func (g *Gateway) Tuning() Tuning {
	return *g.tuning.Load()
}

// SetRuleset brings a configuration into force.
func (g *Gateway) SetRuleset(r *ruleset.Ruleset) {
	g.rules.Store(r)
}

// Ruleset returns the configuration in force, or nil.
func (g *Gateway) Ruleset() *ruleset.Ruleset {
	return g.rules.Load()
}

// SetHostCount tells how many hosts share the budget of further tries.
func (g *Gateway) SetHostCount(n int) {
	g.hosts.Store(int64(max(1, n)))
}

// Serve answers callers on a listener until Close.
func (g *Gateway) Serve(ln net.Listener) error {
	err := g.server.Serve(watched{ln})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "gateway: serve")
}

// watched sets how soon silent connections of callers are given up.
type watched struct{ net.Listener }

// Accept returns the next caller's connection.
func (l watched) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := tcp.Watch(conn); err != nil {
		// The caller has gone already; the server finds out by reading.
		return conn, nil
	}
	return conn, nil
}

// Stop begins a planned stop: callers are still served, and each is told to use
// another connection for its next request.
func (g *Gateway) Stop(now time.Time) {
	g.stopping.Store(&now)
}

// StoppingSince returns when the planned stop began; nil while there is none.
func (g *Gateway) StoppingSince() *time.Time {
	return g.stopping.Load()
}

// Active returns the number of callers being served.
func (g *Gateway) Active() int64 {
	return g.active.Load()
}

// Shutdown closes the listener and the connections that carry no request, and waits
// for the others until ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	return errors.Wrap(g.server.Shutdown(ctx), "gateway: shutdown")
}

// Close closes the listener and every connection.
func (g *Gateway) Close() error {
	err := g.server.Close()
	g.conns.Close()
	return errors.Wrap(err, "gateway: close")
}

// Sweep closes unused connections to endpoints that are not wanted any more.
func (g *Gateway) Sweep(wanted func(address string) bool) {
	g.conns.Sweep(wanted)
}

// newID returns control's name for a try: the caller's name of its request, so
// that the logs of every host can be searched for it, and a number of this host's.
func (g *Gateway) newID(attempt string) ident.Request {
	return ident.Request(attempt + "." + strconv.FormatUint(g.sequence.Add(1), 10))
}

// budget returns the budget of further tries at a target.
func (g *Gateway) budget(target string) *limit.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, tuning := g.budgets[target], g.tuning.Load()
	if b == nil {
		b = limit.NewBudget(tuning.RetryRatio, 0, tuning.RetryWindow)
		g.budgets[target] = b
	}
	b.SetExtra(retryShare * tuning.RetryExtra / float64(g.hosts.Load()))
	return b
}

// RetriesLeft returns by target how many further tries this host's part of the budget
// allows now.
func (g *Gateway) RetriesLeft() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := make(map[string]float64, len(g.budgets))
	for target, b := range g.budgets {
		left[target] = b.Remaining(g.opts.Now())
	}
	return left
}

// mayTellBackoff reports whether a line about a bounded backoff may be logged: one a
// second, whatever endpoints send.
func (g *Gateway) mayTellBackoff(now time.Time) bool {
	return g.backoffTold.Swap(now.Unix()) != now.Unix()
}

// retryShare is the part of the budget beside the ratio that the hosts use. A host
// that is killed forgets what it has used and starts with its share anew.
const retryShare = 0.5
