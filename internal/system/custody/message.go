package custody

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// submission encodes the request for its scheduler. epoch is the highest epoch
// seen for its pool.
func (r *entry) submission(now time.Duration, epoch uint64) *peerpb.Submit {
	m := &peerpb.Submit{
		Request: string(r.ID), Target: r.pool.Target, Domain: string(r.pool.Domain),
		TierRank: int32(r.Rank), Team: string(r.Team),
		PromptTokens: int64(r.PromptTokens), MaxTokens: int64(r.MaxTokens),
		DeadlineUs: (r.Deadline - now).Microseconds(),
		Prefix:     r.Prefix, KeyHash: r.KeyHash, Fingerprint: r.Fingerprint, Parts: r.Parts,
		Repeats: r.Repeats, Idempotent: r.Idempotent, Spilled: r.spilled, ClockUs: now.Microseconds(),
		Epoch: epoch, ExpectedTokens: int64(r.ExpectedTokens), Avoid: string(r.Avoid), Cost: r.Cost,
		Near: string(r.Near), Route: r.Route, Bytes: int64(r.Bytes),
	}
	if r.FirstDue > 0 {
		m.HasObjective = true
		m.FirstTokenDueUs = (r.FirstDue - now).Microseconds()
	}
	if r.Patience > 0 {
		m.PatienceUs = max(1, (r.Patience - now).Microseconds())
	}
	for _, n := range r.PrefixTokens {
		m.PrefixTokens = append(m.PrefixTokens, uint32(n))
	}
	return m
}

// running encodes a dispatched request for its scheduler. The prefix is omitted
// because placement no longer needs it.
func (r *entry) running(now time.Duration) *peerpb.Running {
	request := r.submission(now, 0)
	request.Prefix, request.PrefixTokens = nil, nil
	m := &peerpb.Running{
		Request: request, Endpoint: string(r.endpoint), Attempt: uint64(r.attempt),
		AgeUs: (now - r.dispatchedAt).Microseconds(),
	}
	if r.firstTokenAt > 0 {
		m.FirstTokenAgeUs = max(1, (now - r.firstTokenAt).Microseconds())
	}
	return m
}

// report fills in the request's identity and sends the report to the pool's
// current scheduler, which may differ from the one that granted.
func (s *System) report(now time.Duration, r *entry, m *peerpb.Report, out *system.Outbox) {
	m.Request = string(r.ID)
	m.Target = r.pool.Target
	m.Domain = string(r.pool.Domain)
	m.Endpoint = string(r.endpoint)
	m.Attempt = uint64(r.attempt)
	m.ClockUs = now.Microseconds()
	m.Epoch = s.epochs[r.pool]
	to := r.scheduler
	if sched, ok := s.cfg.View.Scheduler(r.pool); ok {
		to = sched
	}
	out.Send(to.Host, peerpb.Wrap(&peerpb.Envelope_Report{Report: m}))
}

// sortedPools returns the keys sorted by target and domain.
func sortedPools(m map[ident.Pool]bool) []ident.Pool {
	return slices.SortedFunc(maps.Keys(m), func(a, b ident.Pool) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain))
	})
}
