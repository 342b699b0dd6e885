package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// endMargin is how much longer than the time limit an endpoint's answer is
	// waited for: the endpoint keeps to the limit by itself and its answer is on its
	// way.
	endMargin = 100 * time.Millisecond
	// maxForeign is how many answers to other requests are skipped before one
	// connection is given up.
	maxForeign = 2
	// maxSkipped bounds the body of an answer that is skipped or held, in bytes.
	maxSkipped = 64 << 10
	// failureWait is how long the rest of a failed run's answer is waited for where
	// another try can do better.
	failureWait = 250 * time.Millisecond
	// copyBuffer is the size of the buffer between endpoint and caller, in bytes:
	// what is there to be read goes on at once.
	copyBuffer = 8 << 10
	// writeSlack is how long the caller may take for what is written to it.
	writeSlack = 5 * time.Second
)

// tryEnd is how a try ended.
type tryEnd struct {
	// delivered says that an answer, whole or not, went to the caller, or that there
	// is no caller any more. broken says that it broke off and may be resumed.
	delivered, broken bool
	failure           failure
	reason            string
}

// failed returns the end of a try of which nothing went to the caller.
func failed(f failure, reason string) tryEnd {
	return tryEnd{failure: f, reason: reason}
}

// heldAnswer is an endpoint's whole answer that says that the run failed.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends the request on a connection and carries the answer to the caller.
func (t *try) exchange(conn *upstream.Conn) tryEnd {
	x := &exchange{try: t, call: t.call, conn: conn}
	stop := context.AfterFunc(t.call.ctx, func() { _ = conn.Close() })
	end := x.run()
	// Without a stop the connection was closed when the caller left.
	if !stop() || !x.reusable() {
		_ = conn.Close()
	} else {
		t.call.gateway.conns.Put(conn)
	}
	if x.broken && conn.Reused {
		t.call.gateway.conns.CloseUnused(t.address)
	}
	if x.ended && t.call.ctx.Err() == nil {
		x.lost = t.call.gateway.conns.Refuses(t.call.ctx, t.address)
	}
	t.finish(x.phase(end))
	return end
}

// exchange is one request and its answer on one connection.
type exchange struct {
	try  *try
	call *call
	conn *upstream.Conn
	// sent is closed when the request was written, whole unless sendErr is set.
	sent    chan struct{}
	sendErr error
	// whole says that the answer was read to its end, closes that the endpoint
	// closes the connection after it, broken that the connection failed.
	whole, closes, broken bool
	rejected              bool
	// ended says that the endpoint ended the connection before its answer was whole, lost
	// that it takes no more connections: it has ended itself.
	ended, lost bool
	// until is when the answer has to be whole.
	until time.Time
}

// run sends the request and deals with its answer.
func (x *exchange) run() tryEnd {
	g := x.call.gateway
	left := x.call.limit - g.opts.Now()
	x.until = time.Now().Add(left + endMargin)
	_ = x.conn.SetDeadline(x.until)
	x.send(left)
	resp, end := x.receive()
	if resp == nil {
		return end
	}
	defer func() {
		// Close reads a body to its end; the connection of one that isn't whole is closed.
		if x.whole {
			_ = resp.Body.Close()
		}
	}()
	answer := platform.ReadAnswer(resp.StatusCode, resp.Header)
	if answer.Leaving {
		g.opts.Post(control.EndpointLeaving{Endpoint: x.try.endpoint, Lifetime: x.try.lifetime})
	}
	if answer.Backoff > 0 || answer.BadBackoff != "" {
		x.backOff(&answer)
	}
	switch {
	case answer.NotRun:
		x.rejected = true
		x.skip(resp)
		return failed(notRun, "the endpoint did not run it: status "+strconv.Itoa(resp.StatusCode))
	case !answer.Sealed, platform.IsPromise(resp.StatusCode), resp.Header.Get("Content-Encoding") != "":
		x.broken = true
		return failed(unknown, "no endpoint's answer: status "+strconv.Itoa(resp.StatusCode))
	case resp.StatusCode >= http.StatusInternalServerError:
		return x.hold(resp)
	}
	return x.deliver(resp)
}

// send writes the request. A long body is written beside the reading of the
// answer, which an endpoint may send before it has read the whole body.
func (x *exchange) send(left time.Duration) {
	c := x.call
	buf := headBuffers.Get().(*[]byte)
	head := platform.AppendHead((*buf)[:0], c.r.Method, c.target, c.r.Host, c.r.Header, platform.Dispatch{
		Endpoint: x.try.endpoint, Team: c.outcome.Team, Left: left, LastEvent: c.events.last,
	}, len(c.body))
	x.sent = make(chan struct{})
	if len(c.body) <= smallBody {
		head = append(head, c.body...)
		_, x.sendErr = x.conn.Write(head)
		close(x.sent)
		*buf = head
		headBuffers.Put(buf)
		return
	}
	go func() {
		defer close(x.sent)
		if _, x.sendErr = x.conn.Write(head); x.sendErr == nil {
			_, x.sendErr = x.conn.Write(c.body)
		}
	}()
}

// smallBody is the size of a body up to which it is written at once with the head,
// in bytes: the kernel takes that much without the endpoint's reading.
const smallBody = 16 << 10

// headBuffers keeps the buffers that requests are written from.
var headBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, smallBody+4<<10)
	return &b
}}

// receive reads the head of the answer to this request. Answers to others, which
// may be left on the connection, are skipped.
func (x *exchange) receive() (*http.Response, tryEnd) {
	for range maxForeign + 1 {
		resp, err := x.conn.ReadResponseHead(x.call.r.Method, x.call.tuning.HeadLimit)
		if err != nil {
			x.broken, x.ended = true, endedByPeer(err)
			if errors.Is(err, upstream.ErrHeadTooLong) {
				x.drop(DropHeadTooLong)
			}
			return nil, failed(unknown, "no answer: "+err.Error())
		}
		if platform.Belongs(resp.Header, x.call.headers.Attempt) {
			return resp, tryEnd{}
		}
		x.drop(DropOtherRequest)
		if !x.skip(resp) {
			break
		}
		x.whole = false
	}
	x.broken = true
	return nil, failed(unknown, "answers to other requests came")
}

// endedByPeer reports whether an error in reading says that the other end closed or reset
// the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// backOff notes for how long the endpoint wants nothing from this host. A refusal says so
// without a seal; no other answer without one counts.
func (x *exchange) backOff(answer *platform.Answer) {
	if !answer.Sealed && !answer.NotRun {
		return
	}
	g, most := x.call.gateway, x.call.tuning.MaxBackoff
	x.try.end.Backoff = min(answer.Backoff, most)
	if (answer.BadBackoff != "" || answer.Backoff > most) && g.mayTellBackoff(time.Now()) {
		logs.With(g.opts.Log, logs.BackoffBounded).WithField("endpoint", x.try.endpoint).
			WithField("said", cmp.Or(answer.BadBackoff, answer.Backoff.String())).
			WithField("used_ms", x.try.end.Backoff.Milliseconds()).Warn()
	}
}

// drop counts an answer, or the rest of one, that was not taken.
func (x *exchange) drop(reason DropReason) {
	x.call.gateway.opts.OnDrop(reason)
}

// readRest reads the rest of an answer for up to a time. It returns false if it isn't
// whole then, or too long.
func (x *exchange) readRest(resp *http.Response, wait time.Duration) ([]byte, bool) {
	until := time.Now().Add(wait)
	if until.After(x.until) {
		until = x.until
	}
	_ = x.conn.SetReadDeadline(until)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSkipped))
	_ = x.conn.SetReadDeadline(x.until)
	if err != nil || len(body) == maxSkipped {
		x.drop(DropUnread)
		return nil, false
	}
	x.whole, x.closes = true, resp.Close
	return body, true
}

// skip reads the rest of an answer that goes to nobody, to keep the connection. What
// doesn't come at once is not waited for.
func (x *exchange) skip(resp *http.Response) bool {
	_, whole := x.readRest(resp, x.call.tuning.DiscardWait)
	return whole
}

// hold keeps the answer of a run that failed: another try may do better.
func (x *exchange) hold(resp *http.Response) tryEnd {
	wait := time.Until(x.until)
	if x.call.mayTryAgain(ranBadly) {
		wait = failureWait
	}
	body, whole := x.readRest(resp, wait)
	if !whole {
		x.broken = true
		return failed(unknown, "the answer with status "+strconv.Itoa(resp.StatusCode)+" was not whole")
	}
	x.call.fallback = &heldAnswer{resp.StatusCode, resp.Header, body}
	return failed(ranBadly, "the endpoint answered with status "+strconv.Itoa(resp.StatusCode))
}

// deliverHeld gives the caller an answer that was held.
func (c *call) deliverHeld(a *heldAnswer) {
	c.outcome.Code, c.outcome.Status = result.EndpointError, a.status
	c.outcome.Reason = "the endpoint's run failed"
	platform.CopyAnswer(c.w.Header(), a.header)
	suppressSniffing(c.w.Header())
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// suppressSniffing keeps the server from adding a type that the endpoint did not
// send.
func suppressSniffing(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// deliver passes an answer on as it comes. One that resumes a stream goes on behind
// what the caller has, under the head of the first.
func (x *exchange) deliver(resp *http.Response) tryEnd {
	c := x.call
	x.closes = resp.Close
	streams := resp.ContentLength < 0
	switch {
	case c.outcome.Status == 0:
		x.writeHead(resp)
	case !streams || resp.StatusCode != http.StatusOK:
		x.broken = true
		return tryEnd{broken: true, failure: unknown, reason: "the stream was not resumed: status " + strconv.Itoa(resp.StatusCode)}
	}
	err := x.copy(resp, streams)
	switch {
	case err == nil:
		x.whole = true
		c.outcome.Code = result.OK
		c.outcome.OnTime = c.onTime()
	case c.ctx.Err() != nil:
		c.outcome.Code, c.outcome.Reason = result.CallerGone, "the caller left before the answer was whole"
	default:
		x.broken, x.ended = true, endedByPeer(err)
		c.outcome.Code, c.outcome.Reason = result.AnswerCut, err.Error()
		return tryEnd{
			delivered: !c.route.Resumable || !streams || errors.Is(err, errCaller), broken: true,
			failure: unknown, reason: err.Error(),
		}
	}
	return tryEnd{delivered: true}
}

// writeHead sends the head of an answer to the caller.
func (x *exchange) writeHead(resp *http.Response) {
	c := x.call
	h := c.w.Header()
	platform.CopyAnswer(h, resp.Header)
	suppressSniffing(h)
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.outcome.Status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.limit - c.gateway.opts.Now() + writeSlack))
}

// errCaller says that the caller takes no more.
var errCaller = errors.New("the caller takes no more of the answer")

// copy passes the body on. Whatever is there to be read goes out at once; of a stream
// that may be resumed only whole events.
func (x *exchange) copy(resp *http.Response, streams bool) error {
	c := x.call
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		out := (*buf)[:n]
		if c.route.Resumable && streams {
			var tooLong error
			if out, tooLong = x.wholeEvents(out, err); tooLong != nil {
				x.drop(DropEventTooLong)
				c.events.drop()
				return tooLong
			}
		}
		if len(out) > 0 {
			x.noteBytes(out, streams)
			if failed := c.pass(out, streams); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			c.events.drop()
			return err
		}
	}
}

// wholeEvents returns what of a resumable stream goes on now. An endpoint's silence
// doesn't end its run: whether another could go on in time isn't known beforehand.
func (x *exchange) wholeEvents(b []byte, err error) ([]byte, error) {
	out, tooLong := x.call.events.add(b)
	if tooLong == nil && errors.Is(err, io.EOF) {
		return append(out, x.call.events.rest()...), nil
	}
	return out, tooLong
}

// noteBytes notes when a part of the answer came.
func (x *exchange) noteBytes(b []byte, streams bool) {
	c, at := x.call, x.call.gateway.opts.Now()
	if c.outcome.Bytes == 0 {
		c.outcome.FirstByte = at - c.arrived
		x.firstEvent(at)
	} else {
		c.outcome.MaxGap = max(c.outcome.MaxGap, at-c.lastByte)
		c.gateway.opts.OnGap(c.route.Kind, at-c.lastByte)
	}
	c.lastByte = at
	c.outcome.Bytes += len(b)
	if streams {
		c.outcome.Events += bytes.Count(b, eventEnd)
	}
}

// pass writes a part of an answer to the caller.
func (c *call) pass(b []byte, streams bool) error {
	if _, err := c.w.Write(b); err != nil {
		return errCaller
	}
	if streams && http.NewResponseController(c.w).Flush() != nil {
		return errCaller
	}
	return nil
}

// eventEnd is the empty line that ends an event of a stream.
var eventEnd = []byte("\n\n")

// copyBuffers keeps the buffers between endpoints and callers.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBuffer)
	return &b
}}

// firstEvent tells control of the first event of a stream.
func (x *exchange) firstEvent(at time.Duration) {
	if x.call.route.Kind != ruleset.Stream {
		return
	}
	x.try.end.FirstToken = at - x.try.began
	x.call.gateway.opts.Post(control.FirstToken{ID: x.try.id, After: x.try.end.FirstToken})
}

// onTime reports whether a whole answer kept its route's objectives.
func (c *call) onTime() bool {
	if c.route.Kind != ruleset.Stream {
		return c.gateway.opts.Now()-c.arrived <= c.route.Objective
	}
	return c.outcome.FirstByte <= c.route.Objective &&
		(c.route.GapObjective <= 0 || c.outcome.MaxGap <= c.route.GapObjective)
}

// reusable reports whether the connection can carry another request: this one was
// sent whole and its answer read to its end.
func (x *exchange) reusable() bool {
	if !x.whole || x.closes {
		return false
	}
	select {
	case <-x.sent:
		return x.sendErr == nil
	default:
		return false
	}
}

// cachedUnknown says that the endpoint doesn't tell how much of a prompt it had
// cached.
const cachedUnknown = -1

// phase returns how the try ended for the pool's scheduler.
func (x *exchange) phase(end tryEnd) peerpb.Report_Phase {
	c := x.call
	x.try.end.OutputTokens, x.try.end.CachedTokens = c.outputTokens(), cachedUnknown
	x.try.end.Answered = x.whole && !x.rejected
	switch {
	case x.rejected:
		return peerpb.Report_PHASE_REJECTED
	case x.lost:
		return peerpb.Report_PHASE_LOST
	case end.delivered && x.whole:
		return peerpb.Report_PHASE_FINISHED
	case c.ctx.Err() != nil, c.gateway.opts.Now() >= c.limit:
		return peerpb.Report_PHASE_CANCELED
	}
	return peerpb.Report_PHASE_BROKEN
}

// outputTokens returns the length of the answer as far as its events tell.
func (c *call) outputTokens() int {
	target := c.rules.Target(c.outcome.Target)
	if target == nil || target.Engine == nil {
		return 0
	}
	return c.outcome.Events * target.Engine.TokensPerEvent
}
