package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/tcp"
)

const (
	// headSlack is added to the configuration's limit of a head's bytes: the server reads ahead.
	headSlack = 4 << 10
	// headFreeBytes is the cost of a head that the charge of a connection covers, and
	// headStepBytes the step in which more is requested.
	headFreeBytes, headStepBytes = 16 << 10, 16 << 10
	// headByteCost and headLineCost are the bytes that a byte and a line of a head take once it
	// is parsed and sent on: the text is held twice, and a line has a map entry.
	headByteCost, headLineCost = 2, 256
	// headMargin is added to the configuration's time limit of a head, so that a caller who keeps
	// it is not closed because of delays on the way.
	headMargin = 1 * time.Second
	// refusalWriteTimeout bounds writing the refusal of a head.
	refusalWriteTimeout = 100 * time.Millisecond
	// receiveBufferBytes is the kernel's receive buffer of a caller's connection. The kernel would
	// let it grow to several MiB, which an unread connection could hold. With 8 KiB, a body of 72 kB
	// took 630 ms on loopback, whose segments are larger.
	receiveBufferBytes = 32 << 10
	// largeReceiveBufferBytes is the buffer while a large body is received.
	largeReceiveBufferBytes = 128 << 10
	// sendBufferBytes is the kernel's send buffer of a caller's connection. The kernel would let it
	// grow to 4 MiB for a caller who does not read.
	sendBufferBytes = 64 << 10
)

// callerConn is a caller's connection. It bounds heads before the server parses them, and counts
// the bytes that pass.
type callerConn struct {
	net.Conn
	gateway *Gateway
	account *memory.Account
	out     *aheadWriter
	// inHead is set while a request's head is expected or read.
	inHead atomic.Bool
	// refused is set when a head was refused. net/http may read again after an error.
	refused atomic.Bool
	head    headScan
	// charged is what the budget has granted for the head, and headEnd when it must be complete;
	// zero until the head turns out to be incomplete.
	charged int64
	headEnd time.Time
	// enlarged is set while the receive buffer is that for large bodies.
	enlarged bool
	// passed counts the bytes that were received and that the caller has taken.
	passed atomic.Int64
	closed sync.Once

	mu sync.Mutex
	// yielded is set when the connection was told to give way, and cancel ends the request that
	// waits for an endpoint.
	yielded bool
	cancel  func(error)
}

// callerListener accepts callers' connections within the budget.
type callerListener struct {
	net.Listener
	gateway *Gateway
}

// Accept returns the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, gateway: l.gateway}
		c.out = newAheadWriter(c)
		c.inHead.Store(true)
		if !l.gateway.ledger.open(c) {
			l.gateway.ledger.act(ActionConnectionRefused, conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		// Errors mean that the caller has disconnected already; the server's first read fails.
		_ = tcp.SetDeadPeerTimeout(conn)
		_ = tcp.SetBuffers(conn, receiveBufferBytes, sendBufferBytes)
		return c, nil
	}
}

// errHeadRefused ends the reading of a head that was refused. The server closes a connection without
// an answer of its own if the error is one of the network.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head was refused")}

// progress returns the bytes that have passed.
func (c *callerConn) progress() int64 {
	return c.passed.Load()
}

// Read reads from the caller. While a head is read, it enforces its bounds.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errHeadRefused
	}
	n, err := c.Conn.Read(p)
	c.passed.Add(int64(n))
	if n > 0 && c.inHead.Load() {
		if skipped := c.head.skipEmptyLines(p[:n]); skipped > 0 {
			// net/http takes no empty lines before a request, which servers should.
			n = copy(p, p[skipped:n])
		}
		if action, status := c.readHead(p[:n]); action != "" {
			c.refused.Store(true)
			c.refuseHead(action, status)
			return 0, errHeadRefused
		}
	}
	return n, err
}

// readHead checks bytes of a head. It returns what the connection is closed for, and the status.
func (c *callerConn) readHead(p []byte) (MemoryAction, int) {
	if c.head.bytes == 0 && len(p) > 0 {
		c.out.beginRequest()
	}
	c.head.scan(p)
	limits := c.gateway.headLimits()
	switch {
	case c.head.bytes > limits.bytes:
		return ActionHeadTooLong, http.StatusRequestHeaderFieldsTooLarge
	case c.head.lines > limits.lines, c.head.empty > limits.emptyLines:
		return ActionHeadTooManyLines, http.StatusRequestHeaderFieldsTooLarge
	}
	cost := int64(headByteCost*c.head.bytes + headLineCost*c.head.lines)
	if more := cost - headFreeBytes - c.charged; more > 0 {
		more = (more + headStepBytes - 1) / headStepBytes * headStepBytes
		if !c.gateway.ledger.ask(c, memory.Heads, more) {
			return ActionHeadRefused, http.StatusServiceUnavailable
		}
		c.charged += more
	}
	if !c.head.ended && c.headEnd.IsZero() {
		c.headEnd = time.Now().Add(limits.timeout)
		_ = c.SetReadDeadline(c.headEnd)
	}
	return "", 0
}

// refuseHead answers a head that is not read further. Nothing else writes while a head is read.
func (c *callerConn) refuseHead(action MemoryAction, status int) {
	c.gateway.ledger.act(action, c.RemoteAddr().String())
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		text += fmt.Sprintf("Retry-After: %g\r\n", noMemoryRetryAfter.Seconds())
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(c.Conn, text+"\r\n")
}

// beginRequest is called when the head was parsed. cancel ends the request while it waits.
func (c *callerConn) beginRequest(cancel func(error)) {
	c.inHead.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// awaitRequest is called when a request was answered and another may follow.
func (c *callerConn) awaitRequest() {
	// The server may have read the beginning of the next request already.
	c.head, c.headEnd = headScan{kept: true, begun: true}, time.Time{}
	if c.charged > 0 {
		c.gateway.ledger.free(c, memory.Heads, c.charged)
		c.charged = 0
	}
	if c.enlarged {
		c.enlarged = false
		_ = tcp.SetBuffers(c.Conn, receiveBufferBytes, 0)
	}
	c.out.setAhead(false)
	if !c.out.defers(&c.out.idleAfter) {
		c.gateway.ledger.enter(c, memory.Idle)
	}
	c.inHead.Store(true)
}

// dispatch records that the request is sent to an endpoint. It returns false if the connection was
// told to give way.
func (c *callerConn) dispatch() bool {
	c.out.setAhead(true)
	return c.gateway.ledger.enter(c, memory.Running)
}

// Write sends to the caller.
func (c *callerConn) Write(p []byte) (int, error) {
	return c.out.write(p)
}

// enlarge enlarges the receive buffer for a large body, until the next request.
func (c *callerConn) enlarge() {
	c.enlarged = true
	_ = tcp.SetBuffers(c.Conn, largeReceiveBufferBytes, 0)
}

// SetReadDeadline sets the read deadline, unless the connection was told to give way.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// givesWay reports whether the connection was told to give way.
func (c *callerConn) givesWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded
}

// giveWay ends what the connection does in a phase: an idle one is closed, a request that is
// received or waits is refused, and the answer of one that runs is cut off.
func (c *callerConn) giveWay(phase memory.Phase) {
	action := ActionSenderClosed
	switch phase {
	case memory.Idle:
		action = ActionIdleClosed
		_ = c.closeNow()
	case memory.Running:
		action = ActionAnswerReset
		c.out.fail(errTooSlow)
	case memory.Waiting:
		action = ActionWaitingRefused
	}
	c.mu.Lock()
	c.yielded = true
	cancel := c.cancel
	if phase == memory.Receiving {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if phase == memory.Waiting && cancel != nil {
		cancel(errGaveWay)
	}
	c.gateway.ledger.act(action, c.RemoteAddr().String())
}

// abortOnClose makes Close reset the connection, so that the caller cannot take it for the end of
// an answer.
func (c *callerConn) abortOnClose() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
}

// CloseWrite ends the sending direction. The server uses it before it closes a connection with
// unread bytes.
func (c *callerConn) CloseWrite() error {
	if c.out.defers(&c.out.closeWriteAfter) {
		return nil
	}
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection when everything was sent.
func (c *callerConn) Close() error {
	if c.out.defers(&c.out.closeAfter) {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and its account.
func (c *callerConn) closeNow() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.gateway.ledger.close(c) })
	return err
}

// headScan counts the bytes and lines of a head, and the empty lines before it, and finds its end.
type headScan struct {
	bytes, lines, empty int
	// kept is set on a connection that was used before, where the beginning of the head may have
	// been read together with the previous request.
	kept bool
	// begun is set when a line that is not empty was seen, ended when the empty line after the
	// head was.
	begun, ended bool
	// inLine is the length of the incomplete line, and lastCR whether it ends with CR.
	inLine int
	lastCR bool
}

// skipEmptyLines returns the length of the empty lines that bytes of the connection begin with,
// before the first request.
func (s *headScan) skipEmptyLines(p []byte) int {
	if s.kept || s.bytes > 0 {
		return 0
	}
	for i, b := range p {
		switch {
		case b == '\n':
			s.empty++
		case b != '\r':
			return i
		}
	}
	return len(p)
}

// scan reads bytes of the connection. What follows the head is not counted, unless the server reads
// on, which means that the end was none.
func (s *headScan) scan(p []byte) {
	s.ended = false
	for len(p) > 0 && !s.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.bytes += len(p)
			s.inLine += len(p)
			s.lastCR = p[len(p)-1] == '\r'
			return
		}
		length := s.inLine + end
		cr := end > 0 && p[end-1] == '\r' || end == 0 && s.lastCR
		s.bytes += end + 1
		s.lines++
		switch {
		case length > 1 || length == 1 && !cr:
			s.begun = true
		case s.begun:
			s.ended = true
		}
		s.inLine, s.lastCR = 0, false
		p = p[end+1:]
	}
}
