package conns

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Hold keeps an IPv4 TCP port from being given to anyone else while nothing
// listens on it. Callers are refused. A listener that is opened on the port
// takes it over; release is to be called after that.
func Hold(addr *net.TCPAddr) (release func(), err error) {
	ip := addr.IP.To4()
	if ip == nil {
		return nil, errors.Errorf("hold %v: not an IPv4 address", addr)
	}
	// Two sockets may be bound to one port as long as both allow address reuse
	// and neither listens. The net package sets the option on its listeners.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "hold: socket")
	}
	release = func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return nil, errors.Wrap(err, "hold: reuse address")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}); err != nil {
		release()
		return nil, errors.Wrapf(err, "hold %v", addr)
	}
	return release, nil
}
