package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

func arriveWithBody(id string, key, fingerprint uint64) Arrive {
	r := testRequest(id, 0)
	r.KeyHash, r.Fingerprint, r.Deadline = key, fingerprint, time.Hour
	return Arrive{r}
}

// runGrants starts and ends every grant and follows new grants. Poison bodies crash
// the endpoint, others complete. It returns the number of crashes.
func runGrants(s *Scheduler, now time.Duration, effects []Effect, poison func(ident.Request) bool) (crashes int) {
	pending := grants(effects)
	for len(pending) > 0 {
		g := pending[0]
		pending = pending[1:]
		outcome := OutcomeCompleted
		if poison(g.ID) {
			outcome = OutcomeLost
			crashes++
		}
		out := s.Step(now, []Event{
			Started{ID: g.ID, Attempt: g.Attempt},
			Finished{ID: g.ID, Attempt: g.Attempt, Outcome: outcome},
		})
		pending = append(pending, grants(out)...)
	}
	return crashes
}

func TestCrashingBodyUnderNewKeysIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 4), testEndpoint("b", 4), testEndpoint("c", 4))
	poison := func(id ident.Request) bool { return id[0] == 'p' }
	crashes := 0
	for i := range 20 {
		now := time.Duration(i) * 30 * time.Second
		out := s.Step(now, []Event{
			arriveWithBody(fmt.Sprintf("p%d", 2*i), uint64(100+2*i), 7),
			arriveWithBody(fmt.Sprintf("p%d", 2*i+1), uint64(101+2*i), 7),
			arriveWithBody(fmt.Sprintf("q%d", i), 0, uint64(1000+i)),
		})
		crashes += runGrants(s, now, out, poison)
	}
	g.Expect(crashes).To(Equal(rules.CrashesToQuarantine))
	out := refusals(s.Step(time.Hour-time.Second, []Event{arriveWithBody("again", 1, 7)}))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Code).To(Equal(result.Quarantined))
}

func TestCompletedRunClearsSuspect(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 4), testEndpoint("b", 4))
	out := grants(s.Step(0, []Event{arriveWithBody("p", 1, 7), arriveWithBody("q", 2, 8)}))
	g.Expect(out).To(HaveLen(2))
	var events []Event
	for _, x := range out {
		events = append(events, Started{ID: x.ID, Attempt: x.Attempt})
	}
	// The requests may share an endpoint or not. The first crash is reported by p.
	shared := out[0].Endpoint == out[1].Endpoint
	s.Step(0, append(events, Finished{ID: "p", Attempt: out[0].Attempt, Outcome: OutcomeLost}))
	s.Step(0, []Event{Finished{ID: "q", Attempt: out[1].Attempt, Outcome: OutcomeLost}})
	g.Expect(s.suspects.rows).To(HaveLen(2), "shared endpoint: %v", shared)

	now := 10 * time.Second
	again := grants(s.Step(now, []Event{arriveWithBody("q2", 3, 8), arriveWithBody("r", 4, 9)}))
	for _, x := range again {
		g.Expect(x.Isolated).To(Equal(x.ID == "q2"))
	}
	runGrants(s, now, s.Step(now, nil), func(ident.Request) bool { return false })
	var completions []Event
	for _, x := range again {
		completions = append(completions, Started{ID: x.ID, Attempt: x.Attempt}, Finished{ID: x.ID, Attempt: x.Attempt})
	}
	s.Step(now, completions)
	g.Expect(s.suspects.find(0, 8)).To(BeNil())
	g.Expect(s.suspects.find(0, 7)).NotTo(BeNil())
}

func TestOneCrashCountsOnceForEqualBodies(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 4))
	runGrants(s, 0, s.Step(0, []Event{arriveWithBody("first", 1, 7)}), func(ident.Request) bool { return false })
	out := grants(s.Step(0, []Event{arriveWithBody("r1", 2, 7), arriveWithBody("r2", 3, 7)}))
	g.Expect(out).To(HaveLen(2), "a body that has run to completion may run concurrently")
	s.Step(0, []Event{Finished{ID: out[0].ID, Attempt: out[0].Attempt, Outcome: OutcomeLost}})
	g.Expect(s.suspects.find(0, 7).Crashes).To(Equal(1))
	g.Expect(s.suspects.find(0, 7).Quarantined).To(BeFalse())
}

func TestConcurrentEqualBodiesAreQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 1), testEndpoint("b", 1), testEndpoint("c", 1), testEndpoint("d", 1))
	out := s.Step(0, []Event{
		arriveWithBody("p1", 1, 7), arriveWithBody("p2", 2, 7), arriveWithBody("p3", 3, 7), arriveWithBody("p4", 4, 7),
	})
	crashes := runGrants(s, 0, out, func(ident.Request) bool { return true })
	out = s.Step(time.Minute, nil)
	crashes += runGrants(s, time.Minute, out, func(ident.Request) bool { return true })
	g.Expect(crashes).To(Equal(rules.CrashesToQuarantine))
}
