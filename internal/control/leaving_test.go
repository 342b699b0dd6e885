package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// seen is a core whose sends and leaving endpoints are kept.
type seen struct {
	*Core
	now     time.Duration
	sends   []system.Send
	leaving []LeavingEndpoint
}

func newSeen() *seen {
	s := &seen{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
	s.hear(&peerpb.Ping{Members: []*peerpb.Member{{Host: "other", Incarnation: 1, Domain: "a", Address: "127.0.0.1:1"}}})
	return s
}

func (s *seen) step(e Event) {
	s.now += 10 * time.Millisecond
	out := s.Step(s.now, 0, []Event{e})
	s.sends, s.leaving = out.Sends, out.LeavingEndpoints
}

// hear brings a message of the other host.
func (s *seen) hear(body any) {
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

// declare brings a configuration with one endpoint in a lifetime; none with 0.
func (s *seen) declare(revision uint64, lifetime int64) {
	snap := resource.NewSnapshot()
	snap.Revision = revision
	if lifetime > 0 {
		snap.Endpoints["e"] = resource.Endpoint{
			Name: "e", Address: "127.0.0.1:2", Domain: "a", Target: "m", State: resource.EndpointActive, Slots: 2, Started: lifetime,
		}
	}
	s.step(ConfigurationChanged{Snapshot: snap})
}

func (s *seen) state() resource.EndpointState { return s.snapshot.Endpoints["e"].State }

// told returns to whom it was said that an endpoint leaves.
func (s *seen) told() []ident.Host {
	var list []ident.Host
	for _, send := range s.sends {
		if send.Message.GetLeaving() != nil {
			list = append(list, send.To)
		}
	}
	return list
}

// TestEndpointThatSaysItLeavesGetsNothingWhateverItsEntrySays follows one through rows that
// say ready, vanish and come back, until its next lifetime.
func TestEndpointThatSaysItLeavesGetsNothingWhateverItsEntrySays(t *testing.T) {
	g := NewWithT(t)
	s := newSeen()
	s.declare(1, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointActive))
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.state()).To(Equal(resource.EndpointDrain))
	g.Expect(s.leaving).To(Equal([]LeavingEndpoint{{"e", 5, "self"}}))
	g.Expect(s.told()).To(Equal([]ident.Host{"other"}))
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.leaving).To(BeEmpty(), "said again")
	g.Expect(s.told()).To(BeEmpty())

	s.declare(2, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "its row says ready")
	s.declare(3, 0)
	s.declare(4, 5)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "its row came back")
	s.declare(5, 6)
	g.Expect(s.state()).To(Equal(resource.EndpointActive), "it has started anew")
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	g.Expect(s.state()).To(Equal(resource.EndpointActive), "a late answer of the lifetime before")
}

// TestEndpointIsLeftAloneAsOthersTell checks what another host's word does, also about a
// lifetime that this one hasn't heard of, and that it isn't spread further.
func TestEndpointIsLeftAloneAsOthersTell(t *testing.T) {
	g := NewWithT(t)
	s := newSeen()
	s.declare(1, 5)
	s.hear(&peerpb.Leaving{Endpoint: "e", Lifetime: 6})
	g.Expect(s.state()).To(Equal(resource.EndpointActive))
	g.Expect(s.told()).To(BeEmpty())
	s.declare(2, 6)
	g.Expect(s.state()).To(Equal(resource.EndpointDrain))
}

// TestSchedulerThatGrantsALeavingEndpointIsTold gives the grant back, so that the request
// is placed again, and lets the scheduler know.
func TestSchedulerThatGrantsALeavingEndpointIsTold(t *testing.T) {
	g := NewWithT(t)
	s := newSeen()
	s.declare(1, 5)
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	s.hear(&peerpb.Grant{Request: "r", Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1})
	g.Expect(s.told()).To(Equal([]ident.Host{"other"}))
	declined := 0
	for _, send := range s.sends {
		if r := send.Message.GetReport(); r.GetPhase() == peerpb.Report_PHASE_DECLINED {
			declined++
		}
	}
	g.Expect(declined).To(Equal(1))
}

// TestNoRequestIsGrantedAtAnEndpointThatLeaves has this host schedule.
func TestNoRequestIsGrantedAtAnEndpointThatLeaves(t *testing.T) {
	g := NewWithT(t)
	s := &seen{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
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

// TestLeavingEndpointsAreBounded hears of more than are remembered.
func TestLeavingEndpointsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSeen()
	s.declare(1, 5)
	s.step(EndpointLeaving{Endpoint: "e", Lifetime: 5})
	for n := range 2 * maxLeaving {
		s.hear(&peerpb.Leaving{Endpoint: fmt.Sprintf("x%d", n), Lifetime: 1})
	}
	g.Expect(len(s.leavingEndpoints)).To(BeNumerically("<=", maxLeaving))
	g.Expect(s.state()).To(Equal(resource.EndpointDrain), "the one that is declared is kept")
}
