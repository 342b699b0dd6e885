package claim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

const (
	simHosts     = 3
	simSteps     = 200
	simRetention = 20 * time.Minute
	simWall      = int64(1_700_000_000_000)
)

// simKeys holds two timed keys, created at the start, and an opaque one.
var simKeys = []string{
	fmt.Sprintf("%08x-%04x-7000-8000-000000000001", simWall>>16, simWall&0xffff),
	fmt.Sprintf("%08x-%04x-7000-8000-000000000002", simWall>>16, simWall&0xffff),
	"opaque",
}

// faults disables safeguards of the system, to show that the simulation's checks
// detect it.
type faults struct {
	// reply changes a reply before the system gets it.
	reply func(*system.Reply)
	// dropConditions is a key prefix; conditions on such keys are dropped.
	dropConditions string
}

type simHost struct {
	name        ident.Host
	incarnation uint64
	claims      *System
}

// simCall is a call in flight to the table. Its host may have died. An answered
// call was reported as lost and is carried out later.
type simCall struct {
	host     *simHost
	inc      uint64
	call     system.Call
	answered bool
}

// simRequest is a request at its host.
type simRequest struct {
	host *simHost
	req  Request
}

// sim runs the claim systems of several hosts on one table and checks that each
// key is dispatched at most once.
type sim struct {
	pick   func(n int) int
	faults faults
	table  *fakeTable
	hosts  []*simHost
	now    time.Duration
	down   bool
	kills  int
	serial int
	calls  []simCall
	// queued, ready and running hold the requests before the claim, between
	// claim and dispatch, and after the dispatch.
	queued, ready, running []simRequest
	arrived                map[string]bool
	requests               map[ident.Request]Request
	refused                map[ident.Request]bool
	// runs holds the dispatched requests, which an endpoint can resume.
	runs       map[ident.Request]bool
	dispatches map[string]int
	answers    map[string]string
	violations []string
}

func newSim(pick func(n int) int, f faults) *sim {
	m := &sim{
		pick: pick, faults: f, table: newFakeTable(),
		arrived: map[string]bool{}, requests: map[ident.Request]Request{}, refused: map[ident.Request]bool{},
		runs: map[ident.Request]bool{}, dispatches: map[string]int{}, answers: map[string]string{},
	}
	for i := range simHosts {
		h := &simHost{name: ident.Host(rune('a' + i))}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

func (m *sim) start(h *simHost) {
	h.incarnation++
	h.claims = New(Config{
		Host:        h.name,
		Incarnation: h.incarnation,
		Retention:   simRetention,
		Nonce: func() string {
			m.serial++
			return fmt.Sprint(m.serial)
		},
		Liveness: m.liveness,
	})
}

func (m *sim) liveness(name ident.Host, incarnation uint64) Liveness {
	for _, h := range m.hosts {
		if h.name == name && h.incarnation == incarnation {
			return Alive
		}
	}
	return Dead
}

func (m *sim) wall() int64 { return simWall + m.now.Milliseconds() }

func (m *sim) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// step makes one of the possible events happen.
func (m *sim) step() {
	actions := []func(){
		m.arrive, m.arrive, m.deliver, m.deliver, m.deliver, m.deliver, m.deliver, m.deliver,
		m.grant, m.grant, m.dispatch, m.dispatch, m.finish, m.release, m.wake, m.rareEvent,
	}
	actions[m.pick(len(actions))]()
	m.collect()
}

// rareEvent makes one of the events happen that abort most work in progress.
func (m *sim) rareEvent() {
	actions := []func(){m.takeTableDown, m.advanceTime, m.advanceTime, m.kill, m.withdraw}
	if i := m.pick(2 * len(actions)); i < len(actions) {
		actions[i]()
	}
}

func (m *sim) arrive() {
	key := simKeys[m.pick(len(simKeys))]
	m.lookup(m.hosts[m.pick(simHosts)], key)
}

func (m *sim) lookup(h *simHost, key string) {
	m.serial++
	req := Request{ID: ident.Request(fmt.Sprint("r", m.serial)), Key: key, FirstAttempt: !m.arrived[key]}
	m.arrived[key] = true
	m.requests[req.ID] = req
	m.onHost(h, func(out *system.Outbox) { h.claims.Lookup(m.now, m.wall(), req, out) })
}

// onHost runs a step of a host's system and collects its calls.
func (m *sim) onHost(h *simHost, f func(out *system.Outbox)) {
	var out system.Outbox
	f(&out)
	for _, c := range out.Calls {
		if m.faults.dropConditions != "" {
			var kept []platform.Condition
			for _, condition := range c.Txn.Conditions {
				if !strings.HasPrefix(condition.Key, m.faults.dropConditions) || len(c.Txn.Conditions) == 1 {
					kept = append(kept, condition)
				}
			}
			c.Txn.Conditions = kept
		}
		m.calls = append(m.calls, simCall{host: h, inc: h.incarnation, call: c})
	}
}

// deliver picks a call and its fate: carried out, carried out with the reply
// lost, refused, or reported as lost and carried out later.
func (m *sim) deliver() {
	if len(m.calls) == 0 {
		return
	}
	i := m.pick(len(m.calls))
	c := m.calls[i]
	fate := m.pick(10)
	if m.down && !c.answered {
		fate = 8 + m.pick(2)
		m.down = m.pick(6) > 0
	}
	if c.answered || fate < 9 {
		m.calls = append(m.calls[:i], m.calls[i+1:]...)
	}
	lost := system.Reply{Token: c.call.Token, Err: platform.ErrAmbiguous}
	switch {
	case c.answered:
		m.table.apply(c.call)
	case fate < 7:
		m.reply(c, m.table.apply(c.call))
	case fate == 7:
		m.table.apply(c.call)
		m.reply(c, lost)
	case fate == 8:
		m.reply(c, system.Reply{Token: c.call.Token, Err: platform.ErrUnavailable})
	default:
		m.calls[i].answered = true
		m.reply(c, lost)
	}
}

func (m *sim) reply(c simCall, r system.Reply) {
	if c.inc != c.host.incarnation {
		return
	}
	if m.faults.reply != nil {
		m.faults.reply(&r)
	}
	m.onHost(c.host, func(out *system.Outbox) { c.host.claims.Reply(m.now, r, out) })
}

func (m *sim) wake() {
	var next earliest
	for _, h := range m.hosts {
		if at, ok := h.claims.NextWake(); ok {
			next.add(at)
		}
	}
	if next.set {
		m.now = max(m.now, next.at)
	}
	for _, h := range m.hosts {
		m.onHost(h, func(out *system.Outbox) { h.claims.Tick(m.now, out) })
	}
}

// advanceTime lets 11 minutes pass and picks a host to sweep, or none.
func (m *sim) advanceTime() {
	m.now += 11 * time.Minute
	sweeper := m.pick(simHosts + 1)
	for i, h := range m.hosts {
		h.claims.SetSweeper(m.now, m.wall(), i == sweeper)
	}
	m.wake()
}

func (m *sim) takeTableDown() { m.down = true }

func (m *sim) kill() {
	h := m.hosts[m.pick(simHosts)]
	m.kills++
	m.start(h)
	for _, list := range []*[]simRequest{&m.queued, &m.ready, &m.running} {
		var others []simRequest
		for _, r := range *list {
			if r.host != h {
				others = append(others, r)
			}
		}
		*list = others
	}
}

// pop removes a request from a list and returns it.
func (m *sim) pop(list *[]simRequest) (simRequest, bool) {
	if len(*list) == 0 {
		return simRequest{}, false
	}
	i := m.pick(len(*list))
	r := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return r, true
}

func (m *sim) grant() {
	if r, ok := m.pop(&m.queued); ok {
		m.onHost(r.host, func(out *system.Outbox) {
			r.host.claims.Acquire(m.now, m.wall(), r.req, Placement{Endpoint: "e"}, out)
		})
	}
}

func (m *sim) dispatch() {
	r, ok := m.pop(&m.ready)
	if !ok {
		return
	}
	m.runs[r.req.ID] = true
	m.dispatches[r.req.Key]++
	if m.dispatches[r.req.Key] > 1 {
		m.violation("key %s dispatched twice", r.req.Key)
	}
	if m.refused[r.req.ID] {
		m.violation("request %s dispatched after it was refused", r.req.ID)
	}
	m.running = append(m.running, r)
}

func (m *sim) release() {
	if r, ok := m.pop(&m.ready); ok {
		m.onHost(r.host, func(out *system.Outbox) { r.host.claims.Release(r.req.ID, out) })
	}
}

func (m *sim) finish() {
	if r, ok := m.pop(&m.running); ok {
		m.store(r.host, r.req, r.req.ID)
	}
}

// store finishes a request with the answer that the endpoint gave to the run.
func (m *sim) store(h *simHost, req Request, run ident.Request) {
	body := strings.Repeat(string(run), 1+len(run)%2*maxInlineAnswer)
	m.answers[req.Key] = body
	m.onHost(h, func(out *system.Outbox) {
		h.claims.Finish(req.ID, Answer{Code: result.OK, Body: []byte(body)}, out)
	})
}

// withdraw cancels all operations in progress at one host.
func (m *sim) withdraw() {
	h := m.hosts[m.pick(simHosts)]
	for _, id := range sortedKeys(h.claims.ops) {
		m.onHost(h, func(out *system.Outbox) { h.claims.Cancel(id, out) })
	}
}

// collect takes the results of all hosts and checks them against the invariants.
func (m *sim) collect() map[ident.Request]Result {
	taken := map[ident.Request]Result{}
	for _, h := range m.hosts {
		for _, r := range h.claims.Take() {
			taken[r.Request()] = r
			m.checkResult(h, r)
		}
	}
	return taken
}

func (m *sim) checkResult(h *simHost, r Result) {
	req := m.requests[r.Request()]
	switch r := r.(type) {
	case Unclaimed:
		m.queued = append(m.queued, simRequest{host: h, req: req})
	case Acquired:
		m.ready = append(m.ready, simRequest{host: h, req: req})
	case Refused:
		m.refused[r.ID] = true
		info, _ := result.Lookup(r.Err.Code)
		if info.Ran == result.RanNo && !req.FirstAttempt && m.dispatches[req.Key] > 0 {
			m.violation("%s: %s, but the key ran", r.ID, r.Err.Code)
		}
	case Orphaned:
		if m.runs[r.Claim.Request] {
			h.claims.Adopt(req, r)
			m.store(h, req, r.Claim.Request)
		}
	case Answered:
		if string(r.Answer.Body) != m.answers[req.Key] {
			m.violation("%s: answer differs from the first one", r.ID)
		}
	}
}

// runToIdle lets all calls succeed and runs until nothing is left to do.
func (m *sim) runToIdle() map[ident.Request]Result {
	m.down = false
	for _, h := range m.hosts {
		h.claims.SetSweeper(m.now, m.wall(), false)
	}
	taken := map[ident.Request]Result{}
	for range 100 {
		m.drain(taken)
		m.wake()
	}
	return taken
}

// drain lets the calls in flight succeed and collects the results.
func (m *sim) drain(taken map[ident.Request]Result) {
	for n := 0; len(m.calls) > 0; n++ {
		if n > 10_000 {
			panic("calls without end")
		}
		c := m.calls[0]
		m.calls = m.calls[1:]
		r := m.table.apply(c.call)
		if !c.answered {
			m.reply(c, r)
		}
	}
	for id, r := range m.collect() {
		taken[id] = r
	}
}

// checkResends resends each key to each host after the platform has recovered, and
// checks the results against what happened to the key.
func (m *sim) checkResends() {
	m.runToIdle()
	for _, h := range m.hosts {
		if h.claims.Pending() > 0 {
			m.violation("host %s has %d writes pending", h.name, h.claims.Pending())
		}
	}
	m.queued = nil
	ready := map[string]bool{}
	for _, r := range m.ready {
		ready[r.req.Key] = true
	}
	for _, key := range simKeys {
		m.arrived[key] = true
		for _, h := range m.hosts {
			m.lookup(h, key)
		}
	}
	for id, r := range m.runToIdle() {
		key := m.requests[id].Key
		_, answered := r.(Answered)
		_, free := r.(Unclaimed)
		refused, expired := r.(Refused)
		expired = expired && refused.Err.Code == result.KeyExpired
		switch {
		case expired || m.kills > 0:
		case m.answers[key] != "" && !answered:
			m.violation("key %s has an answer, a resend got %T", key, r)
		case m.dispatches[key] == 0 && !ready[key] && !free:
			m.violation("key %s never ran, a resend got %T", key, r)
		}
	}
}

func (m *sim) run() []string {
	for range simSteps {
		m.step()
	}
	m.checkResends()
	return m.violations
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if violations := newSim(pick, faults{}).run(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

// TestSimulationDetectsMissingSafeguards shows that the simulation's checks
// detect a disabled safeguard: for each faulty variant there is a seed that
// violates an invariant.
func TestSimulationDetectsMissingSafeguards(t *testing.T) {
	variants := map[string]struct {
		faults faults
		want   string
	}{
		"a lost answer counts as success": {faults{reply: func(r *system.Reply) {
			if errors.Is(r.Err, platform.ErrAmbiguous) {
				r.Err = nil
			}
		}}, "dispatched twice"},
		"a lost answer counts as failure": {faults{reply: func(r *system.Reply) {
			if errors.Is(r.Err, platform.ErrAmbiguous) {
				r.Err = platform.ErrUnavailable
			}
		}}, "never ran"},
		"inserts ignore the guard row": {faults{dropConditions: PrefixGuard}, "never ran"},
		"inserts ignore claims":        {faults{dropConditions: PrefixOpaque}, "dispatched twice"},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var found string
			for seed := uint64(0); seed < 5000 && !strings.Contains(found, variant.want); seed++ {
				source := rand.New(rand.NewPCG(seed, 0))
				found = strings.Join(newSim(source.IntN, variant.faults).run(), "; ")
			}
			g.Expect(found).To(ContainSubstring(variant.want))
		})
	}
}

// TestRemovedClaimIsNotRecreated lets a request wait at one host while its key
// runs at a second host and its claim is removed by a third. Without the
// condition on the fence the first host would run the key again.
func TestRemovedClaimIsNotRecreated(t *testing.T) {
	for prefix, dispatches := range map[string]int{"": 1, RowFence: 2} {
		g := NewWithT(t)
		m := newSim(func(int) int { return 0 }, faults{dropConditions: prefix})
		taken := map[ident.Request]Result{}
		key := simKeys[0]
		m.lookup(m.hosts[1], key)
		m.lookup(m.hosts[0], key)
		for _, step := range []func(){m.grant, m.dispatch, m.finish} {
			m.drain(taken)
			step()
		}
		sweeper := m.hosts[2].claims
		for range 5 {
			m.now += 11 * time.Minute
			sweeper.SetSweeper(m.now, m.wall(), true)
			for range 5 {
				m.drain(taken)
				m.wake()
			}
		}
		g.Expect(m.table.list(system.Call{Key: PrefixTimed, Limit: 1})).To(BeEmpty())
		m.grant()
		m.drain(taken)
		m.dispatch()
		g.Expect(m.dispatches[key]).To(Equal(dispatches))
	}
}

// TestHolderCrashAtEachStep kills the claim's holder after each step of a request,
// with the calls in flight carried out later or never, and resends the key to
// another host.
func TestHolderCrashAtEachStep(t *testing.T) {
	for step := 0; ; step++ {
		whole := false
		for _, late := range []bool{true, false} {
			g := NewWithT(t)
			m := newSim(func(int) int { return 0 }, faults{})
			actions := []func(){
				func() { m.lookup(m.hosts[0], simKeys[0]) },
				m.deliver, m.deliver, m.deliver, m.deliver, m.deliver,
				m.grant, m.deliver, m.deliver, m.dispatch, m.finish, m.deliver, m.deliver,
			}
			whole = step == len(actions)
			for _, action := range actions[:step] {
				action()
				m.collect()
			}
			m.kill()
			if !late {
				m.calls = nil
			}
			m.runToIdle()
			m.lookup(m.hosts[1], simKeys[0])
			for _, r := range m.runToIdle() {
				g.Expect(r).To(Or(BeAssignableToTypeOf(Unclaimed{}), BeAssignableToTypeOf(Orphaned{}), BeAssignableToTypeOf(Answered{})))
				_, free := r.(Unclaimed)
				g.Expect(free && m.dispatches[simKeys[0]] > 0).To(BeFalse(), "step %d", step)
				if whole {
					g.Expect(r).To(BeAssignableToTypeOf(Answered{}))
				}
			}
			m.grant()
			m.runToIdle()
			m.dispatch()
			g.Expect(m.violations).To(BeEmpty(), "step %d", step)
		}
		if whole {
			return
		}
	}
}
