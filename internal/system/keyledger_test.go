package system_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// ledgerProcess runs membership and key ledger, as the control loop does.
type ledgerProcess struct {
	members *membership.System
	ledger  *keyledger.System
	took    func(keyledger.Result)
}

func (p *ledgerProcess) Tick(now time.Duration, out *system.Outbox) {
	p.members.Tick(now, out)
	p.ledger.Tick(now, out)
	p.take()
}

func (p *ledgerProcess) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	p.members.Receive(now, env, out)
	p.ledger.Receive(now, env, out)
	p.take()
}

func (p *ledgerProcess) Reply(time.Duration, system.Reply, *system.Outbox) {}

func (p *ledgerProcess) NextWake() time.Duration {
	wake := p.members.NextWake()
	if at, ok := p.ledger.NextWake(); ok {
		wake = min(wake, at)
	}
	return wake
}

func (p *ledgerProcess) take() {
	for _, result := range p.ledger.Take() {
		p.took(result)
	}
}

// ledgers is a fleet of key ledgers. It notes which requests of each key were
// told First: those would be dispatched.
type ledgers struct {
	*members
	procs   map[ident.Host]*ledgerProcess
	results map[ident.Request]keyledger.Result
	key     map[ident.Request]string
	firsts  map[string][]ident.Request
	serial  int
}

func newLedgers(seed uint64, hosts, domains int) *ledgers {
	l := &ledgers{
		procs: map[ident.Host]*ledgerProcess{}, results: map[ident.Request]keyledger.Result{},
		key: map[ident.Request]string{}, firsts: map[string][]ident.Request{},
	}
	l.members = newFleetOf(seed, hosts, domains, func(i int, s *membership.System) process {
		p := &ledgerProcess{
			members: s, took: l.took,
			ledger: keyledger.New(keyledger.Config{Self: hostName(i), View: s}),
		}
		l.procs[hostName(i)] = p
		return p
	})
	return l
}

func (l *ledgers) took(result keyledger.Result) {
	l.results[result.Request] = result
	if result.Outcome == keyledger.First {
		key := l.key[result.Request]
		l.firsts[key] = append(l.firsts[key], result.Request)
	}
}

// note sends a request with a key to host i and returns its name.
func (l *ledgers) note(i int, key string, first bool) ident.Request {
	host := hostName(i)
	l.serial++
	request := ident.Request(fmt.Sprintf("%s/%d", host, l.serial))
	l.key[request] = key
	if l.machines[host].process == nil || l.machines[host].frozen {
		return request
	}
	l.step(host, func(out *system.Outbox) {
		l.procs[host].ledger.Register(l.now, keyledger.Run{Key: key, Request: request, FirstAttempt: first}, out)
		l.procs[host].take()
	})
	return request
}

// outcome runs until a request has its result.
func (l *ledgers) outcome(g *WithT, request ident.Request) keyledger.Result {
	l.until(g, 20*time.Second, "outcome of "+string(request), func() bool {
		_, ok := l.results[request]
		return ok
	})
	return l.results[request]
}

// settledLedgers returns a fleet that has been up for long enough to be sure.
func settledLedgers(g *WithT, hosts, domains int) *ledgers {
	l := newLedgers(1, hosts, domains)
	l.until(g, 30*time.Second, "agreement", func() bool { return l.agreed(all(hosts)) })
	l.run(l.now + 2*keyledger.PartitionSettleTime)
	return l
}

func TestResendLearnsOfTheFirstRun(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 4)
	first := l.note(0, "key", true)
	g.Expect(l.outcome(g, first).Outcome).To(Equal(keyledger.First))
	again := l.outcome(g, l.note(5, "key", false))
	g.Expect(again.Outcome).To(Equal(keyledger.Repeat))
	g.Expect(again.Original).To(Equal(first))
	g.Expect(again.Custodian).To(Equal(hostName(0)))
	other := l.outcome(g, l.note(5, "other", false))
	g.Expect(other.Outcome).To(Equal(keyledger.First))
	g.Expect(other.ByAttempt).To(BeFalse())
}

func TestReleasedKeyCanRun(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 4)
	first := l.note(0, "key", true)
	l.outcome(g, first)
	l.step(hostName(0), func(out *system.Outbox) { l.procs[hostName(0)].ledger.Release(l.now, first, out) })
	l.run(l.now + time.Second)
	g.Expect(l.outcome(g, l.note(3, "key", false)).Outcome).To(Equal(keyledger.First))
}

func TestRunsAtOnceHaveOneFirst(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 4)
	for n := range 200 {
		key := fmt.Sprint("key-", n)
		a, b, c := l.note(n%8, key, false), l.note((n+3)%8, key, false), l.note(n%8, key, false)
		l.outcome(g, a)
		l.outcome(g, b)
		l.outcome(g, c)
		g.Expect(l.firsts[key]).To(HaveLen(1), key)
	}
}

func TestNotesOutliveTheirHolders(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 4)
	for n := range 50 {
		l.outcome(g, l.note(0, fmt.Sprint("key-", n), true))
	}
	// Every host but the custodian is replaced in turn, then the custodian.
	for i := 7; i >= 0; i-- {
		l.start(i)
		l.run(l.now + 2*keyledger.SettleTime)
	}
	for n := range 50 {
		result := l.outcome(g, l.note(5, fmt.Sprint("key-", n), false))
		g.Expect(result.Outcome).To(Equal(keyledger.Repeat), fmt.Sprint(n))
	}
}

func TestCutOffDomainProvesByAttemptOrRefuses(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 4)
	l.cut = func(from, to ident.Host) bool {
		return (l.domainOf(from) == "domain-0") != (l.domainOf(to) == "domain-0")
	}
	l.run(l.now + 10*time.Second)
	ran := l.note(0, "new", true)
	g.Expect(l.outcome(g, ran)).To(Equal(keyledger.Result{Request: ran, Outcome: keyledger.First, ByAttempt: true}))
	// On either side of the cut a resend can't be proved new.
	for _, host := range []int{4, 1, 2, 3} {
		result := l.outcome(g, l.note(host, "new", false))
		g.Expect(result.Outcome).NotTo(Equal(keyledger.First))
		refused := l.outcome(g, l.note(host, fmt.Sprint("old-", host), false))
		g.Expect(refused.Outcome).To(Equal(keyledger.Unproven))
		g.Expect(refused.Partitioned).To(BeTrue())
	}
	// When the cut heals, the run is made known before others are proved new.
	l.cut = func(ident.Host, ident.Host) bool { return false }
	for range 40 {
		l.run(l.now + 500*time.Millisecond)
		l.note(1, "new", false)
		l.note(2, "new", false)
	}
	last := l.outcome(g, l.note(3, "new", false))
	g.Expect(last.Original).To(Equal(ran))
	g.Expect(l.firsts["new"]).To(HaveLen(1))
}

// TestKeyWhoseHoldersDieTogether loses both holders of a key at once, while its
// custodian is held up: the hosts that take the key over wait for what they may
// have missed.
func TestKeyWhoseHoldersDieTogether(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 8, 2)
	const custodian, asker = 0, 1
	key, holders := l.keyHeldElsewhere(custodian, asker)
	first := l.note(custodian, key, true)
	g.Expect(l.outcome(g, first).Outcome).To(Equal(keyledger.First))
	for _, host := range holders {
		l.kill(host)
	}
	l.run(l.now + 2500*time.Millisecond)
	l.freeze(hostName(custodian))
	l.until(g, 10*time.Second, "deaths", func() bool {
		alive := slices.Concat(l.systems[hostName(asker)].Alive("domain-0"), l.systems[hostName(asker)].Alive("domain-1"))
		return len(alive) == 6
	})
	again := l.note(asker, key, false)
	l.run(l.now + time.Second)
	l.thaw(hostName(custodian))
	result := l.outcome(g, again)
	g.Expect(result.Original).To(Equal(first), "%+v", result)
}

// keyHeldElsewhere returns a key of which neither host is a holder, and its
// holders.
func (l *ledgers) keyHeldElsewhere(not ...int) (string, []ident.Host) {
	names := slices.Sorted(maps.Keys(l.systems))
	for n := 0; ; n++ {
		key := fmt.Sprint("key-", n)
		holders := rendezvous.Pick(key, names, 2)
		if !slices.ContainsFunc(not, func(i int) bool { return slices.Contains(holders, hostName(i)) }) {
			return key, holders
		}
	}
}

// TestFreshHostAloneProvesNothing starts a host that the platform's list is
// known to and that reaches no other: it isn't the only one.
func TestFreshHostAloneProvesNothing(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(g, 4, 1)
	l.cut = func(from, to ident.Host) bool { return from == hostName(3) || to == hostName(3) }
	l.start(3)
	l.run(l.now + 2*keyledger.PartitionSettleTime)
	g.Expect(l.outcome(g, l.note(3, "key", false)).Outcome).To(Equal(keyledger.Unproven))
	g.Expect(l.outcome(g, l.note(3, "key", true)).Outcome).To(Equal(keyledger.Unproven))
}

// TestAtMostOneFirst sends keys again and again, under their true attempt
// numbers, while hosts are frozen, restarted and cut off. No key may be told
// First twice.
func TestAtMostOneFirst(t *testing.T) {
	rapid.Check(t, checkAtMostOneFirst)
}

// TestAtMostOneFirstFound runs schedules, kept under testdata/rapid, that broke
// TestAtMostOneFirst before one host at a time was lost in them.
func TestAtMostOneFirstFound(t *testing.T) {
	rapid.Check(t, checkAtMostOneFirst)
}

// checkAtMostOneFirst draws one schedule and checks that no key ran twice.
func checkAtMostOneFirst(rt *rapid.T) {
	g := NewWithT(rt)
	l := newLedgers(rapid.Uint64().Draw(rt, "seed"), 8, rapid.IntRange(1, 4).Draw(rt, "domains"))
	l.run(2 * keyledger.PartitionSettleTime)
	sent := map[string]bool{}
	for range rapid.IntRange(5, 25).Draw(rt, "steps") {
		l.disturb(rt)
		for range rapid.IntRange(1, 4).Draw(rt, "sends") {
			key := fmt.Sprint("key-", rapid.IntRange(0, 3).Draw(rt, "key"))
			l.note(rapid.IntRange(0, 7).Draw(rt, "host"), key, !sent[key])
			sent[key] = true
		}
		l.run(l.now + time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms"))*time.Millisecond)
	}
	l.heal()
	l.run(l.now + 30*time.Second)
	for key, firsts := range l.firsts {
		g.Expect(len(firsts)).To(BeNumerically("<=", 1), key)
	}
}
