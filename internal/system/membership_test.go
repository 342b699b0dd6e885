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

// memberFleet is a fleet of hosts that run membership.
type memberFleet struct {
	*fleet
	domains int
	seeds   []platform.HostEntry
	systems map[ident.Host]*membership.System
	// build returns the process of host i for its membership.
	build func(i int, s *membership.System) process
}

func newMemberFleet(seed uint64, hosts, domains int) *memberFleet {
	return newFleetOf(seed, hosts, domains, func(_ int, s *membership.System) process {
		return memberProcess{s}
	})
}

// newFleetOf starts hosts that are assigned to the domains in turn.
func newFleetOf(seed uint64, hosts, domains int, build func(int, *membership.System) process) *memberFleet {
	m := &memberFleet{
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

func (m *memberFleet) domain(i int) ident.Domain { return domainName(i, m.domains) }

// domainName returns the domain of host i for the given number of domains.
func domainName(i, domains int) ident.Domain {
	return ident.Domain(fmt.Sprintf("domain-%d", i%domains))
}

// start starts host i, or restarts it with the next incarnation.
func (m *memberFleet) start(i int) {
	host := hostName(i)
	incarnation := uint64(1)
	if old := m.hosts[host]; old != nil {
		incarnation = old.boot + 1
	}
	s := membership.New(membership.Config{
		Self: host, Incarnation: incarnation, Domain: m.domain(i), Address: string(host), Seed: uint64(i),
	})
	// The platform's list may be outdated: it contains only the first hosts.
	s.SetSeeds(m.seeds[:min(4, len(m.seeds))])
	m.systems[host] = s
	m.boot(host, m.build(i, s))
}

// agreed reports whether every running host considers exactly the given hosts as not
// dead.
func (m *memberFleet) agreed(want map[ident.Host]bool) bool {
	for host, s := range m.systems {
		if m.hosts[host].process == nil {
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

// hostSet returns the set of hosts 0 to n-1.
func hostSet(n int) map[ident.Host]bool {
	set := map[ident.Host]bool{}
	for i := range n {
		set[hostName(i)] = true
	}
	return set
}

// runUntil runs the fleet in small steps until the condition holds and returns the time
// that took. It fails the test at the limit.
func (f *fleet) runUntil(g *WithT, limit time.Duration, what string, holds func() bool) time.Duration {
	start := f.now
	for !holds() {
		g.Expect(f.now-start).To(BeNumerically("<", limit), what)
		f.run(f.now + 50*time.Millisecond)
	}
	return f.now - start
}

func TestHostsDiscoverEachOther(t *testing.T) {
	for _, n := range []int{1, 2, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			m := newMemberFleet(1, n, 4)
			took := m.runUntil(g, 30*time.Second, "agreement", func() bool { return m.agreed(hostSet(n)) })
			t.Logf("%d hosts agree after %v", n, took)
		})
	}
}

func TestDeadHostIsDetected(t *testing.T) {
	g := NewWithT(t)
	m := newMemberFleet(2, 8, 2)
	m.runUntil(g, 30*time.Second, "agreement", func() bool { return m.agreed(hostSet(8)) })
	m.kill(hostName(3))
	want := hostSet(8)
	delete(want, hostName(3))
	took := m.runUntil(g, 10*time.Second, "death", func() bool { return m.agreed(want) })
	t.Logf("death known everywhere after %v", took)
	g.Expect(took).To(BeNumerically(">=", 2*time.Second))
}

// newAgreedFleet returns a fleet whose hosts know each other.
func newAgreedFleet(g *WithT, hosts, domains int) *memberFleet {
	m := newMemberFleet(1, hosts, domains)
	m.runUntil(g, 30*time.Second, "agreement", func() bool { return m.agreed(hostSet(hosts)) })
	return m
}

// stateSeenBy returns the state of a host in another host's membership.
func (m *memberFleet) stateSeenBy(by, host int) membership.State {
	member, _ := m.systems[hostName(by)].Member(hostName(host))
	return member.State
}

// declaredDead reports whether any other host considers the host dead.
func (m *memberFleet) declaredDead(host int) bool {
	for i := range m.seeds {
		if i != host && m.stateSeenBy(i, host) == membership.Dead {
			return true
		}
	}
	return false
}

// TestFrozenHostDetectsThatItWasDeclaredDead freezes a host for a random time. If another
// host has declared it dead, it must report a pause when it resumes, before it handles
// any event.
func TestFrozenHostDetectsThatItWasDeclaredDead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		m := newMemberFleet(rapid.Uint64().Draw(rt, "seed"), 6, 2)
		m.runUntil(g, 30*time.Second, "agreement", func() bool { return m.agreed(hostSet(6)) })
		m.run(m.now + time.Duration(rapid.IntRange(0, 2000).Draw(rt, "before ms"))*time.Millisecond)
		m.freeze(hostName(2))
		m.run(m.now + time.Duration(rapid.IntRange(0, 12000).Draw(rt, "frozen ms"))*time.Millisecond)
		frozen := m.systems[hostName(2)]
		declaredDead := m.declaredDead(2)
		if declaredDead {
			g.Expect(frozen.Paused(m.now)).To(BeTrue())
		}
		m.thaw(hostName(2))
		m.runUntil(g, 30*time.Second, "return", func() bool { return m.agreed(hostSet(6)) && !frozen.Paused(m.now) })
		if declaredDead {
			g.Expect(frozen.PauseCount()).To(BeNumerically(">=", 1))
		}
	})
}

// TestHostOfAnotherDomainSurvivesPartition partitions a domain. Its hosts become
// unreachable but not dead, and each side keeps its own hosts.
func TestHostOfAnotherDomainSurvivesPartition(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 8, 4)
	m.cut = func(from, to ident.Host) bool {
		return (m.domainOf(from) == "domain-0") != (m.domainOf(to) == "domain-0")
	}
	m.run(m.now + 20*time.Second)
	g.Expect(m.agreed(hostSet(8))).To(BeTrue())
	inside, outside := m.systems[hostName(0)], m.systems[hostName(1)]
	g.Expect(inside.Reachable(m.now, "domain-1")).To(BeFalse())
	g.Expect(outside.Reachable(m.now, "domain-0")).To(BeFalse())
	g.Expect(outside.Reachable(m.now, "domain-2")).To(BeTrue())
	m.heal()
	m.runUntil(g, 10*time.Second, "reach", func() bool {
		return inside.Reachable(m.now, "domain-1") && outside.Reachable(m.now, "domain-0")
	})
}

// TestOneWayLossDeclaresNoHostDead loses one direction between two hosts of a domain.
// Indirect probes through other hosts must keep both alive.
func TestOneWayLossDeclaresNoHostDead(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 6, 2)
	m.cut = func(from, to ident.Host) bool { return from == hostName(0) && to == hostName(2) }
	for range 300 {
		m.run(m.now + 100*time.Millisecond)
		g.Expect(m.declaredDead(0) || m.declaredDead(2)).To(BeFalse())
		g.Expect(m.stateSeenBy(2, 0)).To(Equal(membership.Alive))
	}
}

// TestIsolatedHostRejoins isolates a host until both sides have declared each other dead.
func TestIsolatedHostRejoins(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 6, 2)
	m.cut = func(from, to ident.Host) bool { return from == hostName(2) || to == hostName(2) }
	m.runUntil(g, 10*time.Second, "death", func() bool { return m.declaredDead(2) && m.stateSeenBy(2, 4) == membership.Dead })
	g.Expect(m.systems[hostName(2)].Alive("domain-0")).To(Equal([]ident.Host{hostName(2)}))
	m.heal()
	took := m.runUntil(g, 30*time.Second, "return", func() bool { return m.agreed(hostSet(6)) })
	t.Logf("agreed %v after the cut healed", took)
	g.Expect(m.systems[hostName(2)].PauseCount()).To(BeNumerically(">=", 1))
}

func TestRestartedHostReplacesEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 6, 2)
	m.start(3)
	m.runUntil(g, 10*time.Second, "incarnation", func() bool {
		for _, s := range m.systems {
			if member, _ := s.Member(hostName(3)); member.Incarnation != 2 {
				return false
			}
		}
		return m.agreed(hostSet(6))
	})
	// Messages of the earlier incarnation that are still in flight are ignored.
	stale := &peerpb.Envelope{From: string(hostName(3)), Incarnation: 1, Body: &peerpb.Envelope_Ping{Ping: &peerpb.Ping{}}}
	var out system.Outbox
	m.systems[hostName(0)].Receive(m.now, stale, &out)
	g.Expect(out.Sends).To(BeEmpty())
}

func TestLeavingHostIsKeptUntilItDeparts(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 6, 2)
	leaver := m.systems[hostName(2)]
	m.step(hostName(2), func(out *system.Outbox) { leaver.Leave(m.now, out) })
	m.runUntil(g, 2*time.Second, "leaving", func() bool {
		for _, s := range m.systems {
			if slices.Contains(s.Alive("domain-0"), hostName(2)) {
				return false
			}
		}
		return true
	})
	m.run(m.now + 20*time.Second)
	g.Expect(m.declaredDead(2)).To(BeFalse())
	m.step(hostName(2), func(out *system.Outbox) { leaver.Depart(m.now, out) })
	m.kill(hostName(2))
	took := m.runUntil(g, 2*time.Second, "departure", func() bool {
		rest := hostSet(6)
		delete(rest, hostName(2))
		return m.agreed(rest)
	})
	t.Logf("departure known everywhere after %v", took)
}

func TestLeavingHostThatDiesIsDetected(t *testing.T) {
	g := NewWithT(t)
	m := newAgreedFleet(g, 6, 2)
	leaver := m.systems[hostName(2)]
	m.step(hostName(2), func(out *system.Outbox) { leaver.Leave(m.now, out) })
	m.run(m.now + 3*time.Second)
	m.kill(hostName(2))
	rest := hostSet(6)
	delete(rest, hostName(2))
	m.runUntil(g, 10*time.Second, "death", func() bool { return m.agreed(rest) })
}

// TestHostsAgreeAfterFaults draws freezes, restarts, cuts and one-way losses. Soon after
// the last fault, all hosts must agree on the live hosts and their incarnations.
func TestHostsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		n := rapid.IntRange(2, 14).Draw(rt, "hosts")
		m := newMemberFleet(rapid.Uint64().Draw(rt, "seed"), n, rapid.IntRange(1, 3).Draw(rt, "domains"))
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			m.injectFault(rt)
		}
		m.heal()
		m.runUntil(g, 40*time.Second, "agreement", func() bool {
			return m.agreed(hostSet(n)) && m.sameIncarnations()
		})
	})
}

// sameIncarnations reports whether every host knows the current incarnations of all
// hosts.
func (m *memberFleet) sameIncarnations() bool {
	for _, s := range m.systems {
		for _, member := range s.Members() {
			if member.Incarnation != m.hosts[member.Host].boot {
				return false
			}
		}
	}
	return true
}
