package pool_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// loadTest runs a load on two engines of ten slots each. Requests occupy a slot for a
// time that depends on their tokens. The load exceeds the capacity for some seconds
// and is below it otherwise.
type loadTest struct {
	scheduler   *pool.Scheduler
	now         time.Duration
	completions completionHeap
	arrived     map[ident.Request]time.Duration
	first       map[ident.Request]time.Duration
	refused     map[ident.Request]time.Duration
	// reasons are those of all refusals.
	reasons []string
	tokens  map[ident.Request]int
	team    map[ident.Request]ident.Team
	// lengths returns the number of tokens of the n-th request, and teams its team.
	lengths func(n int) int
	teams   func(n int) ident.Team
	// near returns the failure domain of the n-th request's custodian; nil: unknown.
	near func(n int) ident.Domain
	// granted holds the endpoint of each request that was granted.
	granted map[ident.Request]ident.Endpoint
	// patience is how long callers wait for a first token; 0: until the deadline.
	patience time.Duration
	// rate is the speed of the engines in tokens per second.
	rate float64
}

type completion struct {
	at       time.Duration
	finished pool.Finished
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	burstSlots = 20
	// burstTokens is the length of an answer that takes one second.
	burstTokens    = 300
	burstObjective = 400 * time.Millisecond
	burstDeadline  = 12 * time.Second
	burstStart     = 5 * time.Second
	burstEnd       = 10 * time.Second
	burstRunTime   = 40 * time.Second
)

func newLoadTest() *loadTest {
	return newLoadTestIn("d", "d")
}

// newLoadTestIn returns a load test with one engine in each of the failure domains.
func newLoadTestIn(domains ...ident.Domain) *loadTest {
	l := &loadTest{
		scheduler: pool.New(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 1}),
		arrived:   map[ident.Request]time.Duration{}, first: map[ident.Request]time.Duration{},
		refused: map[ident.Request]time.Duration{}, tokens: map[ident.Request]int{}, team: map[ident.Request]ident.Team{},
		granted: map[ident.Request]ident.Endpoint{}, rate: burstTokens,
		lengths: func(int) int { return burstTokens }, teams: func(int) ident.Team { return "t" },
	}
	l.configure(100_000, 330, domains...)
	return l
}

// configure declares an engine in each of the failure domains with assumed speeds in
// tokens per second; 0: unknown.
func (l *loadTest) configure(prefill, decode float64, domains ...ident.Domain) {
	c := pool.Configure{Tiers: []resource.Tier{{Rank: 0}}, Teams: []resource.Team{{Name: "t"}, {Name: "flood"}}}
	for i, domain := range domains {
		c.Endpoints = append(c.Endpoints, resource.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("e%d", i)), Domain: domain, Scope: "d", Target: "m", Type: resource.EndpointEngine,
			State: resource.EndpointActive, Slots: burstSlots / 2, PrefillRate: prefill, DecodeRate: decode, SpeedsAssumed: true,
		})
	}
	l.step(c)
}

// step applies events and starts granted requests.
func (l *loadTest) step(events ...pool.Event) {
	var started []pool.Event
	for _, e := range l.scheduler.Step(l.now, events) {
		switch e := e.(type) {
		case pool.Grant:
			l.first[e.ID], l.granted[e.ID] = l.now, e.Endpoint
			started = append(started, pool.Started{ID: e.ID, Attempt: e.Attempt},
				pool.FirstToken{ID: e.ID, Attempt: e.Attempt, After: 25 * time.Millisecond})
			service := time.Duration(float64(l.tokens[e.ID]) / l.rate * float64(time.Second))
			heap.Push(&l.completions, completion{l.now + service, pool.Finished{
				ID: e.ID, Attempt: e.Attempt, Outcome: pool.OutcomeCompleted, CachedTokens: -1, OutputTokens: l.tokens[e.ID],
				FirstToken: 25 * time.Millisecond, Total: service,
			}})
		case pool.Refuse:
			l.refused[e.ID] = l.now
			l.reasons = append(l.reasons, e.Reason)
		}
	}
	if len(started) > 0 {
		l.step(started...)
	}
}

// run generates the load. perSecond returns the request rate at a time.
func (l *loadTest) run(objective bool, perSecond func(time.Duration) float64) {
	const tick = 5 * time.Millisecond
	owed, n := 0.0, 0
	for ; l.now < burstRunTime; l.now += tick {
		for len(l.completions) > 0 && l.completions[0].at <= l.now {
			l.step(heap.Pop(&l.completions).(completion).finished)
		}
		for owed += perSecond(l.now) * tick.Seconds(); owed >= 1; owed-- {
			n++
			r := pool.Request{
				ID: ident.Request(fmt.Sprintf("r%05d", n)), Host: "h", Team: l.teams(n), PromptTokens: 400, MaxTokens: l.lengths(n),
				ExpectedTokens: l.lengths(n), Deadline: l.now + burstDeadline,
			}
			l.tokens[r.ID], l.team[r.ID] = r.ExpectedTokens, r.Team
			if objective {
				r.FirstDue = l.now + burstObjective
			}
			if l.near != nil {
				r.Near = l.near(n)
			}
			if l.patience > 0 {
				r.Patience = l.now + l.patience
			}
			l.arrived[r.ID] = l.now
			l.step(pool.Arrive{Request: r})
		}
		l.step()
	}
}

// onTime returns the fraction of the requests that arrived in an interval and were
// served within the objective, and the fraction that was served at all.
func (l *loadTest) onTime(from, to time.Duration) (inTime, served float64) {
	var all, ok, any float64
	for id, at := range l.arrived {
		if at < from || at >= to {
			continue
		}
		all++
		if first, granted := l.first[id]; granted {
			any++
			if first-at <= burstObjective {
				ok++
			}
		}
	}
	return ok / all, any / all
}

// servedOf returns the fraction of the requests of a length that was served.
func (l *loadTest) servedOf(tokens int) float64 {
	var all, served float64
	for id := range l.arrived {
		if l.tokens[id] != tokens {
			continue
		}
		all++
		if _, ok := l.first[id]; ok {
			served++
		}
	}
	return served / all
}

// TestBurstDelaysNoLaterRequests guards against requests that are late because of an
// earlier burst: a queue ordered by deadlines serves every request late for as long as
// it drains.
func TestBurstDelaysNoLaterRequests(t *testing.T) {
	load := func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 1.8 * burstSlots
		}
		return 0.8 * burstSlots
	}
	g := NewWithT(t)
	plain, objective := newLoadTest(), newLoadTest()
	plain.run(false, load)
	objective.run(true, load)

	before, _ := plain.onTime(burstEnd, burstEnd+8*time.Second)
	after, served := objective.onTime(burstEnd, burstEnd+8*time.Second)
	t.Logf("after the burst: %.2f on time by deadlines alone, %.2f with objectives", before, after)
	g.Expect(before).To(BeNumerically("<", 0.5), "this load makes requests late if the queue is ordered by deadlines")
	g.Expect(after).To(BeNumerically(">=", 0.95))
	g.Expect(served).To(BeNumerically(">=", 0.95))

	inBurst, servedInBurst := objective.onTime(burstStart, burstEnd)
	t.Logf("in the burst: %.2f on time, %.2f served", inBurst, servedInBurst)
	g.Expect(inBurst).To(BeNumerically(">=", 0.5), "20 of 36 requests a second can be served in time")
	refusedLate := 0
	for id, at := range objective.refused {
		if at-objective.arrived[id] > burstObjective {
			refusedLate++
		}
	}
	t.Logf("%d of %d refused only after waiting longer than the objective", refusedLate, len(objective.refused))
	g.Expect(refusedLate).To(BeNumerically("<=", len(objective.arrived)/100), "requests are refused as soon as they are known to be too late")
}

// TestShortRequestsGoBeforeLongOnes runs a burst in which one request in ten takes
// more than half of the slot time, as is typical of the lengths of answers.
func TestShortRequestsGoBeforeLongOnes(t *testing.T) {
	g := NewWithT(t)
	const short, long = burstTokens / 5, 2 * burstTokens
	mean := (9*float64(short) + long) / 10 / burstTokens
	l := newLoadTest()
	l.lengths = func(n int) int {
		if n%10 == 0 {
			return long
		}
		return short
	}
	l.run(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 1.6 * burstSlots / mean
		}
		return 0.7 * burstSlots / mean
	})
	onTime, served := l.onTime(burstStart, burstEnd)
	t.Logf("in the burst: %.2f on time, %.2f served", onTime, served)
	g.Expect(onTime).To(BeNumerically(">=", 0.9), "all but the long ones, one in ten")
	g.Expect(served).To(BeNumerically(">=", 0.9), "nine in ten are short")
	longs := l.servedOf(long)
	_, all := l.onTime(0, burstRunTime)
	t.Logf("of the long ones %.2f are served, of all %.2f", longs, all)
	g.Expect(longs).To(BeNumerically(">=", all/2), "long requests don't starve")
}

// TestFloodOfOneTeamDelaysNoOtherTeam runs a team that sends five times what the slots
// can serve beside one that needs a quarter of them, which is less than its share.
func TestFloodOfOneTeamDelaysNoOtherTeam(t *testing.T) {
	g := NewWithT(t)
	l := newLoadTest()
	l.teams = func(n int) ident.Team {
		if n%21 == 0 {
			return "t"
		}
		return "flood"
	}
	l.run(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 5.25 * burstSlots
		}
		return 0.5 * burstSlots
	})
	var all, onTime float64
	for id, at := range l.arrived {
		if l.team[id] != "t" || at < burstStart || at >= burstEnd {
			continue
		}
		all++
		if first, granted := l.first[id]; granted && first-at <= burstObjective {
			onTime++
		}
	}
	g.Expect(onTime/all).To(BeNumerically(">=", 0.95), "of %v", all)
}

// TestRequestsDoNotOutwaitTheirCallers runs a burst with callers that disconnect if
// they have had no token for a while, long before their deadline. Requests that can't
// be served by then are refused as soon as that is known.
func TestRequestsDoNotOutwaitTheirCallers(t *testing.T) {
	g := NewWithT(t)
	l := newLoadTest()
	l.patience = 3 * time.Second
	l.run(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 2.5 * burstSlots
		}
		return 0.8 * burstSlots
	})
	afterCallerLeft, refusedLate := 0, 0
	for id, at := range l.first {
		if at-l.arrived[id] >= l.patience {
			afterCallerLeft++
		}
	}
	for _, reason := range l.reasons {
		g.Expect(reason).NotTo(ContainSubstring("held: "), "every endpoint suits the request")
	}
	for id, at := range l.refused {
		if at-l.arrived[id] > l.patience/2 {
			refusedLate++
		}
	}
	t.Logf("%d served after their caller left, %d of %d refused late, of %d", afterCallerLeft, refusedLate, len(l.refused), len(l.arrived))
	g.Expect(afterCallerLeft).To(BeZero())
	g.Expect(refusedLate).To(BeNumerically("<=", len(l.arrived)/100))
}

// TestLowTierKeepsItsFloor runs an overload of long requests of the highest tier, and
// short ones of a lower tier that need a twentieth of the slots.
func TestLowTierKeepsItsFloor(t *testing.T) {
	g := NewWithT(t)
	l := newLoadTest()
	n := 0
	var low []ident.Request
	arrive := func(rank, tokens int) {
		n++
		id := ident.Request(fmt.Sprintf("r%05d", n))
		if rank > 0 {
			low = append(low, id)
		}
		l.arrived[id], l.tokens[id] = l.now, tokens
		l.step(pool.Arrive{Request: pool.Request{
			ID: id, Host: "h", Team: "t", Rank: rank, PromptTokens: 100, MaxTokens: tokens, ExpectedTokens: tokens,
			FirstDue: l.now + burstObjective, Deadline: l.now + 3*time.Second,
		}})
	}
	for ; l.now < burstRunTime; l.now += 10 * time.Millisecond {
		for len(l.completions) > 0 && l.completions[0].at <= l.now {
			l.step(heap.Pop(&l.completions).(completion).finished)
		}
		if l.now%(30*time.Millisecond) == 0 {
			arrive(0, 300)
		}
		if l.now%time.Second == 0 {
			arrive(2, 20)
		}
		l.step()
	}
	served := 0
	for _, id := range low {
		if _, ok := l.first[id]; ok {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">=", len(low)*9/10), "of %d", len(low))
}

// TestRequestsStayInTheirDomain runs a steady load of long requests at 0.7 of the
// capacity, three fifths of it in one failure domain. Each domain keeps nearly all of
// its own requests, and no request is late because of that.
func TestRequestsStayInTheirDomain(t *testing.T) {
	g := NewWithT(t)
	const long = 3 * burstTokens
	l := newLoadTestIn("d0", "d1")
	l.lengths = func(int) int { return long }
	l.near = func(n int) ident.Domain {
		if n%5 < 3 {
			return "d0"
		}
		return "d1"
	}
	l.run(true, func(time.Duration) float64 { return 0.7 * burstSlots * burstTokens / long })
	far := 0
	for id, endpoint := range l.granted {
		var n int
		_, err := fmt.Sscanf(string(id), "r%d", &n)
		g.Expect(err).NotTo(HaveOccurred())
		if map[ident.Endpoint]ident.Domain{"e0": "d0", "e1": "d1"}[endpoint] != l.near(n) {
			far++
		}
	}
	onTime, _ := l.onTime(0, burstRunTime)
	t.Logf("%d of %d went to the other domain, %.2f on time", far, len(l.granted), onTime)
	g.Expect(far).To(BeNumerically("<=", len(l.granted)/20))
	g.Expect(onTime).To(BeNumerically(">=", 0.99))
}

// TestHeldRequestIsRefusedBeforeItsCallerLeaves has engines whose prefill is blocked
// by prompts that never produce a token. A request held for them is refused before its
// caller would disconnect.
func TestHeldRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	for _, late := range []bool{false, true} {
		g := NewWithT(t)
		l := newLoadTest()
		for n := range 3 {
			r := pool.Request{
				ID: ident.Request(fmt.Sprintf("long%d", n)), Host: "h", Team: "t", PromptTokens: 95_000,
				MaxTokens: burstTokens, ExpectedTokens: burstTokens, Deadline: time.Minute,
			}
			l.scheduler.Step(l.now, []pool.Event{pool.Arrive{Request: r}})
		}
		held := pool.Request{
			ID: "held", Host: "h", Team: "t", PromptTokens: 10_000, MaxTokens: burstTokens, ExpectedTokens: burstTokens,
			FirstDue: burstObjective, Patience: 3 * time.Second, Deadline: burstDeadline,
		}
		if late {
			held.FirstDue = time.Millisecond
		}
		var refused *pool.Refuse
		events := []pool.Event{pool.Arrive{Request: held}}
		for ; l.now < burstDeadline && refused == nil; l.now += 5 * time.Millisecond {
			for _, e := range l.scheduler.Step(l.now, events) {
				if e, ok := e.(pool.Refuse); ok && e.ID == "held" {
					refused = &e
				}
			}
			events = nil
		}
		g.Expect(refused).NotTo(BeNil(), "late %v", late)
		g.Expect(l.now).To(BeNumerically("<", held.Patience), "late %v", late)
		g.Expect(refused.Reason).To(ContainSubstring("held: "), "late %v", late)
	}
}
