// Package tcp sets how soon a TCP connection whose other end has gone silent is
// given up.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the time without traffic after which the other end is
	// probed, keepAliveInterval the time between probes and keepAliveProbes how
	// many may stay unanswered: a silent connection is found within 3 s.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// SetDeadPeerTimeout makes the kernel end a connection that has gone silent. Connections that
// aren't TCP are left as they are.
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
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "tcp: user timeout")
}
