// Package upstream keeps the connections to endpoints. It owns them, so that a
// connection can be had before a request is committed to it and so that no library
// repeats a request by itself; the HTTP of answers is read by net/http.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

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

// Conn is one connection to an endpoint, used by one exchange at a time.
type Conn struct {
	net.Conn
	// Reused says that an answer was read from it before.
	Reused bool

	address string
	r       *bufio.Reader
	idleAt  time.Time
	keep    time.Duration
}

// ReadAnswer reads the head of an answer to a request with the given method. The
// body is to be read before anything else is done with the connection.
func (c *Conn) ReadAnswer(method string) (*http.Response, error) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
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
	mu   sync.Mutex
	idle map[string][]*Conn
	// most bounds the unused connections to one address.
	most   int
	dialed uint64
}

// NewPool returns an empty pool that keeps at most a number of unused connections
// to each address.
func NewPool(most int) *Pool {
	return &Pool{idle: map[string][]*Conn{}, most: most}
}

// Get returns a kept connection to an address that the other end has not closed,
// or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Since(c.idleAt) < c.keep && sockpeek.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
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
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &Conn{Conn: raw, address: address, r: bufio.NewReaderSize(raw, readBuffer), keep: idleLimit}, nil
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

// Put gives a connection back whose last request was sent whole and whose last
// answer was read to its end. One with bytes left that belong to no answer is
// closed.
func (p *Pool) Put(c *Conn) {
	if c.r.Buffered() > 0 || c.keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused = true
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.most {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Drop closes the unused connections to an address: one in use went silent or was
// reset, so the others may have been too.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(list)
}

// Sweep closes the connections that were unused for too long, and those to
// addresses that are not wanted any more.
func (p *Pool) Sweep(wanted func(address string) bool) {
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(address) && time.Since(c.idleAt) < c.keep {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Stats returns the number of unused connections and of those ever opened.
func (p *Pool) Stats() (idle int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return idle, p.dialed
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*Conn{}
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

func closeAll(list []*Conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
