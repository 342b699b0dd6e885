package capacity

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// quietLog returns a logger that writes nothing.
func quietLog() *logrus.Logger {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return quiet
}

// connect returns a transport and the number of messages that its peer "b" has
// received.
func connect(b *testing.B) (from *peer.Transport, received *atomic.Int64) {
	b.Helper()
	received = &atomic.Int64{}
	start := func(name ident.Host, deliver func(*peerpb.Envelope)) *peer.Transport {
		t, err := peer.New(peer.Options{
			Host: name, Incarnation: 1, Domain: "d", Listen: anyPort,
			Secret: []byte("s"), Deliver: deliver, Logger: quietLog(),
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := t.Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(t.Close)
		return t
	}
	to := start("b", func(*peerpb.Envelope) { received.Add(1) })
	from = start("a", func(*peerpb.Envelope) {})
	from.SetPeers(map[ident.Host]string{"b": to.Addr()})
	return from, received
}

// BenchmarkPeerMessage measures a message between two hosts on loopback, both
// ends, by how many are sent at once.
func BenchmarkPeerMessage(b *testing.B) {
	for _, burst := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("burst=%d", burst), func(b *testing.B) {
			from, received := connect(b)
			message := &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{
				Request: strings.Repeat("r", 24), Target: "assistant", Domain: "zone-1", Endpoint: "engine-17",
				Attempt: 7, Epoch: 3, ExpiresAtUs: 1 << 40, Why: "shortest expected wait",
			}}}
			sent := int64(0)
			b.ReportAllocs()
			before, err := processorTime()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				for range burst {
					for !from.Send("b", message) {
						time.Sleep(time.Millisecond)
					}
					sent++
				}
				for received.Load() < sent {
					time.Sleep(10 * time.Microsecond)
				}
			}
			after, err := processorTime()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64((after-before).Nanoseconds())/float64(sent), "cpu-ns/message")
			b.ReportMetric(float64(from.Stats().Peers["b"].BytesSent)/float64(sent), "B/message")
		})
	}
}
