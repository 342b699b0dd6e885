// Package sockpeek looks at a TCP connection's receive queue without taking
// anything from it, to learn whether the other end has closed.
package sockpeek

import (
	"net"
	"syscall"
)

// state is what a look at the receive queue shows.
type state int

const (
	stateQuiet state = iota
	stateData
	stateClosed
)

// Idle reports whether the connection is open with nothing to read.
func Idle(c net.Conn) bool {
	return look(c) == stateQuiet
}

// Closed reports whether the other end has closed or reset the connection. It
// returns false for a connection that it can't look at.
func Closed(c net.Conn) bool {
	return look(c) == stateClosed
}

// look peeks one byte without waiting.
func look(c net.Conn) state {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	found := stateQuiet
	err = raw.Control(func(fd uintptr) {
		found = peek(int(fd))
	})
	if err != nil {
		return stateClosed
	}
	return found
}

// peek classifies the result of a non-blocking peek at a socket.
func peek(fd int) state {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return stateQuiet
	case err != nil || n == 0:
		return stateClosed
	default:
		return stateData
	}
}
