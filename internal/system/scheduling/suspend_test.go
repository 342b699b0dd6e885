package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// twoHostView is the view of a host that knows one other host and schedules every pool.
type twoHostView struct{}

func (twoHostView) Scheduler(ident.Pool) (ident.Host, bool) { return "self", true }
func (twoHostView) Alive() []ident.Host                     { return []ident.Host{"other", "self"} }
func (twoHostView) Incarnation(ident.Host) uint64           { return 1 }
func (twoHostView) Domains(string) []ident.Domain           { return []ident.Domain{"a"} }
func (twoHostView) HostDomains() []ident.Domain             { return []ident.Domain{"a"} }

// testPool is the pool of newTestSystem.
var testPool = ident.Pool{Target: "m", Domain: "a"}

// newTestSystem returns a system with one pool of one slot in warm-up.
func newTestSystem(out *system.Outbox) *System {
	s := New(Config{Self: "self", Domain: "a", View: twoHostView{}})
	snap := resource.NewSnapshot()
	snap.Revision = 1
	snap.Endpoints["e"] = resource.Endpoint{Name: "e", Domain: "a", Target: "m", State: resource.EndpointActive, Slots: 1}
	s.Configure(0, snap, out)
	return s
}

// holdingsReply returns a host's answer to a query for its holdings.
func holdingsReply(epoch uint64, waiting ...*peerpb.Submit) *peerpb.Envelope {
	return peerpb.Wrap(&peerpb.Envelope_Holdings{Holdings: &peerpb.Holdings{
		Target: "m", Domain: "a", TakeOver: true, Epoch: epoch, Waiting: waiting,
	}})
}

// TestSuspendedPoolsDoNotStart checks that a pool does not start while the membership may
// be stale, even if all hosts have reported their holdings.
func TestSuspendedPoolsDoNotStart(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	reportHoldings := func(now time.Duration) {
		for _, h := range []ident.Host{"other", "self"} {
			s.Receive(now, Process{h, 1}, holdingsReply(0), &out)
		}
	}
	reportHoldings(time.Second)
	g.Expect(s.Status(testPool)).NotTo(BeNil(), "all hosts have reported")

	s.Suspend(10*time.Second, true, &out)
	reportHoldings(10 * time.Second)
	s.Suspend(11*time.Second, true, &out)
	s.Tick(11*time.Second, &out)
	g.Expect(s.Status(testPool)).To(BeNil(), "held")

	s.Suspend(12*time.Second, false, &out)
	reportHoldings(12 * time.Second)
	g.Expect(s.Status(testPool)).NotTo(BeNil(), "no longer suspended")
}
