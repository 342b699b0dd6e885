package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// sendFrom sends a request of a host and returns its grant, if it gets one at once.
func (y *harness) sendFrom(host ident.Host) (Grant, bool) {
	y.next++
	r := testRequest("h"+string(host)+y.now.String()+string(rune('a'+y.next%26)), 0)
	r.Host, r.Deadline = host, y.now+20*time.Second
	y.refused, y.granted = nil, nil
	y.step(Arrive{r})
	if len(y.granted) == 0 {
		return Grant{}, false
	}
	x := y.granted[0]
	y.granted = nil
	y.step(Started{ID: x.ID, Attempt: x.Attempt})
	return x, true
}

// rejectWithBackoff ends an attempt with a rejection that asks the host to wait.
func (y *harness) rejectWithBackoff(x Grant, wait time.Duration) {
	y.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: OutcomeRejected, Backoff: wait})
}

// TestBackoffMovesHostToOtherEndpoints has an endpoint ask one of two hosts to wait.
// That host uses the other endpoint, and the other host is not affected.
func TestBackoffMovesHostToOtherEndpoints(t *testing.T) {
	y := newHarness(t, 2, 8)
	x, _ := y.sendFrom("h1")
	y.rejectWithBackoff(x, 3*time.Second)
	y.g.Expect(y.s.Closings()).To(HaveLen(1))
	y.g.Expect(y.s.Closings()[0].Host).To(Equal(ident.Host("h1")))
	elsewhere, there := 0, 0
	for began := y.now; y.now-began < 2900*time.Millisecond; y.advance(100 * time.Millisecond) {
		again, ok := y.sendFrom("h1")
		y.g.Expect(ok).To(BeTrue())
		y.g.Expect(again.Endpoint).NotTo(Equal(x.Endpoint))
		y.finish(again, OutcomeCompleted)
		elsewhere++
		if other, ok := y.sendFrom("h2"); ok {
			if other.Endpoint == x.Endpoint {
				there++
			}
			y.finish(other, OutcomeCompleted)
		}
	}
	y.g.Expect(elsewhere).To(BeNumerically(">", 20))
	y.g.Expect(there).To(BeNumerically(">", 0), "the other host still uses the endpoint")
	y.advance(200 * time.Millisecond)
	seen := map[ident.Endpoint]bool{}
	for range 6 {
		again, _ := y.sendFrom("h1")
		seen[again.Endpoint] = true
	}
	y.g.Expect(seen).To(HaveKey(x.Endpoint), "the backoff has ended")
}

// TestLongestBackoffApplies checks that a shorter backoff doesn't replace a longer
// one, and that a new lifetime of the endpoint ends it.
func TestLongestBackoffApplies(t *testing.T) {
	y := newHarness(t, 1, 8)
	e := y.s.endpoints.rows[0]
	a, _ := y.sendFrom("h1")
	b, _ := y.sendFrom("h1")
	c, _ := y.sendFrom("h1")
	y.rejectWithBackoff(a, 2*time.Second)
	y.rejectWithBackoff(b, 4*time.Second)
	y.rejectWithBackoff(c, time.Second)
	y.advance(3900 * time.Millisecond)
	y.g.Expect(e.inBackoff("h1", y.now)).To(BeTrue())
	y.g.Expect(e.inBackoff("h2", y.now)).To(BeFalse())
	y.restart(e.Name)
	y.g.Expect(e.inBackoff("h1", y.now)).To(BeFalse(), "a new lifetime has no backoff")
	y.step(Finished{ID: "unknown", Attempt: 1, Backoff: time.Minute})
	y.g.Expect(e.backoffs).To(BeEmpty())
}

// TestRefusalReportsEndOfShortestBackoff has every endpoint ask a host to wait. The
// host's requests are refused until the shortest backoff is nearly over.
func TestRefusalReportsEndOfShortestBackoff(t *testing.T) {
	y := newHarness(t, 2, 8)
	for n, wait := range []time.Duration{8 * time.Second, 5 * time.Second} {
		x, ok := y.sendFrom("h1")
		y.g.Expect(ok).To(BeTrue(), "endpoint %d", n)
		y.rejectWithBackoff(x, wait)
	}
	y.advance(time.Second)
	_, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(HaveLen(1))
	y.g.Expect(y.refused[0].Code).To(Equal(result.NoEndpoint))
	y.g.Expect(y.refused[0].RetryAfter).To(Equal(4 * time.Second))
	_, ok = y.sendFrom("h2")
	y.g.Expect(ok).To(BeTrue(), "another host is served")
	y.advance(3700 * time.Millisecond)
	_, ok = y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(BeEmpty(), "the rest of the backoff is short enough to wait for")
	y.awaitGrant()
	y.g.Expect(y.now).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))
}

// TestBackoffRefusesWaitingRequests checks that requests which already wait are
// refused when all endpoints ask their host to wait too long.
func TestBackoffRefusesWaitingRequests(t *testing.T) {
	y := newHarness(t, 1, 1)
	first, _ := y.sendFrom("h1")
	_, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.refused = nil
	y.rejectWithBackoff(first, 8*time.Second)
	y.g.Expect(y.refused).To(HaveLen(1))
	y.g.Expect(y.refused[0].RetryAfter).To(Equal(8 * time.Second))
}

// TestBrieflyClosedEndpointIsWaitedFor guards against refusals that treat a full
// endpoint like one that asked the host to wait.
func TestBrieflyClosedEndpointIsWaitedFor(t *testing.T) {
	y := newHarness(t, 2, 8)
	asks, _ := y.sendFrom("h1")
	y.rejectWithBackoff(asks, 5*time.Second)
	full, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeTrue())
	y.finish(full, OutcomeRejected)
	_, ok = y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(BeEmpty())
	y.g.Expect(y.awaitGrant().Endpoint).To(Equal(full.Endpoint))
}
