package admin

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds connecting to a host.
const dialTimeout = 5 * time.Second

// watchConn is a connection whose reads fail once nothing has come for a time.
// The library's own timeouts bound a whole answer, and a watch has no end.
type watchConn struct {
	net.Conn
	silence time.Duration
}

// Read reads what comes within the time.
func (c *watchConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, errors.Wrap(err, "admin: watch")
	}
	return c.Conn.Read(p)
}

// dialWatch connects for a watch.
func dialWatch(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "admin: watch")
	}
	return &watchConn{Conn: conn, silence: silenceTimeout}, nil
}
