// Package gateway serves callers on the users' platform. It accepts their requests, asks
// control for an endpoint, forwards each request to its endpoint and streams the response
// back as it arrives. Control decides when and where a request runs; retry.go decides
// whether a failed try may be repeated.
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
	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
)

const (
	// maxHeaderBytes bounds a request's head before a configuration is known.
	maxHeaderBytes = 64 << 10
	// serverMaxHeaderBytes is above the limits of configurations, which callerConn enforces.
	serverMaxHeaderBytes = 1 << 20
	// headTimeout bounds reading a request's head, and idleTimeout how long an idle caller
	// connection is kept. Both are well above what configurations allow callers, so that
	// a request does not race with the closing of its connection.
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
)

// Options configures a Gateway.
type Options struct {
	Host ident.Host
	// Domain is the host's failure domain. Its endpoints are preferred.
	Domain ident.Domain
	Log    logrus.FieldLogger
	// Post queues an event for control. Now reads control's clock.
	Post func(control.Event)
	// Offer does the same with requests that arrive. It returns false if there is no room for
	// the event within a time.
	Offer func(control.Event, time.Duration) bool
	Now   func() time.Duration
	// ConfigurationAge returns the time since the configuration was last confirmed to be
	// the newest, or false if it never was.
	ConfigurationAge func() (time.Duration, bool)
	// UntilConfirmed returns the time after which the configuration will be confirmed; 0 if that isn't
	// known, or if another host may accept keys now.
	UntilConfirmed func() time.Duration
	// SendRoutes is set if schedulers need the requests' routes, and SendSizes if they need their
	// expected sizes.
	SendRoutes, SendSizes bool
	// Tuning holds the settings that can change while the gateway serves.
	Tuning Tuning
	// OnOutcome is called with the outcome of each request, OnGap with the time between two
	// parts of a response, and OnDrop for each endpoint response that was not read completely.
	OnOutcome func(*Outcome)
	OnGap     func(ruleset.Kind, time.Duration)
	OnDrop    func(DropReason)
	// OnMemory is called for each caller who was limited to keep the host within its memory.
	OnMemory func(MemoryAction)
}

// Tuning holds the settings that can change while the gateway serves.
type Tuning struct {
	// Version identifies the settings.
	Version string
	// KeyLife is the age of the configuration from which API keys are no longer accepted.
	KeyLife time.Duration
	// RetryRatio, RetryExtra and RetryWindow set the retry budget of all hosts together.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// HeadLimit bounds the head of an endpoint's response, and EventLimit one event of a
	// resumable stream, in bytes.
	HeadLimit, EventLimit int
	// DiscardWait bounds the time spent on reading the rest of a response that is discarded.
	DiscardWait time.Duration
	// MaxBackoff bounds the backoff that an endpoint may request from this host.
	MaxBackoff time.Duration
	// Memory bounds what is held for callers, HeaderLines the lines of a request's head, and
	// EmptyLines those before it.
	Memory                  memory.Limits
	HeaderLines, EmptyLines int
}

// DropReason is the reason why an endpoint's response was not read completely.
type DropReason string

// Drop reasons.
const (
	DropHeadTooLong  DropReason = "head_too_long"
	DropInvalidHead  DropReason = "invalid_head"
	DropOtherRequest DropReason = "another_request"
	DropUnread       DropReason = "rest_not_taken"
	DropEventTooLong DropReason = "event_too_long"
	DropUndelivered  DropReason = "not_delivered"
	// DropReset is a response without a length or chunks whose connection was reset.
	DropReset DropReason = "reset"
)

// Gateway forwards callers' requests to endpoints.
type Gateway struct {
	*inboxes
	opts   Options
	server *http.Server
	conns  *upstream.Pool
	ledger *ledger

	// lifetime ends when the running requests are aborted.
	lifetime context.Context
	abort    context.CancelFunc

	rules    atomic.Pointer[ruleset.Ruleset]
	tuning   atomic.Pointer[Tuning]
	stopping atomic.Pointer[time.Time]
	active   atomic.Int64
	sizes    answerSizes
	// sending counts the connections on which answers that were read ahead are sent.
	sending  atomic.Int64
	sequence atomic.Uint64
	// lastBackoffLog is the Unix second in which a bounded backoff was last logged.
	lastBackoffLog atomic.Int64
	// hostCount is the number of hosts that share the retry budget.
	hostCount atomic.Int64

	mu      sync.Mutex
	budgets map[string]*limit.Budget
}

// New returns a gateway that refuses every request until it has a configuration.
func New(opts Options) *Gateway {
	g := &Gateway{
		inboxes: newInboxes(), opts: opts, conns: upstream.NewPool(maxIdlePerEndpoint),
		budgets: map[string]*limit.Budget{},
	}
	g.lifetime, g.abort = context.WithCancel(context.Background())
	g.hostCount.Store(1)
	g.tuning.Store(&opts.Tuning)
	g.ledger = &ledger{gateway: g, budget: memory.New(opts.Tuning.Memory)}
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*callerConn).awaitRequest()
			}
		},
	}
	return g
}

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// headLimits bounds the head of a request.
type headLimits struct {
	bytes, lines, emptyLines int
	timeout                  time.Duration
}

// headLimits returns the bounds of the configuration and the settings in force.
func (g *Gateway) headLimits() headLimits {
	tuning := g.tuning.Load()
	l := headLimits{bytes: maxHeaderBytes, lines: tuning.HeaderLines, emptyLines: tuning.EmptyLines, timeout: headTimeout}
	if rules := g.rules.Load(); rules != nil {
		if n := rules.Limits.MaxHeaderBytes; n > 0 {
			l.bytes = n
		}
		if d := rules.Limits.HeaderTimeout; d > 0 {
			l.timeout = d + headMargin
		}
	}
	l.bytes += headSlack
	return l
}

// SetTuning applies new settings to the requests that arrive from now on.
func (g *Gateway) SetTuning(t Tuning) {
	before := g.tuning.Swap(&t)
	g.ledger.setLimits(t.Memory)
	if before.RetryRatio == t.RetryRatio && before.RetryWindow == t.RetryWindow {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Usage within the current window carries over to the resized budgets.
	for _, b := range g.budgets {
		b.Resize(g.opts.Now(), t.RetryRatio, t.RetryWindow)
	}
}

// Tuning returns the settings in force.
func (g *Gateway) Tuning() Tuning {
	return *g.tuning.Load()
}

// SetRuleset applies a new configuration.
func (g *Gateway) SetRuleset(r *ruleset.Ruleset) {
	g.rules.Store(r)
}

// Ruleset returns the configuration in force, or nil if there is none yet.
func (g *Gateway) Ruleset() *ruleset.Ruleset {
	return g.rules.Load()
}

// SetHostCount sets the number of hosts that share the retry budget.
func (g *Gateway) SetHostCount(n int) {
	g.hostCount.Store(int64(max(1, n)))
}

// Serve serves callers on a listener until Close or Shutdown.
func (g *Gateway) Serve(ln net.Listener) error {
	err := g.server.Serve(callerListener{ln, g})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "gateway: serve")
}

// Stop begins a planned stop: callers are still served, and each is told to close its
// connection and use another one for its next request.
func (g *Gateway) Stop(now time.Time) {
	g.stopping.Store(&now)
}

// StoppingSince returns when the planned stop began, or nil if it has not.
func (g *Gateway) StoppingSince() *time.Time {
	return g.stopping.Load()
}

// Active returns the number of requests being served.
func (g *Gateway) Active() int64 {
	return g.active.Load()
}

// Abort ends the requests that are still served, because the process has to exit. Those of which
// nothing was sent to the caller yet are answered: as refused if they were not dispatched, otherwise
// with an unknown outcome. Abort doesn't wait for that.
func (g *Gateway) Abort() {
	g.abort()
}

// Shutdown closes the listener and idle connections, and waits for the active ones until
// ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	err := g.server.Shutdown(ctx)
	for g.sending.Load() > 0 && ctx.Err() == nil {
		time.Sleep(sendingCheckInterval)
	}
	return errors.Wrap(err, "gateway: shutdown")
}

// sendingCheckInterval is how often a stop checks whether callers have taken their answers.
const sendingCheckInterval = 10 * time.Millisecond

// Close closes the listener and all connections.
func (g *Gateway) Close() error {
	err := g.server.Close()
	g.conns.Close()
	return errors.Wrap(err, "gateway: close")
}

// Sweep closes expired idle connections, and those to endpoints that are no longer wanted. It is
// called once a second.
func (g *Gateway) Sweep(wanted func(address string) bool) {
	g.ledger.sample()
	g.conns.Sweep(wanted)
}

// newID returns control's ID for a try: the caller's attempt ID, so that the logs of all
// hosts can be searched for it, and a sequence number of this host.
func (g *Gateway) newID(attempt string) ident.Request {
	return ident.Request(attempt + "." + strconv.FormatUint(g.sequence.Add(1), 10))
}

// budget returns the retry budget of a target.
func (g *Gateway) budget(target string) *limit.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, tuning := g.budgets[target], g.tuning.Load()
	if b == nil {
		b = limit.NewBudget(tuning.RetryRatio, 0, tuning.RetryWindow)
		g.budgets[target] = b
	}
	b.SetExtra(retryExtraShare * tuning.RetryExtra / float64(g.hostCount.Load()))
	return b
}

// RetriesLeft returns, by target, how many retries this host's share of the budget allows
// now.
func (g *Gateway) RetriesLeft() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := make(map[string]float64, len(g.budgets))
	for target, b := range g.budgets {
		left[target] = b.Remaining(g.opts.Now())
	}
	return left
}

// allowBackoffLog reports whether a bounded backoff may be logged. It allows one line per
// second, so that endpoints cannot flood the log.
func (g *Gateway) allowBackoffLog(now time.Time) bool {
	return g.lastBackoffLog.Swap(now.Unix()) != now.Unix()
}

// retryExtraShare is the fraction of RetryExtra that the hosts use. A host that is killed
// loses its count of used retries and starts with a full share again; the rest of the budget
// covers that.
const retryExtraShare = 0.5
