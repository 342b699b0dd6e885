package peer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// benchTransport starts a transport that counts what it receives.
func benchTransport(b *testing.B, host ident.Host, received *atomic.Int64) *Transport {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	transport, err := New(Options{
		Host: host, Incarnation: 1, Domain: "d", Listen: "127.0.0.1:0", Secret: []byte("secret"),
		Deliver: func(*peerpb.Envelope) { received.Add(1) }, Logger: logger,
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := transport.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(transport.Close)
	return transport
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// await waits until a counter has reached a number.
func await(b *testing.B, counter *atomic.Int64, want int64) {
	deadline := time.Now().Add(wide)
	for counter.Load() < want {
		if time.Now().After(deadline) {
			b.Fatal("messages did not arrive")
		}
		runtime.Gosched()
	}
}

// BenchmarkLink measures a message over a link: alone, each after the one
// before has arrived, and in bursts of 256. Both hosts' processor time counts.
//
//	go test ./internal/peer -run '^$' -bench Link -benchtime 20000x
func BenchmarkLink(b *testing.B) {
	for _, burst := range []int{1, 256} {
		b.Run(fmt.Sprint("burst=", burst), func(b *testing.B) {
			var received atomic.Int64
			from, to := benchTransport(b, "a", &received), benchTransport(b, "b", &received)
			from.SetPeers(map[ident.Host]string{"b": to.Addr()})
			from.Send("b", ping(0))
			await(b, &received, 1)
			before, spent := from.Stats().Peers["b"], processorTime()
			b.ResetTimer()
			for sent := 0; sent < b.N; sent += burst {
				for range burst {
					from.Send("b", ping(7))
				}
				await(b, &received, int64(1+sent+burst))
			}
			b.StopTimer()
			after := from.Stats().Peers["b"]
			messages := float64(after.MessagesSent - before.MessagesSent)
			b.ReportMetric(float64((processorTime()-spent).Nanoseconds())/messages/1000, "cpu-µs/msg")
			b.ReportMetric(float64(after.BytesSent-before.BytesSent)/messages, "B/msg")
		})
	}
}

// BenchmarkIdleLinks measures links that carry one ping a second each way:
// processor time, bytes and memory of one host, which is half of the pairs'.
//
//	go test ./internal/peer -run '^$' -bench IdleLinks -benchtime 1x
func BenchmarkIdleLinks(b *testing.B) {
	for _, links := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("links=", links), func(b *testing.B) {
			for range b.N {
				var received atomic.Int64
				hub := benchTransport(b, "hub", &received)
				before := heap()
				peers := map[ident.Host]string{}
				for i := range links {
					name := ident.Host(fmt.Sprint("peer-", i))
					peers[name] = benchTransport(b, name, &received).Addr()
				}
				hub.SetPeers(peers)
				const seconds = 5
				spent := processorTime()
				for second := range seconds {
					for name := range peers {
						hub.Send(name, ping(1))
					}
					await(b, &received, int64((second+1)*links))
					time.Sleep(time.Second)
				}
				spent = processorTime() - spent
				var bytes uint64
				for _, p := range hub.Stats().Peers {
					bytes += p.BytesSent
				}
				b.ReportMetric(float64(spent.Microseconds())/2/seconds/float64(links), "µs/s/link")
				b.ReportMetric(float64(bytes)/seconds/float64(links), "B/s/link")
				b.ReportMetric(float64(heap()-before)/2/1024/float64(links), "KiB/link")
			}
		})
	}
}

// heap returns the bytes of live objects and goroutine stacks.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
