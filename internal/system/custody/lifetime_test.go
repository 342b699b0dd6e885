package custody

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// lifetimeView is a view whose endpoint has a lifetime.
type lifetimeView struct {
	view
	started int64
}

func (v *lifetimeView) Endpoint(name ident.Endpoint) (resource.Endpoint, bool) {
	return resource.Endpoint{Name: name, Address: "a:1", State: resource.EndpointActive, Started: v.started}, true
}

// newLifetimeSystem returns a system whose endpoint has the given lifetime.
func newLifetimeSystem(started int64) (*System, *lifetimeView) {
	v := &lifetimeView{view: view{scheduler: Scheduler{Host: "s", Incarnation: 1}, has: true}, started: started}
	return New(Config{Self: "h", View: v}), v
}

// TestReportCarriesLifetimeOfGrant checks the lifetime in a report when the endpoint
// begins another one between the grant and the report.
func TestReportCarriesLifetimeOfGrant(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s, v := newLifetimeSystem(5)
	s.Arrive(0, Arrival{ID: "r", Target: "m", Deadline: time.Minute}, &out)
	s.Granted(0, v.scheduler, &peerpb.Grant{Request: "r", Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1, ExpiresAtUs: time.Second.Microseconds()}, &out)
	v.started = 6
	s.Unreachable(0, "r", 1, &out)
	last := out.Sends[len(out.Sends)-1].Message.GetReport()
	g.Expect(last.GetUnreachable()).To(BeTrue())
	g.Expect(last.GetLifetime()).To(BeEquivalentTo(5))
}

// TestBackoffOverridesGrants checks that grants by a scheduler that doesn't know of an
// endpoint's backoff are declined, until the backoff ends or the endpoint begins another
// lifetime.
func TestBackoffOverridesGrants(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s, v := newLifetimeSystem(5)
	grant := func(now time.Duration, id ident.Request) (connects int, declined *peerpb.Report) {
		s.Arrive(now, Arrival{ID: id, Target: "m", Deadline: time.Minute}, &out)
		out = system.Outbox{}
		s.Take()
		s.Granted(now, v.scheduler, &peerpb.Grant{Request: string(id), Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1, ExpiresAtUs: time.Hour.Microseconds()}, &out)
		for _, d := range s.Take() {
			if d.Kind == Connect {
				connects++
			}
		}
		for _, send := range out.Sends {
			declined = send.Message.GetReport()
		}
		return connects, declined
	}
	connects, _ := grant(0, "first")
	g.Expect(connects).To(Equal(1))
	s.Connected(0, "first", 1, &out)
	s.Finished(time.Second, "first", End{Phase: peerpb.Report_PHASE_REJECTED, Backoff: 3 * time.Second}, &out)
	last := out.Sends[len(out.Sends)-1].Message.GetReport()
	g.Expect(last.GetBackoffUs()).To(Equal((3 * time.Second).Microseconds()))

	connects, declined := grant(2*time.Second, "second")
	g.Expect(connects).To(BeZero())
	g.Expect(declined.GetPhase()).To(Equal(peerpb.Report_PHASE_DECLINED))
	g.Expect(declined.GetBackoffUs()).To(Equal((2 * time.Second).Microseconds()))
	g.Expect(declined.GetLifetime()).To(BeEquivalentTo(5))

	v.started = 6
	connects, _ = grant(2*time.Second, "third")
	g.Expect(connects).To(Equal(1), "another lifetime")
	v.started = 5
	connects, _ = grant(4*time.Second, "fourth")
	g.Expect(connects).To(Equal(1), "the time is over")
	s.Tick(4*time.Second, &out)
	g.Expect(s.backoffs).To(BeEmpty())
}

// TestHoldingsLeaveOutKnownParts checks that the parts of a running request, which can take
// kilobytes, are sent again only to a scheduler that did not grant it.
func TestHoldingsLeaveOutKnownParts(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s, v := newLifetimeSystem(5)
	s.Arrive(0, Arrival{ID: "r", Target: "m", Deadline: time.Minute, Parts: []uint64{1, 2}}, &out)
	s.Granted(0, v.scheduler, &peerpb.Grant{Request: "r", Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1, ExpiresAtUs: time.Second.Microseconds()}, &out)
	s.Connected(0, "r", 1, &out)
	parts := func(now time.Duration) []uint64 {
		out = system.Outbox{}
		s.Tick(now, &out)
		return out.Sends[0].Message.GetHoldings().GetRunning()[0].GetRequest().GetParts()
	}
	g.Expect(parts(holdingsInterval)).To(BeEmpty())
	v.scheduler.Incarnation++
	g.Expect(parts(2 * holdingsInterval)).To(Equal([]uint64{1, 2}))
	out = system.Outbox{}
	s.TakeOver(3*holdingsInterval, v.scheduler, &peerpb.TakeOver{Target: "m", Domain: "a"}, nil, &out)
	g.Expect(out.Sends[0].Message.GetHoldings().GetRunning()[0].GetRequest().GetParts()).To(Equal([]uint64{1, 2}))
}
