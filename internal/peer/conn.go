package peer

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// liveConn is a connection that fails when nothing is received for a while,
// whatever the kernel thinks of it, and that counts its bytes.
type liveConn struct {
	net.Conn
	silence time.Duration

	read    atomic.Uint64
	written atomic.Uint64
	// lastRead is when bytes last came, in nanoseconds since start.
	lastRead atomic.Int64
	start    time.Time
	silent   atomic.Bool
}

// newLiveConn wraps a connection.
func newLiveConn(conn net.Conn, silence time.Duration) *liveConn {
	return &liveConn{Conn: conn, silence: silence, start: time.Now()}
}

// Read reads with the silence bound as its deadline.
func (c *liveConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Add(uint64(n))
		c.lastRead.Store(int64(time.Since(c.start)))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.silent.Store(true)
	}
	return n, err
}

// Write writes with the silence bound as its deadline: a peer that takes no
// bytes for that long sends none either.
func (c *liveConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}

// quiet returns how long ago bytes last came.
func (c *liveConn) quiet() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastRead.Load())
}
