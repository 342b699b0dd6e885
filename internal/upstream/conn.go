// Package upstream manages the connections to endpoints. It does so itself, rather than
// through http.Transport, so that a connection can be acquired before a request is committed
// to it and no library retries a request on its own. Responses are parsed by net/http.
package upstream

import (
	"bufio"
	"bytes"
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
	// dialTimeout bounds connecting to an endpoint, which takes about a millisecond. If the
	// first packet is lost, TCP retransmits it only after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept if the endpoint does not specify
	// it. keepAliveMargin is subtracted from the time that it specifies, to allow for data in
	// transit.
	idleTimeout     = 4 * time.Second
	keepAliveMargin = 1 * time.Second
	// readBufferBytes is the size of a connection's read buffer: a few events of a stream.
	readBufferBytes = 4 << 10
	// receiveBufferBytes and sendBufferBytes are the kernel's buffers of a connection. The kernel
	// would let them grow to several MiB, which count toward the process's memory.
	receiveBufferBytes, sendBufferBytes = 128 << 10, 128 << 10
)

// ErrHeadTooLong is returned when the head of a response exceeds the limit.
var ErrHeadTooLong = errors.New("upstream: the answer's head is too long")

// ErrBadVersion is returned for a response whose HTTP version is unknown or has no chunks, though
// the response declares them.
var ErrBadVersion = errors.New("upstream: the answer's HTTP version doesn't fit its head")

// Conn is a connection to an endpoint. It is used by one exchange at a time.
type Conn struct {
	net.Conn
	// Reused is set if a response was read from the connection before.
	Reused bool

	address   string
	r         *bufio.Reader
	head      *headReader
	idleSince time.Time
	maxIdle   time.Duration
}

// headReader limits the bytes that are read from a connection while a response head is read.
type headReader struct {
	net.Conn
	// bytesLeft is the number of bytes that may still be read.
	bytesLeft int
}

// unbounded is the limit while no head is read.
const unbounded = math.MaxInt

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.bytesLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.Conn.Read(p[:min(len(p), r.bytesLeft)])
	if r.bytesLeft != unbounded {
		r.bytesLeft -= n
	}
	return n, err
}

// ReadResponseHead reads the head of the response to a request with the given method. The head
// may have about maxBytes bytes: the limit counts whole reads into the buffer. The body must
// be read before the connection is used for anything else.
func (c *Conn) ReadResponseHead(method string, maxBytes int) (*http.Response, error) {
	c.head.bytesLeft = maxBytes
	mayBeChunked := c.mayBeChunkedHTTP10()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	c.head.bytesLeft = unbounded
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "upstream: read answer")
	case resp.ProtoMajor != 1, mayBeChunked && resp.ContentLength < 0:
		return nil, ErrBadVersion
	}
	c.maxIdle = maxIdleFor(resp.Header)
	return resp, nil
}

// http10 begins a response of the version that has no chunks.
var http10 = []byte("HTTP/1.0 ")

// emptyLines end a head. net/http accepts lines that end with LF alone.
var emptyLines = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// mayBeChunkedHTTP10 reports whether the next response is of HTTP/1.0 and its head, as far as it
// fits the buffer, doesn't show that its body isn't chunked. net/http removes Transfer-Encoding
// from such a response and would return the chunks as the body.
func (c *Conn) mayBeChunkedHTTP10() bool {
	start, _ := c.r.Peek(len(http10))
	if !bytes.Equal(start, http10) {
		return false
	}
	for n := len(http10); ; n = max(n+1, c.r.Buffered()) {
		head, err := c.r.Peek(n)
		for _, emptyLine := range emptyLines {
			if end := bytes.Index(head, emptyLine); end >= 0 {
				return bytes.Contains(bytes.ToLower(head[:end]), []byte("\ntransfer-encoding:"))
			}
		}
		if err != nil {
			return true
		}
	}
}

// Abort closes the connection and discards what the endpoint has not acknowledged. After a plain
// Close the kernel goes on sending the rest of a request for seconds, and an endpoint that was
// unreachable in the meantime would get it long after it was given up.
func (c *Conn) Abort() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	return c.Close()
}

// Unacknowledged returns the number of bytes of requests that the endpoint's host has not
// acknowledged.
func (c *Conn) Unacknowledged() (int, error) {
	return tcp.Unacknowledged(c.Conn)
}

// EndReceived reports whether the endpoint has closed the connection in order, and not reset it.
func (c *Conn) EndReceived() (bool, error) {
	return tcp.EndReceived(c.Conn)
}

// Buffered returns the number of bytes that were read from the connection but not consumed.
func (c *Conn) Buffered() int {
	return c.r.Buffered()
}

// maxIdleFor returns how long the connection may stay unused, from a response's Keep-Alive
// header.
func maxIdleFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil {
			return min(idleTimeout, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return idleTimeout
}

// Pool holds the unused connections. It is safe for concurrent use.
type Pool struct {
	unused *idle.Table[*Conn]
	dialed atomic.Uint64
}

// NewPool returns an empty pool that keeps at most maxPerAddress unused connections to each
// address.
func NewPool(maxPerAddress int) *Pool {
	return &Pool{unused: idle.New[*Conn](maxPerAddress)}
}

// Get returns an unused connection to an address that the peer has not closed, or dials a new
// one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c, ok := p.unused.Take(address)
		if !ok {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleSince) < c.maxIdle && sockpeek.Idle(c.Conn) {
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
	if err := tcp.SetDeadPeerTimeout(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	if err := tcp.SetBuffers(raw, receiveBufferBytes, sendBufferBytes); err != nil {
		_ = raw.Close()
		return nil, err
	}
	p.dialed.Add(1)
	head := &headReader{Conn: raw, bytesLeft: unbounded}
	return &Conn{Conn: raw, address: address, head: head, r: bufio.NewReaderSize(head, readBufferBytes), maxIdle: idleTimeout}, nil
}

// refusedTimeout bounds the check whether an endpoint still accepts connections. It is short
// because a caller waits for the result.
const refusedTimeout = 100 * time.Millisecond

// Refuses reports whether an address refuses connections, so that nothing listens there any
// more. If it accepts one, the connection is kept for reuse.
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

// Put returns a connection to the pool. Its last request must have been sent completely, and
// its last response read to its end. A connection with unread bytes, which belong to no
// response, is closed.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.maxIdle <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused = true
	p.keepUnused(c)
}

func (p *Pool) keepUnused(c *Conn) {
	c.idleSince = time.Now()
	p.unused.Put(c.address, c)
}

// CloseUnused closes the unused connections to an address. It is called when a connection in
// use became unresponsive or was reset, because the others may be broken too.
func (p *Pool) CloseUnused(address string) {
	p.unused.Drop(address)
}

// Sweep closes the connections that were unused for too long, and those to addresses that are
// no longer wanted.
func (p *Pool) Sweep(wanted func(address string) bool) {
	p.unused.Sweep(func(address string, c *Conn) bool {
		return wanted(address) && time.Since(c.idleSince) < c.maxIdle
	})
}

// Stats returns the number of unused connections and the total number of connections dialed.
func (p *Pool) Stats() (unused int, dialed uint64) {
	return p.unused.Len(), p.dialed.Load()
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.unused.Close()
}
