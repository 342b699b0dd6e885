package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

const (
	// directLookupLimit is the number of endpoints up to which the cache of each is
	// looked up instead of the index over all.
	directLookupLimit = 4
)

// matchPrefix fills s.matched for a request, by endpoint number.
func (s *Scheduler) matchPrefix(r *request) {
	s.growMatched()
	s.blocks.Match(r.Prefix, s.matched)
}

// growMatched resizes s.matched to hold every endpoint number.
func (s *Scheduler) growMatched() {
	n := int(s.endpoints.numberCount)
	if cap(s.matched) < n {
		s.matched = make([]int, n)
	}
	s.matched = s.matched[:n]
}

// cachedOn returns the number of prompt tokens expected in an endpoint's cache. It
// needs the result of matchPrefix.
func (s *Scheduler) cachedOn(r *request, e *endpoint) int {
	tokens := min(prefix.Sum(r.PrefixTokens, s.matched[e.number]), r.PromptTokens)
	return int(float64(tokens) * e.cacheTrust)
}

// findCacheEndpoint finds the available endpoint that has most of a prompt cached. It
// needs the result of matchPrefix.
func (s *Scheduler) findCacheEndpoint(r *request) {
	r.bestCached, r.cacheEndpoint = 0, nil
	for _, e := range s.endpoints.rows {
		if s.matched[e.number] == 0 || !e.available(s.now) {
			continue
		}
		if cached := s.cachedOn(r, e); cached > r.bestCached {
			r.bestCached, r.cacheEndpoint = cached, e
		}
	}
}

// waitsForCache reports whether a held request still waits for its cache endpoint
// alone.
func (s *Scheduler) waitsForCache(r *request) bool {
	return r.heldForCache && s.now < r.heldUntil && (!r.urgent || !s.hasSpareCapacity())
}

// matchAmong fills s.matched for a request and some endpoints.
func (s *Scheduler) matchAmong(r *request, among []*endpoint) {
	if len(among) > directLookupLimit {
		s.matchPrefix(r)
		return
	}
	s.growMatched()
	for _, e := range among {
		s.matched[e.number] = s.blocks.MatchOne(e.number, r.Prefix)
	}
}

// holdForPrefix returns how long a request may wait for a slot of the endpoint that
// has its prefix instead of taking the given placement; 0: not at all.
func (s *Scheduler) holdForPrefix(r *request, p *placement) time.Duration {
	if p.endpoint == nil || s.config.WithoutHolds || r.due || s.steered(p) || (r.urgent && s.hasSpareCapacity()) {
		return 0
	}
	s.matchPrefix(r)
	s.findCacheEndpoint(r)
	if r.bestCached-p.cached < rules.MinCacheSavingTokens {
		return 0
	}
	if r.phase == phaseQueued && s.queue.tier(r.priority()).heldForCache >= rules.MaxHeldForCachePerEndpoint*s.availableEndpoints {
		return 0
	}
	if r.heldUntil > 0 {
		return max(0, r.heldUntil-s.now)
	}
	return s.holdTime(r, p)
}

// holdTime returns how long a request may wait for its prefix: in proportion to the
// prefill time saved, within its slack.
func (s *Scheduler) holdTime(r *request, p *placement) time.Duration {
	saved := p.endpoint.speed.Prefill(s.now, r.bestCached-p.cached)
	slack := r.Deadline - s.now - p.estimate.cautious
	if r.FirstDue > 0 {
		slack = min(slack, s.objectiveSlack(r, p))
	}
	return min(rules.HoldPerPrefillSaved*saved, time.Duration(r.holdSlackFraction()*float64(slack)), rules.MaxCacheHold)
}

// objectiveSlack returns how long a request can wait and still meet its objective by a
// placement; 0 for a late request.
func (s *Scheduler) objectiveSlack(r *request, p *placement) time.Duration {
	if r.late {
		return 0
	}
	return max(0, r.FirstDue-s.now-p.endpoint.objectiveTime(p.estimate))
}

// cacheEvent corrects the modelled cache.
func (s *Scheduler) cacheEvent(e CacheEvent) {
	row := s.endpoints.byName[e.Endpoint]
	if row == nil {
		return
	}
	s.blocks.Evict(row.number, e.Evicted)
	s.blocks.Store(row.number, e.Stored, nil)
}

// observeCached corrects the trust in the modelled cache by the number of cached
// tokens that the engine found.
func (s *Scheduler) observeCached(a *attempt, found int) {
	if a.cached < rules.MinCacheSavingTokens {
		return
	}
	ratio := min(1, float64(found)/float64(a.cached))
	a.endpoint.cacheTrust += rules.CacheTrustWeight * (ratio - a.endpoint.cacheTrust)
	a.endpoint.cacheTrust = max(a.endpoint.cacheTrust, rules.MinCacheTrust)
}

// holdLimit bounds the wait for the endpoint with the prefix for a request that is
// held for another reason.
func (s *Scheduler) holdLimit(r *request) time.Duration {
	total, _ := s.fastestTotal(r)
	slack := r.Deadline - s.now - total
	return max(0, min(time.Duration(r.holdSlackFraction()*float64(slack)), rules.MaxCacheHold))
}

// holdSlackFraction returns the fraction of its slack that the request may wait for
// its prefix.
func (r *request) holdSlackFraction() float64 {
	if r.Rank == 0 && r.FirstDue == 0 {
		return rules.TopTierHoldSlackFraction
	}
	return rules.HoldSlackFraction
}
