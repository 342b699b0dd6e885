package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Timeouts of a Client.
const (
	// callTimeout bounds a call; it is longer than the server's own bounds.
	callTimeout = maxWait + 10*time.Second
	// silenceTimeout ends a watch on which not even heartbeats come.
	silenceTimeout = 4 * watchHeartbeat
)

// Client calls the operators' interface of one host. It never repeats a call
// by itself.
type Client struct {
	base  string
	token string
	http  *fasthttp.Client
	// watches has no bound on the time of an answer; its connections fail when
	// they fall silent.
	watches *fasthttp.Client
}

// NewClient returns a Client of the host at a base URL, with the operators'
// token or "" for none.
func NewClient(base, token string) *Client {
	calls := neverRepeating()
	calls.ReadTimeout = callTimeout
	watches := neverRepeating()
	watches.Dial = dialWatch
	watches.StreamResponseBody = true
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: calls, watches: watches}
}

// neverRepeating returns an HTTP client that sends each call once at most.
func neverRepeating() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Apply sends a manifest. An error of code StoreAmbiguous says that the change
// may have been made: the same change id finds out.
func (c *Client) Apply(ctx context.Context, file string, manifest []byte, id string, base *uint64) (resource.Applied, error) {
	query := url.Values{queryFile: {file}, queryChangeID: {id}}
	if base != nil {
		query.Set(queryRevision, strconv.FormatUint(*base, 10))
	}
	var applied resource.Applied
	err := c.change(ctx, "/v1/apply", query, manifest, &applied)
	return applied, err
}

// Drain sets an endpoint's state to drain.
func (c *Client) Drain(ctx context.Context, endpoint, id string) (resource.Applied, error) {
	var applied resource.Applied
	err := c.change(ctx, "/v1/drain/"+url.PathEscape(endpoint), url.Values{queryChangeID: {id}}, nil, &applied)
	return applied, err
}

// change sends a change. A lost answer is an error of code StoreAmbiguous.
func (c *Client) change(ctx context.Context, path string, query url.Values, body []byte, into any) error {
	data, err := c.call(ctx, fasthttp.MethodPost, path, query, body)
	if errors.Is(err, errUnreachable) {
		return result.New(result.StoreAmbiguous, "no answer to change "+query.Get(queryChangeID)+": "+err.Error())
	}
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), "admin: answer")
}

// Resources returns the resources of a kind, or the named one.
func (c *Client) Resources(ctx context.Context, kind, name string) (ResourceList, error) {
	var list ResourceList
	err := c.get(ctx, resourcePath(kind, name), nil, &list)
	return list, err
}

// Manifest returns the resources of a kind, or the named one, as a manifest.
func (c *Client) Manifest(ctx context.Context, kind, name string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodGet, resourcePath(kind, name), url.Values{queryFormat: {formatINI}}, nil)
}

func resourcePath(kind, name string) string {
	path := "/v1/resources/" + url.PathEscape(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// Hosts returns the entry hosts that the host knows.
func (c *Client) Hosts(ctx context.Context) ([]HostStatus, error) {
	var hosts []HostStatus
	err := c.get(ctx, "/v1/status/hosts", nil, &hosts)
	return hosts, err
}

// Pools returns the state of the pools.
func (c *Client) Pools(ctx context.Context) ([]PoolStatus, error) {
	var pools []PoolStatus
	err := c.get(ctx, "/v1/status/pools", nil, &pools)
	return pools, err
}

// Quarantine returns the requests that crashed endpoints.
func (c *Client) Quarantine(ctx context.Context) ([]QuarantineStatus, error) {
	var suspects []QuarantineStatus
	err := c.get(ctx, "/v1/status/quarantine", nil, &suspects)
	return suspects, err
}

// Explain returns what the host knows of a request.
func (c *Client) Explain(ctx context.Context, id string) ([]Record, error) {
	var records []Record
	err := c.get(ctx, "/v1/explain/"+url.PathEscape(id), nil, &records)
	return records, err
}

// Burn returns the service-level burn report as "text", "html" or "json".
func (c *Client) Burn(ctx context.Context, format string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodGet, "/v1/report/burn", url.Values{queryFormat: {format}}, nil)
}

// Wait returns when a revision is in force on all live hosts, or after the
// timeout, which the server bounds at 30 s.
func (c *Client) Wait(ctx context.Context, revision uint64, timeout time.Duration) (WaitStatus, error) {
	query := url.Values{
		queryRevision: {strconv.FormatUint(revision, 10)},
		queryTimeout:  {min(timeout, maxWait).String()},
	}
	var status WaitStatus
	err := c.get(ctx, "/v1/wait", query, &status)
	return status, err
}

// Watcher is told what a watch finds. A nil function is not called.
type Watcher struct {
	// Change is told of each change of a resource.
	Change func(WatchEvent)
	// Reached is told of each revision up to which all changes were told.
	Reached func(uint64)
	// Status is told of each change of status.
	Status func(StatusEvent)
}

// Watch follows a kind of resources ("" for all kinds) after a revision (nil:
// from now on), or a kind of status. It returns when the context ends or the
// watch can't go on.
func (c *Client) Watch(ctx context.Context, kind string, after *uint64, w Watcher) error {
	query := url.Values{queryKind: {kind}}
	if after != nil {
		query.Set(queryAfter, strconv.FormatUint(*after, 10))
	}
	request := c.request(fasthttp.MethodGet, "/v1/watch", query, nil)
	defer fasthttp.ReleaseRequest(request)
	response, err := c.do(c.watches, request)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(response)
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return answerError(response)
	}
	return readEvents(ctx, response.BodyStream(), &w)
}

// readEvents reads server-sent events until the stream or the context ends.
func readEvents(ctx context.Context, body io.Reader, w *Watcher) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, inifile.MaxSize)
	name := ""
	for ctx.Err() == nil && lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = event
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if err := w.take(name, []byte(data)); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(errUnreachable, "the watch was cut")
}

// take tells one event. An error event is returned as its error.
func (w *Watcher) take(name string, data []byte) error {
	switch name {
	case eventError:
		return decodeError(data)
	case eventStatus:
		return tell(data, w.Status)
	case eventChange:
		return tell(data, w.Change)
	case eventRevision:
		return tell(data, func(event WatchEvent) {
			if w.Reached != nil {
				w.Reached(event.Revision)
			}
		})
	}
	return nil
}

// tell decodes an event and tells it.
func tell[T any](data []byte, to func(T)) error {
	var event T
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Wrap(err, "admin: watch event")
	}
	if to != nil {
		to(event)
	}
	return nil
}

// errUnreachable says that no whole answer came.
var errUnreachable = errors.New("the host can't be reached")

func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	data, err := c.call(ctx, fasthttp.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), "admin: answer")
}

// call sends one request and returns the body of its answer.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	request := c.request(method, path, query, body)
	defer fasthttp.ReleaseRequest(request)
	timeout := callTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request.SetTimeout(timeout)
	response, err := c.do(c.http, request)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, answerError(response)
	}
	return bytes.Clone(response.Body()), nil
}

// request builds a request; the caller releases it.
func (c *Client) request(method, path string, query url.Values, body []byte) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.SetRequestURI(c.base + path + "?" + query.Encode())
	request.Header.SetMethod(method)
	request.SetBody(body)
	if c.token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	return request
}

// do sends a request and returns its answer; the caller releases it.
func (c *Client) do(client *fasthttp.Client, request *fasthttp.Request) (*fasthttp.Response, error) {
	response := fasthttp.AcquireResponse()
	if err := client.Do(request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, errors.Wrapf(errUnreachable, "%s: %v", c.base, err)
	}
	return response, nil
}

// readBody reads the whole body of an answer.
func readBody(response *fasthttp.Response) ([]byte, error) {
	if response.BodyStream() == nil {
		return response.Body(), nil
	}
	return io.ReadAll(response.BodyStream())
}

// answerError returns the error that an answer carries.
func answerError(response *fasthttp.Response) error {
	data, err := readBody(response)
	if err != nil {
		return errors.Wrap(errUnreachable, err.Error())
	}
	return decodeError(data)
}

// decodeError reads an ErrorBody. Problems of a manifest come back as
// inifile.Problems.
func decodeError(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Code == 0 {
		return result.New(result.Internal, "the host's answer is not one of this interface")
	}
	if len(body.Problems) > 0 {
		return inifile.Problems(body.Problems)
	}
	return &result.Error{
		Code: body.Code, Reason: body.Reason, RetryAfter: time.Duration(body.RetryAfter) * time.Second,
	}
}

// Unreachable says whether an error means that no whole answer came.
func Unreachable(err error) bool {
	return errors.Is(err, errUnreachable)
}
