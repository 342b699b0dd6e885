package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/responsehead"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/sse"
	"github.com/trefoilchute/trefoilchute/internal/upstream"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// responseMargin is added to the deadline when waiting for an endpoint's response: the
	// endpoint enforces the deadline itself, and its response takes time to arrive.
	responseMargin = 100 * time.Millisecond
	// maxOtherResponses is how many responses to other requests are skipped on a connection
	// before it is closed.
	maxOtherResponses = 2
	// deliveryTimeout is how long an endpoint's host may take to acknowledge a request. It is shorter
	// than the kernel's own timeout for unresponsive peers.
	deliveryTimeout = 2500 * time.Millisecond
	// maxDiscardBytes bounds the body of a response that is discarded or held.
	maxDiscardBytes = 64 << 10
	// failedRunWait bounds the wait for the rest of a failed run's response if the request
	// can be retried.
	failedRunWait = 250 * time.Millisecond
	// copyBufferBytes is the size of the buffer between endpoint and caller. Bytes are
	// forwarded as soon as they can be read, so it need not be large.
	copyBufferBytes = 8 << 10
	// callerWriteMargin is how long past the deadline writes to the caller may take.
	callerWriteMargin = 5 * time.Second
)

// tryResult is the result of a try.
type tryResult struct {
	// delivered is set if a response, complete or not, was sent to the caller, or if the
	// caller has disconnected. broken is set if the response was truncated and the stream
	// may be resumed.
	delivered, broken bool
	failure           failure
	reason            string
}

// failedTry returns the result of a try of which nothing was sent to the caller.
func failedTry(f failure, reason string) tryResult {
	return tryResult{failure: f, reason: reason}
}

// heldResponse is an endpoint's complete response to a run that failed.
type heldResponse struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends the request on a connection and forwards the response to the caller.
func (t *try) exchange(conn *upstream.Conn) tryResult {
	x := &exchange{try: t, call: t.call, conn: conn}
	returned := false
	defer func() {
		// The endpoint's slot is taken until the end is reported, also if the handler panics.
		if !returned {
			_ = conn.Abort()
			t.reportEnd(peerpb.Report_PHASE_BROKEN)
		}
	}()
	stop := context.AfterFunc(t.call.ctx, func() { _ = conn.Abort() })
	res := x.run()
	// If stop returns false, the connection was aborted because the caller disconnected.
	switch {
	case !stop() || !x.complete:
		_ = conn.Abort()
	case !x.reusable():
		_ = conn.Close()
	default:
		t.call.gateway.conns.Put(conn)
	}
	if x.broken && conn.Reused {
		t.call.gateway.conns.CloseUnused(t.address)
	}
	if x.closedByPeer && t.call.ctx.Err() == nil {
		x.endpointLost = t.call.gateway.conns.Refuses(t.call.ctx, t.address)
	}
	phase := x.reportPhase(res)
	t.end.Total = t.call.gateway.opts.Now() - t.began
	returned = true
	if phase == peerpb.Report_PHASE_BROKEN && x.closedByPeer {
		go t.reportBroken()
	} else {
		t.reportEnd(phase)
	}
	return res
}

// lossRecheckDelay is the time until an endpoint that closed a connection is probed again. A
// process that ends closes its connections and its listener one after the other.
const lossRecheckDelay = 100 * time.Millisecond

// reportBroken reports the end of a try whose endpoint closed the connection but accepted
// another, once it is known whether it accepts them still. The caller doesn't wait for that.
func (t *try) reportBroken() {
	time.Sleep(lossRecheckDelay)
	phase := peerpb.Report_PHASE_BROKEN
	if t.call.gateway.conns.Refuses(context.Background(), t.address) {
		phase = peerpb.Report_PHASE_LOST
	}
	t.reportEnd(phase)
}

// exchange is one request and its response on one connection.
type exchange struct {
	try  *try
	call *call
	conn *upstream.Conn
	// sent is closed when the request was written; it was written completely if sendErr is
	// nil.
	sent    chan struct{}
	sendErr error
	// complete is set when the response was read to its end, closeAfter if the endpoint
	// closes the connection after it, and broken if the connection failed.
	complete, closeAfter, broken bool
	rejected                     bool
	// closedByPeer is set if the endpoint closed the connection before its response was
	// complete, and endpointLost if it refuses new connections too: it has ended.
	closedByPeer, endpointLost bool
	// resumes is set if the response continues a stream of which the caller has a part, and joined
	// when its first event follows the last one that the caller has.
	resumes, joined bool
	// format is the format of the response's body, and declared if it declares to be events.
	format   format
	declared bool
	// generated is set if the endpoint generated at least a part of a successful answer.
	generated bool
	// deadline is when the response has to be complete.
	deadline time.Time
}

// run sends the request and handles its response.
func (x *exchange) run() tryResult {
	g := x.call.gateway
	left := x.call.deadline - g.opts.Now()
	x.deadline = time.Now().Add(left + responseMargin)
	_ = x.conn.SetDeadline(x.deadline)
	x.send(left)
	undelivered := time.AfterFunc(deliveryTimeout, x.abortIfUndelivered)
	resp, res := x.receive()
	undelivered.Stop()
	if resp == nil {
		return res
	}
	defer func() {
		// Close would read an incomplete body to its end. Such a body is left unread, and its
		// connection is closed instead.
		if x.complete {
			_ = resp.Body.Close()
		}
	}()
	answer := platform.ReadAnswer(resp.StatusCode, resp.Header)
	x.try.end.LoadPercent = answer.LoadPercent
	if answer.Leaving {
		g.opts.Post(control.EndpointLeaving{Endpoint: x.try.endpoint, Lifetime: x.try.lifetime})
	}
	if answer.Backoff > 0 || answer.BadBackoff != "" {
		x.backOff(&answer)
	}
	switch {
	case answer.NotRun:
		x.rejected = true
		x.call.refusedOn = append(x.call.refusedOn, x.conn)
		x.discardBody(resp)
		return failedTry(notRun, "the endpoint did not run it: status "+strconv.Itoa(resp.StatusCode))
	case !answer.Sealed, platform.GuaranteesNotRun(resp.StatusCode), resp.Header.Get("Content-Encoding") != "":
		x.broken = true
		return failedTry(outcomeUnknown, "no endpoint's answer: status "+strconv.Itoa(resp.StatusCode))
	case resp.StatusCode >= http.StatusInternalServerError:
		return x.holdFailure(resp)
	}
	if x.call.body.size > smallBodyBytes && (!x.call.route.Resumable || !isSuccess(resp.StatusCode)) {
		// The request has run, and nothing sends its body again.
		x.call.body.discard()
	}
	return x.deliver(resp)
}

// abortIfUndelivered aborts the exchange if the endpoint's host has not acknowledged the whole
// request. The kernel would otherwise deliver it when the endpoint can be reached again, which may
// be after the endpoint has begun to drain.
func (x *exchange) abortIfUndelivered() {
	if n, err := x.conn.Unacknowledged(); err != nil || n == 0 {
		// An error means that the connection was closed in the meantime.
		return
	}
	x.countDrop(DropUndelivered)
	_ = x.conn.Abort()
}

// send writes the request. A long body is written concurrently with reading the response,
// because an endpoint may respond before it has read the whole body.
func (x *exchange) send(left time.Duration) {
	c := x.call
	buf := headBuffers.Get().(*[]byte)
	head := platform.AppendHead((*buf)[:0], c.r.Method, c.target, c.r.Host, c.r.Header, platform.Dispatch{
		Endpoint: x.try.endpoint, Team: c.outcome.Team, Remaining: left, LastEvent: c.events.lastID,
	}, c.body.size)
	x.sent = make(chan struct{})
	if c.body.size <= smallBodyBytes {
		for _, chunk := range c.body.chunks {
			head = append(head, chunk...)
		}
		_, x.sendErr = x.conn.Write(head)
		close(x.sent)
		if cap(head) <= maxPooledHead {
			*buf = head
			headBuffers.Put(buf)
		}
		return
	}
	spent := !c.keepsBody()
	c.body.spent = spent
	c.body.writers.Add(1)
	go func() {
		defer close(x.sent)
		if _, x.sendErr = x.conn.Write(head); x.sendErr != nil {
			c.body.writers.Add(-1)
			return
		}
		x.sendErr = c.body.writeTo(x.conn, spent)
	}()
}

// keepsBody reports whether a body is kept while it is sent, for another try.
func (c *call) keepsBody() bool {
	return c.outcome.Tries < c.route.MaxTries && c.gateway.ledger.retains()
}

// maxPooledHead bounds the buffers that are kept for writing requests. An ordinary request with
// very many prompt parts fits.
const maxPooledHead = 64 << 10

// smallBodyBytes is the largest body that is written together with the head: the kernel
// buffers that much even if the endpoint does not read.
const smallBodyBytes = 16 << 10

// headBuffers holds the buffers for writing requests.
var headBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, smallBodyBytes+4<<10)
	return &b
}}

// receive reads the head of the response to this request. It skips responses to other
// requests, which may be left over on the connection.
func (x *exchange) receive() (*http.Response, tryResult) {
	for range maxOtherResponses + 1 {
		resp, err := x.receiveFinal()
		if err != nil {
			x.broken, x.closedByPeer = true, isPeerClose(err)
			var connFailure *net.OpError
			switch {
			case errors.Is(err, upstream.ErrHeadTooLong):
				x.countDrop(DropHeadTooLong)
			case !x.closedByPeer && !errors.As(err, &connFailure):
				x.countDrop(DropInvalidHead)
			}
			return nil, failedTry(outcomeUnknown, "no answer: "+err.Error())
		}
		if platform.AnswersAttempt(resp.Header, x.call.headers.Attempt) {
			return resp, tryResult{}
		}
		x.countDrop(DropOtherRequest)
		if !x.discardBody(resp) {
			break
		}
		x.complete = false
	}
	x.broken = true
	return nil, failedTry(outcomeUnknown, "answers to other requests came")
}

var (
	// errTooManyInterim is returned when no final response follows the interim ones.
	errTooManyInterim = errors.New("too many interim responses")
	// errFinalInterim is returned for an interim response with a seal or a refusal, which only
	// final ones have. Its status was garbled.
	errFinalInterim = errors.New("an interim response with the headers of a final one")
)

// receiveFinal reads the head of the next final response.
func (x *exchange) receiveFinal() (*http.Response, error) {
	for range responsehead.MaxInterim + 1 {
		resp, err := x.conn.ReadResponseHead(x.call.r.Method, x.call.tuning.HeadLimit)
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(resp.StatusCode, x.declaresBody(resp)); err != nil {
			return nil, err
		}
		if !responsehead.IsInterim(resp.StatusCode) {
			return resp, nil
		}
		if answer := platform.ReadAnswer(resp.StatusCode, resp.Header); answer.Sealed || answer.NotRun {
			return nil, errFinalInterim
		}
	}
	return nil, errTooManyInterim
}

// declaresBody reports whether a response's head declares a body. The response to HEAD, or to a
// conditional request, may tell the length of one that it doesn't have.
func (x *exchange) declaresBody(resp *http.Response) bool {
	r := x.call.r
	if r.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified && isConditional(r.Header) {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return length != "" && length != "0" || len(resp.TransferEncoding) > 0
}

// isConditional reports whether a request may be answered without the body that the caller has.
func isConditional(h http.Header) bool {
	return h.Get("If-None-Match") != "" || h.Get("If-Modified-Since") != ""
}

// isPeerClose reports whether a read error means that the peer closed or reset the
// connection.
func isPeerClose(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// backOff records the backoff that the endpoint requests from this host. It is accepted from
// sealed responses and from refusals, which carry no seal.
func (x *exchange) backOff(answer *platform.Answer) {
	if !answer.Sealed && !answer.NotRun {
		return
	}
	g, maxBackoff := x.call.gateway, x.call.tuning.MaxBackoff
	x.try.end.Backoff = min(answer.Backoff, maxBackoff)
	if (answer.BadBackoff != "" || answer.Backoff > maxBackoff) && g.allowBackoffLog(time.Now()) {
		logs.With(g.opts.Log, logs.BackoffBounded).WithField("endpoint", x.try.endpoint).
			WithField("said", cmp.Or(answer.BadBackoff, answer.Backoff.String())).
			WithField("used_ms", x.try.end.Backoff.Milliseconds()).Warn()
	}
}

// countDrop counts a response that was not read completely.
func (x *exchange) countDrop(reason DropReason) {
	x.call.gateway.opts.OnDrop(reason)
}

// readRest reads the rest of a response within the given time. It returns false if the
// response is not complete by then, or too long.
func (x *exchange) readRest(resp *http.Response, wait time.Duration) ([]byte, bool) {
	until := time.Now().Add(wait)
	if until.After(x.deadline) {
		until = x.deadline
	}
	_ = x.conn.SetReadDeadline(until)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscardBytes))
	_ = x.conn.SetReadDeadline(x.deadline)
	if err != nil || len(body) == maxDiscardBytes || endsWithConn(resp) && !x.endReceived() {
		x.countDrop(DropUnread)
		return nil, false
	}
	x.complete, x.closeAfter = true, resp.Close
	return body, true
}

// discardBody reads the rest of a response that is not forwarded, so that the connection can
// be reused. It does not wait long for it.
func (x *exchange) discardBody(resp *http.Response) bool {
	_, whole := x.readRest(resp, x.call.tuning.DiscardWait)
	return whole
}

// holdFailure keeps the response of a failed run, because a retry may succeed.
func (x *exchange) holdFailure(resp *http.Response) tryResult {
	wait := time.Until(x.deadline)
	if x.call.mayRetry(runFailed) {
		wait = failedRunWait
	}
	body, whole := x.readRest(resp, wait)
	if !whole || x.call.formatOf(resp) == formatEvents && sse.EndsInside(body) {
		x.broken = true
		return failedTry(outcomeUnknown, "the answer with status "+strconv.Itoa(resp.StatusCode)+" was not whole")
	}
	x.call.fallback = &heldResponse{resp.StatusCode, resp.Header, body}
	return failedTry(runFailed, "the endpoint answered with status "+strconv.Itoa(resp.StatusCode))
}

// deliverHeldResponse sends a held response to the caller.
func (c *call) deliverHeldResponse(a *heldResponse) {
	c.outcome.Code, c.outcome.Status = result.EndpointError, a.status
	c.outcome.Reason = "the endpoint's run failed"
	platform.CopyAnswerHeaders(c.w.Header(), a.header)
	suppressSniffing(c.w.Header())
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// suppressSniffing keeps the server from adding a Content-Type that the endpoint did not
// send.
func suppressSniffing(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// deliver forwards a response as it arrives. A response that resumes a stream continues
// after the events that the caller has, under the head of the first response.
func (x *exchange) deliver(resp *http.Response) tryResult {
	c := x.call
	x.closeAfter = resp.Close
	x.format = c.formatOf(resp)
	x.declared = x.format == formatEvents
	x.resumes = c.outcome.Status != 0
	switch {
	case !x.resumes:
		x.writeHead(resp)
	case x.format == formatOther || !isSuccess(resp.StatusCode):
		x.broken = true
		return tryResult{broken: true, failure: outcomeUnknown, reason: "the stream was not resumed: status " + strconv.Itoa(resp.StatusCode)}
	}
	if x.resumes {
		// What joins the events that the caller has must begin with an event, whatever it declares.
		x.format = formatUndeclared
	}
	eventsBefore := c.outcome.Events
	err := x.copy(resp)
	x.generated = isSuccess(resp.StatusCode) && (c.outcome.Events > eventsBefore || x.format == formatOther && err == nil)
	switch {
	case err == nil:
		x.complete = true
		c.outcome.Code = result.OK
		c.outcome.OnTime = c.onTime()
	case c.callerGone():
		c.outcome.Code, c.outcome.Reason = result.CallerGone, "the caller left before the answer was whole"
	default:
		x.broken, x.closedByPeer = true, isPeerClose(err)
		c.outcome.Code, c.outcome.Reason = result.AnswerCut, err.Error()
		resumable := c.route.Resumable && x.format != formatOther && isSuccess(resp.StatusCode)
		return tryResult{
			delivered: !resumable || errors.Is(err, errCallerGone), broken: true,
			failure: outcomeUnknown, reason: err.Error(),
		}
	}
	return tryResult{delivered: true}
}

// isSuccess reports whether a status is a success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// writeHead sends the head of a response to the caller.
func (x *exchange) writeHead(resp *http.Response) {
	c := x.call
	h := c.w.Header()
	platform.CopyAnswerHeaders(h, resp.Header)
	suppressSniffing(h)
	// A stream that turns out to be incomplete must not reach its declared length.
	if resp.ContentLength >= 0 && x.format == formatOther {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.outcome.Status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.deadline - c.gateway.opts.Now() + callerWriteMargin))
}

// errNotResumed is returned when the rest of a stream was requested and something else came.
var errNotResumed = errors.New("the stream was not resumed: no events came")

// errBeginsAgain is returned when a resumed stream begins with an event that the caller has.
var errBeginsAgain = errors.New("the stream was not resumed: it begins with an event that was sent before")

// errCallerGone is returned when the caller cannot be written to.
var errCallerGone = errors.New("the caller takes no more of the answer")

// errReset is returned when a response that ends with its connection is cut by a reset.
var errReset = fmt.Errorf("the connection was reset before the response ended: %w", syscall.ECONNRESET)

// errInsideEvent is returned when a response ends properly, but inside an event.
var errInsideEvent = errors.New("the stream ended inside an event")

// copy forwards the body. Bytes are sent as soon as they can be read; of a resumable
// stream, only complete events are. A stream that ends inside an event is incomplete, whatever
// its framing.
func (x *exchange) copy(resp *http.Response) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	received, held := false, 0
	for {
		n, err := resp.Body.Read((*buf)[held:])
		b := (*buf)[:held+n]
		held, received = 0, received || n > 0
		if x.format == formatUndeclared {
			if x.format = detectFormat(b); x.format == formatUndeclared && err == nil && len(b) < len(*buf) {
				held = len(b)
				continue
			}
			switch {
			case x.resumes && (x.format == formatOther || !received && !x.declared && errors.Is(err, io.EOF)):
				return errNotResumed
			case x.format == formatUndeclared && received:
				x.format = formatEvents
			}
		}
		streams := x.format != formatOther || resp.ContentLength < 0
		if writeErr := x.forward(b, streams); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return x.checkEnd(received, endsWithConn(resp))
		}
		if err != nil {
			x.call.events.discardPartial()
			return err
		}
	}
}

// forward sends a part of the body to the caller. A pause of the endpoint does not end its run,
// because it is not known in advance whether another endpoint could resume the stream in time.
func (x *exchange) forward(b []byte, streams bool) error {
	c := x.call
	switch {
	case x.format != formatEvents:
	case c.route.Resumable:
		last := c.events.lastID
		var tooLong error
		if b, tooLong = c.events.add(b); tooLong != nil {
			x.countDrop(DropEventTooLong)
			c.events.discardPartial()
			return tooLong
		}
		if x.resumes && !x.joined && len(b) > 0 {
			if x.joined = follows(firstID(b), last); !x.joined {
				c.events.lastID = last
				c.events.discardPartial()
				return errBeginsAgain
			}
		}
	default:
		c.events.Scan(b)
	}
	if len(b) == 0 {
		return nil
	}
	x.recordBytes(b)
	return c.writeToCaller(b, streams)
}

// checkEnd returns an error if the body ended before it was complete. Without a length or chunks,
// a stream without any bytes can't be told from one that broke off.
func (x *exchange) checkEnd(received, endsWithConn bool) error {
	incomplete := x.format != formatOther && (x.call.events.Inside() || endsWithConn && !received)
	x.call.events.discardPartial()
	switch {
	case endsWithConn && !x.endReceived():
		x.countDrop(DropReset)
		return errReset
	case !incomplete:
		return nil
	case endsWithConn:
		return io.ErrUnexpectedEOF
	}
	return errInsideEvent
}

// endsWithConn reports whether a response's body has neither a length nor chunks, so that the end of
// the connection is its end.
func endsWithConn(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endReceived reports whether the endpoint has ended the connection in order. Reading its end is no
// proof: if the request was still being written, the write may have got the error of a reset.
func (x *exchange) endReceived() bool {
	received, err := x.conn.EndReceived()
	return err == nil && received
}

// recordBytes records the time and size of a part of the response.
func (x *exchange) recordBytes(b []byte) {
	c, at := x.call, x.call.gateway.opts.Now()
	if c.outcome.Bytes == 0 {
		c.outcome.FirstByte = at - c.arrived
		x.reportFirstToken(at)
	} else {
		c.outcome.MaxGap = max(c.outcome.MaxGap, at-c.lastByteAt)
		c.gateway.opts.OnGap(c.route.Kind, at-c.lastByteAt)
	}
	c.lastByteAt = at
	c.outcome.Bytes += len(b)
	c.outcome.Events = c.events.Events()
}

// writeToCaller writes a part of a response to the caller.
func (c *call) writeToCaller(b []byte, streams bool) error {
	if _, err := c.w.Write(b); err != nil {
		return errCallerGone
	}
	if streams && http.NewResponseController(c.w).Flush() != nil {
		return errCallerGone
	}
	return nil
}

// copyBuffers holds the buffers between endpoints and callers.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// reportFirstToken reports the first event of a stream to control.
func (x *exchange) reportFirstToken(at time.Duration) {
	if x.call.route.Kind != ruleset.Stream {
		return
	}
	x.try.end.FirstToken = at - x.try.began
	x.call.gateway.opts.Post(control.FirstToken{
		ID: x.try.id, After: x.try.end.FirstToken, LoadPercent: x.try.end.LoadPercent,
	})
	x.try.end.LoadPercent = 0
}

// onTime reports whether a complete response met its route's objectives.
func (c *call) onTime() bool {
	if c.route.Kind != ruleset.Stream {
		return c.gateway.opts.Now()-c.arrived <= c.route.Objective
	}
	return c.outcome.FirstByte <= c.route.Objective &&
		(c.route.GapObjective <= 0 || c.outcome.MaxGap <= c.route.GapObjective)
}

// reusable reports whether the connection can carry another request: this request was sent
// completely, and its response was read to its end.
func (x *exchange) reusable() bool {
	if !x.complete || x.closeAfter {
		return false
	}
	select {
	case <-x.sent:
		return x.sendErr == nil
	default:
		return false
	}
}

// cachedUnknown is reported for endpoints that do not tell how many prompt tokens were
// cached.
const cachedUnknown = -1

// reportPhase returns the phase that is reported to the pool's scheduler when the try ends.
func (x *exchange) reportPhase(res tryResult) peerpb.Report_Phase {
	c := x.call
	x.try.end.OutputTokens, x.try.end.CachedTokens = c.outputTokens(), cachedUnknown
	x.try.end.Answered = x.complete && !x.rejected
	x.try.end.Generated = x.generated
	switch {
	case x.rejected:
		return peerpb.Report_PHASE_REJECTED
	case x.endpointLost:
		return peerpb.Report_PHASE_LOST
	case res.delivered && x.complete:
		return peerpb.Report_PHASE_FINISHED
	case c.ctx.Err() != nil, c.gateway.opts.Now() >= c.deadline:
		return peerpb.Report_PHASE_CANCELED
	}
	return peerpb.Report_PHASE_BROKEN
}

// outputTokens returns the number of output tokens, estimated from the number of events.
func (c *call) outputTokens() int {
	target := c.rules.Target(c.outcome.Target)
	if target == nil || target.Engine == nil {
		return 0
	}
	return c.outcome.Events * target.Engine.TokensPerEvent
}
