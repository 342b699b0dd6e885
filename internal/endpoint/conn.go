// Package endpoint talks HTTP to endpoints. It owns its connections, so that a
// connection can be had before a request is committed to it, and so that no
// library repeats a request by itself.
package endpoint

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/sockpeek"
)

const (
	// dialTimeout bounds the connection to an endpoint.
	dialTimeout = 1 * time.Second
	// writeTimeout bounds the sending of a request.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
	// maxIdlePerAddress bounds the unused connections to one endpoint.
	maxIdlePerAddress = 64
	// bufferSize is the size of a connection's buffers in bytes.
	bufferSize = 8 << 10
)

// Conn is one connection to an endpoint, used by one exchange at a time.
type Conn struct {
	net.Conn
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
	return errors.Wrap(resp.Read(c.r), "endpoint: receive")
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

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*Conn{}}
}

// Get returns a connection to the address, a kept one that the endpoint hasn't
// closed or a new one.
func (p *Pool) Get(address string) (*Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Since(c.idleAt) < idleTimeout && sockpeek.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return Dial(address)
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

// take removes the connection that was put back last.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

// Put gives back a connection whose last answer was read to its end.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Close closes the kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*Conn{}
}
