package order

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// singleHost returns a simulation with one host.
func singleHost() (*sim, *simHost) {
	m := newSim(func(int) int { return 0 }, faults{maxOrderTime: simMaxOrderTime})
	m.hosts = m.hosts[:1]
	return m, m.hosts[0]
}

func (m *sim) condition(name string) Condition {
	return m.hosts[0].sys.condition(name)
}

func TestNoWritesAtRest(t *testing.T) {
	g := NewWithT(t)
	m, _ := singleHost()
	m.runSeconds(100)
	g.Expect(m.condition("role-loose")).To(Equal(Condition{
		Order: "role-loose", Endpoint: "loose", Status: Applied, Reason: AsDeclared,
	}))
	before := m.version
	m.runSeconds(1000)
	g.Expect(m.version).To(Equal(before), "the lease is released")
}

func TestWeightStoreLimitIsRespected(t *testing.T) {
	g := NewWithT(t)
	m, h := singleHost()
	asked := m.runUntilReservation(g, h)
	m.onHost(h, func(out *system.Outbox) {
		h.sys.Event(m.now, WeightsReserved{Token: asked.Token, Wait: 7 * time.Second}, out)
	})
	g.Expect(m.condition("model-strict").Reason).To(Equal(WeightStoreLimited))
	limited := m.now
	again := m.runUntilReservation(g, h)
	g.Expect(again.Name).To(Equal("m"))
	g.Expect(m.now).To(Equal(limited + 7*time.Second))
	g.Expect(m.engines["strict"].taken).To(BeEmpty())
}

// runUntilReservation runs until the weight store is asked on behalf of
// "strict".
func (m *sim) runUntilReservation(g *WithT, h *simHost) ReserveWeights {
	for range 60 {
		m.advance(time.Second)
		m.onHost(h, func(out *system.Outbox) { h.sys.Tick(m.now, out) })
		for len(h.calls)+len(h.effects) > 0 {
			m.runCall(h, 9)
			if len(h.effects) == 0 {
				continue
			}
			asked, ok := h.effects[0].(ReserveWeights)
			if ok && h.sys.effectTargets[asked.Token].name == "strict" {
				h.effects = h.effects[1:]
				return asked
			}
			m.runEffect(h, 2)
		}
	}
	g.Expect("asked").To(BeEmpty(), "the weight store was not asked")
	return ReserveWeights{}
}

func TestForeignOrderIsReportedAndRepaired(t *testing.T) {
	g := NewWithT(t)
	m, _ := singleHost()
	m.runSeconds(100)
	loose := m.engines["loose"]
	loose.take(delivery{holder: "other", engine: loose, order: engine.Order{ID: "x", Action: "set_role", Value: "decode"}})
	m.runSeconds(100)
	g.Expect(loose.state.Role).To(Equal("prefill"))
	g.Expect(m.condition("role-loose").Foreign).To(Equal("x"))
	loose.state.Role = "decode"
	m.runSeconds(100)
	g.Expect(loose.state.Role).To(Equal("prefill"))
	g.Expect(m.condition("role-loose").Foreign).To(Equal(ForeignUnidentified))
}

func TestPlatformDownSendsNothing(t *testing.T) {
	g := NewWithT(t)
	m, _ := singleHost()
	m.down = true
	m.runSeconds(100)
	g.Expect(m.sent).To(BeZero())
	g.Expect(m.condition("role-strict").Reason).To(Equal(Pending))
	g.Expect(m.condition("model-strict").Reason).To(Equal(NoLease))
}

func TestStaleFenceIsRaised(t *testing.T) {
	g := NewWithT(t)
	m, _ := singleHost()
	m.engines["strict"].state.Fence = 40
	m.runSeconds(100)
	g.Expect(m.condition("role-strict").Status).To(Equal(Applied))
	g.Expect(m.engines["strict"].state.Fence).To(BeNumerically(">", 40))
}

func TestConflictingAndUnknownTargetsFail(t *testing.T) {
	g := NewWithT(t)
	m, h := singleHost()
	m.snapshot.Orders["zz"] = resource.Order{Name: "zz", Endpoint: "loose", Action: resource.OrderSetRole, Value: "decode"}
	m.snapshot.Orders["gone"] = resource.Order{Name: "gone", Endpoint: "none", Action: resource.OrderSetRole, Value: "decode"}
	h.sys.Configure(m.snapshot)
	m.runSeconds(100)
	g.Expect(m.condition("zz").Reason).To(Equal(Conflicting))
	g.Expect(m.condition("gone").Reason).To(Equal(NoEndpoint))
	g.Expect(m.condition("role-loose").Status).To(Equal(Applied))
}

func TestFailingOrdersBackOff(t *testing.T) {
	for outcome, reason := range map[Outcome]Reason{
		Rejected: RejectedByEndpoint, Unsent: NotSent, Stale: StaleFence, Ambiguous: AnswerLost,
	} {
		g := NewWithT(t)
		m, _ := singleHost()
		m.faults.answer = &outcome
		m.runSeconds(600)
		g.Expect(m.sent).To(BeNumerically("<", 2*40), "%d: two endpoints, each with a retry delay of 30 s in the end", outcome)
		g.Expect(m.sent).To(BeNumerically(">", 2*4), "%d", outcome)
		seen := map[Reason]bool{}
		for range 60 {
			m.runSeconds(1)
			seen[m.condition("model-strict").Reason] = true
		}
		g.Expect(seen).To(HaveKey(reason))
	}
}
