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

// Times of the fakes round the cores.
const (
	linkDelay  = 2 * time.Millisecond
	callDelay  = 5 * time.Millisecond
	lostDelay  = 2 * time.Second
	runLeast   = 50 * time.Millisecond
	runMost    = 3 * time.Second
	lagMost    = 4 * time.Second
	giveUp     = 90 * time.Second
	wakeAtMost = 200 * time.Millisecond
)

// world steps cores on a virtual clock, with fakes for links, table, endpoints
// and callers. It is deterministic for a seed.
type world struct {
	now    time.Duration
	rng    *rand.Rand
	agenda agenda
	count  int
	hosts  map[ident.Host]*machine
	table  table
	// cut holds the pairs of domains that can't reach each other, both ways.
	cut map[[2]ident.Domain]bool
	// loss and lag are the shares of messages that are lost and late.
	loss, lag float64
	endpoints map[ident.Endpoint]*endpoint
	requests  map[ident.Request]*request
	// runTimes are the times of all dispatches.
	runTimes []time.Duration
	// outcomes counts final answers by code, for the report of a run.
	outcomes map[result.Code]int
}

// machine is a host with its core.
type machine struct {
	core   *Core
	domain ident.Domain
	// started offsets the core's clock from the world's.
	started time.Duration
	dead    bool
	frozen  bool
	// held are the events that came while the host was frozen.
	held []Event
	wake time.Duration
}

// endpoint counts the requests that it has read.
type endpoint struct {
	domain ident.Domain
	down   bool
	runs   map[ident.Request]int
	// last is when it got its last request.
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
	// lost says that the host died before the answer.
	lost bool
}

// newWorld returns a world with three domains of two hosts and resources.
func newWorld(seed uint64) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		hosts:     map[ident.Host]*machine{},
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
			w.boot(ident.Host(string(d)+n), d, 1)
			items = append(items, w.declare("engine-"+string(d)+n, d, "model", resource.EndpointEngine))
		}
		items = append(items, w.declare("service-"+string(d), d, "orders", resource.EndpointService))
	}
	w.apply(items...)
	return w
}

var domainNames = []ident.Domain{"a", "b", "c"}

// declare adds an endpoint and returns its resource.
func (w *world) declare(name string, d ident.Domain, target string, kind resource.EndpointType) resource.Item {
	w.endpoints[ident.Endpoint(name)] = &endpoint{domain: d, runs: map[ident.Request]int{}}
	return resource.Item{Kind: resource.KindEndpoint, Name: name, Spec: resource.Endpoint{
		Name: ident.Endpoint(name), Address: name, Domain: d, Target: target, Type: kind,
		State: resource.EndpointActive, Slots: 4, PrefillRate: 8000, DecodeRate: 60,
		CacheTokens: 1 << 16, Fencing: resource.FencingIgnored,
	}}
}

// apply changes resources as an operator does.
func (w *world) apply(items ...resource.Item) {
	w.count++
	change := resource.Change{ID: fmt.Sprint("change-", w.count), Items: items}
	if _, err := resource.NewStore(&w.table).Apply(context.Background(), change); err != nil {
		panic(err)
	}
}

// boot starts a host's process.
func (w *world) boot(name ident.Host, d ident.Domain, incarnation uint64) {
	nonces := 0
	m := &machine{domain: d, started: w.now}
	m.core = New(Config{
		Self: name, Incarnation: incarnation, Domain: d, Address: string(name),
		Seed: w.rng.Uint64(),
		Nonce: func() string {
			nonces++
			return fmt.Sprintf("%s-%d-%d", name, incarnation, nonces)
		},
	})
	w.hosts[name] = m
	var list []platform.HostEntry
	for _, h := range slices.Sorted(maps.Keys(w.hosts)) {
		list = append(list, platform.HostEntry{Host: string(h), Domain: string(w.hosts[h].domain), Address: string(h)})
	}
	for _, h := range slices.Sorted(maps.Keys(w.hosts)) {
		w.post(h, HostsListed{Hosts: list}, 0)
	}
	w.schedule(w.now, name)
}

// post brings an event to a host after a delay, unless it is dead by then.
func (w *world) post(to ident.Host, e Event, delay time.Duration) {
	m := w.hosts[to]
	w.at(w.now+delay, func() {
		if w.hosts[to] != m || m.dead {
			return
		}
		if m.frozen {
			m.held = append(m.held, e)
			return
		}
		w.step(to, []Event{e})
	})
}

// schedule steps a host again when its core is due.
func (w *world) schedule(at time.Duration, name ident.Host) {
	m := w.hosts[name]
	m.wake = at
	w.at(at, func() {
		if w.hosts[name] == m && m.wake == at && !m.dead && !m.frozen {
			w.step(name, nil)
		}
	})
}

// step steps a core and carries its effects out.
func (w *world) step(name ident.Host, events []Event) {
	m := w.hosts[name]
	effects := m.core.Step(w.now-m.started, (w.now + time.Hour).Milliseconds(), events)
	for _, send := range effects.Sends {
		w.carry(name, send)
	}
	for _, c := range effects.Calls {
		w.call(name, c)
	}
	for _, d := range effects.Directives {
		w.direct(name, d)
	}
	for _, s := range effects.Settled {
		w.final(s.ID, s.Answer.Code, string(s.Answer.Body))
	}
	for _, j := range effects.Joins {
		w.join(j)
	}
	for _, r := range effects.Recoveries {
		w.rescue(name, r)
	}
	next := m.core.NextWake() + m.started
	w.schedule(max(w.now+time.Millisecond, min(next, w.now+wakeAtMost)), name)
}

// carry delivers a message unless the link is cut.
func (w *world) carry(from ident.Host, send system.Send) {
	to, ok := w.hosts[send.To]
	if !ok || w.cut[[2]ident.Domain{w.hosts[from].domain, to.domain}] {
		return
	}
	delay := linkDelay + w.random(linkDelay)
	if w.rng.Float64() < w.lag {
		delay += w.random(lagMost)
	}
	if w.rng.Float64() >= w.loss {
		w.post(send.To, Received{Message: peerpb.Clone(send.Message)}, delay)
	}
}

// random returns a time below most.
func (w *world) random(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

// direct plays the traffic side.
func (w *world) direct(host ident.Host, d custody.Directive) {
	switch d.Kind {
	case custody.Connect:
		if w.endpoints[d.Endpoint].down {
			w.post(host, Unreachable{ID: d.ID, Attempt: d.Attempt}, linkDelay)
			return
		}
		w.post(host, Connected{ID: d.ID, Attempt: d.Attempt}, linkDelay)
	case custody.Commit:
		if d.Proceed {
			w.run(host, d)
		}
	case custody.Refuse:
		w.final(d.ID, d.Err.Code, d.Err.Reason)
	case custody.CancelRun:
		w.post(host, Ended{ID: d.ID, End: custody.End{Phase: peerpb.Report_PHASE_CANCELED}}, linkDelay)
	}
}

// run lets an endpoint read a request and answer it, or lose it.
func (w *world) run(host ident.Host, d custody.Directive) {
	e := w.endpoints[d.Endpoint]
	e.runs[d.ID]++
	e.last = w.now
	w.runTimes = append(w.runTimes, w.now)
	m := w.hosts[host]
	runTime := runLeast + w.random(runMost)
	w.at(w.now+runTime, func() {
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
		w.final(d.ID, end.Answer.Code, string(end.Answer.Body))
		w.post(host, end, 0)
	})
}

// join lets a request wait for another's answer, as the traffic side does.
func (w *world) join(j Join) {
	first := w.requests[j.Request]
	if first != nil && first.finals > 0 {
		w.final(j.ID, first.code, first.body)
		return
	}
	if first == nil || w.hosts[first.host].dead || w.now > w.requests[j.ID].sent+giveUp/2 {
		w.post(w.requests[j.ID].host, JoinLost{Join: j}, 0)
		return
	}
	w.at(w.now+50*time.Millisecond, func() { w.join(j) })
}

// rescue lets a request read another's answer from its endpoint.
func (w *world) rescue(host ident.Host, r AnswerRecovery) {
	answer := claim.Answer{Code: result.OutcomeUnknown}
	for _, e := range w.endpoints {
		if e.runs[r.Request] > 0 && !e.down {
			answer = claim.Answer{Code: result.OK, Body: []byte("run of " + string(r.Request))}
		}
	}
	w.at(w.now+runMost, func() {
		w.final(r.ID, answer.Code, string(answer.Body))
		w.post(host, AnswerRecovered{ID: r.ID, Answer: answer}, 0)
	})
}

// send lets a caller send a request to a host.
func (w *world) send(host ident.Host, a custody.Arrival, within time.Duration) *request {
	w.count++
	a.ID = ident.Request(fmt.Sprintf("%s.%d", host, w.count))
	m := w.hosts[host]
	a.Deadline = w.now - m.started + within
	r := &request{arrival: a, host: host, sent: w.now}
	w.requests[a.ID] = r
	if m.dead {
		r.lost = true
		return r
	}
	w.post(host, Arrived{Arrival: a}, 0)
	return r
}

// final records a final answer.
func (w *world) final(id ident.Request, code result.Code, body string) {
	r := w.requests[id]
	if r.lost || w.hosts[r.host].dead {
		return
	}
	r.finals++
	r.code, r.body, r.done = code, body, w.now
	w.outcomes[code]++
}

// kill ends a host's process at once.
func (w *world) kill(name ident.Host) {
	w.hosts[name].dead = true
	for _, r := range w.requests {
		if r.host == name && r.finals == 0 {
			r.lost = true
		}
	}
}

// freeze stops a host's process without ending it.
func (w *world) freeze(name ident.Host) {
	w.hosts[name].frozen = true
}

// thaw lets a frozen host go on, with all that came meanwhile.
func (w *world) thaw(name ident.Host) {
	m := w.hosts[name]
	if m.dead || !m.frozen {
		return
	}
	m.frozen = false
	held := m.held
	m.held = nil
	w.step(name, held)
}

// split cuts a domain off from the others, or heals the cut.
func (w *world) split(d ident.Domain, cut bool) {
	for _, other := range domainNames {
		if other != d {
			w.cut[[2]ident.Domain{d, other}] = cut
			w.cut[[2]ident.Domain{other, d}] = cut
		}
	}
}

// runUntil lets time pass.
func (w *world) runUntil(t time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= t {
		e := heap.Pop(&w.agenda).(entry)
		w.now = e.at
		e.do()
	}
	w.now = t
}

// at plans something.
func (w *world) at(t time.Duration, do func()) {
	w.count++
	heap.Push(&w.agenda, entry{at: t, order: w.count, do: do})
}

// faults describes what the oracle finds wrong; nil if all holds.
func (w *world) faults() []string {
	var list []string
	runs := map[ident.Request]int{}
	keyRuns := map[string]int{}
	for _, e := range w.endpoints {
		for id, n := range e.runs {
			runs[id] += n
			if a := w.requests[id].arrival; a.Key != "" {
				keyRuns[a.Key] += n
			}
		}
	}
	for key, n := range keyRuns {
		if n > 1 {
			list = append(list, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for id, r := range w.requests {
		list = append(list, r.faults(id, runs[id])...)
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

// faults describes what is wrong with one request.
func (r *request) faults(id ident.Request, runs int) []string {
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

// agenda is a heap of plans by time and order.
type agenda []entry

type entry struct {
	at    time.Duration
	order int
	do    func()
}

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].order, a[j].order)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
