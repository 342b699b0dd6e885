package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// TestRestartedHostIsResponsiveAgain guards against moving the pools of a restarted host
// because an earlier process of that host did not answer.
func TestRestartedHostIsResponsiveAgain(t *testing.T) {
	g := NewWithT(t)
	c := New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})
	now := time.Second
	ping := func(incarnation uint64) {
		now += 10 * time.Millisecond
		m := peerpb.Wrap(&peerpb.Envelope_Ping{Ping: &peerpb.Ping{Members: []*peerpb.Member{
			{Host: "other", Incarnation: incarnation, Domain: "a", Address: "127.0.0.1:1"},
		}}})
		m.From, m.Incarnation = "other", incarnation
		c.Step(now, 0, []Event{Received{Message: m}})
	}
	both := []ident.Host{"other", "self"}
	ping(1)
	g.Expect(c.responsive(both)).To(Equal(both))
	custodyView{c}.Unresponsive("other")
	ping(1)
	g.Expect(c.responsive(both)).To(Equal([]ident.Host{"self"}), "the same process, although it sends messages")
	ping(2)
	g.Expect(c.responsive(both)).To(Equal(both), "another process")
}
