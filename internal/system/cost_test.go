package system_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// fleetSizes are the host counts that costs are measured at.
var fleetSizes = []int{8, 40, 120, 350}

// timed counts the processor time of a process.
type timed struct {
	process
	spent *time.Duration
}

func (p timed) Tick(now time.Duration, out *system.Outbox) {
	start := time.Now()
	p.process.Tick(now, out)
	*p.spent += time.Since(start)
}

func (p timed) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	start := time.Now()
	p.process.Receive(now, env, out)
	*p.spent += time.Since(start)
}

func (p timed) Reply(now time.Duration, reply system.Reply, out *system.Outbox) {
	start := time.Now()
	p.process.Reply(now, reply, out)
	*p.spent += time.Since(start)
}

// usage is what a fleet has used so far.
type usage struct {
	messages, bytes, reads uint64
	spent                  time.Duration
}

// timedConfigs returns a fleet of five domains, or fewer when it is small,
// with 650 teams in force, and the counter of its processor time.
func timedConfigs(g *WithT, seed uint64, n int) (*configs, *time.Duration) {
	spent := new(time.Duration)
	c := newConfigs(seed, n, min(5, n/2))
	for _, m := range c.machines {
		m.process = timed{m.process, spent}
	}
	c.until(g, time.Minute, "configuration", c.inForce(c.apply(g, "first", 650)))
	c.until(g, time.Minute, "agreement", func() bool { return c.agreed(all(n)) })
	c.run(c.now + 30*time.Second)
	return c, spent
}

// window reports the use per host and second over a stretch of time.
func (c *configs) window(b *testing.B, name string, spent *time.Duration, length time.Duration) {
	use := func() usage {
		messages, bytes := c.sent()
		return usage{messages, bytes, uint64(c.reads), *spent}
	}
	before := use()
	c.run(c.now + length)
	after := use()
	hostSeconds := float64(len(c.machines)) * length.Seconds()
	b.ReportMetric(float64(after.messages-before.messages)/hostSeconds, name+"-msgs/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/hostSeconds, name+"-B/s/host")
	b.ReportMetric(float64((after.spent-before.spent).Microseconds())/hostSeconds, name+"-µs/s/host")
	b.ReportMetric(float64(after.reads-before.reads)/length.Seconds(), name+"-reads/s")
}

// BenchmarkControl measures membership and configuration per host: at rest, in
// the ten seconds round a change, and in the ten seconds in which one host in
// ten is restarted.
//
//	go test ./internal/system -run '^$' -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				c, spent := timedConfigs(NewWithT(b), 1, n)
				c.window(b, "rest", spent, 20*time.Second)
				c.apply(NewWithT(b), "second", 1)
				c.window(b, "change", spent, 10*time.Second)
				for i := range max(1, n/10) {
					c.start(i * 7 % n)
					m := c.machines[hostName(i*7%n)]
					m.process = timed{m.process, spent}
				}
				c.window(b, "restarts", spent, 10*time.Second)
			}
		})
	}
}

// BenchmarkSpread measures the time from the acceptance of a change until it
// is in force everywhere, over ten changes at random moments.
//
//	go test ./internal/system -run '^$' -bench Spread -benchtime 1x
func BenchmarkSpread(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				g := NewWithT(b)
				c, _ := timedConfigs(g, 2, n)
				var took []time.Duration
				for i := range 10 {
					c.run(c.now + 3*time.Second + time.Duration(c.rand.Int64N(int64(4*time.Second))))
					revision := c.apply(g, fmt.Sprint("change-", i), 1)
					took = append(took, c.until(g, time.Minute, "change", c.inForce(revision)))
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "worst-s")
			}
		})
	}
}

// BenchmarkMemory measures the memory of membership and of the configuration
// machinery per host; the snapshots themselves are shared by the fleet's
// hosts only where they were read by the same one.
//
//	go test ./internal/system -run '^$' -bench Memory -benchtime 1x
func BenchmarkMemory(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				c, _ := timedConfigs(NewWithT(b), 3, n)
				b.ReportMetric(float64(heapInUse()-before)/float64(n)/1024, "KiB/host")
				runtime.KeepAlive(c)
			}
		})
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkDeath measures the time until a host that was killed is dead in
// every other view, over ten kills.
//
//	go test ./internal/system -run '^$' -bench Death -benchtime 1x
func BenchmarkDeath(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				g := NewWithT(b)
				m := newMembers(4, n, min(5, n/2))
				m.until(g, time.Minute, "agreement", func() bool { return m.agreed(all(n)) })
				var took []time.Duration
				for i := range 10 {
					m.run(m.now + 5*time.Second + time.Duration(m.rand.Int64N(int64(2*time.Second))))
					host := i * 7 % n
					m.kill(hostName(host))
					took = append(took, m.until(g, time.Minute, "death", func() bool { return m.agreed(without(n, host)) }))
					m.start(host)
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "worst-s")
			}
		})
	}
}

// without returns the set of hosts 0 to n-1 but for one.
func without(n, host int) map[ident.Host]bool {
	set := all(n)
	delete(set, hostName(host))
	return set
}
