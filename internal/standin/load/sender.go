package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	api "github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
)

const (
	// oneAttempt turns off the library's own repetition of calls.
	oneAttempt = 1
	// readGrace is how long past its deadline an answer is waited for.
	readGrace = 10 * time.Second
	// maxConnsPerHost leaves the bound to Options.MaxInFlight.
	maxConnsPerHost = 1 << 16
	// idleConn is shorter than the servers' own limits, so that a request seldom
	// meets a connection that the server is just closing.
	idleConn = 15 * time.Second
)

// kind says how a request ended.
type kind int

// Kinds of ends.
const (
	// whole is a whole answer, and the one to its own request.
	whole kind = iota
	// refused is an answer with an error status.
	refused
	// erred is an answer that ends with an error event.
	erred
	// cut is an answer that ends with neither an end marker nor an error event.
	cut
	// wrong is an answer that isn't the one to its own request.
	wrong
	// failed is a request without an answer.
	failed
	// unsent is a request over the bound of those under way.
	unsent
	kinds
)

// String returns the kind's name.
func (k kind) String() string {
	return [...]string{"whole", "refused", "erred", "cut", "wrong", "failed", "unsent"}[k]
}

// outcome is what came of one request.
type outcome struct {
	kind kind
	// reason is the result code of a refusal, or the error of a failure.
	reason string
	// firstToken and total are the times from sending to the first token and to
	// the end.
	firstToken time.Duration
	total      time.Duration
	// gaps are the times between tokens.
	gaps []time.Duration
}

// sender sends requests. It is safe for concurrent use.
type sender struct {
	client   *fasthttp.Client
	deadline time.Duration
}

// newSender returns a sender for answers with a deadline. It never sends a
// request twice.
func newSender(deadline time.Duration) *sender {
	return &sender{
		deadline: deadline,
		client: &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: oneAttempt,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdleConnDuration:       idleConn,
			ReadTimeout:               deadline + readGrace,
		},
	}
}

// send sends one request and reads its answer to the end.
func (s *sender) send(p *planned) outcome {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := s.fill(request, p); err != nil {
		return outcome{kind: failed, reason: err.Error()}
	}
	begin := time.Now()
	if err := s.client.Do(request, response); err != nil {
		return outcome{kind: failed, reason: err.Error()}
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != http.StatusOK {
		return outcome{kind: refused, reason: refusal(response)}
	}
	id := p.id
	if own := response.Header.Peek(api.HeaderRequest); len(own) > 0 {
		id = string(own)
	}
	return receive(response.BodyStream(), begin, id, &p.request)
}

// fill writes the request.
func (s *sender) fill(request *fasthttp.Request, p *planned) error {
	body, err := json.Marshal(p.request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI(p.base + api.PathChat)
	request.SetBodyRaw(body)
	if p.lane == LaneDirect {
		request.Header.Set(api.HeaderRequest, p.id)
		return nil
	}
	request.Header.Set(entry.HeaderDeadline, strconv.FormatInt(s.deadline.Milliseconds(), 10))
	if p.key != "" {
		request.Header.Set("Authorization", "Bearer "+p.key)
	}
	if p.tier != "" {
		request.Header.Set(entry.HeaderTier, p.tier)
	}
	return nil
}

// refusal names the result code of an answer with an error status, or the
// status if there is no code.
func refusal(response *fasthttp.Response) string {
	if code := response.Header.Peek(entry.HeaderCode); len(code) > 0 {
		return string(code)
	}
	return "status " + strconv.Itoa(response.StatusCode())
}

// receive reads a stream and checks that it is whole and the answer to its own
// request. Without an id, the first chunk's id stands for the others'.
func receive(body io.Reader, begin time.Time, id string, request *engine.ChatRequest) outcome {
	var o outcome
	var text strings.Builder
	var last time.Time
	lines := bufio.NewReader(body)
	for {
		data, err := nextEvent(lines)
		now := time.Now()
		o.total = now.Sub(begin)
		if err != nil {
			o.kind, o.reason = cut, err.Error()
			return o
		}
		if string(data) == api.DoneMarker {
			o.kind = judge(text.String(), request)
			return o
		}
		chunk, end, reason := readEvent(data, id)
		if chunk == nil {
			o.kind, o.reason = end, reason
			return o
		}
		id = chunk.ID
		text.WriteString(chunk.Choices[0].Delta.Content)
		if last.IsZero() {
			o.firstToken = now.Sub(begin)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	}
}

// event is the data of an event: a chunk or an error.
type event struct {
	api.Chunk
	Error *struct {
		Code result.Code `json:"code"`
	} `json:"error"`
}

// readEvent returns the chunk of an event if it is one of the answer with the
// id; an empty id stands for any. Otherwise it says how the answer ends and why.
func readEvent(data []byte, id string) (chunk *api.Chunk, end kind, reason string) {
	var e event
	err := json.Unmarshal(data, &e)
	switch {
	case err != nil:
		return nil, cut, err.Error()
	case e.Error != nil:
		return nil, erred, strconv.Itoa(int(e.Error.Code))
	case len(e.Choices) == 0:
		return nil, cut, "chunk without a choice"
	case id != "" && e.ID != id:
		return nil, wrong, "chunk of another request"
	default:
		return &e.Chunk, whole, ""
	}
}

// nextEvent returns the data of the next server-sent event.
func nextEvent(lines *bufio.Reader) ([]byte, error) {
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil, errors.Wrap(err, "no end marker")
		}
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// judge says whether a text with its end marker is the answer to a request.
func judge(text string, request *engine.ChatRequest) kind {
	if text == engine.Answer(request) {
		return whole
	}
	return wrong
}
