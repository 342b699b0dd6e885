// Package upstream keeps the connections to endpoints. It owns them, so that a
// connection can be had before a request is committed to it and so that no library
// repeats a request by itself; the HTTP of answers is read by net/http.
package upstream

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/idle"
	"github.com/trefoilchute/trefoilchute/internal/sockpeek"
	"github.com/trefoilchute/trefoilchute/internal/tcp"
)

const (
	// dialTimeout bounds the connection to an endpoint, which is a millisecond
	// away: one whose first packet was dropped would take a second.
	dialTimeout = 300 * time.Millisecond
	// idleLimit is how long an unused connection is kept where the endpoint doesn't
	// say; keepAliveMargin is left of the time that it says, for what is under way.
	idleLimit       = 4 * time.Second
	keepAliveMargin = 1 * time.Second
	// readBuffer is the size of a connection's read buffer in bytes: a few events
	// of a stream.
	readBuffer = 4 << 10
)

// ErrHeadTooLong says that the head of an answer was longer than the bound.
var ErrHeadTooLong = errors.New("upstream: the answer's head is too long")

// Conn is one connection to an endpoint, used by one exchange at a time.
type Conn struct {
	net.Conn
	// Reused says that an answer was read from it before.
	Reused bool

	address string
	r       *bufio.Reader
	head    *headReader
	idleAt  time.Time
	keep    time.Duration
}

// headReader bounds what is read from a connection while a head is.
type headReader struct {
	net.Conn
	// left is the number of bytes that may still be read.
	left int
}

// unbounded is the bound while no head is read.
const unbounded = math.MaxInt

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	if r.left != unbounded {
		r.left -= n
	}
	return n, err
}

// ReadResponseHead reads the head of an answer to a request with the given method, of about
// the given number of bytes at most: read buffers count as a whole. The body is to be
// read before anything else is done with the connection.
func (c *Conn) ReadResponseHead(method string, most int) (*http.Response, error) {
	c.head.left = most
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	c.head.left = unbounded
	if err != nil {
		return nil, errors.Wrap(err, "upstream: read answer")
	}
	c.keep = keepFor(resp.Header)
	return resp, nil
}

// Buffered returns the number of bytes read and not yet taken.
func (c *Conn) Buffered() int {
	return c.r.Buffered()
}

// keepFor returns how long the connection may stay unused by an answer's
// Keep-Alive header.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil {
			return min(idleLimit, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return idleLimit
}

// Pool keeps the unused connections. It is safe for concurrent use.
type Pool struct {
	unused *idle.Table[*Conn]
	dialed atomic.Uint64
}

// NewPool returns an empty pool that keeps at most a number of unused connections
// to each address.
func NewPool(most int) *Pool {
	return &Pool{unused: idle.New[*Conn](most)}
}

// Get returns a kept connection to an address that the other end has not closed,
// or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c, ok := p.unused.Take(address)
		if !ok {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleAt) < c.keep && sockpeek.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: dial")
	}
	if err := tcp.Watch(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	p.dialed.Add(1)
	head := &headReader{Conn: raw, left: unbounded}
	return &Conn{Conn: raw, address: address, head: head, r: bufio.NewReaderSize(head, readBuffer), keep: idleLimit}, nil
}

// refusedTimeout bounds the look at whether an endpoint still takes connections: a caller
// waits for what follows.
const refusedTimeout = 100 * time.Millisecond

// Refuses reports whether an address refuses connections: nothing listens there any more.
// A connection that it takes is kept.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusedTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.keepUnused(c)
	return false
}

// Put gives a connection back whose last request was sent whole and whose last
// answer was read to its end. One with bytes left that belong to no answer is
// closed.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused = true
	p.keepUnused(c)
}

func (p *Pool) keepUnused(c *Conn) {
	c.idleAt = time.Now()
	p.unused.Put(c.address, c)
}

// CloseUnused closes the unused connections to an address: one in use went silent or was
// reset, so the others may have been too.
func (p *Pool) CloseUnused(address string) {
	p.unused.Drop(address)
}

// Sweep closes the connections that were unused for too long, and those to
// addresses that are not wanted any more.
func (p *Pool) Sweep(wanted func(address string) bool) {
	p.unused.Sweep(func(address string, c *Conn) bool {
		return wanted(address) && time.Since(c.idleAt) < c.keep
	})
}

// Stats returns the number of unused connections and of those ever opened.
func (p *Pool) Stats() (unused int, dialed uint64) {
	return p.unused.Len(), p.dialed.Load()
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.unused.Close()
}
