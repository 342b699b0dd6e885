package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// serviceTokens represents the work of a call to a plain service, whose speed is
	// learned in calls per second.
	serviceTokens = 1
)

// estimate is the expected duration of a request on an endpoint.
type estimate struct {
	// first is the time to the first token, total the time to the last.
	first, total time.Duration
	// cautious is a total that few requests exceed.
	cautious time.Duration
}

// expectedOutput returns the expected number of tokens to generate.
func (s *Scheduler) expectedOutput(r *Request) float64 {
	if s.endpoints.plainService() {
		return serviceTokens
	}
	if r.ExpectedTokens > 0 {
		return float64(r.ExpectedTokens)
	}
	return s.lengths.Expect(r.Team, r.MaxTokens)
}

// estimateOn estimates the duration of a request on an endpoint that has cached tokens
// of its prompt, with others in flight and pending tokens to prefill first.
func (s *Scheduler) estimateOn(e *endpoint, r *request, cached, others, pending int) estimate {
	prompt := max(0, r.PromptTokens-cached) + pending
	if e.Type == resource.EndpointService {
		prompt = 0
	}
	first := rules.DispatchOverhead
	if prompt > 0 {
		first += e.speed.Prefill(s.now, prompt)
	}
	if e.Ahead > 0 && others >= e.slots() {
		// It begins when one of the requests that occupy the slots ends.
		first += e.speed.Decode(s.now, r.outputTokens, others) / time.Duration(max(1, e.slots()))
	}
	total := first + e.speed.DecodeAfter(s.now, first, r.outputTokens, others)
	return estimate{
		first:    first,
		total:    total,
		cautious: time.Duration(float64(total) * s.overrun.Factor()),
	}
}

// fastestTotal estimates the least time that a request needs on any available
// endpoint, if it runs there alone with its whole prompt cached. The second result is
// false if no endpoint is available.
func (s *Scheduler) fastestTotal(r *request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.available(s.now) {
			continue
		}
		total := s.estimateOn(e, r, r.PromptTokens, 0, 0).total
		if !found || total < best {
			best, found = total, true
		}
	}
	return best, found
}

// fastestTotalUnderLoad estimates the least time that a request needs on any available
// endpoint whose other slots are all in use. The second result is false if no endpoint
// is available.
func (s *Scheduler) fastestTotalUnderLoad(r *request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.available(s.now) {
			continue
		}
		total := s.estimateOn(e, r, r.PromptTokens, max(0, e.slots()-1), 0).total
		if !found || total < best {
			best, found = total, true
		}
	}
	return best, found
}

// costOf estimates the slot time of a request on an endpoint of average speed with all
// slots in use.
func (s *Scheduler) costOf(r *request) time.Duration {
	if s.endpoints.plainService() {
		return s.endpoints.average(s.now).decode
	}
	average := s.endpoints.average(s.now)
	return average.prefill*time.Duration(r.PromptTokens) + time.Duration(float64(average.decode)*r.outputTokens)
}
