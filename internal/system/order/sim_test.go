package order

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

const (
	simLeaseTerm    = 12 * time.Second
	simMaxOrderTime = 20 * time.Second
	simSteps        = 400
)

// faults disables safeguards, to show that the simulation's checks detect it.
type faults struct {
	// maxOrderTime is the MaxOrderTime of the hosts.
	maxOrderTime time.Duration
	// ignoreLeaseEnd sends orders even after their lease has ended.
	ignoreLeaseEnd bool
	// ambiguousAsRejected reports a lost answer as a rejection.
	ambiguousAsRejected bool
	// answer is the outcome of every order; if nil, the fate decides.
	answer *Outcome
	// overlongTerm makes one host count a longer term than its row states.
	overlongTerm bool
}

// delivery is an order in flight to an engine.
type delivery struct {
	holder string
	engine *fakeEngine
	order  engine.Order
	sentAt time.Duration
}

// fakeEngine takes orders like a real engine, and records those it took.
type fakeEngine struct {
	name     string
	enforced bool
	state    engine.State
	known    map[string]bool
	taken    []delivery
}

func (f *fakeEngine) take(d delivery) Outcome {
	if f.known[d.order.ID] {
		return Accepted
	}
	if f.enforced && d.order.Fence < f.state.Fence {
		return Stale
	}
	f.known[d.order.ID] = true
	f.taken = append(f.taken, d)
	f.state.LastOrder = d.order.ID
	if f.enforced {
		f.state.Fence = d.order.Fence
	}
	switch resource.OrderAction(d.order.Action) {
	case resource.OrderSetRole:
		f.state.Role = d.order.Value
	case resource.OrderLoadModel:
		f.state.Models = append(slices.Clone(f.state.Models), d.order.Value)
	}
	return Accepted
}

type simHost struct {
	name string
	sys  *System
	// paused is the time until which the host does nothing.
	paused time.Duration
	// calls and effects have not been carried out yet.
	calls   []system.Call
	effects []Effect
}

type sim struct {
	pick           func(n int) int
	faults         faults
	now            time.Duration
	rows           map[string]platform.Row
	version        uint64
	hosts          []*simHost
	engines        map[ident.Endpoint]*fakeEngine
	delayedCommits []func()
	deliveries     []delivery
	snapshot       *resource.Snapshot
	down           bool
	sent           int
	violations     []string
}

func newSim(pick func(n int) int, f faults) *sim {
	m := &sim{
		pick: pick, faults: f, rows: map[string]platform.Row{},
		engines: map[ident.Endpoint]*fakeEngine{}, snapshot: resource.NewSnapshot(),
	}
	for name, fencing := range map[string]resource.Fencing{
		"strict": resource.FencingEnforced, "loose": resource.FencingIgnored,
	} {
		m.engines[ident.Endpoint(name)] = &fakeEngine{
			name: name, enforced: fencing == resource.FencingEnforced, known: map[string]bool{},
		}
		m.snapshot.Endpoints[name] = resource.Endpoint{
			Name: ident.Endpoint(name), Type: resource.EndpointEngine, Fencing: fencing,
		}
	}
	m.declare("prefill")
	for i := range 3 {
		name := fmt.Sprint("h", i)
		term := simLeaseTerm
		if f.overlongTerm && i == 0 {
			term *= 10
		}
		h := &simHost{name: name, sys: New(Config{
			Host: ident.Host(name), Incarnation: 1, LeaseTerm: term, MaxOrderTime: f.maxOrderTime,
		})}
		h.sys.Configure(m.snapshot)
		h.sys.SetOwner(true)
		m.hosts = append(m.hosts, h)
	}
	return m
}

// declare declares a role and a model for both engines.
func (m *sim) declare(role string) {
	next := *m.snapshot
	next.Orders = map[string]resource.Order{}
	for name := range m.engines {
		next.Orders["role-"+string(name)] = resource.Order{
			Name: "role-" + string(name), Endpoint: name, Action: resource.OrderSetRole, Value: role,
		}
		next.Orders["model-"+string(name)] = resource.Order{
			Name: "model-" + string(name), Endpoint: name, Action: resource.OrderLoadModel, Value: "m",
		}
	}
	m.snapshot = &next
	for _, h := range m.hosts {
		h.sys.Configure(m.snapshot)
	}
}

func (m *sim) onHost(h *simHost, f func(out *system.Outbox)) {
	var out system.Outbox
	f(&out)
	h.calls = append(h.calls, out.Calls...)
	h.effects = append(h.effects, h.sys.Take()...)
}

func (m *sim) awake(h *simHost) bool { return m.now >= h.paused }

func (m *sim) step() {
	switch m.pick(12) {
	case 0, 1:
		m.advance(time.Duration(1+m.pick(6)) * time.Second)
	case 2, 3:
		for _, h := range m.hosts {
			if m.awake(h) {
				m.onHost(h, func(out *system.Outbox) { h.sys.Tick(m.now, out) })
			}
		}
	case 4, 5, 6:
		if h := m.pickHost(func(h *simHost) bool { return len(h.calls) > 0 }); h != nil {
			m.runCall(h, m.pick(10))
		}
	case 7, 8, 9:
		if h := m.pickHost(func(h *simHost) bool { return len(h.effects) > 0 }); h != nil {
			m.runEffect(h, m.pick(10))
		}
	case 10:
		m.deliverOne()
		if len(m.delayedCommits) > 0 {
			m.delayedCommits[0]()
			m.delayedCommits = m.delayedCommits[1:]
		}
	default:
		m.rareEvent(m.hosts[m.pick(len(m.hosts))])
	}
}

// pickHost picks a host that is awake and has something to do, or returns nil if
// there is none.
func (m *sim) pickHost(has func(h *simHost) bool) *simHost {
	var able []*simHost
	for _, h := range m.hosts {
		if m.awake(h) && has(h) {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[m.pick(len(able))]
}

// rareEvent pauses a host, takes the platform down or up, or changes the declared
// state or the owner.
func (m *sim) rareEvent(h *simHost) {
	switch m.pick(8) {
	case 0, 1, 2:
		h.paused = m.now + time.Duration(m.pick(90))*time.Second
	case 3:
		m.down = !m.down
	case 4, 5, 6:
		m.declare([]string{"prefill", "decode"}[m.pick(2)])
	case 7:
		h.sys.SetOwner(m.pick(3) > 0)
	}
}

// runCall carries out a host's oldest platform call, or fails it, as fate decides.
func (m *sim) runCall(h *simHost, fate int) {
	if len(h.calls) == 0 {
		return
	}
	c := h.calls[0]
	h.calls = h.calls[1:]
	r := system.Reply{Token: c.Token, Err: platform.ErrAmbiguous}
	switch {
	case m.down || fate == 0:
		r.Err = platform.ErrUnavailable
	case fate == 1:
		m.delayedCommits = append(m.delayedCommits, func() { m.applyCall(c) })
	case fate == 2:
		m.applyCall(c)
	default:
		r = m.applyCall(c)
	}
	m.onHost(h, func(out *system.Outbox) { h.sys.Reply(m.now, r, out) })
}

// applyCall applies a platform call.
func (m *sim) applyCall(c system.Call) system.Reply {
	r := system.Reply{Token: c.Token}
	if c.Kind == system.CallGet {
		row, ok := m.rows[c.Key]
		if !ok {
			r.Err = platform.ErrNotFound
		}
		r.Rows = []platform.Row{row}
		return r
	}
	condition := c.Txn.Conditions[0]
	if m.rows[condition.Key].Version != condition.Version {
		r.Err = platform.ErrConflict
		return r
	}
	m.version++
	value := string(c.Txn.Puts[0].Value)
	if m.faults.overlongTerm {
		value = strings.Replace(value, `"term_ms":120000`, `"term_ms":12000`, 1)
	}
	m.rows[condition.Key] = platform.Row{Key: condition.Key, Value: []byte(value), Version: m.version}
	r.Version = m.version
	return r
}

// runEffect carries out a host's oldest effect, or fails it, as fate decides.
func (m *sim) runEffect(h *simHost, fate int) {
	if len(h.effects) == 0 {
		return
	}
	effect := h.effects[0]
	h.effects = h.effects[1:]
	var e Event
	switch effect := effect.(type) {
	case ReadState:
		r := StateRead{Token: effect.Token, State: m.engines[effect.Endpoint].state}
		if fate == 0 {
			r.Err = errors.New("no answer")
		}
		e = r
	case ReserveWeights:
		e = WeightsReserved{Token: effect.Token, Wait: time.Duration(fate%2) * time.Second}
	case SendOrder:
		e = m.send(h, effect, fate)
	}
	m.onHost(h, func(out *system.Outbox) { h.sys.Event(m.now, e, out) })
}

// send sends an order and checks the invariant that no two hosts' orders are in
// flight to an engine that ignores fencing numbers. A second copy of an order
// that the engine has taken has no effect and doesn't count.
func (m *sim) send(h *simHost, s SendOrder, fate int) Event {
	if m.now >= s.NotAfter && !m.faults.ignoreLeaseEnd {
		return SendResult{Token: s.Token, Outcome: Unsent}
	}
	d := delivery{holder: h.name, engine: m.engines[s.Endpoint], order: s.Order, sentAt: m.now}
	m.sent++
	if m.faults.answer != nil {
		return SendResult{Token: s.Token, Outcome: *m.faults.answer}
	}
	for _, other := range m.deliveries {
		effective := other.engine == d.engine && !d.engine.known[other.order.ID]
		if effective && other.holder != d.holder && !d.engine.enforced {
			m.violations = append(m.violations, "two holders' orders in flight")
		}
	}
	outcome := Ambiguous
	switch {
	case fate < 5:
		outcome = d.engine.take(d)
	case fate < 8:
		m.deliveries = append(m.deliveries, d)
	}
	if outcome == Ambiguous && m.faults.ambiguousAsRejected {
		outcome = Rejected
	}
	return SendResult{Token: s.Token, Outcome: outcome}
}

// deliverOne lets one order in flight take effect.
func (m *sim) deliverOne() {
	if len(m.deliveries) > 0 {
		i := m.pick(len(m.deliveries))
		d := m.deliveries[i]
		m.deliveries = slices.Delete(m.deliveries, i, i+1)
		d.engine.take(d)
	}
}

// advance lets time pass and delivers the orders that have been in flight for the
// maximum time.
func (m *sim) advance(by time.Duration) {
	m.now += by
	m.deliveries = slices.DeleteFunc(m.deliveries, func(d delivery) bool {
		due := m.now >= d.sentAt+simMaxOrderTime
		if due {
			d.engine.take(d)
		}
		return due
	})
}

// checkTakenOrders checks the invariants on the orders that the engines took.
func (m *sim) checkTakenOrders() {
	for _, f := range m.engines {
		holders := map[uint64]string{}
		var last delivery
		for _, d := range f.taken {
			if holder, ok := holders[d.order.Fence]; ok && holder != d.holder {
				m.violations = append(m.violations, "two holders with one fencing number")
			}
			holders[d.order.Fence] = d.holder
			if d.order.Fence < last.order.Fence {
				m.violations = append(m.violations, "an older fencing number after a newer one at "+f.name)
			}
			if d.holder == last.holder && d.order.Fence == last.order.Fence && d.sentAt < last.sentAt {
				m.violations = append(m.violations, "an earlier order after a later one")
			}
			last = d
		}
	}
}

// runSeconds runs for a number of seconds in which all calls and effects succeed,
// unless the platform is down.
func (m *sim) runSeconds(seconds int) {
	for range seconds {
		m.advance(time.Second)
		for _, h := range m.hosts {
			m.onHost(h, func(out *system.Outbox) { h.sys.Tick(m.now, out) })
			for len(h.calls)+len(h.effects) > 0 {
				m.runCall(h, 9)
				m.runEffect(h, 2)
			}
		}
	}
}

// runToDeclaredState removes all faults and checks that the engines reach the
// declared state.
func (m *sim) runToDeclaredState() {
	m.down = false
	m.delayedCommits = nil
	for i, h := range m.hosts {
		h.paused = 0
		h.sys.SetOwner(i == 0)
	}
	m.runSeconds(400)
	for _, f := range m.engines {
		want := m.snapshot.Orders["role-"+f.name].Value
		if f.state.Role != want || !slices.Contains(f.state.Models, "m") {
			m.violations = append(m.violations, "not as declared in the end: "+f.name)
		}
	}
	for _, c := range m.hosts[0].sys.Conditions() {
		if c.Status != Applied || c.Foreign != "" {
			m.violations = append(m.violations, fmt.Sprintf("condition %+v", c))
		}
	}
}

func (m *sim) run() []string {
	for range simSteps {
		m.step()
	}
	m.runToDeclaredState()
	m.checkTakenOrders()
	return m.violations
}

func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if violations := newSim(pick, faults{maxOrderTime: simMaxOrderTime}).run(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

// TestSimulationDetectsMissingSafeguards shows that the simulation's checks
// fail if a safeguard is disabled.
func TestSimulationDetectsMissingSafeguards(t *testing.T) {
	variants := map[string]struct {
		faults faults
		want   string
	}{
		"a new holder doesn't wait":    {faults{maxOrderTime: 0}, "two holders' orders in flight"},
		"a lost answer is a rejection": {faults{maxOrderTime: simMaxOrderTime, ambiguousAsRejected: true}, "an earlier order after a later one"},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var found string
			for seed := uint64(0); seed < 2000 && !strings.Contains(found, variant.want); seed++ {
				source := rand.New(rand.NewPCG(seed, 0))
				found = strings.Join(newSim(source.IntN, variant.faults).run(), "; ")
			}
			g.Expect(found).To(ContainSubstring(variant.want))
		})
	}
}

// TestPausedHolderCannotSendAfterTakeover pauses a holder that has decided to
// send an order until another host has taken over the lease and sent its own. The
// paused holder's order must not reach the engine afterwards.
func TestPausedHolderCannotSendAfterTakeover(t *testing.T) {
	versions := map[string]struct {
		faults faults
		broken bool
	}{
		"":                                   {faults{maxOrderTime: simMaxOrderTime}, false},
		"the lease isn't checked at sending": {faults{maxOrderTime: simMaxOrderTime, ignoreLeaseEnd: true}, true},
		"the holder counts too long a term":  {faults{maxOrderTime: simMaxOrderTime, overlongTerm: true}, true},
	}
	for name, version := range versions {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newSim(func(int) int { return 0 }, version.faults)
			paused := m.hosts[0]
			m.runUntilSend(paused)
			m.hosts = m.hosts[1:]
			m.runSeconds(60)
			g.Expect(m.engines["loose"].taken).NotTo(BeEmpty())
			m.runEffect(paused, 2)
			m.checkTakenOrders()
			if version.broken {
				g.Expect(m.violations).To(ContainElement(ContainSubstring("an older fencing number")))
			} else {
				g.Expect(m.violations).To(BeEmpty())
			}
		})
	}
}

// runUntilSend runs a single host until its next effect is an order to the engine
// that ignores fencing numbers.
func (m *sim) runUntilSend(h *simHost) {
	for range 100 {
		m.advance(time.Second)
		m.onHost(h, func(out *system.Outbox) { h.sys.Tick(m.now, out) })
		for len(h.calls)+len(h.effects) > 0 {
			m.runCall(h, 9)
			if len(h.effects) == 0 {
				continue
			}
			if send, ok := h.effects[0].(SendOrder); ok && send.Endpoint == "loose" {
				return
			}
			m.runEffect(h, 2)
		}
	}
}
