// Package tcp sets how soon a TCP connection to an unresponsive peer is closed.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the time without traffic before the first keep-alive
	// probe, keepAliveInterval the time between probes and keepAliveProbes the
	// number of unanswered probes after which the connection is closed. Together
	// they detect an unresponsive peer within 3 s.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// SetDeadPeerTimeout makes the kernel close the connection if its peer becomes
// unresponsive. It has no effect on connections that aren't TCP.
func SetDeadPeerTimeout(conn net.Conn) error {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	if err != nil {
		return errors.Wrap(err, "tcp: keep-alive")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "tcp: raw connection")
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = sockErr
	}
	return errors.Wrap(err, "tcp: user timeout")
}

// SetBuffers sets the kernel's receive and send buffers, which the kernel no longer adapts then; 0
// leaves one as it is. It has no effect on connections that aren't TCP.
func SetBuffers(conn net.Conn, receive, send int) error {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if receive > 0 {
		if err := c.SetReadBuffer(receive); err != nil {
			return errors.Wrap(err, "tcp: receive buffer")
		}
	}
	if send > 0 {
		return errors.Wrap(c.SetWriteBuffer(send), "tcp: send buffer")
	}
	return nil
}
