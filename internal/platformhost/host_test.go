package platformhost

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/settings"
)

const anyPort = "127.0.0.1:0"

// discardLogger returns a logger that discards its output.
func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// addressInUse returns an address that is in use until the test ends.
func addressInUse(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// TestNewFailsWhenAnAddressIsInUse guards against a host that starts without one of its
// listeners. The error must name the address.
func TestNewFailsWhenAnAddressIsInUse(t *testing.T) {
	for name, set := range map[string]func(*settings.Gateway, string){
		"callers": func(s *settings.Gateway, address string) { s.Listen = address },
		"ready":   func(s *settings.Gateway, address string) { s.ReadyListen = address },
		"metrics": func(s *settings.Gateway, address string) { s.MetricsListen = address },
		"peer":    func(s *settings.Gateway, address string) { s.PeerListen = address },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := addressInUse(t)
			s := settings.Gateway{
				Host: "host-1", Region: "region", Store: anyPort, Memory: 64, Cores: 1, CoreShare: 1,
				Listen: anyPort, ReadyListen: anyPort, MetricsListen: anyPort, PeerListen: anyPort,
			}
			set(&s, address)
			_, err := New(s, nil, discardLogger())
			g.Expect(err).To(MatchError(ContainSubstring(address)))
		})
	}
}
