package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// completeGrant returns the events of a grant that ends with a complete answer after
// the given times.
func completeGrant(g Grant, first, total time.Duration) []Event {
	return []Event{
		Started{ID: g.ID, Attempt: g.Attempt},
		FirstToken{ID: g.ID, Attempt: g.Attempt, After: first},
		Finished{ID: g.ID, Attempt: g.Attempt, OutputTokens: 50, FirstToken: first, Total: total},
	}
}

func TestDrainingEndpointsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	a, b := testEndpoint("a", 1), testEndpoint("b", 1)
	s := newTestScheduler(a, b)
	s.Step(0, []Event{Arrive{testRequest("r0", 0)}, Arrive{testRequest("r1", 0)}, Arrive{testRequest("r2", 0)}})
	a.State = resource.EndpointDrain
	s.Step(0, []Event{Configure{Endpoints: []resource.Endpoint{a, b}}})
	running := s.Status().Endpoints
	g.Expect(running[0].Reason).To(Equal("draining"))
	g.Expect(running[0].InFlight).To(Equal(1), "running requests continue")
	ended := s.endpoints.byName["a"]
	for _, x := range s.attempts.onEndpoint(ended) {
		s.Step(0, []Event{Started{ID: x.request.ID, Attempt: x.id}, Finished{ID: x.request.ID, Attempt: x.id}})
	}
	g.Expect(ended.inFlight).To(BeZero(), "a request waits, but not for the draining endpoint")
	b.State = resource.EndpointDrain
	out := refusals(s.Step(0, []Event{Configure{Endpoints: []resource.Endpoint{a, b}}}))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Code).To(Equal(result.NoEndpoint))
}

func TestSpillPrecedesShedding(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 1))
	s.Step(0, []Event{Remote{Domain: "x", Free: 1}})
	var out []Effect
	for i := range 40 {
		r := testRequest(fmt.Sprint(i), 1)
		r.Deadline = 5 * time.Second
		out = append(out, s.Step(0, []Event{Arrive{r}})...)
	}
	var spills []Spill
	for _, e := range out {
		if x, ok := e.(Spill); ok {
			spills = append(spills, x)
		}
	}
	g.Expect(spills).To(HaveLen(1), "the domain has one free slot")
	g.Expect(spills[0].Domain).To(Equal(ident.Domain("x")))
	shed := refusals(out)
	g.Expect(shed).NotTo(BeEmpty())
	g.Expect(shed[0].Code).To(Equal(result.ShedTier))
	g.Expect(shed[0].RetryAfter).To(BeNumerically(">=", time.Second))
}

func TestTeamsShareByWeight(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Pool: testPool})
	s.Step(0, []Event{Configure{
		Endpoints: []resource.Endpoint{testEndpoint("a", 1)},
		Teams:     []resource.Team{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}},
	}})
	var out []Effect
	for i := range 80 {
		r := testRequest(fmt.Sprint(i), 0)
		r.Team, r.Deadline = "large", time.Hour
		if i%2 == 0 {
			r.Team = "small"
		}
		out = append(out, s.Step(0, []Event{Arrive{r}})...)
	}
	served := map[ident.Team]int{}
	for range 41 {
		x := grants(out)[0]
		served[s.requests[x.ID].Team]++
		out = s.Step(0, completeGrant(x, 10*time.Millisecond, time.Second))
	}
	g.Expect(served["large"]).To(BeNumerically("~", 30, 2))
}

func TestTeamLimitLeavesSlotsToOthers(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Pool: testPool})
	s.Step(0, []Event{Configure{
		Endpoints: []resource.Endpoint{testEndpoint("a", 8)},
		Teams:     []resource.Team{{Name: "t", MaxInFlight: 1, MaxQueued: 1}, {Name: "u"}},
	}})
	other := testRequest("other", 1)
	other.Team = "u"
	out := s.Step(0, []Event{
		Arrive{testRequest("r0", 0)}, Arrive{testRequest("r1", 0)}, Arrive{other},
	})
	g.Expect(refusals(out)[0].Code).To(Equal(result.TeamLimit))
	g.Expect(grants(out)).To(HaveLen(2))
	out = s.Step(0, []Event{Arrive{testRequest("r2", 0)}})
	g.Expect(out).To(BeEmpty(), "the team's second request waits although slots are free")
}

func TestWindowFollowsPace(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 8))
	now := time.Duration(0)
	serve := func(n int, slow time.Duration) int {
		for i := range n {
			now += 500 * time.Millisecond
			r := testRequest(fmt.Sprint(now, i), 0)
			r.Deadline = now + time.Hour
			x := grants(s.Step(now, []Event{Arrive{r}}))[0]
			s.Step(now, completeGrant(x, slow*30*time.Millisecond, slow*530*time.Millisecond))
		}
		return s.Status().Endpoints[0].Window
	}
	g.Expect(serve(20, 1)).To(Equal(8))
	slowed := serve(20, 4)
	g.Expect(slowed).To(BeNumerically("<=", 4))
	g.Expect(serve(3, 1)).To(BeNumerically("<", 8), "it grows by one for each window of work at full speed")
	g.Expect(serve(150, 1)).To(Equal(8))
}

func TestServiceSpeedIsLearned(t *testing.T) {
	g := NewWithT(t)
	e := testEndpoint("a", 4)
	e.Type, e.PrefillRate, e.DecodeRate, e.CacheTokens = resource.EndpointService, 0, 0, 0
	s := newTestScheduler(e)
	for i := range 100 {
		now := time.Duration(i) * 5 * time.Second
		r := testRequest(fmt.Sprint(i), 0)
		r.Deadline = now + time.Minute
		x := grants(s.Step(now, []Event{Arrive{r}}))[0]
		s.Step(now, []Event{Started{ID: x.ID, Attempt: x.Attempt}, Finished{ID: x.ID, Attempt: x.Attempt, Total: 2 * time.Second}})
	}
	late := testRequest("late", 0)
	late.Deadline = 500*time.Second + time.Second
	out := refusals(s.Step(500*time.Second, []Event{Arrive{late}}))
	g.Expect(out).To(HaveLen(1), "a call of 2 s can't end within 1 s")
	g.Expect(out[0].Code).To(Equal(result.DeadlineTooNear))
}

func TestPrefixAffinity(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("a", 4), testEndpoint("b", 4))
	long := testRequest("first", 0)
	long.PromptTokens = 2000
	for i := range uint64(30) {
		long.Prefix = append(long.Prefix, i)
	}
	beside := grants(s.Step(0, []Event{Arrive{testRequest("beside", 0)}}))[0]
	x := grants(s.Step(0, []Event{Arrive{long}}))[0]
	g.Expect(x.Endpoint).NotTo(Equal(beside.Endpoint))
	s.Step(0, completeGrant(x, 200*time.Millisecond, time.Second))
	s.Step(0, completeGrant(beside, 20*time.Millisecond, time.Second))
	long.ID = "second"
	y := grants(s.Step(0, []Event{Arrive{long}}))[0]
	g.Expect(y.Endpoint).To(Equal(x.Endpoint))
	s.Step(0, []Event{CacheEvent{Endpoint: x.Endpoint, Evicted: long.Prefix}})
	g.Expect(s.blocks.MatchOne(s.endpoints.byName[x.Endpoint].number, long.Prefix)).To(BeZero())
}

// TestEndpointsOfOwnDomainAreFilledFirst checks that requests go to another failure
// domain only if their own has no free slot.
func TestEndpointsOfOwnDomainAreFilledFirst(t *testing.T) {
	g := NewWithT(t)
	far, near := testEndpoint("a", 2), testEndpoint("b", 2)
	for _, e := range []*resource.Endpoint{&far, &near} {
		e.Scope, e.SpeedsAssumed = "d", true
	}
	far.Domain, near.Domain = "far", "near"
	s := newTestScheduler(far, near)
	var placed []ident.Endpoint
	for i := range 3 {
		r := testRequest(string(rune('p'+i)), 0)
		r.Near = "near"
		for _, x := range grants(s.Step(0, []Event{Arrive{r}})) {
			placed = append(placed, x.Endpoint)
		}
	}
	g.Expect(placed).To(Equal([]ident.Endpoint{"b", "b", "a"}))
}
