// Package endpoint talks HTTP to endpoints. It owns its connections, so that a
// connection can be had before a request is committed to it, and so that no
// library repeats a request by itself.
package endpoint

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/idle"
	"github.com/trefoilchute/trefoilchute/internal/sockpeek"
)

const (
	// dialTimeout bounds the connection to an endpoint.
	dialTimeout = 1 * time.Second
	// writeTimeout bounds the sending of a request.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
	// probeTimeout bounds the wait for the answer to a probe of a kept
	// connection, and suspectTimeout that of a new one after such a probe failed.
	probeTimeout   = 250 * time.Millisecond
	suspectTimeout = 500 * time.Millisecond
	// maxIdlePerAddress bounds the unused connections to one endpoint.
	maxIdlePerAddress = 64
	// bufferSize is the size of a connection's buffers in bytes.
	bufferSize = 8 << 10
)

// Conn is one connection to an endpoint, used by one exchange at a time.
type Conn struct {
	net.Conn
	// Boot is the engine's incarnation as the last answer named it; empty before
	// the first answer.
	Boot    string
	address string
	r       *bufio.Reader
	w       *bufio.Writer
	idleAt  time.Time
}

// Send writes a request. After an error the endpoint may have read all, a part
// or nothing of it.
func (c *Conn) Send(req *fasthttp.Request) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "endpoint: write deadline")
	}
	if err := req.Write(c.w); err != nil {
		return errors.Wrap(err, "endpoint: send")
	}
	return errors.Wrap(c.w.Flush(), "endpoint: send")
}

// Receive reads an answer's header and leaves the body to resp.BodyStream.
func (c *Conn) Receive(resp *fasthttp.Response) error {
	resp.StreamBody = true
	if err := resp.Read(c.r); err != nil {
		return errors.Wrap(err, "endpoint: receive")
	}
	c.Boot = string(resp.Header.Peek(engine.HeaderBoot))
	return nil
}

// maxAnswer bounds an answer that is read whole, in bytes.
const maxAnswer = 8 << 20

// errTooLarge says that an answer is over the bound.
var errTooLarge = errors.New("endpoint: the answer is too large")

// ReadAll reads an answer's header into resp and returns its whole body.
func (c *Conn) ReadAll(resp *fasthttp.Response, timeout time.Duration) ([]byte, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "endpoint: read deadline")
	}
	if err := c.Receive(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "endpoint: read")
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, errors.Wrap(resp.CloseBodyStream(), "endpoint: read")
}

// probe asks the engine for its load report, to learn whether anyone still
// reads the connection. Any answer proves it.
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
		return errClosing
	}
	return nil
}

// errClosing says that the endpoint closes the connection after its answer.
var errClosing = errors.New("endpoint: the connection is being closed")

// Pool keeps connections to engines. It is safe for concurrent use.
type Pool struct {
	unused *idle.Table[*Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{unused: idle.New[*Conn](maxIdlePerAddress)}
}

// Get returns a connection to an engine: a kept one that a probe has just
// proved alive, or a new one. After a failed probe no kept connection to the
// address is trusted, and the new one is probed too: the engine itself may
// stand still.
func (p *Pool) Get(address string) (*Conn, error) {
	c := p.takeOpen(address)
	if c == nil {
		return Dial(address)
	}
	if c.probe(probeTimeout) == nil {
		return c, nil
	}
	_ = c.Close()
	p.Drop(address)
	return dialProbed(address)
}

// takeOpen removes a kept connection that the engine hasn't closed, or returns
// nil.
func (p *Pool) takeOpen(address string) *Conn {
	for {
		c, ok := p.unused.Take(address)
		if !ok {
			return nil
		}
		if time.Since(c.idleAt) < idleTimeout && sockpeek.Quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// dialProbed returns a new connection that a probe has proved alive.
func dialProbed(address string) (*Conn, error) {
	c, err := Dial(address)
	if err != nil {
		return nil, err
	}
	if err := c.probe(suspectTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Drop closes the kept connections to an address. It is called after one of
// them, or one in use, went silent or failed: the others may have too.
func (p *Pool) Drop(address string) {
	p.unused.Drop(address)
}

// Dial returns a new connection to the address.
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

// Put gives back a connection whose last answer was read to its end.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.unused.Put(c.address, c)
}

// Close closes the kept connections.
func (p *Pool) Close() {
	p.unused.Close()
}
