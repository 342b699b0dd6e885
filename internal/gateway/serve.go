package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/fingerprint"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
)

// headerCode carries the result code of responses that do not come from an endpoint.
const headerCode = "Trefoilchute-Code"

// codeText returns a result code as a header value.
func codeText(c result.Code) string {
	return strconv.Itoa(int(c))
}

// offerTimeout bounds the wait for room in the mailbox of the control loop, which empties it within
// milliseconds.
const offerTimeout = 500 * time.Millisecond

// notRunRetryAfter is the Retry-After when an endpoint had no capacity: others may have.
const notRunRetryAfter = 200 * time.Millisecond

// serve tries a request at endpoints until one has responded or no retry is allowed.
func (c *call) serve() {
	target := c.route.ChooseTarget(c.weightDraw())
	c.outcome.Target = target
	for _, id := range c.headers.SharedParts {
		c.outcome.Parts = append(c.outcome.Parts, fingerprint.OfPart(target, id))
	}
	budget := c.gateway.budget(target)
	var avoid ident.Endpoint
	if !c.gateway.ledger.enter(c.conn, memory.Waiting) {
		c.refuse(c.noMemory())
		return
	}
	for {
		try := c.newTry(target, avoid)
		conn, refused := try.acquireConn()
		if refused != nil {
			if c.outcome.Status == 0 {
				c.answerUnplaced(refused)
			}
			return
		}
		if c.outcome.Tries++; c.outcome.Tries == 1 {
			budget.CountFirst(c.gateway.opts.Now())
			c.outcome.QueueTime = c.gateway.opts.Now() - c.arrived
		}
		res := try.exchange(conn)
		if res.delivered {
			return
		}
		if !c.mayRetry(res.failure) || !budget.Take(c.gateway.opts.Now()) {
			if c.outcome.Status == 0 {
				c.answerFailed(res)
			}
			return
		}
		avoid = try.endpoint
		logs.With(c.gateway.opts.Log, logs.Retried).WithField("request", c.headers.Attempt).
			WithField("endpoint", try.endpoint).WithField("reason", res.reason).Info()
	}
}

// mayRetry reports whether a failed try may be followed by another, provided that the retry
// budget allows it.
func (c *call) mayRetry(f failure) bool {
	if c.body.spent && c.body.size > 0 {
		return false
	}
	return mayRetry(tryState{
		failure: f, idempotent: c.route.Idempotent(),
		tries: c.outcome.Tries, maxTries: c.route.MaxTries,
		timeLeft: c.deadline - c.gateway.opts.Now(), callerGone: c.ctx.Err() != nil,
	})
}

// answerUnplaced answers a request that got no endpoint. The response of a failed run takes
// precedence over the refusal, because it tells the caller that the request has run.
func (c *call) answerUnplaced(e *result.Error) {
	switch {
	case c.fallback != nil:
		c.deliverHeldResponse(c.fallback)
	case c.outcome.Tries > 0 && e.Code != result.CallerGone && c.mayHaveRun():
		c.refuse(result.New(result.EndpointLost, "an earlier try failed, and there is no place for another"))
	default:
		c.refuse(e)
	}
}

// mayHaveRun reports whether an earlier try may have run. Requests that are not idempotent
// are retried only if the earlier try did not run.
func (c *call) mayHaveRun() bool {
	return c.route.Idempotent()
}

// answerFailed answers a request whose last try failed.
func (c *call) answerFailed(res tryResult) {
	switch {
	case c.callerGone():
		c.refuse(result.New(result.CallerGone, "the caller left"))
	case c.fallback != nil:
		c.deliverHeldResponse(c.fallback)
	case res.failure == notRun && (c.outcome.Tries == 1 || !c.mayHaveRun()):
		c.refuse(&result.Error{Code: result.NoEndpoint, RetryAfter: notRunRetryAfter, Reason: res.reason})
	case c.gateway.opts.Now() >= c.deadline:
		c.refuse(result.New(result.TimeLimit, res.reason))
	case c.ctx.Err() != nil:
		c.refuse(result.New(result.OutcomeUnknown, "the host stopped before the answer was whole"))
	default:
		c.refuse(result.New(result.EndpointLost, res.reason))
	}
}

// try is one try of a request at one endpoint.
type try struct {
	call       *call
	id         ident.Request
	directives <-chan custody.Directive
	endpoint   ident.Endpoint
	address    string
	lifetime   int64
	// began is when the try was dispatched, on control's clock.
	began time.Duration
	end   custody.End
}

// newTry registers a try and posts its arrival to control.
func (c *call) newTry(target string, avoid ident.Endpoint) *try {
	g := c.gateway
	t := &try{call: c, id: g.newID(c.headers.Attempt)}
	c.outcome.ID = t.id
	t.directives = g.add(t.id)
	a := custody.Arrival{
		ID: t.id, Rank: c.rank(), Team: c.outcome.Team, Target: target,
		PromptTokens: c.headers.PromptTokens, MaxTokens: c.headers.MaxTokens,
		ExpectedTokens: c.headers.ExpectedTokens, Deadline: c.deadline,
		Fingerprint: c.outcome.Fingerprint, Parts: c.outcome.Parts, Repeats: true, Idempotent: c.route.Idempotent(), Avoid: avoid, Near: g.opts.Domain,
	}
	if g.opts.SendRoutes {
		a.Route = routeHash(c.route.Name)
	}
	if g.opts.SendSizes {
		a.Bytes = c.body.size + g.sizes.expect(c.route.Name)
	}
	switch {
	case c.outcome.Bytes > 0 && c.route.GapObjective > 0:
		// The stream is being resumed: its next event is due.
		a.FirstDue = c.lastByteAt + c.route.GapObjective
	case c.route.Objective > 0:
		a.FirstDue = c.arrived + c.route.Objective
	}
	if c.route.Patience > 0 {
		a.Patience = max(c.arrived, c.lastByteAt) + c.route.Patience
	}
	if c.route.Kind == ruleset.Stream {
		a.Prefix, a.PrefixTokens = c.headers.Prefix, c.headers.PrefixTokens
	}
	if c.team != nil && c.team.Rate > 0 && c.outcome.Tries == 0 {
		a.Cost = 1
		if c.team.InTokens {
			a.Cost = float64(c.headers.CostTokens(c.team.PlainCost))
		}
	}
	c.outcome.Rank, c.outcome.Cost = a.Rank, c.outcome.Cost+a.Cost
	if !g.opts.Offer(control.Arrived{Arrival: a}, min(offerTimeout, c.deadline-g.opts.Now())) {
		g.Apply(custody.Directive{Kind: custody.Refuse, ID: t.id, Err: &result.Error{
			Code: result.NotReady, RetryAfter: otherHostRetryAfter, Reason: "the control loop takes no requests",
		}})
	}
	return t
}

// routeHash returns the hash of a route's name, which is the same at all hosts and never 0.
func routeHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return max(1, h.Sum64())
}

// rank returns the request's rank for the schedulers.
func (c *call) rank() int {
	return c.rules.Rank(c.team, c.route)
}

// acquireConn waits for a grant, connects to its endpoint and asks control to commit the
// dispatch. It returns the connection to send the request on, or the reason why there is none.
func (t *try) acquireConn() (*upstream.Conn, *result.Error) {
	c, g := t.call, t.call.gateway
	timeout := time.NewTimer(c.deadline - g.opts.Now())
	defer timeout.Stop()
	var conn *upstream.Conn
	var granted ident.Attempt
	for {
		select {
		case d := <-t.directives:
			switch d.Kind {
			case custody.Connect:
				conn, granted = t.connect(d, conn), d.Attempt
			case custody.Commit:
				if d.Attempt != granted {
					// The connection of an earlier grant was released with the next one.
					continue
				}
				if !d.Proceed {
					t.releaseConn(conn)
					conn = nil
					continue
				}
				t.began = g.opts.Now()
				if t.began >= c.deadline {
					// The process was stalled since the grant.
					return nil, t.abandon(conn, queueTimeout())
				}
				if !c.conn.dispatch() {
					return nil, t.abandon(conn, c.noMemory())
				}
				return conn, nil
			case custody.Refuse:
				g.remove(t.id)
				t.releaseConn(conn)
				return nil, d.Err
			}
		case <-c.ctx.Done():
			switch {
			case errors.Is(context.Cause(c.ctx), errGaveWay):
				return nil, t.withdraw(conn, c.noMemory())
			case !c.callerGone():
				return nil, t.withdraw(conn, stoppingError())
			}
			return nil, t.withdraw(conn, result.New(result.CallerGone, "the caller left while its request waited"))
		case <-timeout.C:
			return nil, t.withdraw(conn, queueTimeout())
		}
	}
}

// abandon ends a try whose dispatch was committed, but of which nothing was sent.
func (t *try) abandon(conn *upstream.Conn, e *result.Error) *result.Error {
	t.releaseConn(conn)
	t.end.Total = t.call.gateway.opts.Now() - t.began
	t.reportEnd(peerpb.Report_PHASE_CANCELED)
	return e
}

// queueTimeout returns the refusal of a request whose deadline passed before its dispatch.
func queueTimeout() *result.Error {
	return &result.Error{
		Code: result.LimitInQueue, RetryAfter: notRunRetryAfter, Reason: "the time limit passed in the queue",
	}
}

// connect gets a connection to the granted endpoint and reports it to control.
func (t *try) connect(d custody.Directive, old *upstream.Conn) *upstream.Conn {
	t.releaseConn(old)
	g := t.call.gateway
	conn, err := t.call.freshConn(d.Address)
	if err != nil {
		g.opts.Post(control.Unreachable{ID: t.id, Attempt: d.Attempt})
		return nil
	}
	t.endpoint, t.address, t.lifetime = d.Endpoint, d.Address, d.Lifetime
	t.call.outcome.Endpoint, t.call.outcome.Why = d.Endpoint, d.Why
	g.opts.Post(control.Connected{ID: t.id, Attempt: d.Attempt})
	return conn
}

// freshConn returns a connection to an address on which this request was not refused before. An
// endpoint may write that refusal once more there, and it would be taken for the answer.
func (c *call) freshConn(address string) (*upstream.Conn, error) {
	for {
		conn, err := c.gateway.conns.Get(c.ctx, address)
		if err != nil || !slices.Contains(c.refusedOn, conn) {
			return conn, err
		}
		_ = conn.Close()
	}
}

// releaseConn returns a connection that was not used.
func (t *try) releaseConn(conn *upstream.Conn) {
	if conn != nil {
		t.call.gateway.conns.Put(conn)
	}
}

// withdraw takes the try out of custody. If its dispatch was committed in the meantime,
// the try ends as canceled before its first byte.
func (t *try) withdraw(conn *upstream.Conn, e *result.Error) *result.Error {
	g := t.call.gateway
	t.releaseConn(conn)
	g.opts.Post(control.CallerLeft{ID: t.id})
	g.opts.Post(control.Ended{ID: t.id, End: custody.End{Phase: peerpb.Report_PHASE_CANCELED}})
	g.remove(t.id)
	return e
}

// reportEnd reports to control how a dispatched try ended.
func (t *try) reportEnd(phase peerpb.Report_Phase) {
	g := t.call.gateway
	t.end.Phase = phase
	g.remove(t.id)
	g.opts.Post(control.Ended{ID: t.id, End: t.end})
}
