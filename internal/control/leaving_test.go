package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// observedCore is a core that keeps the sends and the leaving endpoints of its last step.
type observedCore struct {
	*Core
	now     time.Duration
	sends   []system.Send
	leaving []LeavingEndpoint
}

func newObservedCore() *observedCore {
	s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
	s.receiveFromOther(&peerpb.Ping{Members: []*peerpb.Member{{Host: "other", Incarnation: 1, Domain: "a", Address: "127.0.0.1:1"}}})
	return s
}

func (s *observedCore) step(e Event) {
	s.now += 10 * time.Millisecond
	out := s.Step(s.now, 0, []Event{e})
	s.sends, s.leaving = out.Sends, out.LeavingEndpoints
}

// receiveFromOther delivers a message from the other host.
func (s *observedCore) receiveFromOther(body any) {
	var m *peerpb.Envelope
	switch body := body.(type) {
	case *peerpb.Ping:
		m = peerpb.Wrap(&peerpb.Envelope_Ping{Ping: body})
	case *peerpb.Leaving:
		m = peerpb.Wrap(&peerpb.Envelope_Leaving{Leaving: body})
	case *peerpb.Grant:
		m = peerpb.Wrap(&peerpb.Envelope_Grant{Grant: body})
	}
	m.From, m.Incarnation = "other", 1
	s.step(Received{Message: m})
}

// declare applies a configuration with one endpoint of the given lifetime, or without
// endpoints if lifetime is 0.
func (s *observedCore) declare(revision uint64, lifetime int64) {
	snap := resource.NewSnapshot()
	snap.Revision = revision
	if lifetime > 0 {
		snap.Endpoints["e"] = resource.Endpoint{
			Name: "e", Address: "127.0.0.1:2", Domain: "a", Target: "m", State: resource.EndpointActive, Slots: 2, Started: lifetime,
		}
	}
	s.step(ConfigurationChanged{Snapshot: snap})
}

func (s *observedCore) state() resource.EndpointState { return s.snapshot.Endpoints["e"].State }

// notified returns the hosts that the last step notified of a leaving endpoint.
func (s *observedCore) notified() []ident.Host {
	var list []ident.Host
	for _, send := range s.sends {
		if send.Message.GetLeaving() != nil {
			list = append(list, send.To)
		}
	}
	return list
}

// TestLeavingEndpointDrainsDespiteActiveDeclaration checks that an endpoint that
// announced its leaving keeps draining while its declaration says active, disappears and
// returns, until its next lifetime.
func TestLeavingEndpointDrainsDespiteActiveDeclaration(t *testing.T) {
	g := NewWithT(t)
	s := newObservedCore()
	s.declare(1, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointActive))
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.state()).To(Equal(resource.EndpointDrain))
	g.Expect(s.leaving).To(Equal([]LeavingEndpoint{{"e", 5, "self"}}))
	g.Expect(s.notified()).To(Equal([]ident.Host{"other"}))
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.leaving).To(BeEmpty(), "repeated announcement")
	g.Expect(s.notified()).To(BeEmpty())

	s.declare(2, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "declared active again")
	s.declare(3, 0)
	s.declare(4, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "declared again after removal")
	s.declare(5, 6)
	g.Expect(s.state()).To(Equal(resource.EndpointActive), "a new lifetime")
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.state()).To(Equal(resource.EndpointActive), "a late answer of the previous lifetime")
}

// TestLeavingNoticeOfAnotherHostDrainsEndpoint checks that a notice from another host
// takes effect, also for a lifetime that is not declared yet, and is not forwarded.
func TestLeavingNoticeOfAnotherHostDrainsEndpoint(t *testing.T) {
	g := NewWithT(t)
	s := newObservedCore()
	s.declare(1, 5)
	s.receiveFromOther(&peerpb.Leaving{Endpoint: "e", Lifetime: 6})
	g.Expect(s.state()).To(Equal(resource.EndpointActive))
	g.Expect(s.notified()).To(BeEmpty())
	s.declare(2, 6)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain))
}

// TestSchedulerThatGrantsALeavingEndpointIsNotified checks that the grant is declined, so
// that the request is placed again, and that the scheduler is notified.
func TestSchedulerThatGrantsALeavingEndpointIsNotified(t *testing.T) {
	g := NewWithT(t)
	s := newObservedCore()
	s.declare(1, 5)
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	s.receiveFromOther(&peerpb.Grant{Request: "r", Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1})
	g.Expect(s.notified()).To(Equal([]ident.Host{"other"}))
	declined := 0
	for _, send := range s.sends {
		if r := send.Message.GetReport(); r.GetPhase() == peerpb.Report_PHASE_DECLINED {
			declined++
		}
	}
	g.Expect(declined).To(Equal(1))
}

// TestLeavingEndpointGetsNoGrants checks a host that schedules the endpoint's pool
// itself.
func TestLeavingEndpointGetsNoGrants(t *testing.T) {
	g := NewWithT(t)
	s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
	s.step(HostsListed{})
	s.declare(1, 5)
	connects := func(id ident.Request) int {
		n := 0
		s.now += 10 * time.Millisecond
		out := s.Step(s.now, 0, []Event{Arrived{Arrival: custody.Arrival{ID: id, Target: "m", Deadline: s.now + time.Minute}}})
		for _, d := range out.Directives {
			if d.Kind == custody.Connect {
				g.Expect(d.Lifetime).To(BeEquivalentTo(5))
				n++
			}
		}
		return n
	}
	g.Expect(connects("before")).To(Equal(1))
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(connects("after")).To(BeZero())
}

// TestLeavingEndpointsAreBounded announces more leaving endpoints than are kept.
func TestLeavingEndpointsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newObservedCore()
	s.declare(1, 5)
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	for n := range 2 * maxLeavingEndpoints {
		s.receiveFromOther(&peerpb.Leaving{Endpoint: fmt.Sprintf("x%d", n), Lifetime: 1})
	}
	g.Expect(len(s.leavingEndpoints)).To(BeNumerically("<=", maxLeavingEndpoints))
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "the declared endpoint is kept")
}

// TestLeavingNoticeGoesToFewHosts guards against a link between every two hosts of a large fleet
// when endpoints leave.
func TestLeavingNoticeGoesToFewHosts(t *testing.T) {
	g := NewWithT(t)
	s := newObservedCore()
	var hosts []platform.HostEntry
	for i := range 60 {
		hosts = append(hosts, platform.HostEntry{
			Host: fmt.Sprint("h", i), Domain: []string{"a", "b"}[i%2], Address: "x", Incarnation: 1,
		})
	}
	s.step(HostsListed{Hosts: hosts})
	s.declare(1, 5)
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(len(s.notified())).To(BeNumerically("~", 2*leavingCandidates, 2))
	for _, d := range []ident.Domain{"a", "b"} {
		scheduler, ok := s.scheduler(ident.Pool{Target: "m", Domain: d})
		g.Expect(ok).To(BeTrue())
		g.Expect(append(s.notified(), "self")).To(ContainElement(scheduler))
	}
}
