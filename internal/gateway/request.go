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
	"github.com/trefoilchute/trefoilchute/internal/upstream"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// defaultTimeout bounds a request for which neither caller nor route sets a timeout.
	defaultTimeout = 60 * time.Second
	// defaultMaxBodyBytes bounds a request's body if the configuration does not.
	defaultMaxBodyBytes = 16 << 20
	// notReadyRetryAfter is the Retry-After of a host that has no configuration: the load
	// balancer needs about as long to send the caller to another host.
	notReadyRetryAfter = 1 * time.Second
	// stopIntakePeriod is how long a stopping host still accepts requests: until the load
	// balancer has stopped sending callers, but short enough for the responses to complete.
	stopIntakePeriod = 2500 * time.Millisecond
	// keyLifeMargin is subtracted from the lifetime of keys: the platform's store may withhold
	// a change from a poll for up to a second, and clocks are read at both ends.
	keyLifeMargin = 1200 * time.Millisecond
	// unreadBodyTimeout bounds reading the body of a request that was refused before its
	// body was read. The server has to read it to keep the connection.
	unreadBodyTimeout = 1 * time.Second
	// refusedBodyTimeout bounds reading the rest of a body that there was no memory for.
	refusedBodyTimeout = 500 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a host without memory for a request: a few requests
	// end in that time.
	noMemoryRetryAfter = 500 * time.Millisecond
	// otherHostRetryAfter is the Retry-After where another host can serve the request at once.
	otherHostRetryAfter = 50 * time.Millisecond
)

// call is one caller's request.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	// ctx is canceled when the caller disconnects or the gateway aborts its requests.
	ctx context.Context
	// tuning is the settings in force when the request arrived. They apply until it ends.
	tuning *Tuning

	headers platform.Call
	target  string
	body    body
	conn    *callerConn
	rules   *ruleset.Ruleset
	// confirmed is set if rules, or a configuration before them, was ever confirmed to be the newest.
	confirmed bool
	route     *ruleset.Route
	team      *ruleset.Team

	// arrived and deadline are on control's clock.
	arrived  time.Duration
	deadline time.Duration
	outcome  Outcome
	// events splits the response stream, and lastByteAt is when its last part was sent.
	events     eventSplitter
	lastByteAt time.Duration
	// refusedOn holds the connections on which endpoints refused the request.
	refusedOn []*upstream.Conn
	// fallback is the response of an endpoint whose run failed. The caller gets it if no
	// retry succeeds.
	fallback *heldResponse
}

// Outcome is the result of a request, for logs and metrics.
type Outcome struct {
	// Attempt is the caller's ID for its request.
	Attempt string
	ID      ident.Request
	// Fingerprint is the same each time the request is sent.
	Fingerprint uint64
	// Parts holds the fingerprints of the prompt parts that other requests may share.
	Parts  []uint64
	Route  string
	Kind   ruleset.Kind
	Team   ident.Team
	Target string
	Rank   int
	// Cost is what the request counts against its team's rate limit.
	Cost float64
	// Version is the version of the configuration, and ConfigurationAge the time since it
	// was confirmed to be the newest, when the request arrived.
	Version          uint64
	ConfigurationAge time.Duration
	// Settings is the version of the settings that applied to the request.
	Settings string
	// Tries is the number of endpoints that the request was sent to, Endpoint the last of
	// them, and Why the scheduler's reason for choosing it.
	Tries    int
	Endpoint ident.Endpoint
	Why      string
	Code     result.Code
	Reason   string
	// Status is the HTTP status sent to the caller; 0 if none was.
	Status int
	// QueueTime is the time until the first dispatch, FirstByte until the first byte of the
	// response's body, and Total until the end, all since the request arrived. MaxGap is the
	// longest pause between two parts of the response.
	QueueTime, FirstByte, Total, MaxGap time.Duration
	// Bytes and Events count what was sent to the caller of the response's body.
	Bytes, Events int
	OnTime        bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(g.lifetime, func() { cancel(nil) })()
	conn := r.Context().Value(callerConnKey{}).(*callerConn)
	conn.beginRequest(cancel)
	c := &call{gateway: g, w: w, r: r, conn: conn, ctx: ctx, arrived: g.opts.Now(), tuning: g.tuning.Load()}
	c.body.conn = conn
	defer c.body.discard()
	c.events.maxPartial, c.outcome.Settings = c.tuning.EventLimit, c.tuning.Version
	if g.StoppingSince() != nil {
		w.Header().Set("Connection", "close")
	}
	if err := c.read(); err != nil {
		c.refuse(err)
	} else {
		c.outcome.Fingerprint = fingerprint.OfChunks(c.body.chunks, string(c.outcome.Team), c.target)
		c.serve()
	}
	c.outcome.Total = g.opts.Now() - c.arrived
	if g.opts.SendSizes && c.outcome.Code == result.OK {
		g.sizes.observe(c.outcome.Route, c.outcome.Bytes)
	}
	g.opts.OnOutcome(&c.outcome)
	if c.lacksEnd() {
		// Abort the connection, so that the caller does not take a truncated response for a
		// complete one. Towards HTTP/1.0 its orderly end would complete the response.
		if !r.ProtoAtLeast(1, 1) {
			conn.abortOnClose()
		}
		panic(http.ErrAbortHandler)
	}
}

// lacksEnd reports whether the caller has got no complete response. The server would end the
// response, or send an empty success. A caller who counts as gone may have closed its sending side
// only, and read on; it can't be told from one that left, for whom nothing must run.
func (c *call) lacksEnd() bool {
	return c.outcome.Status == 0 || c.outcome.Code == result.AnswerCut || c.outcome.Code == result.CallerGone
}

// read validates a request and reads its body.
func (c *call) read() *result.Error {
	g := c.gateway
	c.headers.Attempt = platform.AttemptID(c.r.Header)
	c.outcome.Attempt = c.headers.Attempt
	if began := g.StoppingSince(); began != nil && time.Since(*began) >= stopIntakePeriod {
		return stoppingError()
	}
	// The age is read first: the configuration of which it is the age, or a later one, is used.
	age, confirmed := g.opts.ConfigurationAge()
	c.rules = g.rules.Load()
	if c.rules == nil {
		return &result.Error{Code: result.NotReady, RetryAfter: notReadyRetryAfter, Reason: "no configuration yet"}
	}
	c.outcome.Version = c.rules.Version
	c.outcome.ConfigurationAge, c.confirmed = age, confirmed
	var err error
	c.headers, err = platform.ReadCall(c.r.Header)
	c.target = requestTarget(c.r)
	path, _, _ := strings.Cut(c.target, "?")
	if c.route = c.rules.Route(c.r.Host, path); c.route == nil {
		return result.New(result.NoRoute, "no route serves "+c.r.Host+path)
	}
	c.outcome.Route, c.outcome.Kind = c.route.Name, c.route.Kind
	if e := c.authenticate(); e != nil {
		return e
	}
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	return c.readBody()
}

// requestTarget returns the request target as it was sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// authenticate looks up the team by the API key.
func (c *call) authenticate() *result.Error {
	if !c.rules.NeedsKey(c.route) {
		return nil
	}
	if e := c.checkConfigurationAge(); e != nil {
		return e
	}
	if c.team = c.rules.Team(c.headers.Key); c.team == nil {
		return result.New(result.Unauthorized, "the key names no team")
	}
	c.outcome.Team = c.team.Name
	return nil
}

// checkConfigurationAge refuses a request that needs a key if the configuration is so old
// that the key may have been revoked without this host knowing.
func (c *call) checkConfigurationAge() *result.Error {
	age := c.outcome.ConfigurationAge
	if c.confirmed && age < c.tuning.KeyLife-keyLifeMargin {
		return nil
	}
	e := &result.Error{
		Code: result.KeysUnconfirmed, RetryAfter: max(otherHostRetryAfter, c.gateway.opts.UntilConfirmed()),
		Reason: "the configuration was last confirmed " + age.Round(time.Millisecond).String() + " ago",
	}
	if !c.confirmed {
		e.Reason = "no configuration has been confirmed since the start"
	}
	return e
}

// readBody sets the deadline and reads the body.
func (c *call) readBody() *result.Error {
	maxBytes := int64(defaultMaxBodyBytes)
	if n := c.rules.Limits.MaxBodyBytes; n > 0 {
		maxBytes = int64(n)
	}
	if c.r.ContentLength > maxBytes {
		return result.New(result.TooLarge, "the body is larger than the configuration allows")
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.headers.Deadline > 0 {
		timeout = min(timeout, c.headers.Deadline)
	}
	c.deadline = c.arrived + timeout
	if c.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	err := c.body.read(http.MaxBytesReader(c.w, c.r.Body, maxBytes), c.r.ContentLength)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return c.bodyError(err)
	}
	return nil
}

// bodyError returns the refusal of a request whose body could not be read. It closes the
// connection, because on a kept connection the server would read the rest of the body before
// it sends the refusal.
func (c *call) bodyError(err error) *result.Error {
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errNoMemory):
		c.gateway.ledger.act(ActionBodyRefused, c.r.RemoteAddr)
		return c.noMemory()
	case c.conn.givesWay():
		return c.noMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &result.Error{
			Code: result.LimitInQueue, RetryAfter: notRunRetryAfter, Reason: "the time limit passed before the body was whole",
		}
	case c.callerGone():
		return result.New(result.CallerGone, "the caller left before its body was whole")
	}
	return result.New(result.BadRequest, "the body could not be read: "+err.Error())
}

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool {
	return c.r.Context().Err() != nil
}

// stoppingError returns the refusal of a request that another host can serve.
func stoppingError() *result.Error {
	return &result.Error{Code: result.Stopping, RetryAfter: otherHostRetryAfter, Reason: "the host is stopping"}
}

// drawSeed makes the choice among a route's targets differ between processes.
var drawSeed = maphash.MakeSeed()

// weightDraw returns a number in [0, 1) that is the same for every try of a request.
func (c *call) weightDraw() float64 {
	return float64(maphash.String(drawSeed, c.headers.Attempt)>>11) / (1 << 53)
}

// refuse sends a final response that does not come from an endpoint.
func (c *call) refuse(e *result.Error) {
	c.outcome.Code, c.outcome.Reason = e.Code, e.Reason
	if e.Code == result.CallerGone {
		return
	}
	info, ok := result.Lookup(e.Code)
	if !ok {
		info.Status = http.StatusInternalServerError
	}
	if c.deadline == 0 {
		// The body was not read yet, and the server reads the rest of it before it responds.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
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
	if e.Code == result.NoMemory {
		// If the connection were closed with unread bytes, the caller might not get the refusal.
		_ = http.NewResponseController(c.w).Flush()
		_, _ = io.Copy(io.Discard, c.r.Body)
	}
}
