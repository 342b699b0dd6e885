package platformhost

import (
	"net"
	"slices"
	"sync"
)

// boundedListener keeps the number of its open connections within a bound: it closes the oldest one
// for a new one, so that idle connections lock nobody out.
type boundedListener struct {
	net.Listener
	most int

	mu   sync.Mutex
	open []*boundedConn
}

// Accept returns the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: conn, listener: l}
	var oldest *boundedConn
	l.mu.Lock()
	if l.open = append(l.open, c); len(l.open) > l.most {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	if i := slices.Index(l.open, c); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
