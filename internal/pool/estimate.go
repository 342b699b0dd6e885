package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// serviceTokens stands for the work of a call to a plain service, whose
	// speed is learned in calls per second.
	serviceTokens = 1
)

// estimate is how long a request is expected to take on an endpoint.
type estimate struct {
	// first is the time to the first token, total to the last.
	first, total time.Duration
	// cautious is a total that few requests exceed.
	cautious time.Duration
}

// outputs returns the expected number of tokens to generate.
func (s *Scheduler) outputs(r *Request) float64 {
	if s.endpoints.plainService() {
		return serviceTokens
	}
	if r.ExpectedTokens > 0 {
		return float64(r.ExpectedTokens)
	}
	return s.lengths.Expect(r.Team, r.MaxTokens)
}

// estimateOn estimates a request that finds cached tokens of its prompt on an
// endpoint with others in flight.
func (s *Scheduler) estimateOn(e *endpoint, r *request, cached, others, pending int) estimate {
	prompt := max(0, r.PromptTokens-cached) + pending
	if e.Type == resource.EndpointService {
		prompt = 0
	}
	first := rules.DispatchOverhead + e.speed.Prefill(s.now, prompt)
	if e.Ahead > 0 && others >= e.slots() {
		// It begins when one of those that hold the slots ends.
		first += e.speed.Decode(s.now, r.mean, others) / time.Duration(max(1, e.slots()))
	}
	total := first + e.speed.Decode(s.now, r.mean, others)
	return estimate{
		first:    first,
		total:    total,
		cautious: time.Duration(float64(total) * s.surprise.Factor()),
	}
}

// fastest estimates the least time that a request needs on any endpoint that
// may take it, were it alone there with its whole prefix cached.
func (s *Scheduler) fastest(r *request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.takesWork(s.now) {
			continue
		}
		total := s.estimateOn(e, r, r.PromptTokens, 0, 0).total
		if !found || total < best {
			best, found = total, true
		}
	}
	return best, found
}

// busy estimates the least time that a request needs on any endpoint that may
// take it, beside a full window.
func (s *Scheduler) busy(r *request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.takesWork(s.now) {
			continue
		}
		total := s.estimateOn(e, r, r.PromptTokens, max(0, e.slots()-1), 0).total
		if !found || total < best {
			best, found = total, true
		}
	}
	return best, found
}

// costOf estimates the slot time of a request on an endpoint of average speed
// with a full window.
func (s *Scheduler) costOf(r *request) time.Duration {
	if s.endpoints.plainService() {
		return s.endpoints.average(s.now).decode
	}
	average := s.endpoints.average(s.now)
	return average.prefill*time.Duration(r.PromptTokens) + time.Duration(float64(average.decode)*r.mean)
}
