package tcp

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that its peer
// has not acknowledged. It is 0 for a connection that isn't TCP.
func Unacknowledged(conn net.Conn) (int, error) {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "tcp: raw connection")
	}
	var n int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err == nil {
		err = ioctlErr
	}
	return n, errors.Wrap(err, "tcp: unacknowledged bytes")
}
