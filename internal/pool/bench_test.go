package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// benchRequest returns a random request whose prefix some others share.
func benchRequest(random *rand.Rand, n int) Request {
	shared := random.Uint64N(64)
	prefix := make([]uint64, 16)
	for i := range prefix {
		prefix[i] = shared<<32 | uint64(i)
	}
	return Request{
		ID:           ident.Request(fmt.Sprint(n)),
		Host:         "h",
		Rank:         random.IntN(4),
		Team:         ident.Team(fmt.Sprint(random.IntN(100))),
		PromptTokens: 1024 + random.IntN(512),
		MaxTokens:    256,
		Deadline:     time.Duration(1+random.IntN(10)) * time.Hour,
		Prefix:       prefix,
		KeyHash:      random.Uint64(),
		Fingerprint:  random.Uint64(),
	}
}

// benchPool returns a scheduler with every slot in use and the given number of
// requests waiting.
func benchPool(endpoints, waiting int) (*Scheduler, []Grant, *rand.Rand) {
	random := rand.New(rand.NewPCG(1, 2))
	var declared []resource.Endpoint
	for i := range endpoints {
		declared = append(declared, testEndpoint(fmt.Sprintf("e%03d", i), 8))
	}
	s := newTestScheduler(declared...)
	var held []Grant
	for n := 0; len(s.requests)-len(held) < waiting; n++ {
		out := grants(s.Step(0, []Event{Arrive{benchRequest(random, n)}}))
		for _, g := range out {
			s.Step(0, []Event{Started{ID: g.ID, Attempt: g.Attempt}, FirstToken{ID: g.ID, Attempt: g.Attempt, After: 100 * time.Millisecond}})
			held = append(held, g)
		}
	}
	return s, held, random
}

// BenchmarkDecision measures one cycle under backlog: a request ends, another is
// granted its slot, starts and has its first token, and a new one arrives. That is one
// admission and one placement.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{10, 120, 600} {
		for _, waiting := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", endpoints, waiting), func(b *testing.B) {
				benchCycle(b, endpoints, waiting)
			})
		}
	}
}

func benchCycle(b *testing.B, endpoints, waiting int) {
	s, held, random := benchPool(endpoints, waiting)
	now, next := time.Duration(0), 1_000_000
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 10 * time.Microsecond
		g := held[i%len(held)]
		out := s.Step(now, []Event{Finished{
			ID: g.ID, Attempt: g.Attempt, PromptTokens: 1024, OutputTokens: 100,
			FirstToken: 100 * time.Millisecond, Total: 1200 * time.Millisecond,
		}})
		for _, x := range grants(out) {
			s.Step(now, []Event{Started{ID: x.ID, Attempt: x.Attempt}, FirstToken{ID: x.ID, Attempt: x.Attempt, After: 100 * time.Millisecond}})
			held[i%len(held)] = x
		}
		next++
		s.Step(now, []Event{Arrive{benchRequest(random, next)}})
	}
}

const (
	// benchParts is the number of shared parts of each prompt in the benchmarks.
	benchParts = 16
	// benchEndpoints and benchWaiting are the size to design for, under backlog.
	benchEndpoints, benchWaiting = 600, 1000
)

// addBenchParts gives a request prompt parts, some of which others share.
func addBenchParts(r *Request, random *rand.Rand) {
	r.Repeats = true
	for range benchParts {
		r.Parts = append(r.Parts, 1+random.Uint64N(1<<20))
	}
}

// benchPartsPool returns a pool of requests with prompt parts, every slot in use, and some parts
// suspected that none of the requests has.
func benchPartsPool(suspects int) (*Scheduler, []Grant, *rand.Rand) {
	random := rand.New(rand.NewPCG(1, 2))
	var declared []resource.Endpoint
	for i := range benchEndpoints {
		declared = append(declared, testEndpoint(fmt.Sprintf("e%03d", i), 8))
	}
	s := newTestScheduler(declared...)
	for i := range suspects {
		s.mergeSuspect(Suspect{Fingerprint: 1<<32 + uint64(i), Crashes: 1 + i%2, Part: true, Repeats: true})
	}
	var held []Grant
	for n := 0; len(s.requests)-len(held) < benchWaiting; n++ {
		r := benchRequest(random, n)
		addBenchParts(&r, random)
		for _, g := range grants(s.Step(0, []Event{Arrive{r}})) {
			s.Step(0, []Event{Started{ID: g.ID, Attempt: g.Attempt}, FirstToken{ID: g.ID, Attempt: g.Attempt, After: 100 * time.Millisecond}})
			held = append(held, g)
		}
	}
	return s, held, random
}

// BenchmarkDecisionWithParts is BenchmarkDecision for prompts of many parts, with and without
// suspected ones.
func BenchmarkDecisionWithParts(b *testing.B) {
	for _, suspects := range []int{0, 100, rules.MaxSuspectParts} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			s, held, random := benchPartsPool(suspects)
			now, next := time.Duration(0), 1_000_000
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 10 * time.Microsecond
				g := held[i%len(held)]
				out := s.Step(now, []Event{Finished{
					ID: g.ID, Attempt: g.Attempt, PromptTokens: 1024, OutputTokens: 100, Generated: true,
					FirstToken: 100 * time.Millisecond, Total: 1200 * time.Millisecond,
				}})
				for _, x := range grants(out) {
					s.Step(now, []Event{Started{ID: x.ID, Attempt: x.Attempt}, FirstToken{ID: x.ID, Attempt: x.Attempt, After: 100 * time.Millisecond}})
					held[i%len(held)] = x
				}
				next++
				r := benchRequest(random, next)
				addBenchParts(&r, random)
				s.Step(now, []Event{Arrive{r}})
			}
		})
	}
}

// BenchmarkCrashWithParts measures the loss of an endpoint with eight requests in flight.
func BenchmarkCrashWithParts(b *testing.B) {
	for _, suspects := range []int{0, rules.MaxSuspectParts} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			s, _, _ := benchPartsPool(suspects)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				e := s.endpoints.rows[i%benchEndpoints]
				for _, a := range s.attempts.onEndpoint(e) {
					a.blamed = false
				}
				s.blameAllOn(e)
			}
		})
	}
}
