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
	y := &harness{g: NewWithT(t), s: New(Config{Pool: testPool, Epoch: 1})}
	for i := range endpoints {
		e := testEndpoint(fmt.Sprintf("e%d", i), slots)
		e.Started = 1
		y.endpoints = append(y.endpoints, e)
	}
	y.configure()
	return y
}

func (y *harness) step(events ...Event) {
	for _, e := range y.s.Step(y.now, events) {
		switch e := e.(type) {
		case Grant:
			y.granted = append(y.granted, e)
		case Refuse:
			y.refused = append(y.refused, e)
		}
	}
}

// advance moves the time forward in small steps.
func (y *harness) advance(d time.Duration) {
	for until := y.now + d; y.now < until; {
		y.now = min(until, y.now+50*time.Millisecond)
		y.step()
	}
}

func (y *harness) configure() {
	y.revision++
	y.step(Configure{Revision: y.revision, Endpoints: append([]resource.Endpoint(nil), y.endpoints...)})
}

// send sends a request with a body and returns its grant, if it gets one at once.
func (y *harness) send(body uint64) (Grant, bool) {
	y.next++
	r := testRequest(fmt.Sprintf("r%d", y.next), 0)
	r.Fingerprint, r.Repeats, r.Deadline = body, true, y.now+10*time.Second
	y.refused = nil
	y.step(Arrive{r})
	for i, x := range y.granted {
		if x.ID == r.ID {
			y.granted = append(y.granted[:i:i], y.granted[i+1:]...)
			y.step(Started{ID: x.ID, Attempt: x.Attempt})
			return x, true
		}
	}
	return Grant{}, false
}

// awaitGrant waits for the grant of any request and starts it.
func (y *harness) awaitGrant() Grant {
	for range 400 {
		if len(y.granted) > 0 {
			x := y.granted[0]
			y.granted = y.granted[1:]
			y.step(Started{ID: x.ID, Attempt: x.Attempt})
			return x
		}
		y.advance(50 * time.Millisecond)
	}
	y.g.Expect(y.granted).NotTo(BeEmpty(), "a grant")
	return Grant{}
}

func (y *harness) finish(x Grant, o Outcome) {
	y.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: o})
}

// restart begins another lifetime of an endpoint.
func (y *harness) restart(name ident.Endpoint) {
	for i := range y.endpoints {
		if y.endpoints[i].Name == name {
			y.endpoints[i].Started++
		}
	}
	y.configure()
}

// crash loses an endpoint with the requests on it and restarts it.
func (y *harness) crash(x Grant) {
	y.finish(x, OutcomeLost)
	y.restart(x.Endpoint)
}

// TestRepeatedRequestThatCrashesEndpointsIsQuarantined sends a body every 0.3 s for a
// minute to three endpoints that crash on it and restart after 2 s.
func TestRepeatedRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	y := newHarness(t, 3, 8)
	back := map[ident.Endpoint]time.Duration{}
	var crashes []time.Duration
	for y.now < time.Minute {
		y.send(7)
		for name, at := range back {
			if y.now >= at {
				delete(back, name)
				y.restart(name)
			}
		}
		taken := y.granted
		y.granted = nil
		for _, x := range taken {
			y.step(Started{ID: x.ID, Attempt: x.Attempt})
		}
		for _, a := range y.s.attempts.rows {
			if a.started {
				crashes = append(crashes, y.now)
				back[a.endpoint.Name] = y.now + 2*time.Second
				y.finish(Grant{ID: a.request.ID, Attempt: a.id}, OutcomeLost)
				break
			}
		}
		y.g.Expect(len(back)).To(BeNumerically("<", 3), "an endpoint is still running at %v", y.now)
		y.advance(300 * time.Millisecond)
	}
	y.g.Expect(len(crashes)).To(BeNumerically(">=", 3), "crashes at %v", crashes)
	late := 0
	for _, at := range crashes[3:] {
		if at > crashes[2]+3*time.Second {
			late++
		}
	}
	y.g.Expect(late).To(BeNumerically("<=", 3), "crashes at %v", crashes)
	y.g.Expect(y.refused).To(HaveLen(1))
	y.g.Expect(y.refused[0].Code).To(Equal(result.Quarantined))
	y.g.Expect(y.refused[0].RetryAfter).To(BeZero())
}

// TestInnocentRequestIsServedAfterThreeCrashes has the same request in flight each
// time another one crashes an endpoint.
func TestInnocentRequestIsServedAfterThreeCrashes(t *testing.T) {
	y := newHarness(t, 3, 8)
	for range 3 {
		innocent, ok := y.send(1)
		y.g.Expect(ok).To(BeTrue())
		y.advance(100 * time.Millisecond)
		y.crash(innocent)
		y.advance(time.Second)
	}
	y.g.Expect(y.s.suspects.find(0, 1).Crashes).To(Equal(3))
	again, ok := y.send(1)
	y.g.Expect(ok).To(BeTrue())
	y.g.Expect(again.Isolated).To(BeTrue())
	y.finish(again, OutcomeCompleted)
	y.g.Expect(y.s.suspects.find(0, 1)).To(BeNil(), "cleared by a complete run")
	_, ok = y.send(1)
	y.g.Expect(ok).To(BeTrue())
}

// TestSimultaneousLossesCountOnce loses five endpoints at the same time with the same
// legitimate request on each, and again a while later.
func TestSimultaneousLossesCountOnce(t *testing.T) {
	y := newHarness(t, 5, 1)
	for round := 1; round <= 2; round++ {
		var list []Grant
		for range 5 {
			x, ok := y.send(1)
			y.g.Expect(ok).To(Equal(round == 1 || len(list) == 0), "one at a time while suspected")
			if ok {
				list = append(list, x)
			}
		}
		y.advance(100 * time.Millisecond)
		for _, x := range list {
			y.crash(x)
		}
		y.g.Expect(y.s.suspects.find(0, 1).Crashes).To(Equal(round))
		y.advance(11 * time.Second)
	}
}

// TestRepeatedRequestsRunConcurrently checks that equal bodies don't wait for each
// other.
func TestRepeatedRequestsRunConcurrently(t *testing.T) {
	y := newHarness(t, 3, 8)
	for range 12 {
		_, ok := y.send(1)
		y.g.Expect(ok).To(BeTrue())
	}
}

// TestSuspectLeavesTheLastEndpointToOthers closes all endpoints but one.
func TestSuspectLeavesTheLastEndpointToOthers(t *testing.T) {
	y := newHarness(t, 2, 4)
	x, _ := y.send(7)
	y.finish(x, OutcomeLost)
	_, ok := y.send(7)
	y.g.Expect(ok).To(BeFalse(), "the other endpoint is closed")
	_, ok = y.send(1)
	y.g.Expect(ok).To(BeTrue(), "other requests run there")
	y.restart(x.Endpoint)
	y.g.Expect(y.awaitGrant().Endpoint).NotTo(BeEmpty(), "the suspect runs when the other endpoint is back")

	alone := newHarness(t, 1, 4)
	x, _ = alone.send(7)
	alone.crash(x)
	_, ok = alone.send(7)
	alone.g.Expect(ok).To(BeTrue(), "there is no other endpoint to wait for")
}

// TestEndpointIsDrainedBrieflyForSuspect runs long requests on every endpoint and
// checks how long an endpoint is drained for a suspect.
func TestEndpointIsDrainedBrieflyForSuspect(t *testing.T) {
	y := newHarness(t, 2, 4)
	for range rules.RepeatedCrashesToIsolate {
		x, _ := y.send(7)
		y.advance(50 * time.Millisecond)
		y.crash(x)
	}
	for body := uint64(1); body <= 6; body++ {
		_, ok := y.send(body)
		y.g.Expect(ok).To(BeTrue())
	}
	_, ok := y.send(7)
	y.g.Expect(ok).To(BeFalse(), "every endpoint runs other requests")
	began := y.now
	suspect := y.awaitGrant()
	y.g.Expect(y.now - began).To(BeNumerically("~", rules.MaxIsolationDrainTime, 100*time.Millisecond))
	kept := 0
	for body := uint64(10); body < 13; body++ {
		if x, ok := y.send(body); ok && x.Endpoint == suspect.Endpoint {
			kept++
		}
	}
	y.g.Expect(kept).To(BeZero(), "the suspect begins to run alone")
	y.advance(rules.IsolationTime + 100*time.Millisecond)
	y.g.Expect(y.s.endpoints.byName[suspect.Endpoint].isolating).To(BeFalse(), "other requests are admitted again")
}

// TestQuarantinedRequestGetsTrials checks that a quarantined request that repeats may
// run again after a delay, that a complete run clears it, and that its trials are
// limited.
func TestQuarantinedRequestGetsTrials(t *testing.T) {
	y := newHarness(t, 2, 4)
	lose := func() {
		y.send(7)
		for _, a := range y.s.attempts.rows {
			y.crash(Grant{ID: a.request.ID, Attempt: a.id, Endpoint: a.endpoint.Name})
		}
		y.advance(50 * time.Millisecond)
	}
	for range rules.RepeatedCrashesToQuarantine {
		lose()
	}
	_, ok := y.send(7)
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(HaveLen(1))
	y.advance(rules.FirstTrialDelay)
	trial, ok := y.send(7)
	y.g.Expect(ok).To(BeTrue())
	_, ok = y.send(7)
	y.g.Expect(ok).To(BeFalse())
	y.g.Expect(y.refused).To(HaveLen(1), "one trial at a time")
	y.finish(trial, OutcomeCompleted)
	_, ok = y.send(7)
	y.g.Expect(ok).To(BeTrue(), "cleared")

	for range rules.RepeatedCrashesToQuarantine {
		for _, a := range y.s.attempts.rows {
			y.finish(Grant{ID: a.request.ID, Attempt: a.id}, OutcomeCanceled)
		}
		lose()
	}
	wait := rules.FirstTrialDelay
	for range rules.MaxTrials {
		y.advance(wait)
		trial, ok = y.send(7)
		y.g.Expect(ok).To(BeTrue())
		y.crash(trial)
		wait *= rules.TrialDelayFactor
	}
	y.now += 2 * time.Hour
	_, ok = y.send(7)
	y.g.Expect(ok).To(BeFalse(), "no trial is left")
}

// TestBrokenRunIsBlamedWhenEndpointHasEnded reports the end of an endpoint by a new
// lifetime or by the removal of its entry. A run is not blamed if the endpoint lives
// on or leaves as planned.
func TestBrokenRunIsBlamedWhenEndpointHasEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		then   func(y *harness, x Grant)
		blamed bool
	}{
		{"the endpoint is still running", func(y *harness, _ Grant) { y.configure() }, false},
		{"the endpoint has restarted", func(y *harness, x Grant) { y.restart(x.Endpoint) }, true},
		{"the endpoint's entry was removed", func(y *harness, _ Grant) { y.endpoints = nil; y.configure() }, true},
		{"the endpoint left as planned", func(y *harness, _ Grant) {
			y.endpoints[0].State = resource.EndpointDrain
			y.configure()
			y.endpoints = nil
			y.configure()
		}, false},
		{"the endpoint restarted much later", func(y *harness, x Grant) {
			y.advance(rules.BrokenRunRetention + time.Second)
			y.restart(x.Endpoint)
		}, false},
	} {
		y := newHarness(t, 1, 4)
		x, _ := y.send(7)
		y.finish(x, OutcomeFailed)
		c.then(y, x)
		y.g.Expect(y.s.suspects.find(0, 7) != nil).To(Equal(c.blamed), c.name)
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

	y := newHarness(t, 1, 4)
	x, _ := y.send(7)
	y.restart(x.Endpoint)
	y.g.Expect(y.s.suspects.find(0, 7)).NotTo(BeNil(), "still in flight on an endpoint that restarted")
}

// TestSuspectsAreBounded adds more suspects than are kept.
func TestSuspectsAreBounded(t *testing.T) {
	y := newHarness(t, 2, 4)
	for body := range uint64(2 * rules.MaxSuspects) {
		y.s.mergeSuspects([]Suspect{{Fingerprint: body + 1, Crashes: 1, Repeats: true}})
	}
	y.g.Expect(y.s.suspects.rows).To(HaveLen(rules.MaxSuspects))
	y.g.Expect(y.s.suspects.byBody).To(HaveLen(rules.MaxSuspects))
	y.now += rules.SuspectRetention + time.Second
	y.step()
	y.g.Expect(y.s.suspects.rows).To(BeEmpty())
}
