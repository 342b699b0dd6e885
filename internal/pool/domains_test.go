package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
)

// Guards against prices that make callers late: two domains whose demand swings out of phase every
// 3 s, each with as many requests at its peak as it has slots, and then both at their full load.
func TestPricedDomainsServeWavesOutOfPhase(t *testing.T) {
	g := NewWithT(t)
	const half, period = 20 * time.Second, 6 * time.Second
	run := func(p domains.Prices) (l *loadTest, far, all int) {
		l = newLoadTestIn("d0", "d1")
		l.scheduler = pool.New(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 1, Domains: p})
		l.configure(100_000, 330, "d0", "d1")
		nears := map[ident.Request]ident.Domain{}
		l.near = func(n int) ident.Domain {
			peak, other := ident.Domain("d0"), ident.Domain("d1")
			if l.now%period >= period/2 {
				peak, other = other, peak
			}
			if n%20 >= 17 || l.now >= half && n%2 == 0 {
				peak = other
			}
			nears[ident.Request(fmt.Sprintf("r%05d", n))] = peak
			return peak
		}
		l.run(true, func(now time.Duration) float64 {
			if now < half {
				return 0.6 * burstSlots
			}
			return 0.95 * burstSlots
		})
		for id, endpoint := range l.granted {
			if l.arrived[id] >= half {
				continue
			}
			all++
			if map[ident.Endpoint]ident.Domain{"e0": "d0", "e1": "d1"}[endpoint] != nears[id] {
				far++
			}
		}
		return l, far, all
	}
	fixed, fixedFar, n := run(domains.Prices{})
	priced, pricedFar, _ := run(domains.Prices{Delay: time.Millisecond, ByteCost: 2 * time.Second})
	for _, span := range [][2]time.Duration{{0, half}, {half, burstRunTime}} {
		before, _ := fixed.onTime(span[0], span[1])
		after, _ := priced.onTime(span[0], span[1])
		t.Logf("from %v: on time %.3f with a fixed penalty, %.3f with prices", span[0], before, after)
		g.Expect(after).To(BeNumerically(">=", before-0.01))
	}
	t.Logf("of %d requests in waves, %d left their domain with a fixed penalty, %d with prices", n, fixedFar, pricedFar)
}
