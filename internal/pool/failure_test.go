package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// endpointWithLifetime returns an endpoint in the given lifetime.
func endpointWithLifetime(lifetime int64) resource.Endpoint {
	e := testEndpoint("a", 2)
	e.Started = lifetime
	return e
}

// failToConnect reports an endpoint as unreachable for one request, and returns for
// how long that closes it.
func failToConnect(g Gomega, s *Scheduler, now time.Duration, id string) time.Duration {
	r := testRequest(id, 0)
	r.Deadline = now + time.Minute
	out := grants(s.Step(now, []Event{Arrive{r}}))
	g.Expect(out).To(HaveLen(1), id)
	s.Step(now, []Event{Declined{ID: r.ID, Attempt: out[0].Attempt, Unreachable: true}})
	g.Expect(s.Closings()).To(HaveLen(1), id)
	return s.Closings()[0].For
}

// TestNewLifetimeStartsOpen guards against endpoints that stay closed, for longer each
// time, because of failures of their earlier processes.
func TestNewLifetimeStartsOpen(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(endpointWithLifetime(1))
	now := time.Duration(0)
	for range 3 {
		now += failToConnect(g, s, now, "before"+now.String())
	}
	g.Expect(s.endpoints.rows[0].failures).To(Equal(3))
	failToConnect(g, s, now, "last")

	now += 100 * time.Millisecond
	s.Step(now, []Event{Configure{Revision: 2, Endpoints: []resource.Endpoint{endpointWithLifetime(2)}}})
	r, other := testRequest("after", 0), testRequest("beside", 0)
	r.Deadline, other.Deadline = now+time.Minute, now+time.Minute
	out := grants(s.Step(now, []Event{Arrive{r}, Arrive{other}}))
	g.Expect(out).To(HaveLen(2), "a new lifetime has all its slots")
	for _, x := range out {
		s.Step(now, []Event{Started{ID: x.ID, Attempt: x.Attempt}, Finished{ID: x.ID, Attempt: x.Attempt}})
	}
	g.Expect(failToConnect(g, s, now, "first of its own")).To(Equal(rules.InitialCloseTime))

	s.Step(now, []Event{Configure{Revision: 3, Endpoints: []resource.Endpoint{endpointWithLifetime(2)}}})
	g.Expect(s.endpoints.byName[ident.Endpoint("a")].available(now)).To(BeFalse(), "the same lifetime stays closed")
}

// TestFailureOfEarlierLifetimeClosesNothing guards against endpoints that are closed
// because a host that doesn't know about their restart still uses the old address.
func TestFailureOfEarlierLifetimeClosesNothing(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(endpointWithLifetime(2))
	for lifetime, closes := range []int{0: 1, 1: 0, 2: 1, 3: 1} {
		now := time.Duration(lifetime) * time.Minute
		r, beside := testRequest("r"+now.String(), 0), testRequest("beside"+now.String(), 0)
		r.Deadline, beside.Deadline = now+time.Minute, now+time.Minute
		out := grants(s.Step(now, []Event{Arrive{r}, Arrive{beside}}))
		g.Expect(out).NotTo(BeEmpty())
		s.Step(now, []Event{Declined{ID: out[0].ID, Attempt: out[0].Attempt, Unreachable: true, Lifetime: int64(lifetime)}})
		g.Expect(s.Closings()).To(HaveLen(closes), "lifetime %d, unreachable", lifetime)
		s.Step(now, []Event{Cancel{ID: r.ID}, Cancel{ID: beside.ID}})
	}
	now := time.Hour
	r := testRequest("lost", 0)
	r.Deadline, r.Fingerprint, r.Repeats = now+time.Minute, 7, true
	out := grants(s.Step(now, []Event{Arrive{r}}))
	g.Expect(out).To(HaveLen(1))
	s.Step(now, []Event{
		Started{ID: r.ID, Attempt: out[0].Attempt},
		Finished{ID: r.ID, Attempt: out[0].Attempt, Outcome: OutcomeLost, Lifetime: 1},
	})
	g.Expect(s.Closings()).To(BeEmpty(), "lost with the earlier lifetime")
	g.Expect(s.suspects.find(0, 7).Crashes).To(Equal(1), "the loss still counts against the request")
}

// TestLastFailingEndpointStaysOpen guards against a service that accepts nothing
// because each of its endpoints fails some calls.
func TestLastFailingEndpointStaysOpen(t *testing.T) {
	h := newHarness(t, 3, 8)
	closed := 0
	for n := range 200 {
		x, ok := h.send(uint64(n + 1))
		h.g.Expect(ok).To(BeTrue(), "call %d", n)
		h.advance(20 * time.Millisecond)
		h.finish(x, OutcomeFailed)
		closed += len(h.s.Closings())
	}
	h.g.Expect(closed).To(BeNumerically(">", 2), "the other endpoints are closed")
}

// TestUnreachableEndpointsAreRetriedSoon has every endpoint refuse connections for a
// while, as during a network partition, and checks that they are used soon after it.
func TestUnreachableEndpointsAreRetriedSoon(t *testing.T) {
	h := newHarness(t, 3, 8)
	for h.now < 20*time.Second {
		h.advance(100 * time.Millisecond)
		h.next++
		r := testRequest("gone"+h.now.String(), 0)
		r.Deadline = h.now + time.Minute
		h.step(Arrive{r})
		for len(h.granted) > 0 {
			x := h.granted[0]
			h.granted = h.granted[1:]
			h.step(Declined{ID: x.ID, Attempt: x.Attempt, Unreachable: true, Requeue: true})
		}
		h.step(Cancel{ID: r.ID})
	}
	h.granted = nil
	h.advance(rules.InitialCloseTime)
	_, ok := h.send(1)
	h.g.Expect(ok).To(BeTrue())
}
