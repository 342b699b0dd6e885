package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// TestRestartedHostIsNotSilentForItsEarlierProcess guards against pools that are taken for
// another host's because an earlier process of their host gave no answer.
func TestRestartedHostIsNotSilentForItsEarlierProcess(t *testing.T) {
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
	g.Expect(c.responsive(both)).To(Equal([]ident.Host{"self"}), "the same process, though it is heard")
	ping(2)
	g.Expect(c.responsive(both)).To(Equal(both), "another process")
}
