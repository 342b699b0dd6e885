package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

const (
	// fewEndpoints is up to how many endpoints each cache is looked up, instead
	// of the index of all.
	fewEndpoints = 4
)

// matchPrefix fills s.matched for a request, by endpoint number.
func (s *Scheduler) matchPrefix(r *request) {
	s.growMatched()
	s.blocks.Match(r.Prefix, s.matched)
}

// growMatched makes room in s.matched for every endpoint.
func (s *Scheduler) growMatched() {
	n := int(s.endpoints.numbers)
	if cap(s.matched) < n {
		s.matched = make([]int, n)
	}
	s.matched = s.matched[:n]
}

// cachedOn returns the prompt tokens expected in an endpoint's cache, after
// matchPrefix.
func (s *Scheduler) cachedOn(r *request, e *endpoint) int {
	tokens := min(prefix.Sum(r.PrefixTokens, s.matched[e.number]), r.PromptTokens)
	return int(float64(tokens) * e.trust)
}

// findHome finds the endpoint that takes work and has the most of a prompt
// cached, after matchPrefix.
func (s *Scheduler) findHome(r *request) {
	r.best, r.home = 0, nil
	for _, e := range s.endpoints.rows {
		if s.matched[e.number] == 0 || !e.takesWork(s.now) {
			continue
		}
		if cached := s.cachedOn(r, e); cached > r.best {
			r.best, r.home = cached, e
		}
	}
}

// waitsForHome says whether a held request is to have no other endpoint than
// its home yet.
func (s *Scheduler) waitsForHome(r *request) bool {
	return r.heldForHome && s.now < r.heldUntil && (!r.urgent || !s.spare())
}

// matchAmong fills s.matched for a request and some endpoints.
func (s *Scheduler) matchAmong(r *request, among []*endpoint) {
	if len(among) > fewEndpoints {
		s.matchPrefix(r)
		return
	}
	s.growMatched()
	for _, e := range among {
		s.matched[e.number] = s.blocks.MatchOne(e.number, r.Prefix)
	}
}

// holdForPrefix returns how long a request may wait for a slot of the endpoint
// that has its prefix instead of taking the placement found; 0: not at all.
func (s *Scheduler) holdForPrefix(r *request, p *placement) time.Duration {
	if p.endpoint == nil || s.config.WithoutHolds || (r.urgent && s.spare()) {
		return 0
	}
	s.matchPrefix(r)
	s.findHome(r)
	if r.best-p.cached < rules.MinCacheSavingTokens {
		return 0
	}
	if r.phase == phaseQueued && s.queue.tier(r.order()).homeHeld >= rules.MaxHeldForCachePerEndpoint*s.working {
		return 0
	}
	if r.heldUntil > 0 {
		return max(0, r.heldUntil-s.now)
	}
	return s.holdTime(r, p)
}

// holdTime is how long a request may wait for its prefix: in proportion to
// the prefill that this saves, within the time that it can spare.
func (s *Scheduler) holdTime(r *request, p *placement) time.Duration {
	saved := p.endpoint.speed.Prefill(s.now, r.best-p.cached)
	spare := r.Deadline - s.now - p.estimate.cautious
	if r.FirstDue > 0 {
		spare = min(spare, s.objectiveSpare(r, p))
	}
	return min(rules.HoldPerPrefillSaved*saved, time.Duration(r.holdSlack()*float64(spare)), rules.MaxCacheHold)
}

// objectiveSpare is the time that a request can wait and still meet its objective
// by a placement; 0 for one that is late.
func (s *Scheduler) objectiveSpare(r *request, p *placement) time.Duration {
	if r.late {
		return 0
	}
	return max(0, r.FirstDue-s.now-p.endpoint.objective(p.estimate))
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

// sawCached corrects the trust in the modelled cache by what the engine found.
func (s *Scheduler) sawCached(a *attempt, found int) {
	if a.cached < rules.MinCacheSavingTokens {
		return
	}
	ratio := min(1, float64(found)/float64(a.cached))
	a.endpoint.trust += rules.CacheTrustWeight * (ratio - a.endpoint.trust)
	a.endpoint.trust = max(a.endpoint.trust, rules.MinCacheTrust)
}

// holdLimit bounds the wait for the endpoint with the prefix of a request that
// is held for another reason.
func (s *Scheduler) holdLimit(r *request) time.Duration {
	total, _ := s.fastest(r)
	spare := r.Deadline - s.now - total
	return max(0, min(time.Duration(r.holdSlack()*float64(spare)), rules.MaxCacheHold))
}

func (r *request) holdSlack() float64 {
	if r.Rank == 0 && r.FirstDue == 0 {
		return rules.TopTierHoldSlackFraction
	}
	return rules.HoldSlackFraction
}
