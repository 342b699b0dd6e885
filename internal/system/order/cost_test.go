package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// BenchmarkAtRest measures the CPU time and the calls of one minute without
// orders to send, in which the owner reads the state of each endpoint about once.
func BenchmarkAtRest(b *testing.B) {
	for _, endpoints := range []int{10, 120, 600} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			s := New(Config{Host: "h", Incarnation: 1, LeaseTerm: DefaultLeaseTerm, MaxOrderTime: DefaultMaxOrderTime})
			snapshot := resource.NewSnapshot()
			for i := range endpoints {
				name := fmt.Sprint("e", i)
				snapshot.Endpoints[name] = resource.Endpoint{Name: ident.Endpoint(name), Type: resource.EndpointEngine}
				snapshot.Orders[name] = resource.Order{
					Name: name, Endpoint: ident.Endpoint(name), Action: resource.OrderSetRole, Value: "x",
				}
			}
			s.Configure(snapshot)
			s.SetOwner(true)
			var out system.Outbox
			var now time.Duration
			reads, wakes := 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for end := now + time.Minute; now < end; {
					s.Tick(now, &out)
					wakes++
					for _, effect := range s.Take() {
						reads++
						token := effect.(ReadState).Token
						s.Event(now, StateRead{Token: token, State: engine.State{Role: "x"}}, &out)
					}
					wake, _ := s.NextWake()
					now = max(wake, now+time.Millisecond)
				}
			}
			b.ReportMetric(float64(reads)/float64(b.N), "reads/min")
			b.ReportMetric(float64(wakes)/float64(b.N), "wakes/min")
			b.ReportMetric(float64(len(out.Calls)), "table_calls")
		})
	}
}
