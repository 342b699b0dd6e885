package traffic

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	// silenceFirst is how long a connection may be silent before another is
	// tried; it doubles with each try up to silenceMost.
	silenceFirst = 2 * time.Second
	silenceMost  = 16 * time.Second
	// headerTimeout bounds the wait for the header of a resumed stream.
	headerTimeout = 2 * time.Second
	// lostAfter is how long an endpoint may take no connection before a request
	// on it is given up.
	lostAfter = 4 * time.Second
	// redialDelay is the time between two dials to an endpoint that takes none.
	redialDelay = 200 * time.Millisecond
	// quietMost is how long a request may get no chunk before it is given up,
	// though its endpoint takes connections.
	quietMost = 2 * time.Minute
	// maxFaults bounds the streams of one request that ended with a fault.
	maxFaults = 8
	// maxAnswerBytes bounds an engine's answer, which is kept until its caller has it.
	maxAnswerBytes = 32 << 20
)

// errAnswerTooLarge reports an answer of more than maxAnswerBytes.
var errAnswerTooLarge = errors.New("traffic: the engine's answer is too large")

// errNotSeen says that the engine that the request was sent to runs on, but
// hasn't read the request yet.
var errNotSeen = errors.New("traffic: the endpoint has not seen the request")

// engine sends the job to a model engine and follows its stream to the end
// marker, on as many connections as it takes.
func (x *run) engine(conn *endpoint.Conn) {
	x.heard = time.Now()
	x.boot = conn.Boot
	stream, err := x.first(conn)
	silence := silenceFirst
	for faults := 0; faults < maxFaults && time.Since(x.heard) < quietMost; {
		if err == nil {
			err = x.follow(stream, silence)
			if err == nil {
				x.whole(stream)
				return
			}
			stream.Close()
		}
		x.runner.conns.CloseUnused(x.address)
		if x.hopeless(err) {
			return
		}
		if endpoint.IsTimeout(err) {
			silence = min(2*silence, silenceMost)
		} else {
			faults++
		}
		stream, err = x.resume()
	}
	if errors.Is(err, errNotSeen) {
		x.unseen()
		return
	}
	x.lost(result.AnswerCut, "the endpoint's stream broke off and could not be resumed")
}

// unseen ends a job that its engine doesn't know. The engine is not lost. Its
// connection may still hold the request, so that it may yet run.
func (x *run) unseen() {
	x.finish(peerpb.Report_PHASE_CANCELED, answer.Final{
		Code: result.OutcomeUnknown, Reason: errNotSeen.Error(),
	})
}

// hopeless ends the job if another connection can't help after err.
func (x *run) hopeless(err error) bool {
	switch {
	case x.job.ctx.Err() != nil:
		x.withdraw()
	case errors.Is(err, endpoint.ErrUnknownRequest):
		x.lost(result.EndpointLost, err.Error())
	case errors.Is(err, endpoint.ErrStatus):
		x.finish(peerpb.Report_PHASE_CANCELED, answer.Final{
			Code: result.EndpointError, Reason: err.Error(),
		})
	case errors.Is(err, errAnswerTooLarge):
		x.cancelRun()
		x.finish(peerpb.Report_PHASE_CANCELED, answer.Final{Code: result.AnswerCut, Reason: err.Error()})
	default:
		return false
	}
	return true
}

// first sends the request and opens its stream.
func (x *run) first(conn *endpoint.Conn) (*endpoint.Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.fill(req)
	stop := x.closeOnCancel(conn)
	defer stop()
	if err := conn.Send(req); err != nil {
		_ = conn.Close()
		return nil, err
	}
	stream, err := endpoint.Open(conn, x.job.ID, 0, silenceFirst)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	x.boot = conn.Boot
	return stream, nil
}

// fill writes the request for an endpoint.
func (x *run) fill(req *fasthttp.Request) {
	req.Header.SetMethod(x.job.Method)
	req.SetRequestURI(x.job.Path)
	req.SetHost(x.address)
	req.Header.SetContentType(x.job.ContentType)
	req.Header.Set(engine.HeaderRequest, string(x.job.ID))
	req.Header.Set(engine.HeaderAttempt, strconv.FormatUint(uint64(x.attempt), 10))
	req.SetBodyRaw(x.job.Body)
}

// closeOnCancel closes the connection when the job is canceled. The returned
// function ends that.
func (x *run) closeOnCancel(conn *endpoint.Conn) func() {
	stop := context.AfterFunc(x.job.ctx, func() { _ = conn.Close() })
	return func() { stop() }
}

// follow copies chunks into the answer until the end marker.
func (x *run) follow(stream *endpoint.Stream, silence time.Duration) error {
	defer stream.CloseOnCancel(x.job.ctx)()
	for {
		chunk, err := stream.Next(silence)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if x.job.Answer.Size()+len(chunk.Data) > maxAnswerBytes {
			return errAnswerTooLarge
		}
		x.part(chunk)
	}
}

// part adds a chunk to the answer.
func (x *run) part(chunk endpoint.Chunk) {
	last := x.heard
	x.heard = time.Now()
	x.job.Answer.Append(chunk.Data)
	if x.end.FirstToken == 0 {
		x.end.FirstToken = x.heard.Sub(x.began)
		x.runner.opts.Post(control.FirstToken{ID: x.job.ID, After: x.end.FirstToken})
	} else {
		x.runner.opts.Gap(x.job.Tier, x.heard.Sub(last))
	}
	if u := chunk.Usage; u != nil {
		x.end.PromptTokens = u.PromptTokens
		x.end.CachedTokens = u.CachedTokens
		x.end.OutputTokens = u.CompletionTokens
	}
}

// whole ends the job with a whole answer.
func (x *run) whole(stream *endpoint.Stream) {
	stream.Reuse(x.runner.conns)
	x.finish(peerpb.Report_PHASE_FINISHED, answer.Final{Code: result.OK, Status: fasthttp.StatusOK})
}

// resume opens the request's stream again, from the first chunk that is
// missing, on a new connection. An endpoint that takes no connection is tried
// again until lostAfter.
func (x *run) resume() (*endpoint.Stream, error) {
	giveUp := time.Now().Add(lostAfter)
	for {
		conn, err := endpoint.Dial(x.address)
		if err == nil {
			return x.reopen(conn)
		}
		if time.Now().After(giveUp) {
			return nil, errors.Wrap(endpoint.ErrUnknownRequest, "the endpoint takes no connection")
		}
		if !x.pause() {
			return nil, x.job.ctx.Err()
		}
	}
}

// pause waits for redialDelay and says whether the job is still wanted.
func (x *run) pause() bool {
	select {
	case <-x.job.ctx.Done():
		return false
	case <-time.After(redialDelay):
		return true
	}
}

// reopen asks for the stream on a new connection.
func (x *run) reopen(conn *endpoint.Conn) (*endpoint.Stream, error) {
	from := x.job.Answer.Len()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(engine.PathResume + string(x.request) + engine.SuffixStream + "?from=" + strconv.Itoa(from))
	req.SetHost(x.address)
	if err := conn.Send(req); err != nil {
		_ = conn.Close()
		return nil, err
	}
	stream, err := endpoint.Open(conn, x.request, from, headerTimeout)
	if err != nil {
		_ = conn.Close()
	}
	if errors.Is(err, endpoint.ErrUnknownRequest) && x.boot != "" && conn.Boot == x.boot {
		x.pause()
		return nil, errNotSeen
	}
	return stream, err
}

// withdraw cancels the request at the engine after its caller has left.
func (x *run) withdraw() {
	if x.runner.aborted.Load() {
		x.lost(result.OutcomeUnknown, "the host stopped")
		return
	}
	x.cancelRun()
	x.lost(result.OutcomeUnknown, "the caller closed its connection while the request ran")
}

// cancelRun cancels the request at the engine.
func (x *run) cancelRun() {
	conn, err := endpoint.Dial(x.address)
	if err != nil {
		return
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI(engine.PathResume + string(x.job.ID))
	req.SetHost(x.address)
	_ = conn.Send(req)
	fasthttp.ReleaseRequest(req)
	x.drop(conn)
}

// drop reads one answer and closes the connection, so that the request before
// it is surely read.
func (x *run) drop(conn *endpoint.Conn) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if conn.SetReadDeadline(time.Now().Add(headerTimeout)) == nil {
		_ = conn.Receive(resp)
		_ = resp.CloseBodyStream()
	}
	_ = conn.Close()
}
