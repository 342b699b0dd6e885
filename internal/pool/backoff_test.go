package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// sendFrom brings a request of a host and returns its grant, if it gets one at once.
func (y *yard) sendFrom(host ident.Host) (Grant, bool) {
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

// turnAway ends a try with a refusal of its endpoint that asks the host to wait.
func (y *yard) turnAway(x Grant, wait time.Duration) {
	y.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: OutcomeRejected, Backoff: wait})
}

// TestHostThatAnEndpointAskedToWaitIsPlacedElsewhere asks one of two hosts to wait.
func TestHostThatAnEndpointAskedToWaitIsPlacedElsewhere(t *testing.T) {
	y := newYard(t, 2, 8)
	x, _ := y.sendFrom("h1")
	y.turnAway(x, 3*time.Second)
	y.g.Expect(y.s.Closings()).To(HaveLen(1))
	y.g.Expect(y.s.Closings()[0].Host).To(Equal(ident.Host("h1")))
	elsewhere, there := 0, 0
	for began := y.now; y.now-began < 2900*time.Millisecond; y.pass(100 * time.Millisecond) {
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
	y.g.Expect(there).To(BeNumerically(">", 0), "others are not concerned")
	y.pass(200 * time.Millisecond)
	seen := map[ident.Endpoint]bool{}
	for range 6 {
		again, _ := y.sendFrom("h1")
		seen[again.Endpoint] = true
	}
	y.g.Expect(seen).To(HaveKey(x.Endpoint), "the time is over")
}

// TestLongestWordOfABackoffStands raises and shortens it, and begins a new lifetime.
func TestLongestWordOfABackoffStands(t *testing.T) {
	y := newYard(t, 1, 8)
	e := y.s.endpoints.rows[0]
	a, _ := y.sendFrom("h1")
	b, _ := y.sendFrom("h1")
	c, _ := y.sendFrom("h1")
	y.turnAway(a, 2*time.Second)
	y.turnAway(b, 4*time.Second)
	y.turnAway(c, time.Second)
	y.pass(3900 * time.Millisecond)
	y.g.Expect(e.backsOff("h1", y.now)).To(BeTrue())
	y.g.Expect(e.backsOff("h2", y.now)).To(BeFalse())
	y.restart(e.Name)
	y.g.Expect(e.backsOff("h1", y.now)).To(BeFalse(), "another lifetime has said nothing")
	y.step(Finished{ID: "unknown", Attempt: 1, Backoff: time.Minute})
	y.g.Expect(e.backoffs).To(BeEmpty())
}

// TestCallersAreToldWhenTheFirstEndpointWantsThemAgain has every endpoint ask a host to wait.
func TestCallersAreToldWhenTheFirstEndpointWantsThemAgain(t *testing.T) {
	y := newYard(t, 2, 8)
	for n, wait := range []time.Duration{8 * time.Second, 5 * time.Second} {
		x, ok := y.sendFrom("h1")
		y.g.Expect(ok).To(BeTrue(), "endpoint %d", n)
		y.turnAway(x, wait)
	}
	y.pass(time.Second)
	_, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(HaveLen(1))
	y.g.Expect(y.refused[0].Code).To(Equal(result.NoEndpoint))
	y.g.Expect(y.refused[0].RetryAfter).To(Equal(4 * time.Second))
	_, ok = y.sendFrom("h2")
	y.g.Expect(ok).To(BeTrue(), "another host is served")
	y.pass(3700 * time.Millisecond)
	_, ok = y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(BeEmpty(), "what remains is worth the wait")
	y.take()
	y.g.Expect(y.now).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))
}

// TestWaitingRequestsAreRefusedWhenTheyWouldWaitInVain fills the endpoints before they ask
// the host to wait.
func TestWaitingRequestsAreRefusedWhenTheyWouldWaitInVain(t *testing.T) {
	y := newYard(t, 1, 1)
	first, _ := y.sendFrom("h1")
	_, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.refused = nil
	y.turnAway(first, 8*time.Second)
	y.g.Expect(y.refused).To(HaveLen(1))
	y.g.Expect(y.refused[0].RetryAfter).To(Equal(8 * time.Second))
}

// TestEndpointThatIsClosedForAMomentIsWaitedFor guards against refusals that count a full
// endpoint as one that asked the host to wait.
func TestEndpointThatIsClosedForAMomentIsWaitedFor(t *testing.T) {
	y := newYard(t, 2, 8)
	asks, _ := y.sendFrom("h1")
	y.turnAway(asks, 5*time.Second)
	full, ok := y.sendFrom("h1")
	y.g.Expect(ok).To(BeTrue())
	y.finish(full, OutcomeRejected)
	_, ok = y.sendFrom("h1")
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(BeEmpty())
	y.g.Expect(y.take().Endpoint).To(Equal(full.Endpoint))
}
