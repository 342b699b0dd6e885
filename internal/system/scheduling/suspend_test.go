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

// alone is the view of a host that knows one other.
type alone struct{}

func (alone) Scheduler(ident.Pool) (ident.Host, bool) { return "self", true }
func (alone) Alive() []ident.Host                     { return []ident.Host{"other", "self"} }
func (alone) Incarnation(ident.Host) uint64           { return 1 }
func (alone) Domains(string) []ident.Domain           { return []ident.Domain{"a"} }
func (alone) HostDomains() []ident.Domain             { return []ident.Domain{"a"} }

// testPool is the pool of newAlone.
var testPool = ident.Pool{Target: "m", Domain: "a"}

// newAlone returns a system with one pool of one slot, which is in warm-up.
func newAlone(out *system.Outbox) *System {
	s := New(Config{Self: "self", Domain: "a", View: alone{}})
	snap := resource.NewSnapshot()
	snap.Revision = 1
	snap.Endpoints["e"] = resource.Endpoint{Name: "e", Domain: "a", Target: "m", State: resource.EndpointActive, Slots: 1}
	s.Configure(0, snap, out)
	return s
}

// told is what a host that was asked says of what it holds.
func told(epoch uint64, waiting ...*peerpb.Submit) *peerpb.Envelope {
	return peerpb.Wrap(&peerpb.Envelope_Holdings{Holdings: &peerpb.Holdings{
		Target: "m", Domain: "a", TakeOver: true, Epoch: epoch, Waiting: waiting,
	}})
}

// TestHeldPoolsDontStart checks that a pool isn't started while the view of the
// others may be stale, though all of them have told what they hold.
func TestHeldPoolsDontStart(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newAlone(&out)
	tell := func(now time.Duration) {
		for _, h := range []ident.Host{"other", "self"} {
			s.Receive(now, Process{h, 1}, told(0), &out)
		}
	}
	tell(time.Second)
	g.Expect(s.Status(testPool)).NotTo(BeNil(), "all have told")

	s.Suspend(10*time.Second, true, &out)
	tell(10 * time.Second)
	s.Suspend(11*time.Second, true, &out)
	s.Tick(11*time.Second, &out)
	g.Expect(s.Status(testPool)).To(BeNil(), "held")

	s.Suspend(12*time.Second, false, &out)
	tell(12 * time.Second)
	g.Expect(s.Status(testPool)).NotTo(BeNil(), "fresh again")
}
