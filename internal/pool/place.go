package pool

import (
	"fmt"
	"strconv"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// candidate is an endpoint that is examined for a request.
type candidate struct {
	endpoint *endpoint
	// cached is the number of prompt tokens expected in the endpoint's cache, and
	// bestCached the largest such number on any available endpoint of the pool.
	cached, bestCached int
	estimate           estimate
}

// filter returns the reason why a candidate can't take a request now, or an empty text
// if it can.
type filter interface {
	filter(s *Scheduler, r *request, c *candidate) string
}

// scorer returns the cost of placing a request on a candidate, as time.
type scorer interface {
	score(s *Scheduler, r *request, c *candidate) time.Duration
}

// reserver returns the reason why a request may not take one of the last free slots of
// the pool, or an empty text if it may.
type reserver interface {
	reserve(s *Scheduler, r *request) string
}

// The filters, scorers and reservers, in the order in which they run.
var (
	filters   = []filter{backoffFilter{}, prefillFilter{}, objectiveFilter{}, deadlineFilter{}}
	scorers   = []scorer{finishScore{}, interferenceScore{}, prefixScore{}, failureScore{}, domainScore{}}
	reservers = []reserver{suspectReserve{}, longRequestReserve{}, longPrefillReserve{}, shareReserve{}}
)

// Reasons of filters and reservers.
const (
	reasonFull           = "every slot is in use"
	reasonPrefill        = "too much is waiting for prefill there"
	reasonLateFirstToken = "its first token would be late there"
	reasonPastDeadline   = "it would end after its deadline there"
	reasonLongPrefills   = "enough endpoints are busy with long prompts"
	reasonShare          = "the last slots are kept for teams within their share"
	reasonReserved       = "the last slots are kept from long work"
	reasonLastEndpoint   = "it was lost with an endpoint, and only one takes work"
	reasonBackoff        = "it asked the request's host to wait"
	reasonCacheHold      = "it waits for the endpoint that has its prefix cached"
)

// placement is the result of the search for an endpoint.
type placement struct {
	// endpoint is nil if there is none now.
	endpoint *endpoint
	cached   int
	estimate estimate
	// reason says why the endpoint was chosen, or why there is none.
	reason string
	// hold is how long the request may wait for the endpoint with its prefix instead.
	hold time.Duration
	// isolated means that the endpoint runs nothing else beside the request.
	isolated bool
	// sawFreeSlot means that an examined endpoint had a free slot.
	sawFreeSlot bool
	// left means that the endpoint is outside the custodian's failure domain, and gain is what the
	// caller gains by that; 0 if the domain has no free endpoint.
	left bool
	gain time.Duration
}

// place finds the endpoint with the lowest cost among some open ones.
func (s *Scheduler) place(r *request, among []*endpoint) placement {
	for _, p := range reservers {
		if reason := p.reserve(s, r); reason != "" {
			return placement{reason: reason, sawFreeSlot: true}
		}
	}
	s.matchAmong(r, among)
	out := placement{reason: reasonFull}
	reserve := r.Rank > 0 && s.meter.HasArrivals(0)
	var least, leastNear time.Duration
	for _, e := range among {
		free := e.free()
		if free <= 0 {
			continue
		}
		out.sawFreeSlot = true
		if s.rollout != nil && s.keepsRetry(r, e) {
			continue
		}
		if reserve && r.FirstDue == 0 && free <= e.reservedSlots() {
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
		if s.rollout != nil {
			cost += s.steeringScore(e)
		}
		if e.Domain == r.Near && (leastNear == 0 || cost < leastNear) {
			leastNear = cost
		}
		if out.endpoint == nil || cost < least {
			least = cost
			out.endpoint, out.cached, out.estimate = e, c.cached, c.estimate
		}
	}
	if hold := s.holdForPrefix(r, &out); hold > 0 {
		return placement{reason: reasonCacheHold, sawFreeSlot: true, hold: hold}
	}
	out.explain(r.bestCached)
	if s.domains.Enabled() && out.endpoint != nil && r.Near != "" && out.endpoint.Domain != r.Near {
		out.explainLeaving(r, least, leastNear, s.domains.Cost(s.now, out.endpoint.Domain, r.Bytes))
	}
	return out
}

// explainLeaving records that a placement leaves the custodian's domain, what the caller gains by it
// before its cost, and that cost. Without a free endpoint in the domain the gain is unknown.
func (p *placement) explainLeaving(r *request, least, leastNear, cost time.Duration) {
	p.left = true
	gain := "unknown"
	if leastNear > 0 {
		p.gain = leastNear - least + cost
		gain = strconv.FormatInt(p.gain.Milliseconds(), 10)
	}
	p.reason += fmt.Sprintf(", left_domain %s for %s, gain_ms %s, cost_ms %d", r.Near, p.endpoint.Domain, gain, cost.Milliseconds())
}

func (p *placement) explain(bestCached int) {
	if p.endpoint == nil {
		return
	}
	p.reason = fmt.Sprintf("least time: %v expected, %d of %d cached prompt tokens there, %d in flight",
		p.estimate.total.Round(time.Millisecond), p.cached, bestCached, p.endpoint.inFlight)
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
	s.scratchCandidate = candidate{
		endpoint:   e,
		cached:     cached,
		bestCached: max(r.bestCached, cached),
		estimate:   s.estimateOn(e, r, cached, e.inFlight, e.pendingTokens),
	}
	return &s.scratchCandidate
}

// prefillFilter bounds the prefill pending at an endpoint: engines prefill prompts in
// the order of their arrival, so that a request of a high tier would wait behind those
// of low tiers.
type prefillFilter struct{}

func (prefillFilter) filter(s *Scheduler, r *request, c *candidate) string {
	e := c.endpoint
	if e.pendingTokens == 0 {
		return ""
	}
	if e.speed.Prefill(s.now, e.pendingTokens+r.PromptTokens-c.cached) > rules.MaxPendingPrefill {
		return reasonPrefill
	}
	return ""
}

// objectiveFilter keeps a request that can still meet its objective from endpoints
// where it would not: a slot of another endpoint may be freed in time.
type objectiveFilter struct{}

func (objectiveFilter) filter(s *Scheduler, r *request, c *candidate) string {
	if r.FirstDue > 0 && !r.late && s.now+c.endpoint.objectiveTime(c.estimate) > r.FirstDue {
		return reasonLateFirstToken
	}
	return ""
}

// deadlineFilter requires that the complete answer meets the deadline. The more
// prefill would be wasted, the larger the safety margin.
type deadlineFilter struct{}

func (deadlineFilter) filter(s *Scheduler, r *request, c *candidate) string {
	caution := min(1, float64(r.PromptTokens-c.cached)/rules.CautiousPrefillTokens)
	switch {
	case r.urgent && s.hasSpareCapacity():
		caution = 0
	case r.Rank == 0:
		caution *= rules.TopTierCaution
	}
	margin := caution * float64(c.estimate.cautious-c.estimate.total)
	if s.now+c.estimate.total+time.Duration(margin) > r.Deadline {
		return reasonPastDeadline
	}
	return ""
}

// finishScore is the expected time to the complete answer.
type finishScore struct{}

func (finishScore) score(_ *Scheduler, _ *request, c *candidate) time.Duration {
	return c.estimate.total
}

// interferenceScore is the time that the prefill takes from the requests in flight on
// the endpoint.
type interferenceScore struct{}

func (interferenceScore) score(s *Scheduler, r *request, c *candidate) time.Duration {
	if c.endpoint.inFlight == 0 {
		return 0
	}
	prefill := c.endpoint.speed.Prefill(s.now, r.PromptTokens-c.cached)
	return time.Duration(rules.PrefillInterference * float64(prefill) * float64(c.endpoint.inFlight))
}

// prefixScore is a penalty for prefilling tokens that another endpoint has cached.
type prefixScore struct{}

func (prefixScore) score(s *Scheduler, _ *request, c *candidate) time.Duration {
	if c.bestCached == c.cached {
		return 0
	}
	return rules.PrefixMissPenalty * c.endpoint.speed.Prefill(s.now, c.bestCached-c.cached)
}

// suspectReserve keeps the last available endpoint from requests that were lost with
// others.
type suspectReserve struct{}

func (suspectReserve) reserve(s *Scheduler, r *request) string {
	if !r.Repeats || s.suspects.find(r.KeyHash, r.Fingerprint) == nil && len(s.findParts(&r.Request)) == 0 {
		return ""
	}
	if s.onlyOneAvailable() {
		return reasonLastEndpoint
	}
	return ""
}

// longRequestReserve keeps the last free slots of the pool from long requests below
// the highest tier, so that short requests and those of the highest tier get a slot
// soon.
type longRequestReserve struct{}

func (longRequestReserve) reserve(s *Scheduler, r *request) string {
	if r.Rank == 0 || r.due || r.cost < rules.LongRequestCost {
		return ""
	}
	if s.totalSlots > 1 && float64(s.totalFreeSlots) <= rules.ReservedSlotFraction*float64(s.totalSlots) {
		return reasonReserved
	}
	return ""
}

// longPrefillReserve keeps some endpoints free of long prompts of lower tiers, behind
// which a request of the highest tier would wait for its first token.
type longPrefillReserve struct{}

func (longPrefillReserve) reserve(s *Scheduler, r *request) string {
	if r.Rank == 0 || !s.longPrefill(r.PromptTokens-r.bestCached) {
		return ""
	}
	if s.longPrefillEndpoints >= max(1, int(rules.LongPrefillFraction*float64(s.availableEndpoints))) {
		return reasonLongPrefills
	}
	return ""
}

// longPrefill reports whether the prefill of tokens takes longer than
// rules.MaxPendingPrefill on an average endpoint.
func (s *Scheduler) longPrefill(tokens int) bool {
	return time.Duration(tokens)*s.endpoints.average(s.now).prefill > rules.MaxPendingPrefill
}

// failureScore is a penalty for endpoints whose answers fail, and for the endpoint
// where an earlier try of the request failed.
type failureScore struct{}

func (failureScore) score(s *Scheduler, r *request, c *candidate) time.Duration {
	penalty := c.endpoint.errors.Penalty(s.now)
	if r.Avoid != "" && c.endpoint.Name == r.Avoid {
		penalty += rules.FailedEndpointPenalty
	}
	return penalty
}

// domainScore is a penalty for endpoints outside the custodian's failure domain:
// traffic between domains is charged for, and a partition between them breaks the
// connections that cross it.
type domainScore struct{}

func (domainScore) score(s *Scheduler, r *request, c *candidate) time.Duration {
	switch {
	case r.Near == "" || c.endpoint.Domain == r.Near:
		return 0
	case s.domains.Enabled():
		return s.domains.Cost(s.now, c.endpoint.Domain, r.Bytes)
	}
	return rules.CrossDomainPenalty
}
