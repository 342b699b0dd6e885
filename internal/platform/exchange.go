package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// call is one HTTP request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write is set if the call has an effect.
	write bool
}

// dialError is a failure to open a connection, after which nothing was sent.
type dialError struct {
	cause error
}

// Error implements error.
func (e *dialError) Error() string {
	return "dial: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *dialError) Unwrap() error {
	return e.cause
}

// exchange sends the call once and passes the answer's body to decode. The body
// is valid only until decode returns. The answer to a call over the rate limit
// is decoded too, because it contains the time to wait.
func (c *Client) exchange(ctx context.Context, call call, decode func([]byte) error) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", call.method, call.path, err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.Header.SetMethod(call.method)
	request.Header.SetContentType(ContentType)
	request.SetRequestURI(c.base + call.path)
	request.URI().SetQueryString(call.query.Encode())
	request.SetBodyRaw(call.body)
	if err := c.http.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		// The idle connections may have become unresponsive or been closed together
		// with this one; each of them would make another call fail.
		c.http.CloseIdleConnections()
		return call.transportError(err)
	}
	return call.decodeAnswer(response, decode)
}

// deadline returns the earlier of the context's deadline and the client's
// timeout from now.
func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.timeout)
	if given, ok := ctx.Deadline(); ok && given.Before(limit) {
		return given
	}
	return limit
}

// transportError classifies a failure to get an answer.
func (c call) transportError(err error) error {
	var dialing *dialError
	notSent := errors.As(err, &dialing) || errors.Is(err, fasthttp.ErrNoFreeConns)
	return c.failure(notSent, err.Error())
}

// failure returns ErrUnavailable for a call that certainly had no effect, and
// ErrAmbiguous otherwise.
func (c call) failure(noEffect bool, reason string) error {
	kind := ErrAmbiguous
	if noEffect || !c.write {
		kind = ErrUnavailable
	}
	return errors.Wrapf(kind, "%s %s: %s", c.method, c.path, reason)
}

// decodeAnswer converts the status of an answer to an error and decodes its body.
func (c call) decodeAnswer(response *fasthttp.Response, decode func([]byte) error) error {
	switch status := response.StatusCode(); status {
	case http.StatusOK:
		return c.decodeError(decode(response.Body()))
	case http.StatusNotFound:
		return errors.Wrapf(ErrNotFound, "%s %s", c.method, c.path)
	case http.StatusConflict:
		return errors.Wrapf(ErrConflict, "%s %s", c.method, c.path)
	case http.StatusTooManyRequests:
		if err := decode(response.Body()); err != nil {
			return errors.Wrapf(ErrLimited, "%s %s: %v", c.method, c.path, err)
		}
		return errors.Wrapf(ErrLimited, "%s %s", c.method, c.path)
	case http.StatusBadRequest:
		return errors.Errorf("%s %s: bad request: %s", c.method, c.path, response.Body())
	case http.StatusServiceUnavailable:
		refused := len(response.Header.Peek(HeaderRefused)) > 0
		return c.failure(refused, "status 503")
	default:
		return c.failure(false, "status "+http.StatusText(status))
	}
}

// decodeError classifies a failure to decode a successful answer: the call has taken
// effect, but its result is unknown.
func (c call) decodeError(err error) error {
	if err == nil {
		return nil
	}
	return c.failure(false, "decode answer: "+err.Error())
}
