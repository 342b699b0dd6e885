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

// burst is a load on two engines of ten slots each: requests that take a slot for as
// long as their tokens say, more than the slots can serve for some seconds and then less.
type burst struct {
	scheduler *pool.Scheduler
	now       time.Duration
	ends      endHeap
	arrived   map[ident.Request]time.Duration
	first     map[ident.Request]time.Duration
	refused   map[ident.Request]time.Duration
	// reasons are those of all refusals.
	reasons []string
	tokens  map[ident.Request]int
	team    map[ident.Request]ident.Team
	// lengths returns the tokens of the n-th request, teams its team.
	lengths func(n int) int
	teams   func(n int) ident.Team
	// near returns the failure domain of the n-th request's custodian; nil: none is told.
	near func(n int) ident.Domain
	// granted holds the endpoint of each request that was served.
	granted map[ident.Request]ident.Endpoint
	// patience is how long callers wait for a first token; 0: until their limit.
	patience time.Duration
	// rate is the speed of the engines in tokens a second.
	rate float64
}

type end struct {
	at       time.Duration
	finished pool.Finished
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	burstSlots = 20
	// burstTokens is the length of an answer that takes a slot for a second.
	burstTokens    = 300
	burstObjective = 400 * time.Millisecond
	burstLimit     = 12 * time.Second
	burstStart     = 5 * time.Second
	burstEnd       = 10 * time.Second
	burstOver      = 40 * time.Second
)

func newBurst() *burst {
	return newBurstIn("d", "d")
}

// newBurstIn has an engine in each of some failure domains.
func newBurstIn(domains ...ident.Domain) *burst {
	b := &burst{
		scheduler: pool.New(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 1}),
		arrived:   map[ident.Request]time.Duration{}, first: map[ident.Request]time.Duration{},
		refused: map[ident.Request]time.Duration{}, tokens: map[ident.Request]int{}, team: map[ident.Request]ident.Team{},
		granted: map[ident.Request]ident.Endpoint{}, rate: burstTokens,
		lengths: func(int) int { return burstTokens }, teams: func(int) ident.Team { return "t" },
	}
	b.configure(100_000, 330, domains...)
	return b
}

// configure declares an engine in each of some failure domains, with speeds in tokens a
// second that are assumed of them; 0: nothing is known.
func (b *burst) configure(prefill, decode float64, domains ...ident.Domain) {
	c := pool.Configure{Tiers: []resource.Tier{{Rank: 0}}, Teams: []resource.Team{{Name: "t"}, {Name: "flood"}}}
	for i, domain := range domains {
		c.Endpoints = append(c.Endpoints, resource.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("e%d", i)), Domain: domain, Scope: "d", Target: "m", Type: resource.EndpointEngine,
			State: resource.EndpointActive, Slots: burstSlots / 2, PrefillRate: prefill, DecodeRate: decode, SpeedsAssumed: true,
		})
	}
	b.step(c)
}

// step takes events and lets granted requests run.
func (b *burst) step(events ...pool.Event) {
	var started []pool.Event
	for _, e := range b.scheduler.Step(b.now, events) {
		switch e := e.(type) {
		case pool.Grant:
			b.first[e.ID], b.granted[e.ID] = b.now, e.Endpoint
			started = append(started, pool.Started{ID: e.ID, Attempt: e.Attempt},
				pool.FirstToken{ID: e.ID, Attempt: e.Attempt, After: 25 * time.Millisecond})
			service := time.Duration(float64(b.tokens[e.ID]) / b.rate * float64(time.Second))
			heap.Push(&b.ends, end{b.now + service, pool.Finished{
				ID: e.ID, Attempt: e.Attempt, Outcome: pool.OutcomeCompleted, CachedTokens: -1, OutputTokens: b.tokens[e.ID],
				FirstToken: 25 * time.Millisecond, Total: service,
			}})
		case pool.Refuse:
			b.refused[e.ID] = b.now
			b.reasons = append(b.reasons, e.Reason)
		}
	}
	if len(started) > 0 {
		b.step(started...)
	}
}

// play offers the load. perSecond is the rate at a time.
func (b *burst) play(objective bool, perSecond func(time.Duration) float64) {
	const tick = 5 * time.Millisecond
	owed, n := 0.0, 0
	for ; b.now < burstOver; b.now += tick {
		for len(b.ends) > 0 && b.ends[0].at <= b.now {
			b.step(heap.Pop(&b.ends).(end).finished)
		}
		for owed += perSecond(b.now) * tick.Seconds(); owed >= 1; owed-- {
			n++
			r := pool.Request{
				ID: ident.Request(fmt.Sprintf("r%05d", n)), Host: "h", Team: b.teams(n), PromptTokens: 400, MaxTokens: b.lengths(n),
				ExpectedTokens: b.lengths(n), Deadline: b.now + burstLimit,
			}
			b.tokens[r.ID], b.team[r.ID] = r.ExpectedTokens, r.Team
			if objective {
				r.FirstDue = b.now + burstObjective
			}
			if b.near != nil {
				r.Near = b.near(n)
			}
			if b.patience > 0 {
				r.Patience = b.now + b.patience
			}
			b.arrived[r.ID] = b.now
			b.step(pool.Arrive{Request: r})
		}
		b.step()
	}
}

// onTime returns the part of the requests that came in a span and were served within
// the objective, and the part that were served at all.
func (b *burst) onTime(from, to time.Duration) (inTime, served float64) {
	var all, ok, any float64
	for id, at := range b.arrived {
		if at < from || at >= to {
			continue
		}
		all++
		if first, granted := b.first[id]; granted {
			any++
			if first-at <= burstObjective {
				ok++
			}
		}
	}
	return ok / all, any / all
}

// servedOf returns the part of the requests of a length that were served.
func (b *burst) servedOf(tokens int) float64 {
	var all, served float64
	for id := range b.arrived {
		if b.tokens[id] != tokens {
			continue
		}
		all++
		if _, ok := b.first[id]; ok {
			served++
		}
	}
	return served / all
}

// TestBurstMakesNobodyLateAfterIt plays the load that decision 106 answers: after the
// burst, a queue in order of deadlines serves everybody late for as long as it drains.
func TestBurstMakesNobodyLateAfterIt(t *testing.T) {
	load := func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 1.8 * burstSlots
		}
		return 0.8 * burstSlots
	}
	g := NewWithT(t)
	plain, objective := newBurst(), newBurst()
	plain.play(false, load)
	objective.play(true, load)

	before, _ := plain.onTime(burstEnd, burstEnd+8*time.Second)
	after, served := objective.onTime(burstEnd, burstEnd+8*time.Second)
	t.Logf("after the burst: %.2f on time by deadlines alone, %.2f with objectives", before, after)
	g.Expect(before).To(BeNumerically("<", 0.5), "the load is one that makes a queue late")
	g.Expect(after).To(BeNumerically(">=", 0.95))
	g.Expect(served).To(BeNumerically(">=", 0.95))

	inBurst, servedInBurst := objective.onTime(burstStart, burstEnd)
	t.Logf("in the burst: %.2f on time, %.2f served", inBurst, servedInBurst)
	g.Expect(inBurst).To(BeNumerically(">=", 0.5), "20 of 36 a second can be")
	held := 0
	for id, at := range objective.refused {
		if at-objective.arrived[id] > burstObjective {
			held++
		}
	}
	t.Logf("%d of %d refused only after they had waited as late ones", held, len(objective.refused))
	g.Expect(held).To(BeNumerically("<=", len(objective.arrived)/100), "who is given up on is told so when that is known")
}

// TestShortRequestsGoBeforeLongOnes plays a burst in which one request in ten takes more
// than half of the slot time, as lengths of answers are spread.
func TestShortRequestsGoBeforeLongOnes(t *testing.T) {
	g := NewWithT(t)
	const short, long = burstTokens / 5, 2 * burstTokens
	mean := (9*float64(short) + long) / 10 / burstTokens
	b := newBurst()
	b.lengths = func(n int) int {
		if n%10 == 0 {
			return long
		}
		return short
	}
	b.play(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 1.6 * burstSlots / mean
		}
		return 0.7 * burstSlots / mean
	})
	onTime, served := b.onTime(burstStart, burstEnd)
	t.Logf("in the burst: %.2f on time, %.2f served", onTime, served)
	g.Expect(onTime).To(BeNumerically(">=", 0.9), "all but the long ones, one in ten")
	g.Expect(served).To(BeNumerically(">=", 0.9), "nine in ten are short")
	longs := b.servedOf(long)
	_, all := b.onTime(0, burstOver)
	t.Logf("of the long ones %.2f are served, of all %.2f", longs, all)
	g.Expect(longs).To(BeNumerically(">=", all/2), "long requests don't starve")
}

// TestAFloodOfOneTeamMakesNoOtherLate plays a team that sends five times what the slots
// can serve beside one that needs a quarter of them, less than its share.
func TestAFloodOfOneTeamMakesNoOtherLate(t *testing.T) {
	g := NewWithT(t)
	b := newBurst()
	b.teams = func(n int) ident.Team {
		if n%21 == 0 {
			return "t"
		}
		return "flood"
	}
	b.play(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 5.25 * burstSlots
		}
		return 0.5 * burstSlots
	})
	var all, onTime float64
	for id, at := range b.arrived {
		if b.team[id] != "t" || at < burstStart || at >= burstEnd {
			continue
		}
		all++
		if first, granted := b.first[id]; granted && first-at <= burstObjective {
			onTime++
		}
	}
	g.Expect(onTime/all).To(BeNumerically(">=", 0.95), "of %v", all)
}

// TestNobodyWaitsLongerThanItsCallerStays plays a burst with callers who leave when they
// have had no token for a while, long before their limit: what can't be served by then
// is refused as soon as that is known.
func TestNobodyWaitsLongerThanItsCallerStays(t *testing.T) {
	g := NewWithT(t)
	b := newBurst()
	b.patience = 3 * time.Second
	b.play(true, func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return 2.5 * burstSlots
		}
		return 0.8 * burstSlots
	})
	inVain, held := 0, 0
	for id, at := range b.first {
		if at-b.arrived[id] >= b.patience {
			inVain++
		}
	}
	for _, reason := range b.reasons {
		g.Expect(reason).NotTo(ContainSubstring("held: "), "every endpoint suits it")
	}
	for id, at := range b.refused {
		if at-b.arrived[id] > b.patience/2 {
			held++
		}
	}
	t.Logf("%d served in vain, %d of %d refused late, of %d", inVain, held, len(b.refused), len(b.arrived))
	g.Expect(inVain).To(BeZero())
	g.Expect(held).To(BeNumerically("<=", len(b.arrived)/100))
}

// TestLowTierKeepsItsFloor plays an overload of long requests of the highest tier, and
// short ones of a lower tier that would take a twentieth of the slots.
func TestLowTierKeepsItsFloor(t *testing.T) {
	g := NewWithT(t)
	b := newBurst()
	n := 0
	var low []ident.Request
	arrive := func(rank, tokens int) {
		n++
		id := ident.Request(fmt.Sprintf("r%05d", n))
		if rank > 0 {
			low = append(low, id)
		}
		b.arrived[id], b.tokens[id] = b.now, tokens
		b.step(pool.Arrive{Request: pool.Request{
			ID: id, Host: "h", Team: "t", Rank: rank, PromptTokens: 100, MaxTokens: tokens, ExpectedTokens: tokens,
			FirstDue: b.now + burstObjective, Deadline: b.now + 3*time.Second,
		}})
	}
	for ; b.now < burstOver; b.now += 10 * time.Millisecond {
		for len(b.ends) > 0 && b.ends[0].at <= b.now {
			b.step(heap.Pop(&b.ends).(end).finished)
		}
		if b.now%(30*time.Millisecond) == 0 {
			arrive(0, 300)
		}
		if b.now%time.Second == 0 {
			arrive(2, 20)
		}
		b.step()
	}
	served := 0
	for _, id := range low {
		if _, ok := b.first[id]; ok {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">=", len(low)*9/10), "of %d", len(low))
}

// TestDomainsKeepTheirOwn plays a steady load of long requests, 0.7 of what the slots can
// serve, of which one failure domain has three fifths: each keeps nearly all of its own,
// and nobody is late for it.
func TestDomainsKeepTheirOwn(t *testing.T) {
	g := NewWithT(t)
	const long = 3 * burstTokens
	b := newBurstIn("d0", "d1")
	b.lengths = func(int) int { return long }
	b.near = func(n int) ident.Domain {
		if n%5 < 3 {
			return "d0"
		}
		return "d1"
	}
	b.play(true, func(time.Duration) float64 { return 0.7 * burstSlots * burstTokens / long })
	far := 0
	for id, endpoint := range b.granted {
		var n int
		_, err := fmt.Sscanf(string(id), "r%d", &n)
		g.Expect(err).NotTo(HaveOccurred())
		if map[ident.Endpoint]ident.Domain{"e0": "d0", "e1": "d1"}[endpoint] != b.near(n) {
			far++
		}
	}
	onTime, _ := b.onTime(0, burstOver)
	t.Logf("%d of %d went to the other domain, %.2f on time", far, len(b.granted), onTime)
	g.Expect(far).To(BeNumerically("<=", len(b.granted)/20))
	g.Expect(onTime).To(BeNumerically(">=", 0.99))
}

// TestHeldRequestIsRefusedBeforeItsCallerLeaves has an engine whose prefill is full with
// a prompt that brings no token: what is held for it ends as soon as its caller would leave.
func TestHeldRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	for _, late := range []bool{false, true} {
		g := NewWithT(t)
		b := newBurst()
		for n := range 3 {
			r := pool.Request{
				ID: ident.Request(fmt.Sprintf("long%d", n)), Host: "h", Team: "t", PromptTokens: 95_000,
				MaxTokens: burstTokens, ExpectedTokens: burstTokens, Deadline: time.Minute,
			}
			b.scheduler.Step(b.now, []pool.Event{pool.Arrive{Request: r}})
		}
		held := pool.Request{
			ID: "held", Host: "h", Team: "t", PromptTokens: 10_000, MaxTokens: burstTokens, ExpectedTokens: burstTokens,
			FirstDue: burstObjective, Patience: 3 * time.Second, Deadline: burstLimit,
		}
		if late {
			held.FirstDue = time.Millisecond
		}
		var refused *pool.Refuse
		events := []pool.Event{pool.Arrive{Request: held}}
		for ; b.now < burstLimit && refused == nil; b.now += 5 * time.Millisecond {
			for _, e := range b.scheduler.Step(b.now, events) {
				if e, ok := e.(pool.Refuse); ok && e.ID == "held" {
					refused = &e
				}
			}
			events = nil
		}
		g.Expect(refused).NotTo(BeNil(), "late %v", late)
		g.Expect(b.now).To(BeNumerically("<", held.Patience), "late %v", late)
		g.Expect(refused.Reason).To(ContainSubstring("held: "), "late %v", late)
	}
}
