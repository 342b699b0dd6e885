package control

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// Delays and limits of the simulation.
const (
	linkDelay       = 2 * time.Millisecond
	callDelay       = 5 * time.Millisecond
	lostAnswerDelay = 2 * time.Second
	minRunTime      = 50 * time.Millisecond
	runTimeSpread   = 3 * time.Second
	maxLag          = 4 * time.Second
	drainTime       = 90 * time.Second
	maxWakeInterval = 200 * time.Millisecond
)

// simulation steps cores on a virtual clock, with simulated links, table, endpoints and
// callers. It is deterministic for a given seed.
type simulation struct {
	now     time.Duration
	rng     *rand.Rand
	actions actionQueue
	count   int
	hosts   map[ident.Host]*simHost
	table   table
	// cut holds the pairs of domains that cannot reach each other, in both directions.
	cut map[[2]ident.Domain]bool
	// loss and lag are the shares of messages that are lost and delayed.
	loss, lag float64
	endpoints map[ident.Endpoint]*endpoint
	requests  map[ident.Request]*request
	// runTimes holds the times of all dispatches.
	runTimes []time.Duration
	// outcomes counts the final answers by code.
	outcomes map[result.Code]int
	// onSend is called with each message, unless it is nil.
	onSend func(from ident.Host, send system.Send)
}

// simHost is a host with its core.
type simHost struct {
	core   *Core
	domain ident.Domain
	// started is the offset of the core's clock from the simulation's clock.
	started time.Duration
	dead    bool
	frozen  bool
	// held holds the events that arrived while the host was frozen.
	held []Event
	wake time.Duration
}

// endpoint counts its runs of each request.
type endpoint struct {
	domain ident.Domain
	down   bool
	runs   map[ident.Request]int
	// last is the time of its last request.
	last time.Duration
}

// request is a caller's request at one host.
type request struct {
	arrival custody.Arrival
	host    ident.Host
	finals  int
	code    result.Code
	body    string
	sent    time.Duration
	done    time.Duration
	// lost is set if the host died before the answer.
	lost bool
}

// newSimulation returns a simulation with three domains of two hosts each and their
// resources.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		hosts:     map[ident.Host]*simHost{},
		table:     table{rows: map[string]platform.Row{}},
		cut:       map[[2]ident.Domain]bool{},
		endpoints: map[ident.Endpoint]*endpoint{},
		requests:  map[ident.Request]*request{},
		outcomes:  map[result.Code]int{},
	}
	items := []resource.Item{
		{Kind: resource.KindTier, Name: "urgent", Spec: resource.Tier{
			Name: "urgent", Deadline: time.Minute, MaxQueued: 100,
		}},
		{Kind: resource.KindTeam, Name: "clerks", Spec: resource.Team{
			Name: "clerks", Tier: "urgent", Weight: 1,
		}},
	}
	for _, d := range domainNames {
		for _, n := range []string{"1", "2"} {
			sim.boot(ident.Host(string(d)+n), d, 1)
			items = append(items, sim.declare("engine-"+string(d)+n, d, "model", resource.EndpointEngine))
		}
		items = append(items, sim.declare("service-"+string(d), d, "orders", resource.EndpointService))
	}
	sim.apply(items...)
	return sim
}

var domainNames = []ident.Domain{"a", "b", "c"}

// declare adds an endpoint and returns its resource.
func (sim *simulation) declare(name string, d ident.Domain, target string, kind resource.EndpointType) resource.Item {
	sim.endpoints[ident.Endpoint(name)] = &endpoint{domain: d, runs: map[ident.Request]int{}}
	return resource.Item{Kind: resource.KindEndpoint, Name: name, Spec: resource.Endpoint{
		Name: ident.Endpoint(name), Address: name, Domain: d, Target: target, Type: kind,
		State: resource.EndpointActive, Slots: 4, PrefillRate: 8000, DecodeRate: 60,
		CacheTokens: 1 << 16, Fencing: resource.FencingIgnored,
	}}
}

// apply applies a change of resources.
func (sim *simulation) apply(items ...resource.Item) {
	sim.count++
	change := resource.Change{ID: fmt.Sprint("change-", sim.count), Items: items}
	if _, err := resource.NewStore(&sim.table).Apply(context.Background(), change); err != nil {
		panic(err)
	}
}

// boot starts a host's process.
func (sim *simulation) boot(name ident.Host, d ident.Domain, incarnation uint64) {
	nonces := 0
	m := &simHost{domain: d, started: sim.now}
	m.core = New(Config{
		Self: name, Incarnation: incarnation, Domain: d, Address: string(name),
		Seed: sim.rng.Uint64(),
		Nonce: func() string {
			nonces++
			return fmt.Sprintf("%s-%d-%d", name, incarnation, nonces)
		},
	})
	sim.hosts[name] = m
	var list []platform.HostEntry
	for _, h := range slices.Sorted(maps.Keys(sim.hosts)) {
		list = append(list, platform.HostEntry{Host: string(h), Domain: string(sim.hosts[h].domain), Address: string(h)})
	}
	for _, h := range slices.Sorted(maps.Keys(sim.hosts)) {
		sim.post(h, HostsListed{Hosts: list}, 0)
	}
	sim.scheduleWake(sim.now, name)
}

// post delivers an event to a host after a delay, unless the host has died by then.
func (sim *simulation) post(to ident.Host, e Event, delay time.Duration) {
	m := sim.hosts[to]
	sim.at(sim.now+delay, func() {
		if sim.hosts[to] != m || m.dead {
			return
		}
		if m.frozen {
			m.held = append(m.held, e)
			return
		}
		sim.step(to, []Event{e})
	})
}

// scheduleWake schedules a step of a host for the time at which its core is due.
func (sim *simulation) scheduleWake(at time.Duration, name ident.Host) {
	m := sim.hosts[name]
	m.wake = at
	sim.at(at, func() {
		if sim.hosts[name] == m && m.wake == at && !m.dead && !m.frozen {
			sim.step(name, nil)
		}
	})
}

// step steps a core and carries out its effects.
func (sim *simulation) step(name ident.Host, events []Event) {
	m := sim.hosts[name]
	effects := m.core.Step(sim.now-m.started, (sim.now + time.Hour).Milliseconds(), events)
	for _, send := range effects.Sends {
		sim.deliver(name, send)
	}
	for _, c := range effects.Calls {
		sim.call(name, c)
	}
	for _, d := range effects.Directives {
		sim.applyDirective(name, d)
	}
	for _, s := range effects.Settled {
		sim.recordAnswer(s.ID, s.Answer.Code, string(s.Answer.Body))
	}
	for _, j := range effects.Joins {
		sim.join(j)
	}
	for _, r := range effects.Recoveries {
		sim.recoverAnswer(name, r)
	}
	next := m.core.NextWake() + m.started
	sim.scheduleWake(max(sim.now+time.Millisecond, min(next, sim.now+maxWakeInterval)), name)
}

// deliver delivers a message unless the link is cut.
func (sim *simulation) deliver(from ident.Host, send system.Send) {
	to, ok := sim.hosts[send.To]
	if sim.onSend != nil {
		sim.onSend(from, send)
	}
	if !ok || sim.cut[[2]ident.Domain{sim.hosts[from].domain, to.domain}] {
		return
	}
	delay := linkDelay + sim.random(linkDelay)
	if sim.rng.Float64() < sim.lag {
		delay += sim.random(maxLag)
	}
	if sim.rng.Float64() >= sim.loss {
		sim.post(send.To, Received{Message: peerpb.Clone(send.Message)}, delay)
	}
}

// random returns a random duration less than limit.
func (sim *simulation) random(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

// applyDirective simulates the data path.
func (sim *simulation) applyDirective(host ident.Host, d custody.Directive) {
	switch d.Kind {
	case custody.Connect:
		if sim.endpoints[d.Endpoint].down {
			sim.post(host, Unreachable{ID: d.ID, Attempt: d.Attempt}, linkDelay)
			return
		}
		sim.post(host, Connected{ID: d.ID, Attempt: d.Attempt}, linkDelay)
	case custody.Commit:
		if d.Proceed {
			sim.run(host, d)
		}
	case custody.Refuse:
		sim.recordAnswer(d.ID, d.Err.Code, d.Err.Reason)
	case custody.CancelRun:
		sim.post(host, Ended{ID: d.ID, End: custody.End{Phase: peerpb.Report_PHASE_CANCELED}}, linkDelay)
	}
}

// run simulates an endpoint that reads a request and answers it, or loses it if it is
// down.
func (sim *simulation) run(host ident.Host, d custody.Directive) {
	e := sim.endpoints[d.Endpoint]
	e.runs[d.ID]++
	e.last = sim.now
	sim.runTimes = append(sim.runTimes, sim.now)
	m := sim.hosts[host]
	runTime := minRunTime + sim.random(runTimeSpread)
	sim.at(sim.now+runTime, func() {
		if m.dead {
			return
		}
		end := Ended{ID: d.ID, End: custody.End{
			Phase: peerpb.Report_PHASE_FINISHED, PromptTokens: 100, OutputTokens: 10,
			FirstToken: runTime / 2, Total: runTime,
		}}
		end.Answer = claim.Answer{Code: result.OK, Body: []byte("run of " + string(d.ID))}
		if e.down {
			end.End.Phase = peerpb.Report_PHASE_LOST
			end.Answer = claim.Answer{Code: result.EndpointLost}
		}
		sim.recordAnswer(d.ID, end.Answer.Code, string(end.Answer.Body))
		sim.post(host, end, 0)
	})
}

// join waits for the answer of another request, as the data path does.
func (sim *simulation) join(j Join) {
	first := sim.requests[j.Request]
	if first != nil && first.finals > 0 {
		sim.recordAnswer(j.ID, first.code, first.body)
		return
	}
	if first == nil || sim.hosts[first.host].dead || sim.now > sim.requests[j.ID].sent+drainTime/2 {
		sim.post(sim.requests[j.ID].host, JoinLost{Join: j}, 0)
		return
	}
	sim.at(sim.now+50*time.Millisecond, func() { sim.join(j) })
}

// recoverAnswer reads the answer of another request from its endpoint.
func (sim *simulation) recoverAnswer(host ident.Host, r AnswerRecovery) {
	answer := claim.Answer{Code: result.OutcomeUnknown}
	for _, e := range sim.endpoints {
		if e.runs[r.Request] > 0 && !e.down {
			answer = claim.Answer{Code: result.OK, Body: []byte("run of " + string(r.Request))}
		}
	}
	sim.at(sim.now+runTimeSpread, func() {
		sim.recordAnswer(r.ID, answer.Code, string(answer.Body))
		sim.post(host, AnswerRecovered{ID: r.ID, Answer: answer}, 0)
	})
}

// send sends a caller's request to a host.
func (sim *simulation) send(host ident.Host, a custody.Arrival, within time.Duration) *request {
	sim.count++
	a.ID = ident.Request(fmt.Sprintf("%s.%d", host, sim.count))
	m := sim.hosts[host]
	a.Deadline = sim.now - m.started + within
	r := &request{arrival: a, host: host, sent: sim.now}
	sim.requests[a.ID] = r
	if m.dead {
		r.lost = true
		return r
	}
	sim.post(host, Arrived{Arrival: a}, 0)
	return r
}

// recordAnswer records a final answer.
func (sim *simulation) recordAnswer(id ident.Request, code result.Code, body string) {
	r := sim.requests[id]
	if r.lost || sim.hosts[r.host].dead {
		return
	}
	r.finals++
	r.code, r.body, r.done = code, body, sim.now
	sim.outcomes[code]++
}

// kill ends the process of a host without notice.
func (sim *simulation) kill(name ident.Host) {
	sim.hosts[name].dead = true
	for _, r := range sim.requests {
		if r.host == name && r.finals == 0 {
			r.lost = true
		}
	}
}

// freeze stops the process of a host without ending it.
func (sim *simulation) freeze(name ident.Host) {
	sim.hosts[name].frozen = true
}

// thaw resumes a frozen host, which then handles all events that arrived meanwhile.
func (sim *simulation) thaw(name ident.Host) {
	m := sim.hosts[name]
	if m.dead || !m.frozen {
		return
	}
	m.frozen = false
	held := m.held
	m.held = nil
	sim.step(name, held)
}

// partition cuts a domain off from the others, or restores the links.
func (sim *simulation) partition(d ident.Domain, cut bool) {
	for _, other := range domainNames {
		if other != d {
			sim.cut[[2]ident.Domain{d, other}] = cut
			sim.cut[[2]ident.Domain{other, d}] = cut
		}
	}
}

// runUntil advances the clock to t and carries out all actions due by then.
func (sim *simulation) runUntil(t time.Duration) {
	for len(sim.actions) > 0 && sim.actions[0].at <= t {
		e := heap.Pop(&sim.actions).(timedAction)
		sim.now = e.at
		e.do()
	}
	sim.now = t
}

// at schedules an action.
func (sim *simulation) at(t time.Duration, do func()) {
	sim.count++
	heap.Push(&sim.actions, timedAction{at: t, order: sim.count, do: do})
}

// violations describes all violated guarantees; it is empty if they all hold.
func (sim *simulation) violations() []string {
	var list []string
	runs := map[ident.Request]int{}
	keyRuns := map[string]int{}
	for _, e := range sim.endpoints {
		for id, n := range e.runs {
			runs[id] += n
			if a := sim.requests[id].arrival; a.Key != "" {
				keyRuns[a.Key] += n
			}
		}
	}
	for key, n := range keyRuns {
		if n > 1 {
			list = append(list, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for id, r := range sim.requests {
		list = append(list, r.violations(id, runs[id])...)
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

// violations describes the violated guarantees of one request.
func (r *request) violations(id ident.Request, runs int) []string {
	var list []string
	if runs > 1 {
		list = append(list, fmt.Sprintf("%s was dispatched %d times", id, runs))
	}
	info, _ := result.Lookup(r.code)
	if r.finals > 0 && info.Ran == result.RanNo && runs > 0 {
		list = append(list, fmt.Sprintf("%s ran but was answered %s", id, r.code))
	}
	if !r.lost && r.finals != 1 {
		list = append(list, fmt.Sprintf("%s sent at %s got %d final answers", id, r.sent, r.finals))
	}
	return list
}

// actionQueue is a heap of actions by time and order of scheduling.
type actionQueue []timedAction

type timedAction struct {
	at    time.Duration
	order int
	do    func()
}

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].order, a[j].order)) < 0
}
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(timedAction)) }
func (a *actionQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
