package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// maxTakeOverTime is the guaranteed time from the loss of a pool's scheduler to the first
// dispatch by the next one: the detection of the death, including a round of probes
// before it, and the warm-up.
const maxTakeOverTime = membership.DeathTimeout + 2*membership.ProbeInterval + time.Second

// TestTakeOverWithQueuedRequests loses the scheduler of a pool while requests of another
// host wait in its queue. It checks that each request is answered with a single dispatch
// and that the next scheduler grants within maxTakeOverTime.
func TestTakeOverWithQueuedRequests(t *testing.T) {
	for _, loss := range []struct {
		name string
		lose func(*simulation, ident.Host)
	}{
		{"killed", (*simulation).kill},
		{"frozen", (*simulation).freeze},
	} {
		t.Run(loss.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(7)
			sim.runUntil(startupTime)
			scheduler := sim.schedulerOf(ident.Pool{Target: "model", Domain: "a"})
			other := map[ident.Host]ident.Host{"a1": "a2", "a2": "a1"}[scheduler]
			for i := range 24 {
				a := chatRequest()
				a.Fingerprint = uint64(i + 1)
				sim.send(other, a, time.Minute)
			}
			sim.runUntil(sim.now + 20*time.Millisecond)
			g.Expect(sim.dispatched()).To(Equal(8), "all slots of the domain are in use")

			lost := sim.now
			loss.lose(sim, scheduler)
			sim.runUntil(lost + maxTakeOverTime)
			g.Expect(sim.dispatched()).To(BeNumerically(">", 8), "the next scheduler grants")
			t.Logf("first dispatch under the next scheduler after %s", sim.firstRunAfter(lost)-lost)

			sim.runUntil(lost + drainTime)
			sim.thaw(scheduler)
			sim.runUntil(sim.now + drainTime)
			g.Expect(sim.violations()).To(BeEmpty())
			g.Expect(sim.outcomes).To(Equal(map[result.Code]int{result.OK: 24}), fmt.Sprint(sim.outcomes))
		})
	}
}

// schedulerOf returns the host that schedules a pool.
func (sim *simulation) schedulerOf(p ident.Pool) ident.Host {
	host, _ := sim.hosts["a1"].core.scheduler(p)
	return host
}

// dispatched returns the total number of dispatches.
func (sim *simulation) dispatched() int {
	n := 0
	for _, e := range sim.endpoints {
		for _, runs := range e.runs {
			n += runs
		}
	}
	return n
}

// firstRunAfter returns the time of the first dispatch after t.
func (sim *simulation) firstRunAfter(t time.Duration) time.Duration {
	first := sim.now
	for _, at := range sim.runTimes {
		if at > t && at < first {
			first = at
		}
	}
	return first
}

// TestLastHostResumesAfterFreeze freezes the only remaining host. It must not schedule
// while other hosts might have taken over, and must serve again afterwards.
func TestLastHostResumesAfterFreeze(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8)
	sim.runUntil(startupTime)
	for _, h := range hostNames[1:] {
		sim.kill(h)
	}
	sim.runUntil(sim.now + maxTakeOverTime)
	sim.freeze("a1")
	sim.runUntil(sim.now + 10*time.Second)
	sim.thaw("a1")
	for i := range 8 {
		a := chatRequest()
		a.Fingerprint = uint64(i + 1)
		sim.send("a1", a, time.Minute)
	}
	g.Expect(sim.dispatched()).To(BeZero(), "its view may be stale")
	sim.runUntil(sim.now + drainTime)
	g.Expect(sim.violations()).To(BeEmpty())
	g.Expect(sim.outcomes).To(Equal(map[result.Code]int{result.OK: 8}), fmt.Sprint(sim.outcomes))
}

// TestTakeOverGetsSuspectsFromFewHosts guards against an answer with all suspects from every host
// of a large fleet, and against none.
func TestTakeOverGetsSuspectsFromFewHosts(t *testing.T) {
	g := NewWithT(t)
	var hosts []platform.HostEntry
	for i := range 40 {
		hosts = append(hosts, platform.HostEntry{Host: fmt.Sprint("h", i), Domain: "a", Address: "x", Incarnation: 1})
	}
	told := 0
	for _, self := range hosts {
		s := &observedCore{Core: New(Config{Self: ident.Host(self.Host), Incarnation: 1, Domain: "a", External: true})}
		s.step(HostsListed{Hosts: hosts})
		s.step(SuspectsRestored{List: []pool.Suspect{{Fingerprint: 1, Crashes: 2, Quarantined: true}}})
		m := peerpb.Wrap(&peerpb.Envelope_TakeOver{TakeOver: &peerpb.TakeOver{Target: "m", Domain: "a"}})
		m.From, m.Incarnation = "scheduler", 1
		s.step(Received{Message: m})
		answered := false
		for _, send := range s.sends {
			if h := send.Message.GetHoldings(); h != nil {
				answered = true
				told += len(h.GetSuspects())
			}
		}
		g.Expect(answered).To(BeTrue())
	}
	g.Expect(told).To(Equal(maxCandidates))
}
