package system_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// memberProcess runs membership alone.
type memberProcess struct{ *membership.System }

func (memberProcess) Reply(time.Duration, system.Reply, *system.Outbox) {}

// members is a fleet of membership systems.
type members struct {
	*fleet
	domains int
	seeds   []platform.HostEntry
	systems map[ident.Host]*membership.System
	// build makes the process of host i round its membership.
	build func(i int, s *membership.System) process
}

func newMembers(seed uint64, hosts, domains int) *members {
	return newFleetOf(seed, hosts, domains, func(_ int, s *membership.System) process {
		return memberProcess{s}
	})
}

// newFleetOf boots hosts in domains by turns.
func newFleetOf(seed uint64, hosts, domains int, build func(int, *membership.System) process) *members {
	m := &members{
		fleet: newFleet(seed), domains: domains, build: build,
		systems: map[ident.Host]*membership.System{},
	}
	for i := range hosts {
		host := hostName(i)
		m.seeds = append(m.seeds, platform.HostEntry{Host: string(host), Domain: string(m.domain(i)), Address: string(host)})
	}
	for i := range hosts {
		m.start(i)
	}
	return m
}

func (m *members) domain(i int) ident.Domain { return domainName(i, m.domains) }

// domainName returns the domain of host i among a number of domains.
func domainName(i, domains int) ident.Domain {
	return ident.Domain(fmt.Sprintf("domain-%d", i%domains))
}

// start boots host i, or boots it again with the next incarnation.
func (m *members) start(i int) {
	host := hostName(i)
	incarnation := uint64(1)
	if old := m.machines[host]; old != nil {
		incarnation = old.boot + 1
	}
	s := membership.New(membership.Config{
		Self: host, Incarnation: incarnation, Domain: m.domain(i), Address: string(host), Seed: uint64(i),
	})
	// The platform's list lags: it names only the first hosts.
	s.SetSeeds(m.seeds[:min(4, len(m.seeds))])
	m.systems[host] = s
	m.boot(host, m.build(i, s))
}

// agreed reports whether every running host sees exactly these as not dead.
func (m *members) agreed(want map[ident.Host]bool) bool {
	for host, s := range m.systems {
		if m.machines[host].process == nil {
			continue
		}
		n := 0
		for _, member := range s.Members() {
			if member.State == membership.Dead {
				continue
			}
			if !want[member.Host] {
				return false
			}
			n++
		}
		if n != len(want) {
			return false
		}
	}
	return true
}

// all returns the set of hosts 0 to n-1.
func all(n int) map[ident.Host]bool {
	set := map[ident.Host]bool{}
	for i := range n {
		set[hostName(i)] = true
	}
	return set
}

// until runs in small steps until the condition holds and returns how long
// that took, or fails at the limit.
func (f *fleet) until(g *WithT, limit time.Duration, what string, holds func() bool) time.Duration {
	start := f.now
	for !holds() {
		g.Expect(f.now-start).To(BeNumerically("<", limit), what)
		f.run(f.now + 50*time.Millisecond)
	}
	return f.now - start
}

func TestHostsFindEachOther(t *testing.T) {
	for _, n := range []int{1, 2, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			m := newMembers(1, n, 4)
			took := m.until(g, 30*time.Second, "agreement", func() bool { return m.agreed(all(n)) })
			t.Logf("%d hosts agree after %v", n, took)
		})
	}
}

func TestDeadHostIsFound(t *testing.T) {
	g := NewWithT(t)
	m := newMembers(2, 8, 2)
	m.until(g, 30*time.Second, "agreement", func() bool { return m.agreed(all(8)) })
	m.kill(hostName(3))
	want := all(8)
	delete(want, hostName(3))
	took := m.until(g, 10*time.Second, "death", func() bool { return m.agreed(want) })
	t.Logf("death known everywhere after %v", took)
	g.Expect(took).To(BeNumerically(">=", 2*time.Second))
}

// settledMembers returns a fleet whose hosts know each other.
func settledMembers(g *WithT, hosts, domains int) *members {
	m := newMembers(1, hosts, domains)
	m.until(g, 30*time.Second, "agreement", func() bool { return m.agreed(all(hosts)) })
	return m
}

// seen returns the state of a host in another's view.
func (m *members) seen(by, host int) membership.State {
	member, _ := m.systems[hostName(by)].Member(hostName(host))
	return member.State
}

// taken reports whether any other host takes a host for dead.
func (m *members) taken(host int) bool {
	for i := range m.seeds {
		if i != host && m.seen(i, host) == membership.Dead {
			return true
		}
	}
	return false
}

// TestFrozenHostNoticesItsDeath freezes a host for any time: when it wakes and
// another has taken it for dead, it must say so before it handles anything.
func TestFrozenHostNoticesItsDeath(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		m := newMembers(rapid.Uint64().Draw(rt, "seed"), 6, 2)
		m.until(g, 30*time.Second, "agreement", func() bool { return m.agreed(all(6)) })
		m.run(m.now + time.Duration(rapid.IntRange(0, 2000).Draw(rt, "before ms"))*time.Millisecond)
		m.freeze(hostName(2))
		m.run(m.now + time.Duration(rapid.IntRange(0, 12000).Draw(rt, "frozen ms"))*time.Millisecond)
		frozen := m.systems[hostName(2)]
		taken := m.taken(2)
		if taken {
			g.Expect(frozen.Paused(m.now)).To(BeTrue())
		}
		m.thaw(hostName(2))
		m.until(g, 30*time.Second, "return", func() bool { return m.agreed(all(6)) && !frozen.Paused(m.now) })
		if taken {
			g.Expect(frozen.PauseCount()).To(BeNumerically(">=", 1))
		}
	})
}

// TestHostOfAnotherDomainIsKeptThroughACut cuts a domain off: its hosts become
// unreachable, not dead, and each side goes on with its own.
func TestHostOfAnotherDomainIsKeptThroughACut(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 8, 4)
	m.cut = func(from, to ident.Host) bool {
		return (m.domainOf(from) == "domain-0") != (m.domainOf(to) == "domain-0")
	}
	m.run(m.now + 20*time.Second)
	g.Expect(m.agreed(all(8))).To(BeTrue())
	inside, outside := m.systems[hostName(0)], m.systems[hostName(1)]
	g.Expect(inside.Reachable(m.now, "domain-1")).To(BeFalse())
	g.Expect(outside.Reachable(m.now, "domain-0")).To(BeFalse())
	g.Expect(outside.Reachable(m.now, "domain-2")).To(BeTrue())
	m.heal()
	m.until(g, 10*time.Second, "reach", func() bool {
		return inside.Reachable(m.now, "domain-1") && outside.Reachable(m.now, "domain-0")
	})
}

// TestOneWayLossKillsNobody loses one direction between two hosts of a domain:
// the others' probes vouch for both.
func TestOneWayLossKillsNobody(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 6, 2)
	m.cut = func(from, to ident.Host) bool { return from == hostName(0) && to == hostName(2) }
	for range 300 {
		m.run(m.now + 100*time.Millisecond)
		g.Expect(m.taken(0) || m.taken(2)).To(BeFalse())
		g.Expect(m.seen(2, 0)).To(Equal(membership.Alive))
	}
}

// TestIsolatedHostComesBack cuts a host off from all others until both sides
// have taken each other for dead.
func TestIsolatedHostComesBack(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 6, 2)
	m.cut = func(from, to ident.Host) bool { return from == hostName(2) || to == hostName(2) }
	m.until(g, 10*time.Second, "death", func() bool { return m.taken(2) && m.seen(2, 4) == membership.Dead })
	g.Expect(m.systems[hostName(2)].Alive("domain-0")).To(Equal([]ident.Host{hostName(2)}))
	m.heal()
	took := m.until(g, 30*time.Second, "return", func() bool { return m.agreed(all(6)) })
	t.Logf("agreed %v after the cut healed", took)
	g.Expect(m.systems[hostName(2)].PauseCount()).To(BeNumerically(">=", 1))
}

func TestRestartedHostReplacesItsOldSelf(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 6, 2)
	m.start(3)
	m.until(g, 10*time.Second, "incarnation", func() bool {
		for _, s := range m.systems {
			if member, _ := s.Member(hostName(3)); member.Incarnation != 2 {
				return false
			}
		}
		return m.agreed(all(6))
	})
	// What the old incarnation had still under way is not listened to.
	stale := &peerpb.Envelope{From: string(hostName(3)), Incarnation: 1, Body: &peerpb.Envelope_Ping{Ping: &peerpb.Ping{}}}
	var out system.Outbox
	m.systems[hostName(0)].Receive(m.now, stale, &out)
	g.Expect(out.Sends).To(BeEmpty())
}

func TestLeavingHostIsKeptUntilItDeparts(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 6, 2)
	leaver := m.systems[hostName(2)]
	m.step(hostName(2), func(out *system.Outbox) { leaver.Leave(m.now, out) })
	m.until(g, 2*time.Second, "leaving", func() bool {
		for _, s := range m.systems {
			if slices.Contains(s.Alive("domain-0"), hostName(2)) {
				return false
			}
		}
		return true
	})
	m.run(m.now + 20*time.Second)
	g.Expect(m.taken(2)).To(BeFalse())
	m.step(hostName(2), func(out *system.Outbox) { leaver.Depart(m.now, out) })
	m.kill(hostName(2))
	took := m.until(g, 2*time.Second, "departure", func() bool {
		rest := all(6)
		delete(rest, hostName(2))
		return m.agreed(rest)
	})
	t.Logf("departure known everywhere after %v", took)
}

func TestLeavingHostThatDiesIsFound(t *testing.T) {
	g := NewWithT(t)
	m := settledMembers(g, 6, 2)
	leaver := m.systems[hostName(2)]
	m.step(hostName(2), func(out *system.Outbox) { leaver.Leave(m.now, out) })
	m.run(m.now + 3*time.Second)
	m.kill(hostName(2))
	rest := all(6)
	delete(rest, hostName(2))
	m.until(g, 10*time.Second, "death", func() bool { return m.agreed(rest) })
}

// TestHostsAgreeAfterAnything draws freezes, restarts, cuts and one-way losses,
// and expects agreement on hosts and incarnations soon after the last.
func TestHostsAgreeAfterAnything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		n := rapid.IntRange(2, 14).Draw(rt, "hosts")
		m := newMembers(rapid.Uint64().Draw(rt, "seed"), n, rapid.IntRange(1, 3).Draw(rt, "domains"))
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			m.disturb(rt)
		}
		m.heal()
		m.until(g, 40*time.Second, "agreement", func() bool {
			return m.agreed(all(n)) && m.sameIncarnations()
		})
	})
}

// sameIncarnations reports whether every host knows the running incarnations.
func (m *members) sameIncarnations() bool {
	for _, s := range m.systems {
		for _, member := range s.Members() {
			if member.Incarnation != m.machines[member.Host].boot {
				return false
			}
		}
	}
	return true
}
