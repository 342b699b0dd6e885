package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// fault is what is wrong in a simulated order.
type fault struct {
	name string
	// bad says that the version is at fault, so that it has to be rolled back.
	bad bool
	// fails and slows are the part of the answers that fail, and the factor of their time.
	fails, slowPart, slows float64
	// from is the part of the time limit after which the fault shows, load the part of the
	// usual load from which on it shows, and oneRoute limits it to a route.
	from, load float64
	oneRoute   bool
	firstOnly  bool
	hangs      bool
	// grey makes one endpoint of the baseline or of the candidates fail a part; -1 and 1.
	grey int
	// partition cuts a domain off for a while, and crash kills an endpoint of each version
	// and a third of the custodians.
	partition, crash bool
}

var faults = []fault{
	{name: "good"},
	{name: "grey baseline endpoint", fails: 0.3, grey: -1},
	{name: "grey candidate", fails: 0.3, grey: 1},
	{name: "slow grey candidate", slowPart: 1, slows: 5, grey: 1},
	{name: "partitioned domain", partition: true},
	{name: "crashes", crash: true},
	{name: "fails", bad: true, fails: 0.25},
	{name: "fails always", bad: true, fails: 1},
	{name: "fails later", bad: true, fails: 0.4, from: 0.5},
	{name: "fails under load", bad: true, fails: 0.5, load: 0.8},
	{name: "fails on one route", bad: true, fails: 0.5, oneRoute: true},
	{name: "slow", bad: true, slowPart: 1, slows: 4},
	{name: "slow first tokens", bad: true, slowPart: 1, slows: 4, firstOnly: true},
	{name: "slow in part", bad: true, slowPart: 0.4, slows: 5},
	{name: "slow later", bad: true, slowPart: 1, slows: 4, from: 0.5},
	{name: "slow under load", bad: true, slowPart: 1, slows: 4, load: 0.8},
	{name: "hangs", bad: true, slowPart: 0.5, hangs: true},
}

// simEndpoint is an endpoint of the simulation.
type simEndpoint struct {
	name      ident.Endpoint
	domain    ident.Domain
	candidate bool
	grey      bool
	slots     int
	inFlight  int
	speed     float64
	noisy     bool
	noiseSlot time.Duration
	downTo    time.Duration
}

// simEnd is the planned end of a run.
type simEnd struct {
	at     time.Duration
	sample Sample
	on     *simEndpoint
	sentAt time.Duration
	bad    bool
	lost   bool
}

type endHeap []*simEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*simEnd)) }
func (h *endHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// simulation plays one order at a pool.
type simulation struct {
	fault     fault
	random    *rand.Rand
	c         *Controller
	now       time.Duration
	limit     time.Duration
	endpoints []*simEndpoint
	routes    []float64
	domains   int
	// scatter is the standard deviation of the logarithm of the time that answers take.
	scatter float64
	// uneven says that the machines differ in speed.
	uneven bool
	rate   float64
	// usualLoad is the mean number of requests in flight at an endpoint.
	usualLoad float64
	waiting   int
	ends      endHeap
	cutFrom   time.Duration
	cutTo     time.Duration
	crashAt   time.Duration
	verdict   Verdict
	at        time.Duration
	// total and sent count requests, sentAt and badAt the times of the candidates' requests
	// and of their bad answers.
	total, sent int
	worst       float64
	badAt       []time.Duration
	lateSent    int
	lost        int
}

const patience = 8 * time.Second

func newSimulation(f fault, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 0xca9a))
	s := &simulation{fault: f, random: r, domains: 1 + r.IntN(3), limit: time.Duration(40+r.IntN(80)) * time.Second}
	slots, n := 3+r.IntN(6), 3+r.IntN(14)
	if f.grey != 0 || f.partition {
		n = max(n, 6)
	}
	if f.partition {
		s.domains = 3
	}
	s.uneven, s.scatter = r.IntN(2) == 0, []float64{0.3, 0.3, 0.8}[r.IntN(3)]
	for i := range 2 * n {
		e := &simEndpoint{
			name: ident.Endpoint(fmt.Sprintf("e%02d", i)), domain: ident.Domain(fmt.Sprint(i % s.domains)),
			candidate: i >= n, slots: slots, speed: 1,
		}
		e.grey = f.grey < 0 && i == 0 || f.grey > 0 && i == n
		if s.uneven && i < n {
			e.speed = []float64{0.55, 1, 1, 1, 2.8}[r.IntN(5)]
		}
		s.endpoints = append(s.endpoints, e)
	}
	// The new endpoints run on machines of the same speeds as the old ones.
	for i, j := range r.Perm(n) {
		s.endpoints[n+i].speed = s.endpoints[j].speed
	}
	mean := 0.0
	for range 1 + r.IntN(5) {
		t := math.Exp(-3 + 2.5*r.Float64())
		s.routes = append(s.routes, t)
		mean += t
	}
	mean /= float64(len(s.routes))
	s.rate = min(250, (0.45+0.25*r.Float64())*float64(n*slots)/mean)
	s.usualLoad = s.rate * mean / float64(n)
	s.cutFrom = time.Duration((0.2 + 0.4*r.Float64()) * float64(s.limit))
	s.cutTo, s.crashAt = s.cutFrom+10*time.Second, s.cutFrom
	s.c = NewController(0, Status{
		Order: Order{ID: 1, Target: "m", Version: "2", Duration: s.limit}, Known: true, Confirmed: true,
	}, Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second})
	return s
}

// load returns the state of the pool.
func (s *simulation) load() *Load {
	l := &Load{Waiting: s.waiting}
	for _, e := range s.endpoints {
		if e.candidate {
			l.CandidateInFlight += e.inFlight
			l.Candidates = append(l.Candidates, Candidate{e.name, e.domain, e.slots, s.now >= e.downTo})
			continue
		}
		l.BaselineInFlight += e.inFlight
		l.Baseline++
		l.BaselineSlots += e.slots
	}
	return l
}

// choose returns the endpoint for a request, as a pool's scheduler does.
func (s *simulation) choose(l *Load) *simEndpoint {
	var best *simEndpoint
	busy := float64(l.BaselineInFlight) / float64(l.BaselineSlots)
	moved := s.c.Phase() == Moved || s.c.Phase() == Finished
	for _, e := range s.endpoints {
		limit := e.slots
		switch {
		case s.now < e.downTo, e.candidate && (!s.c.Open(s.now) || !s.c.Chosen(e.name)), !e.candidate && moved:
			continue
		case e.candidate && s.c.Phase() == Watching:
			limit = BusyLimit(busy, e.slots)
		}
		if e.inFlight >= limit {
			continue
		}
		better := best == nil || e.candidate && !best.candidate ||
			e.candidate == best.candidate && float64(e.inFlight)/e.speed < float64(best.inFlight)/best.speed
		if better {
			best = e
		}
	}
	return best
}

// faulty reports whether the fault shows in a run.
func (s *simulation) faulty(e *simEndpoint, route int) bool {
	f := s.fault
	return (f.bad && e.candidate || e.grey) && float64(s.now) >= f.from*float64(s.limit) &&
		float64(e.inFlight+1) >= f.load*s.usualLoad && (!f.oneRoute || route == 0)
}

// dispatch runs a request.
func (s *simulation) dispatch(e *simEndpoint) {
	r := s.random
	route, near := r.IntN(len(s.routes)), ident.Domain(fmt.Sprint(r.IntN(s.domains)))
	if slot := s.now / (600 * time.Millisecond); slot != e.noiseSlot {
		e.noiseSlot, e.noisy = slot, r.IntN(7) == 0
	}
	took := s.routes[route] * math.Exp(s.scatter*r.NormFloat64()) / e.speed
	if e.noisy {
		took *= 2.5
	}
	x := Sample{Candidate: e.candidate, Endpoint: e.name, Route: uint64(route + 1), Domain: e.domain, Local: near == e.domain}
	first := took / 4
	end := &simEnd{on: e, sentAt: s.now}
	if s.faulty(e, route) {
		switch slow := r.Float64() < s.fault.slowPart; {
		case r.Float64() < s.fault.fails:
			x.Failed, end.bad = true, true
			took *= r.Float64()
		case slow && s.fault.hangs:
			took, first, end.bad = patience.Seconds(), patience.Seconds(), true
		case slow:
			took += (s.fault.slows - 1) * first
			first *= s.fault.slows
			if !s.fault.firstOnly {
				took *= s.fault.slows
			}
			end.bad = true
		}
	}
	if s.fault.partition && s.now >= s.cutFrom && s.now < s.cutTo && !x.Local && (e.domain == "0" || near == "0") {
		x.Failed, x.Broken, took = true, true, took/2
	}
	if took > patience.Seconds() {
		took, x.Cut = patience.Seconds(), true
	}
	x.First, x.Total, x.Took = first, took, time.Duration(took*float64(time.Second))
	end.sample, end.at = x, s.now+x.Took
	e.inFlight++
	heap.Push(&s.ends, end)
	s.c.CountGrant(e.candidate, true)
	s.total++
	if e.candidate {
		s.sent++
		s.worst = max(s.worst, float64(s.sent)-0.1*float64(s.total))
		if len(s.badAt) >= 50 && s.now > s.badAt[49]+5*time.Second {
			s.lateSent++
		}
	}
}

// crash kills one endpoint of each version and the custodians of a third of the runs.
func (s *simulation) crash() {
	n := len(s.endpoints) / 2
	down := map[*simEndpoint]bool{s.endpoints[0]: true, s.endpoints[n]: true}
	for e := range down {
		e.downTo = s.now + 5*time.Second
	}
	for _, x := range s.ends {
		if down[x.on] && !x.lost {
			x.at, x.sample.Failed, x.sample.Broken = s.now, true, true
		}
		x.lost = x.lost || s.random.IntN(3) == 0
	}
	heap.Init(&s.ends)
}

// run plays the order to its limit or to its decision.
func (s *simulation) run() {
	next, tick := s.now, s.now
	for s.now < s.limit && s.verdict.State == Running {
		s.now = min(next, tick)
		if len(s.ends) > 0 {
			s.now = min(s.now, s.ends[0].at)
		}
		switch {
		case len(s.ends) > 0 && s.ends[0].at == s.now:
			x := heap.Pop(&s.ends).(*simEnd)
			x.on.inFlight--
			if !x.lost {
				s.c.Observe(s.now, &x.sample)
			}
			if x.bad && x.on.candidate {
				s.badAt = append(s.badAt, s.now)
			}
		case s.now == next:
			s.waiting++
			next += time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
		default:
			tick += 250 * time.Millisecond
			if s.fault.crash && s.crashAt > 0 && s.now >= s.crashAt {
				s.crashAt = 0
				s.crash()
			}
			if v, decided := s.c.Tick(s.now, s.load()); decided {
				s.verdict, s.at = v, s.now
			}
		}
		for s.waiting > 0 {
			e := s.choose(s.load())
			if e == nil {
				break
			}
			s.waiting--
			s.dispatch(e)
		}
	}
	if s.verdict.State == Completed {
		s.lost = s.load().BaselineInFlight
	}
}

// TestDecisions guards against rolling good versions back and completing bad ones, and against
// too many requests at a bad version. Of each kind of mistake, allowed is the part that is
// accepted. Where machines are as fast as each other, the bounds on the requests hold always;
// where their speeds differ fivefold, a slow version may look like a few slow machines.
func TestDecisions(t *testing.T) {
	const seeds, allowed = 20, 0.02
	var good, goodUndone, bad, badDone, late, lost int
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSimulation(f, seed)
				s.run()
				if !f.bad {
					good++
					lost += s.lost
					if s.verdict.State != Completed {
						goodUndone++
						t.Logf("seed %d at %v of %v: not completed: %+v", seed, s.at, s.limit, s.verdict)
					}
					continue
				}
				bad++
				if s.verdict.State != RolledBack {
					badDone++
					t.Logf("seed %d: not rolled back: %+v", seed, s.verdict)
				}
				if s.worst <= 50 && s.lateSent == 0 {
					continue
				}
				late++
				t.Logf("seed %d at %v of %v: %.0f requests beyond the share, %d sent later than 5 s after the 50th bad answer: %+v",
					seed, s.at, s.limit, s.worst, s.lateSent, s.verdict)
				if !s.uneven {
					t.Errorf("seed %d: too many requests", seed)
				}
			}
		})
	}
	t.Logf("good versions not completed: %d of %d, bad ones not rolled back: %d of %d, or too late: %d; runs lost: %d",
		goodUndone, good, badDone, bad, late, lost)
	g := NewWithT(t)
	g.Expect(float64(goodUndone) / float64(good)).To(BeNumerically("<=", allowed))
	g.Expect(float64(badDone) / float64(bad)).To(BeNumerically("<=", allowed))
	g.Expect(float64(late) / float64(bad)).To(BeNumerically("<=", allowed))
	g.Expect(lost).To(BeZero())
}
