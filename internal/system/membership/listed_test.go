package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

func listedRow(host string, incarnation uint64) platform.HostEntry {
	return platform.HostEntry{Host: host, Domain: "d", Address: host, Incarnation: incarnation, Capacity: 500}
}

func newListed(self ident.Host, rows ...platform.HostEntry) *System {
	s := New(Config{Self: self, Incarnation: 1, Domain: "d", Address: string(self), Capacity: 500})
	s.SetSeeds(rows)
	return s
}

// TestListedHostsAreMembersAtOnce guards against started hosts that know few others and
// disagree on who schedules.
func TestListedHostsAreMembersAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newListed("a", listedRow("b", 10), platform.HostEntry{Host: "c", Domain: "d", Address: "c"})
	g.Expect(s.Alive("d")).To(Equal([]ident.Host{"a", "b"}), "c may be gone for long")
	m, _ := s.Member("b")
	g.Expect(m.Capacity).To(BeEquivalentTo(500))
	s.SetSeeds([]platform.HostEntry{listedRow("b", 12)})
	s.SetSeeds([]platform.HostEntry{listedRow("b", 11)})
	m, _ = s.Member("b")
	g.Expect(m.Incarnation).To(BeEquivalentTo(12), "the latest process counts")
}

// TestListedHostThatIsGoneDies checks that a host that the list names wrongly is found dead, and
// that reading the same list again doesn't bring it back.
func TestListedHostThatIsGoneDies(t *testing.T) {
	g := NewWithT(t)
	s := newListed("a", listedRow("b", 10))
	for now := time.Duration(0); now < DeathTimeout+2*ProbeInterval; now += 50 * time.Millisecond {
		s.Tick(now, &system.Outbox{})
	}
	s.SetSeeds([]platform.HostEntry{listedRow("b", 10)})
	g.Expect(s.Alive("d")).To(Equal([]ident.Host{"a"}))
}

// TestConfirmedRowReachesHostsWithoutIt guards against a row that all who read it in the list
// keep to themselves, so that a host that read the list earlier never learns of it.
func TestConfirmedRowReachesHostsWithoutIt(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := newListed("sender", listedRow("new", 10), listedRow("receiver", 1)), newListed("receiver", listedRow("sender", 1))
	exchange(sender, receiver, time.Second)
	g.Expect(receiver.Alive("d")).NotTo(ContainElement(ident.Host("new")), "the list is not sent")
	row := &peerpb.Member{Host: "new", Incarnation: 10, Domain: "d", Address: "new", Version: 1, Capacity: 500}
	sender.Receive(0, &peerpb.Envelope{From: "new", Incarnation: 10, Body: &peerpb.Envelope_Ping{
		Ping: &peerpb.Ping{Members: []*peerpb.Member{row}},
	}}, &system.Outbox{})
	exchange(sender, receiver, 2*time.Second)
	want, _ := sender.Member("new")
	got, _ := receiver.Member("new")
	g.Expect(got).To(Equal(want))
}

// TestMessageTellsOfALaterProcess checks that a restarted host counts as alive with its new
// process before its row arrives, and that the row then replaces what was assumed.
func TestMessageTellsOfALaterProcess(t *testing.T) {
	g := NewWithT(t)
	s := newListed("a", listedRow("b", 10))
	s.ObserveProcess("b", 11)
	s.ObserveProcess("unknown", 11)
	m, _ := s.Member("b")
	g.Expect(m.Incarnation).To(BeEquivalentTo(11))
	s.mergeAll(0, "b", []*peerpb.Member{{Host: "b", Incarnation: 11, Domain: "d", Address: "moved", Version: 1}})
	m, _ = s.Member("b")
	g.Expect(m.Address).To(Equal("moved"))
	g.Expect(s.Alive("d")).To(Equal([]ident.Host{"a", "b"}))
}

// TestFewHostsAreAskedForTheTable guards against a started host that gets the whole table from
// every host that it pings.
func TestFewHostsAreAskedForTheTable(t *testing.T) {
	g := NewWithT(t)
	var rows []platform.HostEntry
	for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
		rows = append(rows, listedRow(name, 10))
	}
	s := newListed("a", rows...)
	asked := map[ident.Host]bool{}
	for round := range 3 {
		var out system.Outbox
		s.probeRound(time.Duration(round)*time.Second, &out)
		n := 0
		for _, send := range out.Sends {
			if send.Message.GetPing().GetFresh() {
				n++
				asked[send.To] = true
			}
		}
		g.Expect(n).To(BeNumerically("<=", maxTableRequests))
	}
	g.Expect(asked).To(HaveLen(len(rows)), "others are asked if the first don't answer")
}
