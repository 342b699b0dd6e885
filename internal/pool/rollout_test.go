package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// rolloutWorld plays the requests of a pool with an order against one or several schedulers.
type rolloutWorld struct {
	random     *rand.Rand
	now        time.Duration
	order      rollout.Order
	schedulers []*Scheduler
	endpoints  []resource.Endpoint
	versions   map[ident.Endpoint]string
	ends       []rolloutEnd
	running    map[ident.Endpoint]int
	// failing is the part of the answers of version 2 that fail, slow the factor of their
	// time, and hanging the part that never ends.
	failing, slow, hanging float64
	// engine makes the endpoints engines, with requests of different length.
	engine bool
	// state is the decision in the store. unknown and unreachable say that the schedulers
	// have not read the order's rows, or can't reach the store.
	state                rollout.State
	unknown, unreachable bool
	told                 time.Duration
	verdicts             []rollout.Verdict
	steps                []RolloutStep
	// total and candidate count the requests that reached the target and the candidates,
	// worst is the most that candidates had beyond the share, and busy the requests that the
	// baseline ran when completed.
	total, candidate int
	worst            float64
	busy             int
}

type rolloutEnd struct {
	at        time.Duration
	scheduler int
	event     Finished
	endpoint  ident.Endpoint
}

func newRolloutWorld(schedulers, baseline, candidates int, engine bool) *rolloutWorld {
	w := &rolloutWorld{
		engine: engine,
		random: rand.New(rand.NewPCG(1, 2)), versions: map[ident.Endpoint]string{}, running: map[ident.Endpoint]int{},
		order: rollout.Order{ID: 1, Target: "m", Version: "2", Duration: 60 * time.Second},
	}
	for i := range baseline + candidates {
		e := testEndpoint(fmt.Sprintf("e%02d", i), 4)
		e.Version, e.DecodeRate = "1", 400
		if !engine {
			e.Type, e.PrefillRate, e.DecodeRate = resource.EndpointService, 0, 10
		}
		if i >= baseline {
			e.Version = "2"
		}
		w.endpoints = append(w.endpoints, e)
		w.versions[e.Name] = e.Version
	}
	for i := range schedulers {
		w.add(uint64(i + 1))
	}
	return w
}

// add starts a scheduler.
func (w *rolloutWorld) add(epoch uint64) {
	s := New(Config{Pool: testPool, Epoch: epoch})
	w.schedulers = append(w.schedulers, s)
	w.step(len(w.schedulers)-1, Configure{Revision: 1, Endpoints: w.endpoints}, w.status())
}

func (w *rolloutWorld) status() RolloutChanged {
	return RolloutChanged{
		Active: true, Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
		Status: rollout.Status{Order: w.order, State: w.state, Elapsed: w.now, Known: !w.unknown, Confirmed: !w.unreachable},
	}
}

// tell tells all schedulers the order's status.
func (w *rolloutWorld) tell() {
	for i := range w.schedulers {
		w.step(i, w.status())
	}
}

func (w *rolloutWorld) step(scheduler int, events ...Event) {
	for _, e := range w.schedulers[scheduler].Step(w.now, events) {
		switch e := e.(type) {
		case Grant:
			w.granted(scheduler, e)
		case RolloutDecided:
			w.verdicts = append(w.verdicts, e.Verdict)
			if w.state == rollout.Running && !w.unreachable {
				w.state, w.told = e.Verdict.State, w.now+time.Second
				for name, n := range w.running {
					if w.versions[name] == "1" {
						w.busy += n
					}
				}
			}
		case RolloutStep:
			w.steps = append(w.steps, e)
		}
	}
}

// granted runs a request for some time.
func (w *rolloutWorld) granted(scheduler int, e Grant) {
	w.total++
	took, candidate := time.Duration((0.05+0.1*w.random.Float64())*float64(time.Second)), w.versions[e.Endpoint] == "2"
	f := Finished{ID: e.ID, Attempt: e.Attempt, Generated: true, Answered: true, CachedTokens: -1}
	if w.engine {
		f.OutputTokens = 5 + w.random.IntN(100)
		f.FirstToken = 30 * time.Millisecond
		took = f.FirstToken + time.Duration(f.OutputTokens)*2*time.Millisecond
	}
	switch {
	case candidate && w.random.Float64() < w.hanging:
		took = 9 * time.Second
		f.Outcome, f.Generated, f.Answered = OutcomeCanceled, false, false
	case candidate && w.slow > 0:
		took = time.Duration(w.slow * float64(took))
		f.FirstToken = time.Duration(w.slow * float64(f.FirstToken))
	}
	f.Total = took
	end := rolloutEnd{w.now + took, scheduler, f, e.Endpoint}
	if candidate {
		w.candidate++
		w.worst = max(w.worst, float64(w.candidate)-0.1*float64(w.total))
		if w.random.Float64() < w.failing {
			end.event.Outcome, end.event.Generated = OutcomeFailed, false
		}
	}
	w.running[e.Endpoint]++
	i, _ := slices.BinarySearchFunc(w.ends, end, func(a, b rolloutEnd) int { return cmp.Compare(a.at, b.at) })
	w.ends = slices.Insert(w.ends, i, end)
	w.step(scheduler, Started{ID: e.ID, Attempt: e.Attempt})
	if w.engine {
		w.step(scheduler, FirstToken{ID: e.ID, Attempt: e.Attempt, After: f.FirstToken})
	}
}

// play lets 100 requests per second arrive until a time.
func (w *rolloutWorld) play(until time.Duration) {
	const interval = 10 * time.Millisecond
	for ; w.now < until; w.now += interval {
		for len(w.ends) > 0 && w.ends[0].at <= w.now {
			x := w.ends[0]
			w.ends = w.ends[1:]
			w.running[x.endpoint]--
			w.step(x.scheduler, x.event)
		}
		if w.told > 0 && w.now >= w.told {
			w.told = 0
			w.tell()
		}
		i := w.random.IntN(len(w.schedulers))
		r := testRequest(fmt.Sprint("r", w.now), 0)
		r.Route, r.Deadline = uint64(1+w.random.IntN(3)), w.now+10*time.Second
		w.step(i, Arrive{r})
		for i := range w.schedulers {
			w.step(i)
		}
	}
}

// TestRolloutEffect guards the effect of an order on grants: the bound on the requests of a
// version that is not judged, the move of a good one and the end of a bad one, with one and
// two schedulers, a takeover and an unreachable store.
func TestRolloutEffect(t *testing.T) {
	for _, c := range []struct {
		name                             string
		schedulers, baseline, candidates int
		failing, slow, hanging           float64
		engine                           bool
		play                             func(*rolloutWorld)
		want                             rollout.State
		// judged says that the version was judged good before the end, so that it may get
		// more than its share; most bounds the requests of candidates otherwise.
		judged bool
		most   int
	}{
		{name: "good", schedulers: 1, baseline: 6, candidates: 6, want: rollout.Completed, judged: true},
		{name: "failing", schedulers: 1, baseline: 6, candidates: 6, failing: 0.5, want: rollout.RolledBack, most: 60},
		{name: "failing, two schedulers", schedulers: 2, baseline: 6, candidates: 6, failing: 0.5, want: rollout.RolledBack, most: 100},
		{name: "hanging", schedulers: 1, baseline: 6, candidates: 6, hanging: 0.5, want: rollout.RolledBack, most: 60},
		{name: "slow", schedulers: 1, baseline: 6, candidates: 6, slow: 4, want: rollout.RolledBack, most: 60},
		{name: "good engines", schedulers: 1, baseline: 6, candidates: 6, engine: true, want: rollout.Completed, judged: true},
		{name: "slow engines", schedulers: 1, baseline: 6, candidates: 6, engine: true, slow: 4, want: rollout.RolledBack, most: 60},
		{name: "no slack after a takeover", schedulers: 1, baseline: 6, candidates: 6, want: rollout.Running, most: 320, play: func(w *rolloutWorld) {
			w.play(20 * time.Second)
			w.schedulers = nil
			w.ends = nil
			w.unknown = true
			w.total, w.candidate, w.worst = 0, 0, 0
			w.add(2)
			before := w.candidate
			w.play(22 * time.Second)
			if w.candidate != before {
				t.Error("candidates got requests before the order's rows were read")
			}
			w.unknown = false
			w.tell()
			w.play(40 * time.Second)
			if w.worst > 1 {
				t.Errorf("%.0f requests beyond the share after a takeover", w.worst)
			}
		}},
		{name: "the share does not grow without the store", schedulers: 1, baseline: 6, candidates: 6, want: rollout.RolledBack, most: 660, play: func(w *rolloutWorld) {
			w.play(30 * time.Second)
			w.unreachable = true
			w.tell()
			w.play(65 * time.Second)
			w.unreachable = false
			w.tell()
			w.play(70 * time.Second)
		}},
		{name: "too few new endpoints", schedulers: 1, baseline: 6, candidates: 1, want: rollout.RolledBack, judged: true, play: func(w *rolloutWorld) {
			// More requests than one endpoint can run.
			w.play(10 * time.Second)
			for range 8 {
				w.step(0, Arrive{testRequest(fmt.Sprint("x", w.total), 0)})
			}
			w.play(70 * time.Second)
		}},
		{name: "already in force", schedulers: 1, candidates: 6, want: rollout.Completed, judged: true},
		{name: "no endpoint", schedulers: 1, baseline: 6, want: rollout.RolledBack},
		{name: "replaced", schedulers: 1, baseline: 6, candidates: 6, failing: 1, want: rollout.RolledBack, most: 120, play: func(w *rolloutWorld) {
			w.play(10 * time.Second)
			w.state, w.order.ID, w.order.Duration = rollout.Running, 2, 70*time.Second
			w.tell()
			w.play(30 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newRolloutWorld(c.schedulers, c.baseline, c.candidates, c.engine)
			w.failing, w.slow, w.hanging = c.failing, c.slow, c.hanging
			if c.play == nil {
				w.play(61 * time.Second)
			} else {
				c.play(w)
			}
			g.Expect(w.state).To(Equal(c.want), "%+v", w.verdicts)
			if !c.judged {
				g.Expect(w.worst).To(BeNumerically("<=", 50))
				g.Expect(w.candidate).To(BeNumerically("<=", c.most))
			}
			if c.want == rollout.Completed {
				g.Expect(w.busy).To(BeZero(), "requests lost with the baseline")
			}
			g.Expect(w.steps).NotTo(BeEmpty())
		})
	}
}

// TestRolloutEnds guards what an order leaves behind: a decision in the store holds, serving
// takes precedence over judging, and without an order versions are ignored.
func TestRolloutEnds(t *testing.T) {
	for _, c := range []struct {
		name                 string
		baseline, candidates int
		change               func(*RolloutChanged)
		old, updated         bool
	}{
		{"rolled back", 3, 3, func(e *RolloutChanged) { e.Status.State = rollout.RolledBack }, true, false},
		{"completed", 3, 3, func(e *RolloutChanged) { e.Status.State = rollout.Completed }, false, true},
		{"rolled back without a baseline", 0, 3, func(e *RolloutChanged) { e.Status.State = rollout.RolledBack }, false, true},
		{"completed without candidates", 3, 0, func(e *RolloutChanged) { e.Status.State = rollout.Completed }, true, false},
		{"not read yet", 3, 3, func(e *RolloutChanged) { e.Status.Known = false }, true, false},
		{"not read yet, no baseline", 0, 3, func(e *RolloutChanged) { e.Status.Known = false }, false, true},
		{"withdrawn", 3, 3, func(e *RolloutChanged) { *e = RolloutChanged{} }, true, true},
		{"not configured", 3, 3, func(e *RolloutChanged) { e.Bounds = rollout.Bounds{} }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newRolloutWorld(1, c.baseline, c.candidates, false)
			e := w.status()
			c.change(&e)
			w.step(0, e)
			w.play(2 * time.Second)
			g.Expect(w.candidate > 0).To(Equal(c.updated))
			g.Expect(w.total > w.candidate).To(Equal(c.old))
		})
	}
}
