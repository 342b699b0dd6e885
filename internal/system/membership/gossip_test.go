package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// TestGossipReachesCompleteView checks that a host receives every member from a
// sender that has more members than fit into a ping, while these change. At 350 hosts,
// a member that changed between two pings was sent without its address, and the
// receiver ignored it for good.
func TestGossipReachesCompleteView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const others = 3 * maxGossip
		sender := New(Config{Self: "sender", Incarnation: 1, Domain: "d", Address: "s"})
		receiver := New(Config{Self: "receiver", Incarnation: 1, Domain: "d", Address: "r"})
		deliver := func(to *System, from ident.Host, members ...*peerpb.Member) {
			env := &peerpb.Envelope{From: string(from), Incarnation: 1, Body: &peerpb.Envelope_Ping{Ping: &peerpb.Ping{Members: members}}}
			to.Receive(0, env, &system.Outbox{})
		}
		deliver(sender, "receiver", &peerpb.Member{Host: "receiver", Incarnation: 1, Domain: "d", Address: "r", Version: 1})
		version := uint64(1)
		for round := range 12 {
			for i := range others {
				if round == 0 || round < 8 && rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
					version++
					deliver(sender, "feeder", &peerpb.Member{
						Host: fmt.Sprint("other-", i), Incarnation: 1, Domain: "far", Address: "o", Version: version, Revision: version,
					})
				}
			}
			exchange(sender, receiver, time.Duration(round)*time.Second)
		}
		g := NewWithT(rt)
		g.Expect(receiver.Alive("far")).To(Equal(sender.Alive("far")))
		for _, member := range sender.Members() {
			got, _ := receiver.Member(member.Host)
			g.Expect(got).To(Equal(member))
		}
	})
}

// exchange delivers one ping with gossip to the receiver and its answer back.
func exchange(sender, receiver *System, now time.Duration) {
	var pings, acks system.Outbox
	sender.ping(now, "receiver", false, true, &pings)
	for _, send := range pings.Sends {
		send.Message.From, send.Message.Incarnation = "sender", 1
		receiver.Receive(now, send.Message, &acks)
	}
	for _, send := range acks.Sends {
		send.Message.From, send.Message.Incarnation = "receiver", 1
		sender.Receive(now, send.Message, &system.Outbox{})
	}
}
