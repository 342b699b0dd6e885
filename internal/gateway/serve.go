package gateway

import (
	"strconv"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
)

// headerCode is the result code, in answers that are not an endpoint's.
const headerCode = "Trefoilchute-Code"

// codeText returns a code as it stands in a header.
func codeText(c result.Code) string {
	return strconv.Itoa(int(c))
}

// retryNotRun is when to come back after an endpoint had no room: others may have.
const retryNotRun = 200 * time.Millisecond

// serve tries a request at endpoints until one has answered or it is given up.
func (c *call) serve() {
	target := c.route.ChooseTarget(c.draw())
	c.outcome.Target = target
	budget := c.gateway.budget(target)
	var avoid ident.Endpoint
	for {
		try := c.newTry(target, avoid)
		conn, refused := try.place()
		if refused != nil {
			if c.outcome.Status == 0 {
				c.giveUp(refused)
			}
			return
		}
		if c.outcome.Tries++; c.outcome.Tries == 1 {
			budget.CountFirst(c.gateway.opts.Now())
			c.outcome.QueueTime = c.gateway.opts.Now() - c.arrived
		}
		end := try.exchange(conn)
		if end.delivered {
			return
		}
		if !c.mayTryAgain(end.failure) || !budget.Take(c.gateway.opts.Now()) {
			if c.outcome.Status == 0 {
				c.fail(end)
			}
			return
		}
		avoid = try.endpoint
		logs.With(c.gateway.opts.Log, logs.Retried).WithField("request", c.headers.Attempt).
			WithField("endpoint", try.endpoint).WithField("reason", end.reason).Info()
	}
}

// mayTryAgain reports whether a further try may follow one that failed, if the budget
// allows it.
func (c *call) mayTryAgain(f failure) bool {
	return mayTryAgain(tryState{
		failure: f, idempotent: c.route.Idempotent(),
		tries: c.outcome.Tries, maxTries: c.route.MaxTries,
		left: c.limit - c.gateway.opts.Now(), callerGone: c.ctx.Err() != nil,
	})
}

// giveUp answers a request that found no place. A failed run's answer goes before
// the refusal: the request has run.
func (c *call) giveUp(e *result.Error) {
	switch {
	case c.fallback != nil:
		c.deliverHeld(c.fallback)
	case c.outcome.Tries > 0 && e.Code != result.CallerGone && c.mayHaveRun():
		c.refuse(result.New(result.EndpointLost, "an earlier try failed, and there is no place for another"))
	default:
		c.refuse(e)
	}
}

// mayHaveRun reports whether an earlier try may have run. Requests that aren't
// idempotent get a further try only if the earlier one has not.
func (c *call) mayHaveRun() bool {
	return c.route.Idempotent()
}

// fail answers a request whose last try failed.
func (c *call) fail(end tryEnd) {
	switch {
	case c.ctx.Err() != nil:
		c.refuse(result.New(result.CallerGone, "the caller left"))
	case c.fallback != nil:
		c.deliverHeld(c.fallback)
	case end.failure == notRun && (c.outcome.Tries == 1 || !c.mayHaveRun()):
		c.refuse(&result.Error{Code: result.NoEndpoint, RetryAfter: retryNotRun, Reason: end.reason})
	case c.gateway.opts.Now() >= c.limit:
		c.refuse(result.New(result.TimeLimit, end.reason))
	default:
		c.refuse(result.New(result.EndpointLost, end.reason))
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
	// began is when it was dispatched, on control's clock.
	began time.Duration
	end   custody.End
}

// newTry brings a try into custody.
func (c *call) newTry(target string, avoid ident.Endpoint) *try {
	g := c.gateway
	t := &try{call: c, id: g.newID(c.headers.Attempt)}
	c.outcome.ID = t.id
	t.directives = g.add(t.id)
	a := custody.Arrival{
		ID: t.id, Rank: c.rank(), Team: c.outcome.Team, Target: target,
		PromptTokens: c.headers.PromptTokens, MaxTokens: c.headers.MaxTokens,
		ExpectedTokens: c.headers.ExpectedTokens, Deadline: c.limit,
		Fingerprint: c.outcome.Fingerprint, Repeats: true, Idempotent: c.route.Idempotent(), Avoid: avoid, Near: g.opts.Domain,
	}
	switch {
	case c.outcome.Bytes > 0 && c.route.GapObjective > 0:
		// The stream goes on: what is due is its next event.
		a.FirstDue = c.lastByte + c.route.GapObjective
	case c.route.Objective > 0:
		a.FirstDue = c.arrived + c.route.Objective
	}
	if c.route.Patience > 0 {
		a.Patience = max(c.arrived, c.lastByte) + c.route.Patience
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
	g.opts.Post(control.Arrived{Arrival: a})
	return t
}

// rank is the request's rank for the schedulers.
func (c *call) rank() int {
	return c.rules.Rank(c.team, c.route)
}

// place waits for a grant, gets a connection for it and asks control to commit the
// dispatch. It returns the connection to send the request on, or why there is none.
func (t *try) place() (*upstream.Conn, *result.Error) {
	c, g := t.call, t.call.gateway
	limit := time.NewTimer(c.limit - g.opts.Now())
	defer limit.Stop()
	var conn *upstream.Conn
	for {
		select {
		case d := <-t.directives:
			switch d.Kind {
			case custody.Connect:
				conn = t.connect(d, conn)
			case custody.Commit:
				if !d.Proceed {
					t.giveBack(conn)
					conn = nil
					continue
				}
				t.began = g.opts.Now()
				if t.began < c.limit {
					return conn, nil
				}
				// The machine stood still since the grant. Nothing was sent.
				t.giveBack(conn)
				t.finish(peerpb.Report_PHASE_CANCELED)
				return nil, lateInQueue()
			case custody.Refuse:
				g.remove(t.id)
				t.giveBack(conn)
				return nil, d.Err
			}
		case <-c.ctx.Done():
			return nil, t.withdraw(conn, result.New(result.CallerGone, "the caller left while its request waited"))
		case <-limit.C:
			return nil, t.withdraw(conn, lateInQueue())
		}
	}
}

// lateInQueue is the answer to a request whose time limit passed before its
// dispatch.
func lateInQueue() *result.Error {
	return &result.Error{
		Code: result.LimitInQueue, RetryAfter: retryNotRun, Reason: "the time limit passed in the queue",
	}
}

// connect gets a connection to the granted endpoint and tells control.
func (t *try) connect(d custody.Directive, old *upstream.Conn) *upstream.Conn {
	t.giveBack(old)
	g := t.call.gateway
	conn, err := g.conns.Get(t.call.ctx, d.Address)
	if err != nil {
		g.opts.Post(control.Unreachable{ID: t.id, Attempt: d.Attempt})
		return nil
	}
	t.endpoint, t.address, t.lifetime = d.Endpoint, d.Address, d.Lifetime
	t.call.outcome.Endpoint, t.call.outcome.Why = d.Endpoint, d.Why
	g.opts.Post(control.Connected{ID: t.id, Attempt: d.Attempt})
	return conn
}

// giveBack returns a connection that was not used.
func (t *try) giveBack(conn *upstream.Conn) {
	if conn != nil {
		t.call.gateway.conns.Put(conn)
	}
}

// withdraw takes the try out of custody. The dispatch may have been committed in
// the meantime: then it ends as one that was canceled before its first byte.
func (t *try) withdraw(conn *upstream.Conn, e *result.Error) *result.Error {
	g := t.call.gateway
	t.giveBack(conn)
	g.opts.Post(control.CallerLeft{ID: t.id})
	g.opts.Post(control.Ended{ID: t.id, End: custody.End{Phase: peerpb.Report_PHASE_CANCELED}})
	g.remove(t.id)
	return e
}

// finish tells control how a dispatched try ended.
func (t *try) finish(phase peerpb.Report_Phase) {
	g := t.call.gateway
	t.end.Phase = phase
	t.end.Total = g.opts.Now() - t.began
	g.remove(t.id)
	g.opts.Post(control.Ended{ID: t.id, End: t.end})
}
