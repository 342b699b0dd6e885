package system_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
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
func (m *members) start(i int) *membership.System {
	host := hostName(i)
	incarnation := uint64(1)
	if old := m.machines[host]; old != nil {
		incarnation = old.boot + 1
	}
	s := membership.New(membership.Config{
		Self: host, Incarnation: incarnation, Domain: m.domain(i), Address: string(host), Seed: uint64(i),
	})
	// The platform's list lags: it names only the first hosts.
	s.Seeds(m.seeds[:min(4, len(m.seeds))])
	m.systems[host] = s
	m.boot(host, m.build(i, s))
	return s
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
