package fleet

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// Policy decides; pool.Scheduler is one.
type Policy interface {
	Step(now time.Duration, events []pool.Event) []pool.Effect
	NextWake() (time.Duration, bool)
}

const (
	// messageTime is how long a message between any two processes takes.
	messageTime = time.Millisecond
	// reportEvery is the time between load reports of an engine.
	reportEvery = 500 * time.Millisecond
	// cacheEventDelay is how late cache events come.
	cacheEventDelay = 2 * time.Second
	// cacheEventLoss is the part of cache events that are lost.
	cacheEventLoss = 0.1
	// crashDown is how long a crashed engine takes to return.
	crashDown = 15 * time.Second
)

// Faults are what goes wrong in a run.
type Faults struct {
	// SlowFrom and SlowTo bound the time in which the first endpoint runs at
	// a quarter of its speed.
	SlowFrom, SlowTo time.Duration
	// CrashAt is when the second endpoint crashes; 0: never.
	CrashAt time.Duration
	// Speeds are the endpoints' real speeds beside the declared ones, in turn; empty:
	// they are as declared.
	Speeds []float64
	// ReportAge is how old load reports are when they come.
	ReportAge time.Duration
	// Noise slows the endpoints for short spells.
	Noise Noise
	// Again is asked what a refused caller sends next, if set.
	Again func(now time.Duration, refused Item, e pool.Refuse) (Item, bool)
}

// Noise slows a random part of the endpoints, another one in each spell.
type Noise struct {
	// Share is the part of the endpoints that is slow, by the factor Factor.
	Share, Factor float64
	// Spell is how long a spell takes.
	Spell time.Duration
	// Told says that answers state the factor. It is Late old when the policy is told.
	Told bool
	Late time.Duration
	// Oracle says that the policy is told each factor when it changes.
	Oracle bool
	// Observe is told each change, if set.
	Observe func(now time.Duration, e ident.Endpoint, factor float64)
}

// planNoise schedules the spells of an endpoint.
func (r *Run) planNoise(e *engine, end time.Duration) {
	n := r.faults.Noise
	if n.Spell <= 0 {
		return
	}
	for at := time.Duration(r.random.Int64N(int64(n.Spell))); at < end; at += n.Spell {
		factor := 1.0
		if r.random.Float64() < n.Share {
			factor = n.Factor
		}
		r.at(at, func() { r.setFactor(e, factor) })
	}
}

// setFactor changes by how much longer than usual an engine's work takes.
func (r *Run) setFactor(e *engine, factor float64) {
	e.advance(r.now)
	e.factor = factor
	r.settle(e)
	if r.faults.Noise.Observe != nil {
		r.faults.Noise.Observe(r.now, e.Name, factor)
	}
	if r.faults.Noise.Oracle {
		r.mail = append(r.mail, pool.LoadReport{Endpoint: e.Name, LoadPercent: percentOf(factor)})
	}
}

func percentOf(factor float64) int { return int(100 * factor) }

// Run is one policy against one workload.
type Run struct {
	policy  Policy
	items   []Item
	faults  Faults
	random  *rand.Rand
	now     time.Duration
	engines map[ident.Endpoint]*engine
	names   []ident.Endpoint
	events  eventHeap
	counter uint64
	// mail is what the policy will be told at the current time.
	mail    []pool.Event
	callers map[ident.Request]*caller
	gap     map[ident.Endpoint]bool
	result  Result
	// observe is told each step, if set.
	observe func(now time.Duration, events []pool.Event, effects []pool.Effect)
}

// caller is the custodian's side of one request.
type caller struct {
	item   Item
	work   *work
	engine *engine
	done   bool
}

// planned is something that will happen.
type planned struct {
	at      time.Duration
	counter uint64
	do      func()
}

// Execute runs a policy against a workload and returns what came of it.
// Engines run on after the last arrival until each request has its answer.
func Execute(p Policy, d Deployment, items []Item, f Faults, seed uint64) Result {
	return execute(p, d, items, f, seed, nil)
}

func execute(p Policy, d Deployment, items []Item, f Faults, seed uint64,
	observe func(time.Duration, []pool.Event, []pool.Effect),
) Result {
	r := &Run{
		policy:  p,
		items:   items,
		faults:  f,
		random:  rand.New(rand.NewPCG(seed, 0xfee7)),
		engines: map[ident.Endpoint]*engine{},
		callers: map[ident.Request]*caller{},
		gap:     map[ident.Endpoint]bool{},
		observe: observe,
	}
	for _, e := range d.Endpoints {
		r.engines[e.Name] = newEngine(e)
		r.names = append(r.names, e.Name)
	}
	r.mail = append(r.mail, pool.Configure{
		Revision: 1, Tiers: d.Tiers, Teams: d.Teams, Endpoints: d.Endpoints,
	})
	r.plan()
	r.loop()
	return r.result
}

// plan schedules arrivals, reports and faults.
func (r *Run) plan() {
	var end time.Duration
	for _, item := range r.items {
		end = max(end, item.At)
		r.at(item.At, func() { r.arrive(item) })
	}
	for _, name := range r.names {
		e := r.engines[name]
		for at := reportEvery; at < end; at += reportEvery {
			r.at(at, func() { r.report(e) })
		}
	}
	for i, name := range r.names {
		if n := len(r.faults.Speeds); n > 0 {
			r.engines[name].speed = r.faults.Speeds[i%n]
		}
	}
	for _, name := range r.names {
		r.planNoise(r.engines[name], end)
	}
	first := r.engines[r.names[0]]
	if r.faults.SlowTo > 0 {
		r.at(r.faults.SlowFrom, func() { r.setSpeed(first, 0.25) })
		r.at(r.faults.SlowTo, func() { r.setSpeed(first, 1) })
	}
	if r.faults.CrashAt > 0 {
		second := r.engines[r.names[1%len(r.names)]]
		r.at(r.faults.CrashAt, func() { r.crash(second) })
	}
}

func (r *Run) at(at time.Duration, do func()) {
	r.counter++
	heap.Push(&r.events, planned{at, r.counter, do})
}

func (r *Run) after(d time.Duration, do func()) {
	r.at(r.now+d, do)
}

// tell sends the policy an event.
func (r *Run) tell(e pool.Event) {
	r.after(messageTime, func() { r.mail = append(r.mail, e) })
}

// loop takes the next time at which something happens, lets it all happen and
// steps the policy.
func (r *Run) loop() {
	for {
		next, ok := r.nextTime()
		if !ok {
			return
		}
		r.now = max(r.now, next)
		for len(r.events) > 0 && r.events[0].at <= r.now {
			heap.Pop(&r.events).(planned).do()
		}
		r.step()
	}
}

func (r *Run) nextTime() (time.Duration, bool) {
	wake, waits := r.policy.NextWake()
	if len(r.mail) > 0 {
		return r.now, true
	}
	if len(r.events) == 0 {
		return 0, false
	}
	if waits && wake < r.events[0].at {
		return wake, true
	}
	return r.events[0].at, true
}

func (r *Run) step() {
	mail := r.mail
	r.mail = nil
	wake, waits := r.policy.NextWake()
	if len(mail) == 0 && (!waits || wake > r.now) {
		return
	}
	effects := r.policy.Step(r.now, mail)
	if r.observe != nil {
		r.observe(r.now, mail, effects)
	}
	for _, e := range effects {
		r.after(messageTime, func() { r.apply(e) })
	}
}

func (r *Run) arrive(item Item) {
	r.callers[item.Request.ID] = &caller{item: item}
	r.result.offer(item)
	r.tell(pool.Arrive{Request: item.Request})
	r.at(item.Request.Deadline, func() { r.leave(item.Request.ID) })
}

// leave is what a caller does at its deadline.
func (r *Run) leave(id ident.Request) {
	c := r.callers[id]
	if c.done {
		return
	}
	c.done = true
	if c.work == nil {
		r.result.expired++
		r.tell(pool.Cancel{ID: id})
		return
	}
	c.engine.advance(r.now)
	r.result.waste(c.work)
	r.end(c, pool.OutcomeCanceled)
}

// apply does what the policy decided.
func (r *Run) apply(e pool.Effect) {
	switch e := e.(type) {
	case pool.Grant:
		r.dispatch(e)
	case pool.Refuse:
		if c := r.callers[e.ID]; !c.done && c.work == nil {
			c.done = true
			r.result.refuse(c.item, e)
			r.again(c.item, e)
		}
	}
}

// again plans what a refused caller sends next.
func (r *Run) again(refused Item, e pool.Refuse) {
	if r.faults.Again == nil {
		return
	}
	if item, ok := r.faults.Again(r.now, refused, e); ok {
		r.at(item.At, func() { r.arrive(item) })
	}
}

func (r *Run) dispatch(g pool.Grant) {
	c := r.callers[g.ID]
	e := r.engines[g.Endpoint]
	if c.done || c.work != nil {
		r.tell(pool.Declined{ID: g.ID, Attempt: g.Attempt})
		return
	}
	if e.down {
		r.tell(pool.Declined{ID: g.ID, Attempt: g.Attempt, Requeue: true, Unreachable: true})
		return
	}
	e.advance(r.now)
	c.engine = e
	c.work = &work{
		request:    c.item.Request,
		attempt:    g.Attempt,
		output:     c.item.Output,
		dispatched: r.now,
		poison:     c.item.Poison,
	}
	e.works = append(e.works, c.work)
	r.tell(pool.Started{ID: g.ID, Attempt: g.Attempt})
	r.settle(e)
}

// settle moves an engine's sequences on and plans its next change.
func (r *Run) settle(e *engine) {
	for _, w := range slices.Clone(e.batch()) {
		r.settleWork(e, w)
	}
	if w := e.nextPrefill(); w != nil {
		e.begin(w)
		r.result.countPrefill(w, r.cachedElsewhere(e, w))
	}
	e.version++
	version := e.version
	if wait, ok := e.next(); ok {
		r.after(wait, func() { r.wake(e, version) })
	}
}

func (r *Run) wake(e *engine, version int) {
	if e.version != version {
		return
	}
	e.advance(r.now)
	r.settle(e)
}

// settleWork books a sequence's first token and its end.
func (r *Run) settleWork(e *engine, w *work) {
	if !w.started || w.prefill > doneTokens {
		return
	}
	if w.firstToken == 0 {
		w.firstToken = max(1, r.now-w.dispatched)
		r.storeBlocks(e, w)
		if w.poison {
			r.crash(e)
			return
		}
		r.tellFirstToken(e, w)
	}
	if w.decode <= doneTokens {
		c := r.callers[w.request.ID]
		c.done = true
		r.result.answer(w)
		r.end(c, pool.OutcomeCompleted)
	}
}

// tellFirstToken reports a first token, with the engine's factor if answers state it.
func (r *Run) tellFirstToken(e *engine, w *work) {
	event := pool.FirstToken{ID: w.request.ID, Attempt: w.attempt, After: w.firstToken}
	n := r.faults.Noise
	if n.Told {
		event.LoadPercent, event.LoadAge = percentOf(e.factor), messageTime+n.Late
	}
	if n.Late == 0 {
		r.tell(event)
		return
	}
	r.after(n.Late, func() { r.tell(event) })
}

// end takes a request off its engine and tells the policy.
func (r *Run) end(c *caller, outcome pool.Outcome) {
	w := c.work
	c.engine.remove(w)
	r.tell(pool.Finished{
		ID:           w.request.ID,
		Attempt:      w.attempt,
		Outcome:      outcome,
		PromptTokens: w.request.PromptTokens,
		CachedTokens: w.cached,
		OutputTokens: w.output - int(w.decode),
		FirstToken:   w.firstToken,
		Total:        r.now - w.dispatched,
	})
	if outcome == pool.OutcomeCanceled {
		r.settle(c.engine)
	}
}

// storeBlocks caches a prefilled prompt and sends late cache events, some of
// which are lost.
func (r *Run) storeBlocks(e *engine, w *work) {
	stored, evicted := e.cache.store(w.request.Prefix)
	if len(stored)+len(evicted) == 0 {
		return
	}
	if r.random.Float64() < cacheEventLoss {
		r.gap[e.Name] = true
		return
	}
	event := pool.CacheEvent{Endpoint: e.Name, Stored: stored, Evicted: evicted, Gap: r.gap[e.Name]}
	r.gap[e.Name] = false
	r.after(cacheEventDelay, func() { r.mail = append(r.mail, event) })
}

// cachedElsewhere returns the tokens of a prompt that are prefilled although
// another engine that is up has them cached.
func (r *Run) cachedElsewhere(e *engine, w *work) int {
	best := 0
	for _, name := range r.names {
		if x := r.engines[name]; x != e && !x.down {
			best = max(best, x.cache.match(w.request.Prefix))
		}
	}
	return max(0, min(best*prefix.BlockTokens, w.request.PromptTokens)-w.cached)
}

func (r *Run) setSpeed(e *engine, speed float64) {
	e.advance(r.now)
	e.speed = speed
	r.settle(e)
}

// crash takes an engine down and loses what it runs.
func (r *Run) crash(e *engine) {
	if e.down {
		return
	}
	e.advance(r.now)
	r.result.Crashes++
	for _, w := range e.crash() {
		c := r.callers[w.request.ID]
		c.done = true
		r.result.lose(w)
		r.end(c, pool.OutcomeLost)
	}
	e.version++
	r.after(crashDown, func() {
		e.down = false
		e.updated = r.now
	})
}

// report sends an engine's load as it was some time ago.
func (r *Run) report(e *engine) {
	if e.down {
		return
	}
	running := len(e.batch())
	waiting := len(e.works) - running
	age := r.faults.ReportAge
	r.after(age, func() {
		r.mail = append(r.mail, pool.LoadReport{Endpoint: e.Name, Running: running, Waiting: waiting, Age: age})
	})
}

type eventHeap []planned

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].counter < h[j].counter
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(planned)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = planned{}
	*h = (*h)[:last]
	return x
}
