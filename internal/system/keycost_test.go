package system_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// measuredKeys is the number of keys noted by BenchmarkKeys.
const measuredKeys = 20_000

// BenchmarkKeys measures idempotency keys: the cost of one key until its result First,
// its memory on all hosts together, and the traffic on all hosts after a restart of one
// host until its notes are restored.
//
//	go test ./internal/system -run '^$' -bench Keys -benchtime 1x
func BenchmarkKeys(b *testing.B) {
	for _, n := range []int{8, 40, 120} {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for range b.N {
				measureKeys(b, n)
			}
		})
	}
}

// measureKeys notes keys at all hosts in turn for 20 s and then restarts a host.
func measureKeys(b *testing.B, n int) {
	g := NewWithT(b)
	spent := new(time.Duration)
	l := newLedgerFleet(1, n, min(5, n/2))
	inner := l.build
	l.build = func(i int, s *membership.System) process { return timedProcess{inner(i, s), spent} }
	for _, m := range l.hosts {
		m.process = timedProcess{m.process, spent}
	}
	l.runUntil(g, time.Minute, "agreement", func() bool { return l.agreed(hostSet(n)) })
	l.run(l.now + 30*time.Second)
	const length = 20 * time.Second
	cost := func() (float64, float64, float64) {
		messages, bytes := l.sent()
		return float64(messages), float64(bytes), float64(spent.Microseconds())
	}
	window := func(work func()) (float64, float64, float64) {
		m0, b0, t0 := cost()
		work()
		m1, b1, t1 := cost()
		return m1 - m0, b1 - b0, t1 - t0
	}
	restMessages, restBytes, restTime := window(func() { l.run(l.now + length) })
	heapBefore := heapInUse()
	messages, bytes, busy := window(func() {
		for i := range measuredKeys {
			l.note(i%n, fmt.Sprintf("team-%03d/%032d", i%650, i), false)
			l.run(l.now + length/measuredKeys)
		}
	})
	b.ReportMetric((messages-restMessages)/measuredKeys, "msgs/key")
	b.ReportMetric((bytes-restBytes)/measuredKeys, "B/key")
	b.ReportMetric((busy-restTime)/measuredKeys, "µs/key")
	b.ReportMetric(float64(heapInUse()-heapBefore)/measuredKeys, "heap-B/key")
	_, again, _ := window(func() {
		l.start(1)
		l.run(l.now + length)
	})
	b.ReportMetric((again-restBytes)/1024, "restart-KiB")
}
