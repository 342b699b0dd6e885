package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// harness runs a pool whose endpoints can end and restart while time passes.
type harness struct {
	g         Gomega
	s         *Scheduler
	now       time.Duration
	endpoints []resource.Endpoint
	revision  uint64
	next      int
	// granted holds the grants that have not been used, and refused the last refusals.
	granted []Grant
	refused []Refuse
}

// newHarness returns a pool of endpoints with the given number of slots each.
func newHarness(t *testing.T, endpoints, slots int) *harness {
	h := &harness{g: NewWithT(t), s: New(Config{Pool: testPool, Epoch: 1})}
	for i := range endpoints {
		e := testEndpoint(fmt.Sprintf("e%d", i), slots)
		e.Started = 1
		h.endpoints = append(h.endpoints, e)
	}
	h.configure()
	return h
}

func (h *harness) step(events ...Event) {
	for _, e := range h.s.Step(h.now, events) {
		switch e := e.(type) {
		case Grant:
			h.granted = append(h.granted, e)
		case Refuse:
			h.refused = append(h.refused, e)
		}
	}
}

// advance moves the time forward in small steps.
func (h *harness) advance(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now = min(until, h.now+50*time.Millisecond)
		h.step()
	}
}

func (h *harness) configure() {
	h.revision++
	h.step(Configure{Revision: h.revision, Endpoints: append([]resource.Endpoint(nil), h.endpoints...)})
}

// send sends a request with a body and returns its grant, if it gets one at once.
func (h *harness) send(body uint64) (Grant, bool) {
	h.next++
	r := testRequest(fmt.Sprintf("r%d", h.next), 0)
	r.Fingerprint, r.Repeats, r.Deadline = body, true, h.now+10*time.Second
	h.refused = nil
	h.step(Arrive{r})
	for i, x := range h.granted {
		if x.ID == r.ID {
			h.granted = append(h.granted[:i:i], h.granted[i+1:]...)
			h.step(Started{ID: x.ID, Attempt: x.Attempt})
			return x, true
		}
	}
	return Grant{}, false
}

// awaitGrant waits for the grant of any request and starts it.
func (h *harness) awaitGrant() Grant {
	for range 400 {
		if len(h.granted) > 0 {
			x := h.granted[0]
			h.granted = h.granted[1:]
			h.step(Started{ID: x.ID, Attempt: x.Attempt})
			return x
		}
		h.advance(50 * time.Millisecond)
	}
	h.g.Expect(h.granted).NotTo(BeEmpty(), "a grant")
	return Grant{}
}

func (h *harness) finish(x Grant, o Outcome) {
	h.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: o})
}

// restart begins another lifetime of an endpoint.
func (h *harness) restart(name ident.Endpoint) {
	for i := range h.endpoints {
		if h.endpoints[i].Name == name {
			h.endpoints[i].Started++
		}
	}
	h.configure()
}

// crash loses an endpoint with the requests on it and restarts it.
func (h *harness) crash(x Grant) {
	h.finish(x, OutcomeLost)
	h.restart(x.Endpoint)
}

// TestRepeatedRequestThatCrashesEndpointsIsQuarantined sends a body every 0.3 s for a
// minute to three endpoints that crash on it and restart after 2 s.
func TestRepeatedRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	h := newHarness(t, 3, 8)
	back := map[ident.Endpoint]time.Duration{}
	var crashes []time.Duration
	for h.now < time.Minute {
		h.send(7)
		for name, at := range back {
			if h.now >= at {
				delete(back, name)
				h.restart(name)
			}
		}
		taken := h.granted
		h.granted = nil
		for _, x := range taken {
			h.step(Started{ID: x.ID, Attempt: x.Attempt})
		}
		for _, a := range h.s.attempts.rows {
			if a.started {
				crashes = append(crashes, h.now)
				back[a.endpoint.Name] = h.now + 2*time.Second
				h.finish(Grant{ID: a.request.ID, Attempt: a.id}, OutcomeLost)
				break
			}
		}
		h.g.Expect(len(back)).To(BeNumerically("<", 3), "an endpoint is still running at %v", h.now)
		h.advance(300 * time.Millisecond)
	}
	h.g.Expect(len(crashes)).To(BeNumerically(">=", 3), "crashes at %v", crashes)
	late := 0
	for _, at := range crashes[3:] {
		if at > crashes[2]+3*time.Second {
			late++
		}
	}
	h.g.Expect(late).To(BeNumerically("<=", 3), "crashes at %v", crashes)
	h.g.Expect(h.refused).To(HaveLen(1))
	h.g.Expect(h.refused[0].Code).To(Equal(result.Quarantined))
	h.g.Expect(h.refused[0].RetryAfter).To(BeZero())
}

// TestInnocentRequestIsServedAfterThreeCrashes has the same request in flight each
// time another one crashes an endpoint.
func TestInnocentRequestIsServedAfterThreeCrashes(t *testing.T) {
	h := newHarness(t, 3, 8)
	for range 3 {
		innocent, ok := h.send(1)
		h.g.Expect(ok).To(BeTrue())
		h.advance(100 * time.Millisecond)
		h.crash(innocent)
		h.advance(time.Second)
	}
	h.g.Expect(h.s.suspects.find(0, 1).Crashes).To(Equal(3))
	again, ok := h.send(1)
	h.g.Expect(ok).To(BeTrue())
	h.g.Expect(again.Isolated).To(BeTrue())
	h.finish(again, OutcomeCompleted)
	h.g.Expect(h.s.suspects.find(0, 1)).To(BeNil(), "cleared by a complete run")
	_, ok = h.send(1)
	h.g.Expect(ok).To(BeTrue())
}

// TestSimultaneousLossesCountOnce loses five endpoints at the same time with the same
// legitimate request on each, and again a while later.
func TestSimultaneousLossesCountOnce(t *testing.T) {
	h := newHarness(t, 5, 1)
	for round := 1; round <= 2; round++ {
		var list []Grant
		for range 5 {
			x, ok := h.send(1)
			h.g.Expect(ok).To(Equal(round == 1 || len(list) == 0), "one at a time while suspected")
			if ok {
				list = append(list, x)
			}
		}
		h.advance(100 * time.Millisecond)
		for _, x := range list {
			h.crash(x)
		}
		h.g.Expect(h.s.suspects.find(0, 1).Crashes).To(Equal(round))
		h.advance(11 * time.Second)
	}
}

// TestRepeatedRequestsRunConcurrently checks that equal bodies don't wait for each
// other.
func TestRepeatedRequestsRunConcurrently(t *testing.T) {
	h := newHarness(t, 3, 8)
	for range 12 {
		_, ok := h.send(1)
		h.g.Expect(ok).To(BeTrue())
	}
}

// TestSuspectLeavesTheLastEndpointToOthers closes all endpoints but one.
func TestSuspectLeavesTheLastEndpointToOthers(t *testing.T) {
	h := newHarness(t, 2, 4)
	x, _ := h.send(7)
	h.finish(x, OutcomeLost)
	_, ok := h.send(7)
	h.g.Expect(ok).To(BeFalse(), "the other endpoint is closed")
	_, ok = h.send(1)
	h.g.Expect(ok).To(BeTrue(), "other requests run there")
	h.restart(x.Endpoint)
	h.g.Expect(h.awaitGrant().Endpoint).NotTo(BeEmpty(), "the suspect runs when the other endpoint is back")

	alone := newHarness(t, 1, 4)
	x, _ = alone.send(7)
	alone.crash(x)
	_, ok = alone.send(7)
	alone.g.Expect(ok).To(BeTrue(), "there is no other endpoint to wait for")
}

// TestEndpointIsDrainedBrieflyForSuspect runs long requests on every endpoint and
// checks how long an endpoint is drained for a suspect.
func TestEndpointIsDrainedBrieflyForSuspect(t *testing.T) {
	h := newHarness(t, 2, 4)
	for range rules.RepeatedCrashesToIsolate {
		x, _ := h.send(7)
		h.advance(50 * time.Millisecond)
		h.crash(x)
	}
	for body := uint64(1); body <= 6; body++ {
		_, ok := h.send(body)
		h.g.Expect(ok).To(BeTrue())
	}
	_, ok := h.send(7)
	h.g.Expect(ok).To(BeFalse(), "every endpoint runs other requests")
	began := h.now
	suspect := h.awaitGrant()
	h.g.Expect(h.now - began).To(BeNumerically("~", rules.MaxIsolationDrainTime, 100*time.Millisecond))
	kept := 0
	for body := uint64(10); body < 13; body++ {
		if x, ok := h.send(body); ok && x.Endpoint == suspect.Endpoint {
			kept++
		}
	}
	h.g.Expect(kept).To(BeZero(), "the suspect begins to run alone")
	h.advance(rules.IsolationTime + 100*time.Millisecond)
	h.g.Expect(h.s.endpoints.byName[suspect.Endpoint].isolating).To(BeFalse(), "other requests are admitted again")
}

// TestQuarantinedRequestGetsTrials checks that a quarantined request that repeats may
// run again after a delay, that a complete run clears it, and that its trials are
// limited.
func TestQuarantinedRequestGetsTrials(t *testing.T) {
	h := newHarness(t, 2, 4)
	crashAll := func() {
		h.send(7)
		for _, a := range h.s.attempts.rows {
			h.crash(Grant{ID: a.request.ID, Attempt: a.id, Endpoint: a.endpoint.Name})
		}
		h.advance(50 * time.Millisecond)
	}
	for range rules.RepeatedCrashesToQuarantine {
		crashAll()
	}
	_, ok := h.send(7)
	h.g.Expect(ok).To(BeFalse())
	h.g.Expect(h.refused).To(HaveLen(1))
	h.advance(rules.FirstTrialDelay)
	trial, ok := h.send(7)
	h.g.Expect(ok).To(BeTrue())
	_, ok = h.send(7)
	h.g.Expect(ok).To(BeFalse())
	h.g.Expect(h.refused).To(HaveLen(1), "one trial at a time")
	h.finish(trial, OutcomeCompleted)
	_, ok = h.send(7)
	h.g.Expect(ok).To(BeTrue(), "cleared")

	for range rules.RepeatedCrashesToQuarantine {
		for _, a := range h.s.attempts.rows {
			h.finish(Grant{ID: a.request.ID, Attempt: a.id}, OutcomeCanceled)
		}
		crashAll()
	}
	wait := rules.FirstTrialDelay
	for range rules.MaxTrials {
		h.advance(wait)
		trial, ok = h.send(7)
		h.g.Expect(ok).To(BeTrue())
		h.crash(trial)
		wait *= rules.TrialDelayFactor
	}
	h.now += 2 * time.Hour
	_, ok = h.send(7)
	h.g.Expect(ok).To(BeFalse(), "no trial is left")
}

// TestBrokenRunIsBlamedWhenEndpointHasEnded reports the end of an endpoint by a new
// lifetime or by the removal of its entry. A run is not blamed if the endpoint lives
// on or leaves as planned.
func TestBrokenRunIsBlamedWhenEndpointHasEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		then   func(h *harness, x Grant)
		blamed bool
	}{
		{"the endpoint is still running", func(h *harness, _ Grant) { h.configure() }, false},
		{"the endpoint has restarted", func(h *harness, x Grant) { h.restart(x.Endpoint) }, true},
		{"the endpoint's entry was removed", func(h *harness, _ Grant) { h.endpoints = nil; h.configure() }, true},
		{"the endpoint left as planned", func(h *harness, _ Grant) {
			h.endpoints[0].State = resource.EndpointDrain
			h.configure()
			h.endpoints = nil
			h.configure()
		}, false},
		{"the endpoint restarted much later", func(h *harness, x Grant) {
			h.advance(rules.BrokenRunRetention + time.Second)
			h.restart(x.Endpoint)
		}, false},
	} {
		h := newHarness(t, 1, 4)
		x, _ := h.send(7)
		h.finish(x, OutcomeFailed)
		c.then(h, x)
		h.g.Expect(h.s.suspects.find(0, 7) != nil).To(Equal(c.blamed), c.name)
	}

	gone := newHarness(t, 1, 4)
	late, _ := gone.send(7)
	gone.endpoints = nil
	gone.configure()
	gone.g.Expect(gone.s.suspects.find(0, 7)).To(BeNil(), "it may still run")
	gone.finish(late, OutcomeFailed)
	gone.g.Expect(gone.s.suspects.find(0, 7)).NotTo(BeNil(), "it failed after the endpoint's entry was removed")

	failed := newHarness(t, 1, 4)
	ran, _ := failed.send(7)
	failed.step(Finished{ID: ran.ID, Attempt: ran.Attempt, Outcome: OutcomeFailed, Answered: true})
	failed.restart(ran.Endpoint)
	failed.g.Expect(failed.s.suspects.find(0, 7)).To(BeNil(), "the run failed, but the endpoint reported that itself")

	h := newHarness(t, 1, 4)
	x, _ := h.send(7)
	h.restart(x.Endpoint)
	h.g.Expect(h.s.suspects.find(0, 7)).NotTo(BeNil(), "still in flight on an endpoint that restarted")
}

// TestSuspectsAreBounded adds more suspects than are kept.
func TestSuspectsAreBounded(t *testing.T) {
	h := newHarness(t, 2, 4)
	for body := range uint64(2 * rules.MaxSuspects) {
		h.s.mergeSuspects([]Suspect{{Fingerprint: body + 1, Crashes: 1, Repeats: true}})
	}
	h.g.Expect(h.s.suspects.rows).To(HaveLen(rules.MaxSuspects))
	h.g.Expect(h.s.suspects.byBody).To(HaveLen(rules.MaxSuspects))
	h.now += rules.SuspectRetention + time.Second
	h.step()
	h.g.Expect(h.s.suspects.rows).To(BeEmpty())
}

// TestIsolatedSuspectsRunOneAtATime guards against a second run of a suspect while the first one's
// endpoint is silent, so that it isn't known yet whether it crashed.
func TestIsolatedSuspectsRunOneAtATime(t *testing.T) {
	h := newHarness(t, 3, 8)
	for range rules.RepeatedCrashesToIsolate {
		x, ok := h.send(7)
		h.g.Expect(ok).To(BeTrue())
		h.crash(x)
		h.advance(100 * time.Millisecond)
	}
	first, ok := h.send(7)
	h.g.Expect(ok).To(BeTrue())
	h.g.Expect(first.Isolated).To(BeTrue())
	_, ok = h.send(7)
	h.g.Expect(ok).To(BeFalse())
	h.advance(2 * rules.IsolationTime)
	h.g.Expect(h.granted).To(BeEmpty())
	h.crash(first)
	h.g.Expect(h.awaitGrant().Isolated).To(BeTrue())
}

// TestEndpointAtAnotherAddressHasEnded moves an endpoint whose declaration doesn't tell when it
// started, after a run broke there.
func TestEndpointAtAnotherAddressHasEnded(t *testing.T) {
	h := newHarness(t, 2, 4)
	for i := range h.endpoints {
		h.endpoints[i].Started, h.endpoints[i].Address = 0, "before"
	}
	h.configure()
	x, _ := h.send(7)
	h.finish(x, OutcomeFailed)
	h.configure()
	h.g.Expect(h.s.suspects.find(0, 7)).To(BeNil())
	for i := range h.endpoints {
		if h.endpoints[i].Name == x.Endpoint {
			h.endpoints[i].Address = "after"
		}
	}
	h.configure()
	h.g.Expect(h.s.suspects.find(0, 7).Crashes).To(Equal(1))
}

// TestAbandonedRunOfEndedEndpointCounts lets callers leave unanswered before their endpoint is known
// to have ended. A run that was completed in between shows that the endpoint survived the first.
func TestAbandonedRunOfEndedEndpointCounts(t *testing.T) {
	h := newHarness(t, 1, 4)
	survived, _ := h.send(7)
	h.finish(survived, OutcomeCanceled)
	h.advance(100 * time.Millisecond)
	other, _ := h.send(9)
	h.finish(other, OutcomeCompleted)
	answered, _ := h.send(10)
	h.step(FirstToken{ID: answered.ID, Attempt: answered.Attempt})
	h.finish(answered, OutcomeCanceled)
	abandoned, _ := h.send(8)
	h.finish(abandoned, OutcomeCanceled)
	h.restart(abandoned.Endpoint)
	h.g.Expect(h.s.suspects.find(0, 8).Crashes).To(Equal(1))
	h.g.Expect(h.s.suspects.find(0, 7)).To(BeNil())
	h.g.Expect(h.s.suspects.find(0, 10)).To(BeNil())
}

// TestSuspectWaitsUntilItsLastRunIsResolved guards against another run of a suspect at once when the caller
// of the one before has left unanswered, at an endpoint that is silent.
func TestSuspectWaitsUntilItsLastRunIsResolved(t *testing.T) {
	suspected := func() (*harness, Grant) {
		h := newHarness(t, 3, 8)
		x, _ := h.send(7)
		h.crash(x)
		h.advance(100 * time.Millisecond)
		x, ok := h.send(7)
		h.g.Expect(ok).To(BeTrue())
		h.finish(x, OutcomeCanceled)
		_, ok = h.send(7)
		h.g.Expect(ok).To(BeFalse())
		h.advance(time.Second)
		h.g.Expect(h.granted).To(BeEmpty())
		return h, x
	}
	h, x := suspected()
	h.restart(x.Endpoint)
	h.g.Expect(h.s.suspects.find(0, 7).Crashes).To(Equal(2))
	h.g.Expect(h.awaitGrant().Isolated).To(BeTrue())

	h, x = suspected()
	for range 8 {
		if other, _ := h.send(9); other.Endpoint == x.Endpoint {
			h.finish(other, OutcomeCompleted)
			break
		}
	}
	h.g.Expect(h.granted).To(HaveLen(1), "the endpoint is alive")

	h, _ = suspected()
	h.advance(rules.UnresolvedRunHold)
	h.g.Expect(h.granted).To(HaveLen(1), "not for ever")
}
