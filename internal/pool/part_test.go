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

// crashingPart is a part that crashes endpoints, and sharedPart a sound part that stands beside it.
const crashingPart, sharedPart uint64 = 666, 77

// sendParts sends a request that is like no other, with some prompt parts, and returns its grant,
// if it gets one at once.
func (h *harness) sendParts(parts ...uint64) (Grant, bool) {
	h.next++
	return h.sendRequest(func(r *Request) {
		r.Fingerprint, r.Parts = uint64(1_000_000+h.next), parts
	})
}

// sendRequest sends a request that repeats and starts its grant, if it gets one at once.
func (h *harness) sendRequest(edit func(r *Request)) (Grant, bool) {
	h.next++
	r := testRequest(fmt.Sprintf("p%d", h.next), 0)
	r.Repeats, r.Deadline = true, h.now+10*time.Second
	edit(&r)
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

// answer lets a run be answered to its end.
func (h *harness) answer(x Grant) {
	h.step(FirstToken{ID: x.ID, Attempt: x.Attempt, After: 10 * time.Millisecond})
	h.step(Finished{ID: x.ID, Attempt: x.Attempt, Outcome: OutcomeCompleted, Generated: true, OutputTokens: 10})
}

// runWithPart sends a request with parts and waits for its grant. ok is false if it is refused.
func (h *harness) runWithPart(parts ...uint64) (Grant, bool) {
	x, ok := h.sendParts(parts...)
	if ok || len(h.refused) > 0 {
		return x, ok
	}
	return h.awaitGrant(), true
}

// quarantine crashes endpoints with crashingPart until it is quarantined.
func (h *harness) quarantine(parts ...uint64) {
	for range rules.PartCrashesToQuarantine {
		x, ok := h.runWithPart(parts...)
		h.g.Expect(ok).To(BeTrue())
		h.crash(x)
		h.advance(100 * time.Millisecond)
	}
}

func (h *harness) expectRefused(parts ...uint64) {
	_, ok := h.sendParts(parts...)
	h.g.ExpectWithOffset(1, ok).To(BeFalse())
	h.g.ExpectWithOffset(1, h.refused).To(HaveLen(1))
	h.g.ExpectWithOffset(1, h.refused[0].Code).To(Equal(result.Quarantined))
	h.g.ExpectWithOffset(1, h.refused[0].RetryAfter).To(BeZero())
}

// TestPartOfUnlikeRequestsIsQuarantined sends requests of two kinds for a minute: those with
// crashingPart crash the endpoint that begins to answer them, which is back after 2 s. All share
// another part.
func TestPartOfUnlikeRequestsIsQuarantined(t *testing.T) {
	h := newHarness(t, 6, 8)
	back := map[ident.Endpoint]time.Duration{}
	crashing := map[ident.Request]bool{}
	crashes, sound, answered := []time.Duration{}, 0, 0
	for n := 0; h.now < time.Minute; n++ {
		parts := []uint64{sharedPart}
		if n%3 == 0 {
			parts = []uint64{sharedPart, crashingPart}
		} else {
			sound++
		}
		id := ident.Request(fmt.Sprintf("p%d", h.next+2))
		crashing[id] = n%3 == 0
		if x, ok := h.sendParts(parts...); ok {
			h.granted = append(h.granted, x)
		}
		for name, at := range back {
			if h.now >= at {
				delete(back, name)
				h.restart(name)
			}
		}
		for len(h.granted) > 0 {
			x := h.granted[0]
			h.granted = h.granted[1:]
			h.step(Started{ID: x.ID, Attempt: x.Attempt})
			if !crashing[x.ID] {
				h.answer(x)
				answered++
				continue
			}
			crashes = append(crashes, h.now)
			back[x.Endpoint] = h.now + 2*time.Second
			h.finish(x, OutcomeLost)
		}
		h.advance(100 * time.Millisecond)
	}
	h.g.Expect(len(crashes)).To(BeNumerically("<=", 5), "crashes at %v", crashes)
	h.g.Expect(answered).To(Equal(sound))
	h.expectRefused(crashingPart)
}

// TestPartIsNotBlamedWhileAnswered crashes an endpoint with three requests in flight. Only those
// that were not being answered for a while are suspected.
func TestPartIsNotBlamedWhileAnswered(t *testing.T) {
	h := newHarness(t, 1, 8)
	long, _ := h.sendParts(1)
	h.step(FirstToken{ID: long.ID, Attempt: long.Attempt})
	h.advance(rules.AnsweringProof)
	short, _ := h.sendParts(2)
	h.step(FirstToken{ID: short.ID, Attempt: short.Attempt})
	lost, _ := h.sendParts(crashingPart)
	h.crash(lost)
	h.g.Expect(h.s.parts.find(0, 1)).To(BeNil())
	h.g.Expect(h.s.parts.find(0, 2)).NotTo(BeNil(), "its first event may have come just before a crash")
	h.g.Expect(h.s.parts.find(0, crashingPart)).NotTo(BeNil())
}

// TestPartThatIsAnsweredElsewhereIsNotBlamed crashes an endpoint while another answers a request with one
// of the parts in flight.
func TestPartThatIsAnsweredElsewhereIsNotBlamed(t *testing.T) {
	h := newHarness(t, 2, 1)
	answered, _ := h.sendParts(sharedPart)
	h.step(FirstToken{ID: answered.ID, Attempt: answered.Attempt})
	h.advance(rules.AnsweringProof)
	lost, ok := h.sendParts(sharedPart, crashingPart)
	h.g.Expect(ok).To(BeTrue())
	h.g.Expect(lost.Endpoint).NotTo(Equal(answered.Endpoint))
	h.crash(lost)
	h.g.Expect(h.s.parts.find(0, sharedPart)).To(BeNil())
	h.g.Expect(h.s.parts.find(0, crashingPart)).NotTo(BeNil())
}

// TestSuspectPartRunsOneAtATime sends several requests with a part that was lost once.
func TestSuspectPartRunsOneAtATime(t *testing.T) {
	h := newHarness(t, 3, 8)
	x, _ := h.sendParts(crashingPart)
	h.crash(x)
	h.advance(time.Second)
	first, ok := h.sendParts(crashingPart)
	h.g.Expect(ok).To(BeTrue())
	_, ok = h.sendParts(crashingPart)
	h.g.Expect(ok).To(BeFalse(), "one is in flight")
	_, ok = h.sendParts(sharedPart)
	h.g.Expect(ok).To(BeTrue(), "another part")
	h.finish(first, OutcomeFailed)
	second := h.awaitGrant()
	h.step(FirstToken{ID: second.ID, Attempt: second.Attempt})
	h.advance(rules.AnsweringProof)
	h.g.Expect(h.s.parts.find(0, crashingPart)).To(BeNil(), "answered for long enough")
	for range 2 {
		_, ok = h.sendParts(crashingPart)
		h.g.Expect(ok).To(BeTrue())
	}
}

// TestFailedAnswerDoesNotClearPart ends a run with an error of the endpoint: it generated nothing.
func TestFailedAnswerDoesNotClearPart(t *testing.T) {
	h := newHarness(t, 2, 8)
	x, _ := h.sendParts(crashingPart)
	h.crash(x)
	h.advance(time.Second)
	again, _ := h.sendParts(crashingPart)
	h.step(Finished{ID: again.ID, Attempt: again.Attempt, Outcome: OutcomeCompleted})
	h.g.Expect(h.s.parts.find(0, crashingPart)).NotTo(BeNil())
}

// TestSoundPartIsToldFromCrashingOne quarantines two parts that were always together. A request with
// the sound one alone is still run, and clears it.
func TestSoundPartIsToldFromCrashingOne(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.quarantine(sharedPart, crashingPart)
	h.expectRefused(sharedPart, crashingPart)
	h.g.Expect(h.s.parts.find(0, sharedPart).Quarantined).To(BeTrue())
	x, ok := h.runWithPart(sharedPart)
	h.g.Expect(ok).To(BeTrue(), "no evidence against it alone")
	h.g.Expect(x.Isolated).To(BeTrue())
	h.answer(x)
	h.g.Expect(h.s.parts.find(0, sharedPart)).To(BeNil())
	h.expectRefused(crashingPart)
	h.expectRefused(sharedPart, crashingPart)
	_, ok = h.sendParts(sharedPart)
	h.g.Expect(ok).To(BeTrue())
}

// TestPartOfAnotherTeamIsNotRefused lets one team name another's part in each request that crashes
// an endpoint, among many parts that are new each time.
func TestPartOfAnotherTeamIsNotRefused(t *testing.T) {
	h := newHarness(t, 3, 8)
	fresh := uint64(10_000)
	for range rules.PartCrashesToQuarantine {
		parts := []uint64{sharedPart}
		for range 1200 {
			fresh++
			parts = append(parts, fresh)
		}
		x, ok := h.runWithPart(append(parts, crashingPart)...)
		h.g.Expect(ok).To(BeTrue())
		h.crash(x)
		h.advance(100 * time.Millisecond)
	}
	h.expectRefused(sharedPart, crashingPart)
	x, ok := h.runWithPart(sharedPart)
	h.g.Expect(ok).To(BeTrue())
	h.answer(x)
	_, ok = h.sendParts(sharedPart)
	h.g.Expect(ok).To(BeTrue())
	h.expectRefused(sharedPart, crashingPart)
}

// TestCrashWithQuarantinedPartBlamesNoOther crashes endpoints with a quarantined part, as on trial,
// while others are in flight.
func TestCrashWithQuarantinedPartBlamesNoOther(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.quarantine(crashingPart)
	h.advance(rules.FirstTrialDelay)
	sound, _ := h.sendParts(sharedPart)
	trial, ok := h.runWithPart(crashingPart)
	h.g.Expect(ok).To(BeTrue())
	h.s.attempts.find(sound.ID, sound.Attempt).endpoint = h.s.attempts.find(trial.ID, trial.Attempt).endpoint
	h.finish(trial, OutcomeLost)
	h.g.Expect(h.s.parts.find(0, sharedPart)).To(BeNil())
	h.g.Expect(h.s.parts.find(0, crashingPart).Crashes).To(Equal(rules.PartCrashesToQuarantine + 1))
}

// TestWronglyQuarantinedPartComesBack answers the trial of a part that was lost with endpoints that
// ended for another reason.
func TestWronglyQuarantinedPartComesBack(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.quarantine(sharedPart)
	h.advance(rules.FirstTrialDelay - time.Second)
	h.expectRefused(sharedPart)
	h.advance(time.Second)
	trial, ok := h.runWithPart(sharedPart)
	h.g.Expect(ok).To(BeTrue())
	h.expectRefused(sharedPart)
	h.answer(trial)
	_, ok = h.sendParts(sharedPart)
	h.g.Expect(ok).To(BeTrue())
}

// TestTrialIsAnnouncedToOtherSchedulers guards against one trial in each region at a time.
func TestTrialIsAnnouncedToOtherSchedulers(t *testing.T) {
	here, there := newHarness(t, 3, 8), newHarness(t, 3, 8)
	here.quarantine(crashingPart)
	there.now = here.now
	there.step(Suspects{List: here.s.Status().Suspects})
	there.expectRefused(crashingPart)
	here.advance(rules.FirstTrialDelay)
	there.advance(rules.FirstTrialDelay)
	here.now += time.Millisecond
	r := testRequest("trial", 0)
	r.Parts, r.Repeats, r.Deadline = []uint64{crashingPart}, true, here.now+10*time.Second
	var published []Suspect
	for _, e := range here.s.Step(here.now, []Event{Arrive{r}}) {
		if p, ok := e.(Publish); ok {
			published = append(published, p.List...)
		}
	}
	h := there
	h.step(Suspects{List: published})
	h.expectRefused(crashingPart)
}

// TestSimultaneousLossesCountPartOnce loses five endpoints together, each with the same part.
func TestSimultaneousLossesCountPartOnce(t *testing.T) {
	h := newHarness(t, 6, 1)
	var runs []Grant
	for range 5 {
		x, ok := h.sendParts(sharedPart)
		h.g.Expect(ok).To(BeTrue())
		runs = append(runs, x)
	}
	h.advance(100 * time.Millisecond)
	for _, x := range runs {
		h.finish(x, OutcomeLost)
	}
	h.g.Expect(h.s.parts.find(0, sharedPart).Crashes).To(Equal(1))
}

// TestSuspectPartsAreBounded adds more parts than are kept: those that crashed most stay.
func TestSuspectPartsAreBounded(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.quarantine(crashingPart)
	h.s.mergeSuspects([]Suspect{{Fingerprint: sharedPart, Crashes: 2, Part: true, Repeats: true}})
	for part := range uint64(2 * rules.MaxSuspectParts) {
		h.s.mergeSuspects([]Suspect{{Fingerprint: 1000 + part, Crashes: 1, Part: true, Repeats: true}})
	}
	h.g.Expect(h.s.parts.rows).To(HaveLen(rules.MaxSuspectParts))
	h.g.Expect(h.s.parts.byBody).To(HaveLen(rules.MaxSuspectParts))
	h.g.Expect(h.s.parts.find(0, sharedPart)).NotTo(BeNil())
	h.expectRefused(crashingPart)
	h.g.Expect(h.s.suspects.rows).To(HaveLen(rules.PartCrashesToQuarantine), "parts evict no requests")
}

// TestRestoredRunIsBlamedForItsParts lets a scheduler take over two runs, one of which is being
// answered, and lose their endpoint.
func TestRestoredRunIsBlamedForItsParts(t *testing.T) {
	h := newHarness(t, 2, 8)
	run := func(id string, part uint64, answered time.Duration) Running {
		r := testRequest(id, 0)
		r.Parts, r.Repeats, r.Deadline = []uint64{part}, true, h.now+10*time.Second
		return Running{Request: r, Endpoint: "e0", Attempt: ident.Attempt(len(id)), Age: 2 * time.Second, FirstTokenAge: answered}
	}
	h.step(Restore{Host: "h1", Running: []Running{run("a", crashingPart, 0), run("bb", sharedPart, time.Second)}})
	h.finish(Grant{ID: "a", Attempt: 1}, OutcomeLost)
	h.g.Expect(h.s.parts.find(0, crashingPart)).NotTo(BeNil())
	h.g.Expect(h.s.parts.find(0, sharedPart)).To(BeNil())
}

// TestBrokenRunIsBlamedForItsParts breaks a run before its endpoint is known to have ended.
func TestBrokenRunIsBlamedForItsParts(t *testing.T) {
	h := newHarness(t, 2, 8)
	x, _ := h.sendParts(crashingPart)
	h.finish(x, OutcomeFailed)
	h.g.Expect(h.s.parts.find(0, crashingPart)).To(BeNil())
	h.restart(x.Endpoint)
	h.g.Expect(h.s.parts.find(0, crashingPart)).NotTo(BeNil())
}

// TestSuspectPartWaitsUntilItsLastRunIsResolved is TestSuspectWaitsUntilItsLastRunIsResolved for a part.
func TestSuspectPartWaitsUntilItsLastRunIsResolved(t *testing.T) {
	h := newHarness(t, 3, 8)
	x, _ := h.sendParts(crashingPart)
	h.crash(x)
	h.advance(100 * time.Millisecond)
	x, ok := h.sendParts(crashingPart)
	h.g.Expect(ok).To(BeTrue())
	h.finish(x, OutcomeCanceled)
	_, ok = h.sendParts(crashingPart)
	h.g.Expect(ok).To(BeFalse())
	h.restart(x.Endpoint)
	h.g.Expect(h.s.parts.find(0, crashingPart).Crashes).To(Equal(2))
	h.g.Expect(h.awaitGrant().Isolated).To(BeTrue())
}
