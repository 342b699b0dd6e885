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

// BenchmarkAtRest measures idle hosts over ten seconds of virtual time, after startup.
// The result includes the simulated links and the copies of the messages, so it is an
// upper bound for the cores.
func BenchmarkAtRest(b *testing.B) {
	const length = 10 * time.Second
	for _, perDomain := range []int{3, 13, 40, 117} {
		hosts := perDomain * len(domainNames)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := newSimulation(1)
			for _, d := range domainNames {
				for i := 3; i <= perDomain; i++ {
					sim.boot(ident.Host(fmt.Sprint(d, i)), d, 1)
				}
			}
			sim.runUntil(4 * startupTime)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.runUntil(sim.now + length)
			}
			hostSeconds := float64(b.N*hosts) * length.Seconds()
			b.ReportMetric(b.Elapsed().Seconds()*1e6/hostSeconds, "us/host/s")
		})
	}
}

// benchHost is a host that schedules its own requests. All effects are carried out
// immediately.
type benchHost struct {
	sim   *simulation
	core  *Core
	now   time.Duration
	count int
	steps int
}

// newBenchHost returns a host with the given number of endpoints in its domain.
func newBenchHost(endpoints int) *benchHost {
	sim := newSimulation(1)
	var items []resource.Item
	for i := range endpoints {
		items = append(items, sim.declare(fmt.Sprint("more-", i), "a", "model", resource.EndpointEngine))
	}
	sim.apply(items...)
	h := &benchHost{sim: sim, core: New(Config{
		Self: "a1", Incarnation: 1, Domain: "a", Address: "a1", Seed: 1, Nonce: func() string { return "n" },
	})}
	for h.now < 2*startupTime {
		h.now += 50 * time.Millisecond
		h.play(nil)
	}
	return h
}

// play steps the core and carries out its effects until no new events follow.
func (h *benchHost) play(events []Event) {
	for again := true; again; again = len(events) > 0 {
		h.steps++
		effects := h.core.Step(h.now, time.Hour.Milliseconds(), events)
		events = nil
		for _, c := range effects.Calls {
			r := Replied{}
			r.Reply.Owner, r.Reply.Token = c.Owner, c.Token
			h.sim.table.answer(c, &r.Reply)
			events = append(events, r)
		}
		for _, d := range effects.Directives {
			events = append(events, h.applyDirective(d)...)
		}
	}
}

// applyDirective simulates the data path and an endpoint that answers immediately.
func (h *benchHost) applyDirective(d custody.Directive) []Event {
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

// request runs one request from its arrival to its end.
func (h *benchHost) request(key string) {
	h.count++
	h.now += time.Millisecond
	a := chatRequest()
	a.ID = ident.Request(fmt.Sprint("a1.", h.count))
	a.Deadline = h.now + time.Minute
	a.Prefix = []uint64{uint64(h.count % 64), 2, 3, 4, 5, 6, 7, 8}
	if key != "" {
		a.Key, a.KeyHash, a.Fingerprint = fmt.Sprint(key, h.count), uint64(h.count), 1
	}
	h.play([]Event{Arrived{Arrival: a}})
}

// BenchmarkRequest measures the cost of a request in control from its arrival to its end,
// with custodian and scheduler on one host.
func BenchmarkRequest(b *testing.B) {
	for _, key := range []string{"", "key-"} {
		for _, endpoints := range []int{4, 40, 120} {
			b.Run(fmt.Sprintf("keyed=%t/endpoints=%d", key != "", endpoints), func(b *testing.B) {
				h := newBenchHost(endpoints)
				h.request(key)
				before := len(h.sim.table.rows)
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
				if len(h.sim.table.rows) != before {
					b.Fatal("an idempotent request wrote a row")
				}
			})
		}
	}
}
