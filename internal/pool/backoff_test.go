package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// sendFrom sends a request of a host and returns its grant, if it gets one at once.
func (h *harness) sendFrom(host ident.Host) (Grant, bool) {
	h.next++
	r := testRequest("h"+string(host)+h.now.String()+string(rune('a'+h.next%26)), 0)
	r.Host, r.Deadline = host, h.now+20*time.Second
	h.refused, h.granted = nil, nil
	h.step(Arrive{r})
	if len(h.granted) == 0 {
		return Grant{}, false
	}
	x := h.granted[0]
	h.granted = nil
	h.step(Started{ID: x.ID, Attempt: x.Attempt})
	return x, true
}

// rejectWithBackoff ends an attempt with a rejection that asks the host to wait.
func (h *harness) rejectWithBackoff(x Grant, wait time.Duration) {
	h.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: OutcomeRejected, Backoff: wait})
}

// TestBackoffMovesHostToOtherEndpoints has an endpoint ask one of two hosts to wait.
// That host uses the other endpoint, and the other host is not affected.
func TestBackoffMovesHostToOtherEndpoints(t *testing.T) {
	h := newHarness(t, 2, 8)
	x, _ := h.sendFrom("h1")
	h.rejectWithBackoff(x, 3*time.Second)
	h.g.Expect(h.s.Closings()).To(HaveLen(1))
	h.g.Expect(h.s.Closings()[0].Host).To(Equal(ident.Host("h1")))
	elsewhere, there := 0, 0
	for began := h.now; h.now-began < 2900*time.Millisecond; h.advance(100 * time.Millisecond) {
		again, ok := h.sendFrom("h1")
		h.g.Expect(ok).To(BeTrue())
		h.g.Expect(again.Endpoint).NotTo(Equal(x.Endpoint))
		h.finish(again, OutcomeCompleted)
		elsewhere++
		if other, ok := h.sendFrom("h2"); ok {
			if other.Endpoint == x.Endpoint {
				there++
			}
			h.finish(other, OutcomeCompleted)
		}
	}
	h.g.Expect(elsewhere).To(BeNumerically(">", 20))
	h.g.Expect(there).To(BeNumerically(">", 0), "the other host still uses the endpoint")
	h.advance(200 * time.Millisecond)
	seen := map[ident.Endpoint]bool{}
	for range 6 {
		again, _ := h.sendFrom("h1")
		seen[again.Endpoint] = true
	}
	h.g.Expect(seen).To(HaveKey(x.Endpoint), "the backoff has ended")
}

// TestLongestBackoffApplies checks that a shorter backoff doesn't replace a longer
// one, and that a new lifetime of the endpoint ends it.
func TestLongestBackoffApplies(t *testing.T) {
	h := newHarness(t, 1, 8)
	e := h.s.endpoints.rows[0]
	a, _ := h.sendFrom("h1")
	b, _ := h.sendFrom("h1")
	c, _ := h.sendFrom("h1")
	h.rejectWithBackoff(a, 2*time.Second)
	h.rejectWithBackoff(b, 4*time.Second)
	h.rejectWithBackoff(c, time.Second)
	h.advance(3900 * time.Millisecond)
	h.g.Expect(e.inBackoff("h1", h.now)).To(BeTrue())
	h.g.Expect(e.inBackoff("h2", h.now)).To(BeFalse())
	h.restart(e.Name)
	h.g.Expect(e.inBackoff("h1", h.now)).To(BeFalse(), "a new lifetime has no backoff")
	h.step(Finished{ID: "unknown", Attempt: 1, Backoff: time.Minute})
	h.g.Expect(e.backoffs).To(BeEmpty())
}

// TestRefusalReportsEndOfShortestBackoff has every endpoint ask a host to wait. The
// host's requests are refused until the shortest backoff is nearly over.
func TestRefusalReportsEndOfShortestBackoff(t *testing.T) {
	h := newHarness(t, 2, 8)
	for n, wait := range []time.Duration{8 * time.Second, 5 * time.Second} {
		x, ok := h.sendFrom("h1")
		h.g.Expect(ok).To(BeTrue(), "endpoint %d", n)
		h.rejectWithBackoff(x, wait)
	}
	h.advance(time.Second)
	_, ok := h.sendFrom("h1")
	h.g.Expect(ok).To(BeFalse())
	h.g.Expect(h.refused).To(HaveLen(1))
	h.g.Expect(h.refused[0].Code).To(Equal(result.NoEndpoint))
	h.g.Expect(h.refused[0].RetryAfter).To(Equal(4 * time.Second))
	_, ok = h.sendFrom("h2")
	h.g.Expect(ok).To(BeTrue(), "another host is served")
	h.advance(3700 * time.Millisecond)
	_, ok = h.sendFrom("h1")
	h.g.Expect(ok).To(BeFalse())
	h.g.Expect(h.refused).To(BeEmpty(), "the rest of the backoff is short enough to wait for")
	h.awaitGrant()
	h.g.Expect(h.now).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))
}

// TestBackoffRefusesWaitingRequests checks that requests which already wait are
// refused when all endpoints ask their host to wait too long.
func TestBackoffRefusesWaitingRequests(t *testing.T) {
	h := newHarness(t, 1, 1)
	first, _ := h.sendFrom("h1")
	_, ok := h.sendFrom("h1")
	h.g.Expect(ok).To(BeFalse())
	h.refused = nil
	h.rejectWithBackoff(first, 8*time.Second)
	h.g.Expect(h.refused).To(HaveLen(1))
	h.g.Expect(h.refused[0].RetryAfter).To(Equal(8 * time.Second))
}

// TestBrieflyClosedEndpointIsWaitedFor guards against refusals that treat a full
// endpoint like one that asked the host to wait.
func TestBrieflyClosedEndpointIsWaitedFor(t *testing.T) {
	h := newHarness(t, 2, 8)
	asks, _ := h.sendFrom("h1")
	h.rejectWithBackoff(asks, 5*time.Second)
	full, ok := h.sendFrom("h1")
	h.g.Expect(ok).To(BeTrue())
	h.finish(full, OutcomeRejected)
	_, ok = h.sendFrom("h1")
	h.g.Expect(ok).To(BeFalse())
	h.g.Expect(h.refused).To(BeEmpty())
	h.g.Expect(h.awaitGrant().Endpoint).To(Equal(full.Endpoint))
}
