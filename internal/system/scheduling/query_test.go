package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// growingView is a view to which hosts can be added.
type growingView struct {
	twoHostView
	alive        []ident.Host
	incarnations map[ident.Host]uint64
}

func (v *growingView) Alive() []ident.Host             { return v.alive }
func (v *growingView) Incarnation(h ident.Host) uint64 { return v.incarnations[h] }

// TestSchedulerQueriesHostsDiscoveredLater guards against a newly started host that
// schedules without the holdings of hosts it discovers later.
func TestSchedulerQueriesHostsDiscoveredLater(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	v := &growingView{alive: []ident.Host{"self"}, incarnations: map[ident.Host]uint64{"self": 1}}
	s := newTestSystem(&out)
	s.cfg.View = v
	s.instances = map[ident.Pool]*instance{}
	s.Reassign(0, &out)
	s.Receive(time.Millisecond, Process{"self", 1}, holdingsReply(0), &out)
	g.Expect(s.Status(testPool)).NotTo(BeNil(), "no other host to wait for")

	queriedHosts := func(now time.Duration) []ident.Host {
		out = system.Outbox{}
		s.Reassign(now, &out)
		var list []ident.Host
		for _, send := range out.Sends {
			if send.Message.GetTakeOver() != nil {
				list = append(list, send.To)
			}
		}
		return list
	}
	v.alive, v.incarnations["other"] = []ident.Host{"other", "self"}, 1
	g.Expect(queriedHosts(time.Second)).To(Equal([]ident.Host{"other"}))
	g.Expect(queriedHosts(2*time.Second)).To(BeEmpty(), "once")
	holdings := holdingsReply(0)
	holdings.GetHoldings().Suspects = []*peerpb.Suspect{{Fingerprint: 7, Crashes: 4, Quarantined: true, Repeats: true}}
	s.Receive(3*time.Second, Process{"other", 1}, holdings, &out)
	g.Expect(s.Status(testPool).Suspects).To(HaveLen(1))
	g.Expect(s.Status(testPool).Suspects[0].Quarantined).To(BeTrue())
	v.incarnations["other"] = 2
	g.Expect(queriedHosts(4*time.Second)).To(Equal([]ident.Host{"other"}), "another process")
}
