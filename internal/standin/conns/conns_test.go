package conns_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

// Without the held socket the port is free, and the second listener gets it.
func TestHoldKeepsThePort(t *testing.T) {
	g := NewWithT(t)
	first, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := first.Addr().(*net.TCPAddr)
	g.Expect(first.Close()).To(Succeed())

	release, err := conns.Hold(addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer release()
	_, err = net.Dial("tcp", addr.String())
	g.Expect(err).To(MatchError(ContainSubstring("refused")))
	dialer := net.Dialer{LocalAddr: addr}
	_, err = dialer.Dial("tcp", "127.0.0.1:1")
	g.Expect(err).To(MatchError(ContainSubstring("address already in use")), "nobody else gets the port")

	again, err := net.Listen("tcp", addr.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Close()).To(Succeed())
}

func TestKillResetsSilentConnections(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := conns.Wrap(inner)
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = peer.Close() }()
	served, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())

	listener.Silence()
	n, err := served.Write([]byte("lost"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(len("lost")))
	g.Expect(served.Close()).To(Succeed())
	listener.Kill()
	_, err = peer.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(ContainSubstring("reset")), "neither data nor an orderly end before")
}

// raceListener accepts one connection only after it was closed, as a listener
// can whose Accept and Close race.
type raceListener struct {
	net.Listener
	conn net.Conn
}

func (l *raceListener) Accept() (net.Conn, error) { return l.conn, nil }
func (l *raceListener) Close() error              { return nil }

func TestKilledListenerServesNobody(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	listener := conns.Wrap(&raceListener{conn: near})
	listener.Kill()
	_, err := listener.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
	_, err = far.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}
