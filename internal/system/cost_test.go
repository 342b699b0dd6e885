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

// fleetSizes holds the host counts of the benchmarks.
var fleetSizes = []int{8, 40, 120, 350}

// timedProcess measures the processor time of a process.
type timedProcess struct {
	process
	cpuTime *time.Duration
}

func (p timedProcess) Tick(now time.Duration, out *system.Outbox) {
	start := time.Now()
	p.process.Tick(now, out)
	*p.cpuTime += time.Since(start)
}

func (p timedProcess) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	start := time.Now()
	p.process.Receive(now, env, out)
	*p.cpuTime += time.Since(start)
}

func (p timedProcess) Reply(now time.Duration, reply system.Reply, out *system.Outbox) {
	start := time.Now()
	p.process.Reply(now, reply, out)
	*p.cpuTime += time.Since(start)
}

// usage holds the total resource use of a fleet.
type usage struct {
	messages, bytes, reads uint64
	spent                  time.Duration
}

// newTimedFleet returns a fleet with 650 teams in force, and the counter of its processor
// time. It has five domains, or fewer if it is small.
func newTimedFleet(g *WithT, seed uint64, n int) (*configFleet, *time.Duration) {
	spent := new(time.Duration)
	c := newConfigFleet(seed, n, min(5, n/2))
	for _, m := range c.hosts {
		m.process = timedProcess{m.process, spent}
	}
	c.runUntil(g, time.Minute, "configuration", c.inForce(c.apply(g, "first", 650)))
	c.runUntil(g, time.Minute, "agreement", func() bool { return c.agreed(hostSet(n)) })
	c.run(c.now + 30*time.Second)
	return c, spent
}

// measure reports the resource use per host and second over a period.
func (c *configFleet) measure(b *testing.B, name string, spent *time.Duration, length time.Duration) {
	use := func() usage {
		messages, bytes := c.sent()
		return usage{messages, bytes, uint64(c.reads), *spent}
	}
	before := use()
	c.run(c.now + length)
	after := use()
	hostSeconds := float64(len(c.hosts)) * length.Seconds()
	b.ReportMetric(float64(after.messages-before.messages)/hostSeconds, name+"-msgs/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/hostSeconds, name+"-B/s/host")
	b.ReportMetric(float64((after.spent-before.spent).Microseconds())/hostSeconds, name+"-µs/s/host")
	b.ReportMetric(float64(after.reads-before.reads)/length.Seconds(), name+"-reads/s")
}

// BenchmarkControl measures membership and configuration per host: at rest, in the ten
// seconds after a change, and in the ten seconds in which one host in ten is restarted.
//
//	go test ./internal/system -run '^$' -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				c, spent := newTimedFleet(NewWithT(b), 1, n)
				c.measure(b, "rest", spent, 20*time.Second)
				c.apply(NewWithT(b), "second", 1)
				c.measure(b, "change", spent, 10*time.Second)
				for i := range max(1, n/10) {
					c.start(i * 7 % n)
					m := c.hosts[hostName(i*7%n)]
					m.process = timedProcess{m.process, spent}
				}
				c.measure(b, "restarts", spent, 10*time.Second)
			}
		})
	}
}

// BenchmarkSpread measures the time from the acceptance of a change until it is in force
// everywhere, for ten changes at random times.
//
//	go test ./internal/system -run '^$' -bench Spread -benchtime 1x
func BenchmarkSpread(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				g := NewWithT(b)
				c, _ := newTimedFleet(g, 2, n)
				var took []time.Duration
				for i := range 10 {
					c.run(c.now + 3*time.Second + time.Duration(c.rand.Int64N(int64(4*time.Second))))
					revision := c.apply(g, fmt.Sprint("change-", i), 1)
					took = append(took, c.runUntil(g, time.Minute, "change", c.inForce(revision)))
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "worst-s")
			}
		})
	}
}

// BenchmarkMemory measures the memory use per host of membership and configuration. Hosts
// of the fleet share a snapshot only if the same host read it.
//
//	go test ./internal/system -run '^$' -bench Memory -benchtime 1x
func BenchmarkMemory(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				c, _ := newTimedFleet(NewWithT(b), 3, n)
				b.ReportMetric(float64(heapInUse()-before)/float64(n)/1024, "KiB/host")
				runtime.KeepAlive(c)
			}
		})
	}
}

// heapInUse returns the size of all live objects in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkDeath measures the time until a killed host is dead in the membership of every
// other host, for ten kills.
//
//	go test ./internal/system -run '^$' -bench Death -benchtime 1x
func BenchmarkDeath(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				g := NewWithT(b)
				m := newMemberFleet(4, n, min(5, n/2))
				m.runUntil(g, time.Minute, "agreement", func() bool { return m.agreed(hostSet(n)) })
				var took []time.Duration
				for i := range 10 {
					m.run(m.now + 5*time.Second + time.Duration(m.rand.Int64N(int64(2*time.Second))))
					host := i * 7 % n
					m.kill(hostName(host))
					took = append(took, m.runUntil(g, time.Minute, "death", func() bool { return m.agreed(hostSetWithout(n, host)) }))
					m.start(host)
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "worst-s")
			}
		})
	}
}

// hostSetWithout returns the set of hosts 0 to n-1 without the given host.
func hostSetWithout(n, host int) map[ident.Host]bool {
	set := hostSet(n)
	delete(set, hostName(host))
	return set
}
