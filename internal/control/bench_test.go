package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// BenchmarkAtRest lets hosts stand idle for ten seconds of virtual time, after
// they have met. The time includes the fakes between the cores and the copies
// of the messages, so that it is an upper bound of the cores' own.
func BenchmarkAtRest(b *testing.B) {
	const length = 10 * time.Second
	for _, perDomain := range []int{3, 13, 40, 117} {
		hosts := perDomain * len(domainNames)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := newWorld(1)
			for _, d := range domainNames {
				for i := 3; i <= perDomain; i++ {
					w.boot(ident.Host(fmt.Sprint(d, i)), d, 1)
				}
			}
			w.runUntil(4 * settleTime)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.runUntil(w.now + length)
			}
			hostSeconds := float64(b.N*hosts) * length.Seconds()
			b.ReportMetric(b.Elapsed().Seconds()*1e6/hostSeconds, "us/host/s")
		})
	}
}

// benchHost is one host that schedules its own requests, with every effect
// played at once.
type benchHost struct {
	world *world
	core  *Core
	now   time.Duration
	count int
	steps int
}

// newBenchHost returns a host with a number of endpoints in its domain.
func newBenchHost(endpoints int) *benchHost {
	w := newWorld(1)
	var items []resource.Item
	for i := range endpoints {
		items = append(items, w.declare(fmt.Sprint("more-", i), "a", "model", resource.EndpointEngine))
	}
	w.apply(items...)
	h := &benchHost{world: w, core: New(Config{
		Self: "a1", Incarnation: 1, Domain: "a", Address: "a1", Seed: 1, Nonce: func() string { return "n" },
	})}
	for h.now < 2*settleTime {
		h.now += 50 * time.Millisecond
		h.play(nil)
	}
	return h
}

// play steps the core and carries its effects out until nothing follows.
func (h *benchHost) play(events []Event) {
	for again := true; again; again = len(events) > 0 {
		h.steps++
		effects := h.core.Step(h.now, time.Hour.Milliseconds(), events)
		events = nil
		for _, c := range effects.Calls {
			r := Replied{}
			r.Reply.Owner, r.Reply.Token = c.Owner, c.Token
			h.world.table.answer(c, &r.Reply)
			events = append(events, r)
		}
		for _, d := range effects.Directives {
			events = append(events, h.direct(d)...)
		}
	}
}

// direct plays the traffic side and an endpoint that answers at once.
func (h *benchHost) direct(d custody.Directive) []Event {
	switch d.Kind {
	case custody.Connect:
		return []Event{Connected{ID: d.ID, Attempt: d.Attempt}}
	case custody.Commit:
		return []Event{
			FirstToken{ID: d.ID, After: 100 * time.Millisecond},
			Ended{ID: d.ID, End: custody.End{
				Phase: peerpb.Report_PHASE_FINISHED, PromptTokens: 400, OutputTokens: 400,
				FirstToken: 100 * time.Millisecond, Total: time.Second,
			}, Answer: claim.Answer{Code: result.OK}},
		}
	}
	return nil
}

// request lets one request pass from its arrival to its end.
func (h *benchHost) request(key string) {
	h.count++
	h.now += time.Millisecond
	a := chat()
	a.ID = ident.Request(fmt.Sprint("a1.", h.count))
	a.Deadline = h.now + time.Minute
	a.Prefix = []uint64{uint64(h.count % 64), 2, 3, 4, 5, 6, 7, 8}
	if key != "" {
		a.Key, a.KeyHash, a.Fingerprint = fmt.Sprint(key, h.count), uint64(h.count), 1
	}
	h.play([]Event{Arrived{Arrival: a}})
}

// BenchmarkRequest measures control's part of a request from its arrival to
// its end, with custodian and scheduler on one host.
func BenchmarkRequest(b *testing.B) {
	for _, key := range []string{"", "key-"} {
		for _, endpoints := range []int{4, 40, 120} {
			b.Run(fmt.Sprintf("keyed=%t/endpoints=%d", key != "", endpoints), func(b *testing.B) {
				h := newBenchHost(endpoints)
				h.request(key)
				before := len(h.world.table.rows)
				if waiting, dispatched, _ := h.core.Counts(); waiting+dispatched > 0 {
					b.Fatalf("the request is still under way: %d waiting, %d dispatched", waiting, dispatched)
				}
				steps := h.steps
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					h.request(key)
				}
				b.ReportMetric(float64(h.steps-steps)/float64(b.N), "steps/op")
				if len(h.world.table.rows) != before {
					b.Fatal("an idempotent request wrote a row")
				}
			})
		}
	}
}
