package naive

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// place is where a request may go now.
type place struct {
	endpoint *endpoint
	cached   int
	total    time.Duration
	hold     time.Duration
	room     bool
}

func (s *Scheduler) grant() {
	var open, changed []*endpoint
	for _, e := range s.endpoints {
		if s.free(e) <= 0 || !s.takesWork(e) || e == s.isolated {
			continue
		}
		open = append(open, e)
		if e.changed {
			changed = append(changed, e)
		}
		e.changed = false
	}
	if len(changed) > 0 {
		s.grantWaiting(changed)
	}
	s.grantFresh(open)
	waiting := len(s.in(queued)) + len(s.in(held))
	sweeping := slices.ContainsFunc(s.alarms, func(a alarm) bool { return a.kind == "sweep" })
	if len(open) > 0 && waiting > 0 && !sweeping {
		s.set(s, "sweep", s.now+rules.SweepInterval, func() {
			s.unseen = math.MaxInt
			for _, e := range s.endpoints {
				e.changed = true
			}
		})
	}
}

// grantWaiting notes the rank of which requests were not looked at, if any.
func (s *Scheduler) grantWaiting(among []*endpoint) {
	for _, rank := range s.ranks() {
		below := func() bool { return s.belowFloor(rank) }
		if !below() {
			continue
		}
		s.grantHeld(rank, among, below)
		if _, room := s.grantTier(rank, among, below); !room {
			return
		}
	}
	always := func() bool { return true }
	for _, rank := range s.ranks() {
		s.grantHeld(rank, among, always)
		seen, room := s.grantTier(rank, among, always)
		if !room {
			return
		}
		if !seen {
			s.unseen = min(s.unseen, rank)
			return
		}
	}
}

// belowFloor says whether a tier has got less than its floor.
func (s *Scheduler) belowFloor(rank int) bool {
	return rank > 0 && rank < rules.LatePriorityOffset && slices.Contains(s.objectives, rank) &&
		s.grantedTo.Below(rank, rules.TierFloorShare)
}

func (s *Scheduler) heldIn(rank int) []*request {
	var out []*request
	for _, r := range s.in(held) {
		if r.order() == rank {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.setAside, b.setAside) })
	return out
}

func (s *Scheduler) grantHeld(rank int, among []*endpoint, while func() bool) {
	for _, r := range s.heldIn(rank) {
		if !while() {
			return
		}
		waits := r.heldForHome && s.now < r.heldUntil && (!r.urgent || !s.spare())
		candidates := among
		if waits {
			candidates = []*endpoint{r.home}
		}
		if waits && !slices.Contains(among, r.home) {
			continue
		}
		if s.bodyBusy(r) {
			s.park(r)
			continue
		}
		p := s.place(r, candidates)
		if p.endpoint != nil && !s.atLimit(r.Team) {
			s.withdraw(r)
			s.issue(r, p, false)
		}
	}
}

// homeHeld counts the held requests of a rank that were held for their prefix.
func (s *Scheduler) homeHeld(rank int) int {
	n := 0
	for _, r := range s.heldIn(rank) {
		if r.heldForHome {
			n++
		}
	}
	return n
}

func (s *Scheduler) atLimit(name ident.Team) bool {
	n := 0
	for _, a := range s.attempts {
		if a.request.Team == name && a.holds {
			n++
		}
	}
	most := s.team(name).MaxInFlight
	return most > 0 && n >= most
}

// grantTier says whether all requests of a tier were looked at, and whether any
// endpoint had a free slot.
func (s *Scheduler) grantTier(rank int, among []*endpoint, while func() bool) (seen, room bool) {
	var aside []ident.Team
	for look := rules.MaxTeamsExamined; look > 0 && while(); {
		team, ok := s.nextTeam(rank, aside)
		if !ok {
			return true, true
		}
		if s.atLimit(team) {
			aside = append(aside, team)
			continue
		}
		r := s.teamQueue(rank, team)[0]
		if s.bodyBusy(r) {
			s.park(r)
			continue
		}
		p := s.place(r, among)
		if p.endpoint != nil {
			s.claim(r)
			s.issue(r, p, false)
			continue
		}
		if p.room && s.keep(r, p) {
			continue
		}
		aside = append(aside, team)
		look--
		if !p.room {
			return false, false
		}
	}
	return false, true
}

// nextTeam returns the team with the smallest start tag that is not set aside.
func (s *Scheduler) nextTeam(rank int, aside []ident.Team) (ident.Team, bool) {
	teams := slices.DeleteFunc(s.activeTeams(rank), func(t ident.Team) bool { return slices.Contains(aside, t) })
	if len(teams) == 0 {
		return "", false
	}
	return slices.MinFunc(teams, func(a, b ident.Team) int {
		return cmp.Or(cmp.Compare(s.share(rank, a).start, s.share(rank, b).start), cmp.Compare(a, b))
	}), true
}

func (s *Scheduler) grantFresh(open []*endpoint) {
	fresh := s.fresh
	s.fresh = nil
	slices.SortStableFunc(fresh, func(a, b *request) int { return cmp.Compare(a.order(), b.order()) })
	for _, r := range fresh {
		switch {
		case r.state != queued && r.state != held, r.order() > s.unseen:
		case s.bodyBusy(r):
			s.park(r)
		case s.atLimit(r.Team):
		default:
			s.grantOne(r, open)
		}
	}
}

func (s *Scheduler) grantOne(r *request, open []*endpoint) {
	p := s.place(r, open)
	if p.endpoint != nil {
		s.claim(r)
		s.issue(r, p, false)
		return
	}
	if r.state == queued && p.room {
		s.keep(r, p)
	}
}

// claim takes a request out and books it to its team's share, once.
func (s *Scheduler) claim(r *request) {
	first := r.state == queued
	s.withdraw(r)
	if first {
		x, tier := s.share(r.order(), r.Team), s.share(r.order(), "")
		tier.virtual = max(tier.virtual, x.start)
		x.start += r.cost.Seconds() / weight(s.team(r.Team))
	}
}

func (s *Scheduler) keep(r *request, p place) bool {
	r.heldForHome = p.hold > 0
	if !r.heldForHome && len(s.heldIn(r.order()))-s.homeHeld(r.order()) >= rules.MaxHeldPerTier {
		return false
	}
	s.claim(r)
	s.held++
	r.state, r.setAside = held, s.held
	hold := p.hold
	if !r.heldForHome || r.FirstDue == 0 {
		total, _ := s.fastest(r)
		spare := r.Deadline - s.now - total
		hold = max(hold, 0, min(time.Duration(holdSlack(r)*float64(spare)), rules.MaxCacheHold))
	}
	r.heldUntil = s.now + hold
	s.watch(r)
	s.watchLate(r)
	if hold > 0 {
		s.set(r, "hold", r.heldUntil, func() { s.fresh = append(s.fresh, r) })
	}
	return true
}

func holdSlack(r *request) float64 {
	if r.Rank == 0 && r.FirstDue == 0 {
		return rules.TopTierHoldSlackFraction
	}
	return rules.HoldSlackFraction
}

func (s *Scheduler) place(r *request, among []*endpoint) place {
	if r.Rank > 0 && s.reserved(r) || s.kept(r) {
		return place{room: true}
	}
	var out place
	var least time.Duration
	for _, e := range among {
		if s.free(e) <= 0 {
			continue
		}
		out.room = true
		cached := s.cachedOn(r, e)
		total := s.estimate(e, r, cached, s.inFlight(e), s.pending(e))
		if !s.suits(r, e, cached, total) {
			continue
		}
		score := total + s.neighbours(r, e, cached) +
			rules.PrefixMissPenalty*e.speed.Prefill(s.now, max(r.best, cached)-cached) + s.failures(r, e) + distance(r, e)
		if out.endpoint == nil || score < least {
			least = score
			out.endpoint, out.cached, out.total = e, cached, total
		}
	}
	if hold := s.holdTime(r, out); hold > 0 {
		return place{room: true, hold: hold}
	}
	return out
}

// reserved says whether the free slots or endpoints are kept from a request.
func (s *Scheduler) reserved(r *request) bool {
	t := s.totals
	if !r.due && r.cost >= rules.LongRequestCost && t.slots > 1 && float64(t.free) <= rules.ReservedSlotFraction*float64(t.slots) {
		return true
	}
	return s.longPrefill(r.PromptTokens-r.best) &&
		t.longPrefills >= max(1, int(rules.LongPrefillFraction*float64(t.working)))
}

func (s *Scheduler) suits(r *request, e *endpoint, cached int, total time.Duration) bool {
	if r.Rank > 0 && r.FirstDue == 0 && s.meter.HasArrivals(0) && s.free(e) <= slots(e)/rules.SlotsPerReservedSlot {
		return false
	}
	pending := s.pending(e)
	if pending > 0 && e.speed.Prefill(s.now, pending+r.PromptTokens-cached) > rules.MaxPendingPrefill {
		return false
	}
	if r.FirstDue > 0 && !r.late && s.now+s.objective(e, r, cached, s.inFlight(e), pending) > r.FirstDue {
		return false
	}
	stake := min(1, float64(r.PromptTokens-cached)/rules.CautiousPrefillTokens)
	switch {
	case r.urgent && s.spare():
		stake = 0
	case r.Rank == 0:
		stake *= rules.TopTierCaution
	}
	margin := stake * float64(s.cautious(total)-total)
	return s.now+total+time.Duration(margin) <= r.Deadline
}

func (s *Scheduler) neighbours(r *request, e *endpoint, cached int) time.Duration {
	prefill := e.speed.Prefill(s.now, r.PromptTokens-cached)
	return time.Duration(rules.PrefillInterference * float64(prefill) * float64(s.inFlight(e)))
}

// holdTime is how long a request waits for its prefix rather than take a place.
func (s *Scheduler) holdTime(r *request, p place) time.Duration {
	if p.endpoint == nil || r.due || (r.urgent && s.spare()) {
		return 0
	}
	s.findHome(r)
	if r.best-p.cached < rules.MinCacheSavingTokens {
		return 0
	}
	if r.state == queued && s.homeHeld(r.order()) >= rules.MaxHeldForCachePerEndpoint*s.totals.working {
		return 0
	}
	if r.heldUntil > 0 {
		return max(0, r.heldUntil-s.now)
	}
	saved := p.endpoint.speed.Prefill(s.now, r.best-p.cached)
	spare := r.Deadline - s.now - s.cautious(p.total)
	switch {
	case r.FirstDue > 0 && r.late:
		spare = min(spare, 0)
	case r.FirstDue > 0:
		first := s.objective(p.endpoint, r, p.cached, s.inFlight(p.endpoint), s.pending(p.endpoint))
		spare = min(spare, max(0, r.FirstDue-s.now-first))
	}
	return min(rules.HoldPerPrefillSaved*saved, time.Duration(holdSlack(r)*float64(spare)), rules.MaxCacheHold)
}

func (s *Scheduler) issue(r *request, p place, alone bool) {
	e := p.endpoint
	s.attempted++
	a := &attempt{
		id:       ident.Attempt(s.attempted),
		request:  r.Request,
		endpoint: e,
		granted:  s.now,
		cached:   p.cached,
		uncached: max(0, r.PromptTokens-p.cached),
		others:   s.inFlight(e),
		expected: p.total,
	}
	a.ahead = s.pending(e) + a.uncached
	s.store(e, r.Prefix, r.PrefixTokens)
	s.attempts = append(s.attempts, a)
	s.hold(a)
	s.meter.RecordGrant(r.cost)
	if r.FirstDue > 0 {
		s.grantedTo.RecordGrant(s.now, r.Rank, r.cost)
		s.sizes.RecordGrant(s.now, r.Rank, rules.SizeClass(r.cost))
	}
	s.totals.free--
	if s.longPrefill(a.uncached) {
		s.totals.longPrefills++
	}
	r.state, r.attempt = granted, a
	expires := s.now + rules.GrantLifetime
	s.set(a, "attempt", expires+rules.GrantReportMargin, func() { s.lapse(a) })
	s.out = append(s.out, pool.Grant{
		ID: r.ID, Host: r.Host, Endpoint: e.Name, Attempt: a.id, Expires: expires, Isolated: alone,
	})
}

// failures is what an endpoint's failed answers cost a request there.
func (s *Scheduler) failures(r *request, e *endpoint) time.Duration {
	penalty := e.errors.Penalty(s.now)
	if r.Avoid != "" && e.Name == r.Avoid {
		penalty += rules.FailedEndpointPenalty
	}
	return penalty
}

// distance is what placing a request in another failure domain costs.
func distance(r *request, e *endpoint) time.Duration {
	if r.Near == "" || r.Near == e.Domain {
		return 0
	}
	return rules.CrossDomainPenalty
}
