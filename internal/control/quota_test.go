package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// usageTo returns the usage messages that a step sent to a host.
func (s *observedCore) usageTo(host ident.Host) []*peerpb.Usage {
	var list []*peerpb.Usage
	for _, send := range s.sends {
		if u := send.Message.GetUsage(); u != nil && send.To == host {
			list = append(list, u)
		}
	}
	return list
}

// TestUsageGoesToHostsThatCharge checks that a host without pools gets a report only after it has
// sent one, and that a host of an earlier version, which takes every report as complete, gets no
// partial one.
func TestUsageGoesToHostsThatCharge(t *testing.T) {
	g := NewWithT(t)
	s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true, Capacity: 1000})}
	s.step(HostsListed{Hosts: []platform.HostEntry{{Host: "other", Domain: "a", Address: "o", Incarnation: 1, Capacity: 10}}})
	s.declare(1, 5)
	s.step(TeamLimits{Teams: map[ident.Team]quota.Limit{"t": {Rate: 1000, Burst: 1000}}})
	g.Expect(s.usageTo("other")).To(BeEmpty())

	receive := func(m *peerpb.Usage) {
		env := peerpb.Wrap(&peerpb.Envelope_Usage{Usage: m})
		env.From, env.Incarnation = "other", 1
		s.step(Received{Message: env})
	}
	var got []*peerpb.Usage
	charge := func(steps int) {
		got = nil
		for range steps {
			s.quotas.Charge(s.now, "t", 500)
			s.step(JoinLost{})
			got = append(got, s.usageTo("other")...)
		}
	}
	receive(&peerpb.Usage{})
	charge(100)
	g.Expect(got).NotTo(BeEmpty())
	for _, u := range got {
		g.Expect(u.GetPartial()).To(BeFalse())
	}
	receive(&peerpb.Usage{TakesPartial: true})
	charge(100)
	g.Expect(got).To(ContainElement(HaveField("Partial", true)))
	g.Expect(got).To(ContainElement(HaveField("Partial", false)), "in case that a partial one was lost")
}
