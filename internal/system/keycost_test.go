package system_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// timedKeys is the number of keys that BenchmarkKeys notes.
const timedKeys = 20_000

// BenchmarkKeys measures idempotent keys: what one costs until it is told
// First, what it keeps in memory on all hosts together, and what a restarted
// host costs all of them until the notes are back.
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

// measureKeys notes keys at all hosts in turn for 20 s, then restarts a host.
func measureKeys(b *testing.B, n int) {
	g := NewWithT(b)
	spent := new(time.Duration)
	l := newLedgers(1, n, min(5, n/2))
	inner := l.build
	l.build = func(i int, s *membership.System) process { return timed{inner(i, s), spent} }
	for _, m := range l.machines {
		m.process = timed{m.process, spent}
	}
	l.until(g, time.Minute, "agreement", func() bool { return l.agreed(all(n)) })
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
		for i := range timedKeys {
			l.note(i%n, fmt.Sprintf("team-%03d/%032d", i%650, i), false)
			l.run(l.now + length/timedKeys)
		}
	})
	b.ReportMetric((messages-restMessages)/timedKeys, "msgs/key")
	b.ReportMetric((bytes-restBytes)/timedKeys, "B/key")
	b.ReportMetric((busy-restTime)/timedKeys, "µs/key")
	b.ReportMetric(float64(heapInUse()-heapBefore)/timedKeys, "heap-B/key")
	_, again, _ := window(func() {
		l.start(1)
		l.run(l.now + length)
	})
	b.ReportMetric((again-restBytes)/1024, "restart-KiB")
}
