// Package sockpeek inspects the receive queue of a TCP connection without consuming
// data, to detect whether the peer has closed the connection.
package sockpeek

import (
	"net"
	"syscall"
)

// queueState is the state of a receive queue.
type queueState int

const (
	stateEmpty queueState = iota
	stateData
	stateClosed
)

// Idle reports whether the connection is open and has no data to read. It returns
// true for a connection that has no socket to inspect.
func Idle(c net.Conn) bool {
	return peekConn(c) == stateEmpty
}

// Closed reports whether the peer has closed or reset the connection. It returns
// false for a connection that has no socket to inspect.
func Closed(c net.Conn) bool {
	return peekConn(c) == stateClosed
}

// peekConn peeks at the receive queue of a connection without blocking.
func peekConn(c net.Conn) queueState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateEmpty
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	found := stateEmpty
	err = raw.Control(func(fd uintptr) {
		found = peekSocket(int(fd))
	})
	if err != nil {
		return stateClosed
	}
	return found
}

// peekSocket returns the state of a socket's receive queue by a non-blocking peek.
func peekSocket(fd int) queueState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return stateEmpty
	case err != nil || n == 0:
		return stateClosed
	default:
		return stateData
	}
}
