// Package endpoint is the HTTP client for endpoints. It manages its connections
// itself, so that a connection can be acquired before a request is committed to
// it, and so that no HTTP library retries a request on its own.
package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/idle"
	"github.com/trefoilchute/trefoilchute/internal/responsehead"
	"github.com/trefoilchute/trefoilchute/internal/sockpeek"
)

const (
	// dialTimeout limits the time to connect to an endpoint.
	dialTimeout = 1 * time.Second
	// writeTimeout limits the time to send a request.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 20 * time.Second
	// probeTimeout limits a probe of an idle connection, and redialProbeTimeout
	// that of the new connection made after such a probe failed.
	probeTimeout       = 250 * time.Millisecond
	redialProbeTimeout = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one endpoint.
	maxIdlePerAddress = 64
	// bufferSize is the size of a connection's read and write buffers in bytes.
	bufferSize = 8 << 10
)

// Conn is a connection to an endpoint. It serves one exchange at a time.
type Conn struct {
	net.Conn
	// Boot is the engine's incarnation from the last response, empty before the
	// first one.
	Boot      string
	address   string
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince time.Time
}

// Send writes a request. After an error the endpoint may have read all, part or
// none of it.
func (c *Conn) Send(req *fasthttp.Request) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "endpoint: write deadline")
	}
	if err := req.Write(c.w); err != nil {
		return errors.Wrap(err, "endpoint: send")
	}
	return errors.Wrap(c.w.Flush(), "endpoint: send")
}

// Receive reads a response's header. The body is read from resp.BodyStream.
func (c *Conn) Receive(resp *fasthttp.Response) error {
	resp.StreamBody = true
	if err := c.receiveHead(resp); err != nil {
		return errors.Wrap(err, "endpoint: receive")
	}
	c.Boot = string(resp.Header.Peek(engine.HeaderBoot))
	switch resp.StatusCode() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return nil
	}
	return errors.Wrap(resp.ReadBody(c.r, 0), "endpoint: receive")
}

// status000 begins a response whose status is zero.
const status000 = "HTTP/1.1 000"

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

// errTooManyInterim reports that no final response followed the interim ones.
var errTooManyInterim = errors.New("too many interim responses")

// receiveHead reads the head of the next final response.
func (c *Conn) receiveHead(resp *fasthttp.Response) error {
	for range responsehead.MaxInterim + 1 {
		// fasthttp reports status 000 as 200.
		if start, err := c.r.Peek(len(status000)); err == nil && bytes.HasSuffix(start, []byte(" 000")) {
			return responsehead.Check(0, true)
		}
		if err := resp.Header.Read(c.r); err != nil {
			return err
		}
		length := resp.Header.ContentLength()
		if err := responsehead.Check(resp.StatusCode(), length > 0 || length == chunkedLength); err != nil {
			return err
		}
		if !responsehead.IsInterim(resp.StatusCode()) {
			return nil
		}
	}
	return errTooManyInterim
}

// maxAnswerBytes limits the body of a response that is read into memory.
const maxAnswerBytes = 8 << 20

// errAnswerTooLarge reports a body of more than maxAnswerBytes.
var errAnswerTooLarge = errors.New("endpoint: the answer is too large")

// ReadAll reads a response's header into resp and returns its whole body. Bodies
// of more than maxAnswerBytes are an error.
func (c *Conn) ReadAll(resp *fasthttp.Response, timeout time.Duration) ([]byte, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "endpoint: read deadline")
	}
	if err := c.Receive(resp); err != nil {
		return nil, err
	}
	if resp.BodyStream() == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "endpoint: read")
	}
	if len(body) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return body, errors.Wrap(resp.CloseBodyStream(), "endpoint: read")
}

// probe requests the engine's load report to check that the engine still serves
// the connection. Any response counts as success, unless it closes the
// connection.
func (c *Conn) probe(timeout time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(engine.PathLoad)
	req.SetHost(c.address)
	if err := c.Send(req); err != nil {
		return err
	}
	if _, err := c.ReadAll(resp, timeout); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		return errConnectionClosing
	}
	return nil
}

// errConnectionClosing reports that the endpoint closes the connection after its
// response.
var errConnectionClosing = errors.New("endpoint: the connection is being closed")

// Pool is a pool of idle connections to engines. It is safe for concurrent use.
type Pool struct {
	idle *idle.Table[*Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: idle.New[*Conn](maxIdlePerAddress)}
}

// Get returns a connection to an engine: an idle one that just passed a probe,
// or a new one. After a failed probe all idle connections to the address are
// closed and the new one is probed as well, because the engine itself may be
// unresponsive.
func (p *Pool) Get(address string) (*Conn, error) {
	c := p.takeOpen(address)
	if c == nil {
		return Dial(address)
	}
	if c.probe(probeTimeout) == nil {
		return c, nil
	}
	_ = c.Close()
	p.CloseUnused(address)
	return dialProbed(address)
}

// takeOpen removes and returns an idle connection that the engine hasn't closed.
// It returns nil if there is none.
func (p *Pool) takeOpen(address string) *Conn {
	for {
		c, ok := p.idle.Take(address)
		if !ok {
			return nil
		}
		if time.Since(c.idleSince) < idleTimeout && sockpeek.Idle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// dialProbed returns a new connection that has passed a probe.
func dialProbed(address string) (*Conn, error) {
	c, err := Dial(address)
	if err != nil {
		return nil, err
	}
	if err := c.probe(redialProbeTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// CloseUnused closes the idle connections to an address. It is called after a
// connection to it failed or became unresponsive, since the others probably did
// so too.
func (p *Pool) CloseUnused(address string) {
	p.idle.Drop(address)
}

// Dial opens a connection to the address.
func Dial(address string) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint: dial")
	}
	return &Conn{
		Conn:    raw,
		address: address,
		r:       bufio.NewReaderSize(raw, bufferSize),
		w:       bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

// Put returns a connection to the pool. Its last response must have been read to
// the end.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle.Put(c.address, c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.idle.Close()
}
