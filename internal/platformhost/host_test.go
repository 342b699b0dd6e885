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

// quiet returns a log that nobody reads.
func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// taken returns an address that is in use until the test ends.
func taken(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// TestAnAddressInUseEndsTheStart checks that a host doesn't start without one of its
// addresses, and that the error names the address.
func TestAnAddressInUseEndsTheStart(t *testing.T) {
	for name, set := range map[string]func(*settings.Gateway, string){
		"callers": func(s *settings.Gateway, at string) { s.Listen = at },
		"ready":   func(s *settings.Gateway, at string) { s.ReadyListen = at },
		"metrics": func(s *settings.Gateway, at string) { s.MetricsListen = at },
		"peer":    func(s *settings.Gateway, at string) { s.PeerListen = at },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			at := taken(t)
			s := settings.Gateway{
				Host: "host-1", Region: "region", Store: anyPort, Memory: 64, Cores: 1, CoreShare: 1,
				Listen: anyPort, ReadyListen: anyPort, MetricsListen: anyPort, PeerListen: anyPort,
			}
			set(&s, at)
			_, err := New(s, nil, quiet())
			g.Expect(err).To(MatchError(ContainSubstring(at)))
		})
	}
}
