package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

const (
	noisyEndpoints = 60
	noisyLength    = 10 * time.Second
	noisySpell     = 600 * time.Millisecond
	// noisySettled is when the speeds have been learned.
	noisySettled = 4 * time.Second
	// noisyLate is how late reports are on the way from the endpoints' answers.
	noisyLate = 20 * time.Millisecond
)

// noisyResult is what a load on endpoints with noise gave.
type noisyResult struct {
	// cost is the mean time of an answer, onTime the part of the requests whose first
	// token met its objective.
	cost   time.Duration
	onTime float64
	// slow is the rate of grants to an endpoint in a slow spell beside the usual rate, after
	// the rate in the spell that follows a slow one.
	slow, after float64
}

// playNoise plays a load on endpoints of three speeds, a seventh of which are 2.5 times
// slower for 600 ms at a time.
func playNoise(seed uint64, load float64, n Noise) noisyResult {
	n.Share, n.Factor, n.Spell = 1.0/7, 2.5, noisySpell
	items, kinds := sessionItems(seed, load, noisyEndpoints, noisyLength)
	arrived := map[ident.Request]time.Duration{}
	for _, item := range items {
		arrived[item.Request.ID] = item.At
	}
	type state struct{ now, before float64 }
	states := map[ident.Endpoint]state{}
	spells, granted := map[state]float64{}, map[state]float64{}
	settled := false
	n.Observe = func(now time.Duration, e ident.Endpoint, factor float64) {
		states[e] = state{factor, states[e].now}
		settled = now >= noisySettled
		if settled {
			spells[states[e]]++
		}
	}
	var out noisyResult
	offered, answered := 0, 0
	for _, item := range items {
		if item.At >= noisySettled {
			offered++
		}
	}
	_ = execute(pool.New(pool.Config{Pool: Pool, Epoch: 1, Seed: seed}), sessionDeployment(noisyEndpoints, 3), items,
		Faults{Speeds: sessionSpeeds, ReportAge: reportAge, Noise: n}, seed,
		func(now time.Duration, events []pool.Event, effects []pool.Effect) {
			for _, e := range events {
				switch e := e.(type) {
				case pool.FirstToken:
					if at := arrived[e.ID]; at >= noisySettled && now-n.Late-at <= kinds[e.ID].objective {
						out.onTime++
					}
				case pool.Finished:
					if at := arrived[e.ID]; at >= noisySettled && e.Outcome == pool.OutcomeCompleted {
						answered++
						out.cost += now - at
					}
				}
			}
			for _, e := range effects {
				if x, ok := e.(pool.Grant); ok && settled {
					granted[states[x.Endpoint]]++
				}
			}
		})
	out.cost /= time.Duration(max(1, answered))
	out.onTime /= float64(offered)
	rate := func(now, before float64) float64 {
		return granted[state{now, before}] / max(1, spells[state{now, before}])
	}
	out.slow = rate(n.Factor, 1) / rate(1, 1)
	out.after = rate(1, n.Factor) / rate(1, 1)
	return out
}

// meanOfNoise plays a load with some seeds.
func meanOfNoise(load float64, n Noise) noisyResult {
	const seeds = 4
	results := make([]noisyResult, seeds)
	var group conc.WaitGroup
	for seed := range results {
		group.Go(func() { results[seed] = playNoise(uint64(seed+1), load, n) })
	}
	group.Wait()
	var mean noisyResult
	for _, r := range results {
		mean.cost += r.cost / seeds
		mean.onTime += r.onTime / seeds
		mean.slow += r.slow / seeds
		mean.after += r.after / seeds
	}
	return mean
}

// TestMomentarySpeed guards against placements that ignore the endpoints' momentary speed,
// and against ones that empty a slow endpoint, which ends work at 0.4 of its usual rate, or
// flood it when its slow spell is over.
func TestMomentarySpeed(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1} {
		g := NewWithT(t)
		without := meanOfNoise(load, Noise{})
		told := meanOfNoise(load, Noise{Told: true, Late: noisyLate})
		oracle := meanOfNoise(load, Noise{Oracle: true})
		t.Logf("load %.1f: without %+v, told %+v, oracle %+v", load, without, told, oracle)
		// Where all slots are in use there is no choice, and the figures of two runs differ
		// by a hundredth.
		g.Expect(told.cost).To(BeNumerically("<", without.cost+without.cost/100))
		g.Expect(told.onTime).To(BeNumerically(">=", without.onTime-0.01))
		g.Expect(told.slow).To(BeNumerically(">", 0.3))
		g.Expect(told.after).To(BeNumerically("~", 1, 0.2))
		if load < 0.6 {
			g.Expect(told.cost).To(BeNumerically("<", without.cost))
			g.Expect(told.cost).To(BeNumerically("<", oracle.cost+oracle.cost/40))
		}
	}
}
