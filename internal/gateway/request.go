package gateway

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/fingerprint"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// defaultLimit bounds a request whose caller and route name no time limit.
	defaultLimit = 60 * time.Second
	// maxBody bounds a body where the configuration doesn't, in bytes.
	maxBody = 16 << 20
	// notReadyRetry is when to come back to a host that has no configuration: it
	// takes the balancer as long to send the caller elsewhere.
	notReadyRetry = 1 * time.Second
	// stopIntake is how long a stopping host still takes requests: until the balancer
	// sends no more callers, but not so long that an answer couldn't end in time.
	stopIntake = 2500 * time.Millisecond
	// keyMargin is taken off the life of keys: the platform's store may leave a poll
	// without word of a change for a second, and clocks are read at both ends.
	keyMargin = 1200 * time.Millisecond
	// unreadBodyWait is how long the body of a request that is refused before it was read
	// may take: on a connection that is kept it has to be read.
	unreadBodyWait = 1 * time.Second
	// elsewhereRetry is when to come back where another host can serve at once.
	elsewhereRetry = 50 * time.Millisecond
)

// call is one caller's request.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	// ctx ends when the caller has left.
	ctx context.Context
	// tuning is what was in force when the request came: all of it is served by that.
	tuning *Tuning

	headers platform.Call
	target  string
	body    []byte
	rules   *ruleset.Ruleset
	route   *ruleset.Route
	team    *ruleset.Team

	// arrived and limit are on control's clock.
	arrived time.Duration
	limit   time.Duration
	outcome Outcome
	// events is the stream so far, and lastByte when its last part went out.
	events   events
	lastByte time.Duration
	// fallback is the answer of an endpoint whose run failed, for the caller if no
	// further try does better.
	fallback *heldAnswer
}

// Outcome is what became of a request.
type Outcome struct {
	// Attempt is the caller's name for its request.
	Attempt string
	ID      ident.Request
	// Fingerprint is the same for all sendings of one request.
	Fingerprint uint64
	Route       string
	Kind        ruleset.Kind
	Team        ident.Team
	Target      string
	Rank        int
	// Cost is what it counts against its team's rate.
	Cost float64
	// Version is the configuration's version, and ConfigurationAge how long before
	// the request came it was last known to be the newest.
	Version          uint64
	ConfigurationAge time.Duration
	// Settings is the version of the settings that it was served by.
	Settings string
	// Tries is the number of endpoints that it was sent to; Endpoint is the last
	// and Why the scheduler's reason for it.
	Tries    int
	Endpoint ident.Endpoint
	Why      string
	Code     result.Code
	Reason   string
	// Status is what the caller got; 0 for nothing.
	Status int
	// QueueTime is the time to the dispatch, FirstByte to the first byte of the answer's
	// body, Total to its end; all since the request came. MaxGap is the longest
	// pause within the answer.
	QueueTime, FirstByte, Total, MaxGap time.Duration
	// Bytes and Events are what the caller got of the answer's body.
	Bytes, Events int
	OnTime        bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{gateway: g, w: w, r: r, ctx: r.Context(), arrived: g.opts.Now(), tuning: g.tuning.Load()}
	c.events.most, c.outcome.Settings = c.tuning.EventLimit, c.tuning.Version
	if g.StoppingSince() != nil {
		w.Header().Set("Connection", "close")
	}
	if err := c.read(); err != nil {
		c.refuse(err)
	} else {
		c.outcome.Fingerprint = fingerprint.Of(c.body, string(c.outcome.Team), c.target)
		c.serve()
	}
	c.outcome.Total = g.opts.Now() - c.arrived
	g.opts.OnOutcome(&c.outcome)
	if c.outcome.Code == result.AnswerCut {
		// The caller must not take what it got for a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// read checks a request and takes its body.
func (c *call) read() *result.Error {
	g := c.gateway
	c.headers.Attempt = platform.AttemptOf(c.r.Header)
	c.outcome.Attempt = c.headers.Attempt
	if began := g.StoppingSince(); began != nil && time.Since(*began) >= stopIntake {
		return &result.Error{Code: result.Stopping, RetryAfter: elsewhereRetry, Reason: "the host is stopping"}
	}
	c.rules = g.rules.Load()
	if c.rules == nil {
		return &result.Error{Code: result.NotReady, RetryAfter: notReadyRetry, Reason: "no configuration yet"}
	}
	c.outcome.Version = c.rules.Version
	c.outcome.ConfigurationAge, _ = g.opts.ConfigurationAge()
	var err error
	c.headers, err = platform.ReadCall(c.r.Header)
	c.target = requestTarget(c.r)
	path, _, _ := strings.Cut(c.target, "?")
	if c.route = c.rules.Route(c.r.Host, path); c.route == nil {
		return result.New(result.NoRoute, "no route serves "+c.r.Host+path)
	}
	c.outcome.Route, c.outcome.Kind = c.route.Name, c.route.Kind
	if e := c.identify(); e != nil {
		return e
	}
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	return c.readBody()
}

// requestTarget returns the target of a request as it was sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// identify finds the team by the key.
func (c *call) identify() *result.Error {
	if !c.rules.NeedsKey(c.route) {
		return nil
	}
	if e := c.checkFresh(); e != nil {
		return e
	}
	if c.team = c.rules.Team(c.headers.Key); c.team == nil {
		return result.New(result.Unauthorized, "the key names no team")
	}
	c.outcome.Team = c.team.Name
	return nil
}

// checkFresh refuses a request with a key while the key may have been taken away
// without this host knowing.
func (c *call) checkFresh() *result.Error {
	age, ok := c.gateway.opts.ConfigurationAge()
	if ok && age < c.tuning.KeyLife-keyMargin {
		return nil
	}
	return &result.Error{
		Code: result.KeysUnconfirmed, RetryAfter: elsewhereRetry,
		Reason: "the configuration was last confirmed " + age.Round(time.Millisecond).String() + " ago",
	}
}

// readBody takes the body and the time limit.
func (c *call) readBody() *result.Error {
	most := int64(maxBody)
	if n := c.rules.Limits.MaxBodyBytes; n > 0 {
		most = int64(n)
	}
	if c.r.ContentLength > most {
		return result.New(result.TooLarge, "the body is larger than the configuration allows")
	}
	limit := c.route.Timeout
	if limit <= 0 {
		limit = defaultLimit
	}
	if c.headers.Deadline > 0 {
		limit = min(limit, c.headers.Deadline)
	}
	c.limit = c.arrived + limit
	if c.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(time.Now().Add(limit))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, most))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return c.bodyFailed(err)
	}
	c.body = body
	return nil
}

// bodyFailed returns the answer to a request whose body could not be read. It goes out at
// once: on a connection that is kept the server would read the rest of the body first.
func (c *call) bodyFailed(err error) *result.Error {
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &result.Error{
			Code: result.LimitInQueue, RetryAfter: retryNotRun, Reason: "the time limit passed before the body was whole",
		}
	case c.ctx.Err() != nil:
		return result.New(result.CallerGone, "the caller left before its body was whole")
	}
	return result.New(result.BadRequest, "the body could not be read: "+err.Error())
}

// drawSeed makes the choice among a route's targets differ between processes.
var drawSeed = maphash.MakeSeed()

// draw returns a number between 0 and 1 that is the same for every try of a
// request.
func (c *call) draw() float64 {
	return float64(maphash.String(drawSeed, c.headers.Attempt)>>11) / (1 << 53)
}

// refuse gives the caller a final answer that isn't an endpoint's.
func (c *call) refuse(e *result.Error) {
	c.outcome.Code, c.outcome.Reason = e.Code, e.Reason
	if e.Code == result.CallerGone {
		return
	}
	info, ok := result.Lookup(e.Code)
	if !ok {
		info.Status = http.StatusInternalServerError
	}
	if c.limit == 0 {
		// Its body was not read. The server reads the rest before it answers.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
	c.outcome.Status = platform.RefusalStatus(info.Status)
	h := c.w.Header()
	platform.SetAttempt(h, c.headers.Attempt)
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, codeText(e.Code))
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(h, e.RetryAfter)
	}
	c.w.WriteHeader(c.outcome.Status)
	_, _ = c.w.Write(e.Body())
}
