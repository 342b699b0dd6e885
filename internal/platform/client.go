package platform

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// DefaultTimeout limits a call if Options has no timeout.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxConns limits the connections if Options has no limit.
	DefaultMaxConns = 64
	// maxIdleConn is shorter than the idle timeouts of servers, so that a call
	// rarely uses a connection that the server is about to close.
	maxIdleConn = 5 * time.Second
	// oneAttempt disables the HTTP library's own retries.
	oneAttempt = 1
	// maxResponseBody limits the body of an answer in bytes.
	maxResponseBody = 64 << 20
)

// Options configure a Client. The zero value is ready to use.
type Options struct {
	// Timeout limits a call, including connecting; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxConns limits the open connections; 0 means DefaultMaxConns.
	MaxConns int
}

// Client calls the platform's services over HTTP. It implements Table,
// Objects, Weights and Hosts and is safe for concurrent use.
//
// A call is sent at most once: the client never retries, because a retried write
// could take effect twice.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ Weights = (*Client)(nil)
	_ Hosts   = (*Client)(nil)
)

// NewClient returns a client of the services at a base URL such as
// "http://127.0.0.1:7000".
func NewClient(baseURL string, options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxConns <= 0 {
		options.MaxConns = DefaultMaxConns
	}
	return &Client{
		base:    baseURL,
		timeout: options.Timeout,
		http: &fasthttp.Client{
			DialTimeout:               dial,
			MaxConnsPerHost:           options.MaxConns,
			MaxIdleConnDuration:       maxIdleConn,
			MaxIdemponentCallAttempts: oneAttempt,
			RetryIfErr:                neverRetry,
			MaxResponseBodySize:       maxResponseBody,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.read(ctx, PathRows, query, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (uint64, error) {
	body, err := cbor.Marshal(txn)
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	var committed Committed
	call := call{method: http.MethodPost, path: PathCommit, body: body, write: true}
	err = c.do(ctx, call, &committed)
	return committed.Version, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	return c.do(ctx, call{
		method: http.MethodPut,
		path:   PathObject,
		query:  url.Values{"key": {key}},
		body:   value,
		write:  true,
	}, nil)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var value []byte
	call := call{method: http.MethodGet, path: PathObject, query: url.Values{"key": {key}}}
	err := c.exchange(ctx, call, func(body []byte) error {
		value = bytes.Clone(body)
		return nil
	})
	return value, err
}

// ListObjects implements Objects.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.read(ctx, PathObjectKeys, url.Values{"prefix": {prefix}}, &keys)
	return keys, err
}

// Reserve implements Weights.
func (c *Client) Reserve(ctx context.Context, name string) (time.Duration, error) {
	var limited Limited
	call := call{
		method: http.MethodPost,
		path:   PathReserve,
		query:  url.Values{"name": {name}},
		write:  true,
	}
	err := c.do(ctx, call, &limited)
	return limited.Wait, err
}

// ListHosts implements Hosts.
func (c *Client) ListHosts(ctx context.Context) ([]HostEntry, error) {
	var entries []HostEntry
	err := c.read(ctx, PathHosts, nil, &entries)
	return entries, err
}

// Register implements Hosts.
func (c *Client) Register(ctx context.Context, entry HostEntry) error {
	body, err := cbor.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode host entry")
	}
	return c.do(ctx, call{method: http.MethodPost, path: PathHosts, body: body, write: true}, nil)
}

// read makes a read-only call and decodes its answer.
func (c *Client) read(ctx context.Context, path string, query url.Values, out any) error {
	return c.do(ctx, call{method: http.MethodGet, path: path, query: query}, out)
}

// do makes a call and decodes its answer into out, unless out is nil.
func (c *Client) do(ctx context.Context, call call, out any) error {
	return c.exchange(ctx, call, func(body []byte) error {
		if out == nil {
			return nil
		}
		return cbor.Unmarshal(body, out)
	})
}

// dial opens a connection. It returns failures as a dialError, because a call
// without a connection had no effect.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// neverRetry disables retries by the HTTP library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}
