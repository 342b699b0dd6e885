// Package conns lets a stand-in act on the connections that it serves: close
// them without an answer, cut them, or let them go silent.
package conns

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// Listener is a net.Listener that knows its open connections.
type Listener struct {
	net.Listener
	closeOnce sync.Once

	mu   sync.Mutex
	open map[*conn]struct{}
	// killed says that no connection is to be served any more.
	killed bool
}

// Wrap returns a Listener around another one.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		c.reset()
		return nil, net.ErrClosed
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close stops accepting. Further calls do nothing but wait until the first one
// has closed the socket.
func (l *Listener) Close() error {
	var err error
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// Silence makes every connection that is open now go silent: nothing is sent or
// read on it any more, and it is not closed either. The server doesn't notice.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// Kill stops accepting and resets every open connection, silent ones too.
func (l *Listener) Kill() {
	l.mu.Lock()
	l.killed = true
	open := l.open
	l.open = map[*conn]struct{}{}
	l.mu.Unlock()
	for c := range open {
		c.reset()
	}
	_ = l.Close()
}

// forget drops a connection that was closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read reads from the peer. On a silent connection it drops what comes and
// waits until the listener is killed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends to the peer. On a silent connection it drops the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, unless it is silent: the peer of a silent
// connection is not to learn anything.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.forget(c)
	return c.Conn.Close()
}

// reset closes the connection at once and drops what was not yet sent.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// CloseUnanswered makes the server close the connection of a request without
// an answer.
func CloseUnanswered(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

// Serve runs an HTTP application on the listener until the listener is closed.
// The listener's port is free when it returns.
func Serve(app *fiber.App, listener *Listener) error {
	err := app.Listener(listener)
	// Accept ends before the socket is closed.
	_ = listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Close stops an application and its listener. Calls in progress have a grace
// period to end, then their connections are cut. An application that isn't
// serving yet never starts to.
func Close(app *fiber.App, listener *Listener, grace time.Duration) error {
	// A shutdown does nothing to an application that isn't serving yet, so the
	// listener is closed here too.
	err := listener.Close()
	shutdown := app.ShutdownWithTimeout(grace)
	listener.Kill()
	if err == nil && !errors.Is(shutdown, context.DeadlineExceeded) {
		err = shutdown
	}
	return errors.Wrap(err, "close")
}
