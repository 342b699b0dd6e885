package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// Guards against regions that lost each other and that each deal out a team's whole rate. Both go on
// serving; membership declares no host of an unreachable region dead. A side may start anew inside the cut.
func TestRegionsThatLostEachOtherShareATeamsRate(t *testing.T) {
	const (
		rate, burst   = 100_000.0, 100_000.0
		overage       = 0.1
		slack         = 140_000.0
		window        = 8 * time.Second
		tick          = 50 * time.Millisecond
		units         = 5000.0
		cut1, healed1 = 30 * time.Second, 65 * time.Second
		cut2, healed2 = 75 * time.Second, 95 * time.Second
		end           = 105 * time.Second
	)
	seeds := uint64(20)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		g := NewWithT(t)
		sim := newSimulation(seed)
		limits := map[ident.Team]quota.Limit{"clerks": quota.Limit{Rate: rate, Burst: burst, Debt: slack / 4}.SpreadBurst(window)}
		configure := func(h ident.Host) { sim.post(h, TeamLimits{Teams: limits}, 0) }
		sim.runUntil(startupTime)
		for _, h := range hostNames {
			configure(h)
		}
		var running []platform.HostEntry
		for _, h := range hostNames {
			running = append(running, platform.HostEntry{
				Host: string(h), Domain: string(sim.hosts[h].domain), Address: string(h), Incarnation: 1,
			})
		}
		var granted []float64
		sides := map[ident.Domain]float64{}
		charge := func() {
			sum := 0.0
			for _, h := range hostNames {
				m := sim.hosts[h]
				scheduler, ok := m.core.scheduler(ident.Pool{Target: "model", Domain: m.domain})
				if m.dead || !ok || scheduler != h {
					continue
				}
				// Each region asks for twice the rate.
				for asked := 2 * rate * tick.Seconds(); asked > 0; asked -= units {
					if _, ok := m.core.quotas.Charge(m.core.now, "clerks", units); ok {
						sum += units
						if sim.now >= cut1 && sim.now < healed1 {
							sides[m.domain] += units
						}
					}
				}
			}
			granted = append(granted, sum)
		}
		for at := startupTime; at < end; at += tick {
			sim.at(at, charge)
		}
		for at, cut := range map[time.Duration]bool{cut1: true, healed1: false, cut2: true, healed2: false} {
			sim.at(at, func() { sim.partition("a", cut) })
		}
		sim.at(cut1+12*time.Second, func() {
			for _, h := range []ident.Host{"a1", "a2"} {
				sim.kill(h)
				sim.boot(h, "a", 2)
				// The platform's list tells of the processes that have run recently.
				sim.post(h, HostsListed{Hosts: running}, 0)
				configure(h)
			}
		})
		sim.runUntil(end)
		sum, most, n := 0.0, 0.0, int(window/tick)
		for i, units := range granted {
			sum += units
			if i >= n {
				sum -= granted[i-n]
			}
			most = max(most, sum)
		}
		g.Expect(most).To(BeNumerically("<=", (rate*window.Seconds()+burst)*(1+overage)+slack), "seed %d", seed)
		for _, d := range domainNames {
			g.Expect(sides[d]).To(BeNumerically(">", 0.15*rate*(healed1-cut1).Seconds()), "seed %d: region %s starves", seed, d)
		}
	}
}
