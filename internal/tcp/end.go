package tcp

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// closeWait is the state of a connection whose peer has closed its sending side, and which this
// side has not closed.
const closeWait = 8

// EndReceived reports whether the peer has closed its sending side in order, so that everything it
// sent was received. After a reset it returns false. A read returns io.EOF after either, if a
// concurrent write got the error of the reset. It is true for a connection that isn't TCP.
func EndReceived(conn net.Conn) (bool, error) {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return true, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "tcp: raw connection")
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err == nil {
		err = infoErr
	}
	if err != nil {
		return false, errors.Wrap(err, "tcp: state of the connection")
	}
	return info.State == closeWait, nil
}
