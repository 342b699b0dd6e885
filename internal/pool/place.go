package pool

import (
	"fmt"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// candidate is an endpoint looked at for a request.
type candidate struct {
	endpoint *endpoint
	// cached is the number of prompt tokens expected in the endpoint's cache;
	// best the most on any endpoint of the pool that takes work.
	cached, best int
	estimate     estimate
}

// filter says why a candidate can't take a request now; empty if it can.
type filter interface {
	filter(s *Scheduler, r *request, c *candidate) string
}

// scorer returns what placing a request on a candidate costs, as time.
type scorer interface {
	score(s *Scheduler, r *request, c *candidate) time.Duration
}

// reserver says why a request may not take one of the last free slots of the
// pool; empty if it may.
type reserver interface {
	reserve(s *Scheduler, r *request) string
}

// The plugins in the order in which they run.
var (
	filters   = []filter{backoffFilter{}, prefillFilter{}, objectiveFilter{}, deadlineFilter{}}
	scorers   = []scorer{finishScore{}, neighbourScore{}, prefixScore{}, failureScore{}, domainScore{}}
	reservers = []reserver{suspectReserve{}, longWorkReserve{}, longPrefillReserve{}}
)

// Reasons of filters and reservers.
const (
	reasonFull     = "every slot is in use"
	reasonPrefill  = "too much is waiting for prefill there"
	reasonLate     = "its first token would be late there"
	reasonTooLate  = "it would end after its deadline there"
	reasonPrefills = "enough endpoints are busy with long prompts"
	reasonReserved = "the last slots are kept from long work"
	reasonSuspect  = "it was lost with an endpoint, and only one takes work"
	reasonBackoff  = "it asked the request's host to wait"
	reasonHome     = "it waits for the endpoint that has its prefix cached"
)

// placement is the result of looking for an endpoint.
type placement struct {
	// endpoint is nil if there is none now.
	endpoint *endpoint
	cached   int
	estimate estimate
	// reason says why the endpoint was chosen, or why there is none.
	reason string
	// hold is how long the request may wait for its prefix instead.
	hold time.Duration
	// isolated says that the endpoint is the request's alone.
	isolated bool
	// room says that some endpoint had a free slot.
	room bool
}

// place finds the endpoint with the least score among some open ones.
func (s *Scheduler) place(r *request, among []*endpoint) placement {
	for _, p := range reservers {
		if reason := p.reserve(s, r); reason != "" {
			return placement{reason: reason, room: true}
		}
	}
	s.matchAmong(r, among)
	out := placement{reason: reasonFull}
	below := r.Rank > 0 && s.meter.HasArrivals(0)
	var least time.Duration
	for _, e := range among {
		free := e.free()
		if free <= 0 {
			continue
		}
		out.room = true
		if below && r.FirstDue == 0 && free <= e.keptSlots() {
			continue
		}
		c := s.candidate(r, e)
		if reason := rejected(s, r, c); reason != "" {
			if out.endpoint == nil {
				out.reason = reason
			}
			continue
		}
		cost := totalScore(s, r, c)
		if out.endpoint == nil || cost < least {
			least = cost
			out.endpoint, out.cached, out.estimate = e, c.cached, c.estimate
		}
	}
	if hold := s.holdForPrefix(r, &out); hold > 0 {
		return placement{reason: reasonHome, room: true, hold: hold}
	}
	out.explain(r.best)
	return out
}

func (p *placement) explain(best int) {
	if p.endpoint == nil {
		return
	}
	p.reason = fmt.Sprintf("least time: %v expected, %d of %d cached prompt tokens there, %d in flight",
		p.estimate.total.Round(time.Millisecond), p.cached, best, p.endpoint.inFlight)
}

func rejected(s *Scheduler, r *request, c *candidate) string {
	for _, p := range filters {
		if reason := p.filter(s, r, c); reason != "" {
			return reason
		}
	}
	return ""
}

func totalScore(s *Scheduler, r *request, c *candidate) time.Duration {
	var sum time.Duration
	for _, p := range scorers {
		sum += p.score(s, r, c)
	}
	return sum
}

// candidate fills the scratch candidate.
func (s *Scheduler) candidate(r *request, e *endpoint) *candidate {
	cached := s.cachedOn(r, e)
	s.scratch = candidate{
		endpoint: e,
		cached:   cached,
		best:     max(r.best, cached),
		estimate: s.estimateOn(e, r, cached, e.inFlight, e.pending),
	}
	return &s.scratch
}

// prefillFilter bounds what waits for prefill at an endpoint: engines take
// prompts as they come, so that a high request would wait behind low ones.
type prefillFilter struct{}

func (prefillFilter) filter(s *Scheduler, r *request, c *candidate) string {
	e := c.endpoint
	if e.pending == 0 {
		return ""
	}
	if e.speed.Prefill(s.now, e.pending+r.PromptTokens-c.cached) > rules.MaxPendingPrefill {
		return reasonPrefill
	}
	return ""
}

// objectiveFilter keeps a request that can still meet its objective from an endpoint
// where it would not: another may come free in time.
type objectiveFilter struct{}

func (objectiveFilter) filter(s *Scheduler, r *request, c *candidate) string {
	if r.FirstDue > 0 && !r.late && s.now+c.endpoint.objective(c.estimate) > r.FirstDue {
		return reasonLate
	}
	return ""
}

// deadlineFilter wants the whole answer in time. The more prefill is at stake,
// the surer it has to be.
type deadlineFilter struct{}

func (deadlineFilter) filter(s *Scheduler, r *request, c *candidate) string {
	stake := min(1, float64(r.PromptTokens-c.cached)/rules.CautiousPrefillTokens)
	switch {
	case r.urgent && s.spare():
		stake = 0
	case r.Rank == 0:
		stake *= rules.TopTierCaution
	}
	margin := stake * float64(c.estimate.cautious-c.estimate.total)
	if s.now+c.estimate.total+time.Duration(margin) > r.Deadline {
		return reasonTooLate
	}
	return ""
}

// finishScore is the expected time to the whole answer.
type finishScore struct{}

func (finishScore) score(_ *Scheduler, _ *request, c *candidate) time.Duration {
	return c.estimate.total
}

// neighbourScore is the time that the prefill takes from the requests that
// are in flight on the endpoint.
type neighbourScore struct{}

func (neighbourScore) score(s *Scheduler, r *request, c *candidate) time.Duration {
	prefill := c.endpoint.speed.Prefill(s.now, r.PromptTokens-c.cached)
	return time.Duration(rules.PrefillInterference * float64(prefill) * float64(c.endpoint.inFlight))
}

// prefixScore is a penalty for prefilling again what another endpoint has
// cached.
type prefixScore struct{}

func (prefixScore) score(s *Scheduler, _ *request, c *candidate) time.Duration {
	return rules.PrefixMissPenalty * c.endpoint.speed.Prefill(s.now, c.best-c.cached)
}

// suspectReserve keeps the last endpoint that takes work from requests that were lost
// with others.
type suspectReserve struct{}

func (suspectReserve) reserve(s *Scheduler, r *request) string {
	if len(s.suspects.rows) == 0 || !r.Repeats || s.suspects.find(r.KeyHash, r.Fingerprint) == nil {
		return ""
	}
	if s.lastOpen() {
		return reasonSuspect
	}
	return ""
}

// longWorkReserve keeps the last free slots of the pool from long work below
// the highest tier, so that short and high requests find a slot soon.
type longWorkReserve struct{}

func (longWorkReserve) reserve(s *Scheduler, r *request) string {
	if r.Rank == 0 || r.cost < rules.LongRequestCost {
		return ""
	}
	if s.totalSlots > 1 && float64(s.totalFree) <= rules.ReservedSlotFraction*float64(s.totalSlots) {
		return reasonReserved
	}
	return ""
}

// longPrefillReserve keeps endpoints free of the long prompts of lower tiers,
// behind which a high request would wait for its first token.
type longPrefillReserve struct{}

func (longPrefillReserve) reserve(s *Scheduler, r *request) string {
	if r.Rank == 0 || !s.longPrefill(r.PromptTokens-r.best) {
		return ""
	}
	if s.longPrefills >= max(1, int(rules.LongPrefillFraction*float64(s.working))) {
		return reasonPrefills
	}
	return ""
}

// longPrefill says whether the prefill of tokens takes longer than an
// endpoint's prefill window, on average.
func (s *Scheduler) longPrefill(tokens int) bool {
	return time.Duration(tokens)*s.endpoints.average(s.now).prefill > rules.MaxPendingPrefill
}

// failureScore is a penalty for endpoints whose answers fail, and for the one where
// an earlier try of the request did.
type failureScore struct{}

func (failureScore) score(s *Scheduler, r *request, c *candidate) time.Duration {
	penalty := c.endpoint.errors.Penalty(s.now)
	if r.Avoid != "" && c.endpoint.Name == r.Avoid {
		penalty += rules.FailedEndpointPenalty
	}
	return penalty
}

// domainScore is a penalty for endpoints of other failure domains than the custodian's:
// bytes between domains are paid for, and a cut between them breaks what crosses it.
type domainScore struct{}

func (domainScore) score(_ *Scheduler, r *request, c *candidate) time.Duration {
	if r.Near == "" || c.endpoint.Domain == r.Near {
		return 0
	}
	return rules.CrossDomainPenalty
}
