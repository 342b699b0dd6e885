package naive

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

func (s *Scheduler) plainService() bool {
	return len(s.endpoints) > 0 && s.endpoints[0].Type == resource.EndpointService
}

func (s *Scheduler) takesWork(e *endpoint) bool {
	return e.declared && e.State != resource.EndpointDrain && s.now >= e.closedUntil
}

func slots(e *endpoint) int {
	return min(e.Slots, e.window.Size()) - e.load.Foreign
}

func (s *Scheduler) free(e *endpoint) int {
	return slots(e) + e.Ahead - s.inFlight(e)
}

func (s *Scheduler) averageSpeed() averageSpeed {
	if s.now < s.averageUntil {
		return s.average
	}
	var likes []*speed.Endpoint
	for _, e := range s.endpoints {
		likes = append(likes, &e.speed)
	}
	speed.ShareRates(likes)
	var prefill, decode, sum float64
	for _, e := range s.endpoints {
		w := float64(max(1, e.Slots))
		sum += w
		prefill += w * float64(e.speed.Prefill(s.now, 1))
		decode += w * float64(e.speed.Decode(s.now, 1, e.Slots))
	}
	sum = max(sum, 1)
	s.average = averageSpeed{time.Duration(prefill / sum), time.Duration(decode / sum)}
	s.averageUntil = s.now + rules.AverageSpeedTTL
	return s.average
}

// estimate returns the time to the whole answer.
func (s *Scheduler) estimate(e *endpoint, r *request, cached, others, pending int) time.Duration {
	prompt := max(0, r.PromptTokens-cached) + pending
	if e.Type == resource.EndpointService {
		prompt = 0
	}
	return rules.DispatchOverhead + e.speed.Prefill(s.now, prompt) + s.untilSlot(e, r, others) + e.speed.Decode(s.now, r.mean, others)
}

// untilSlot is how long a request waits at an endpoint for one of its slots.
func (s *Scheduler) untilSlot(e *endpoint, r *request, others int) time.Duration {
	if e.Ahead == 0 || others < slots(e) {
		return 0
	}
	return e.speed.Decode(s.now, r.mean, others) / time.Duration(max(1, slots(e)))
}

// objective returns the time that counts against a request's objective.
func (s *Scheduler) objective(e *endpoint, r *request, cached, others, pending int) time.Duration {
	if e.Type == resource.EndpointService {
		return s.estimate(e, r, cached, others, pending)
	}
	return rules.DispatchOverhead + e.speed.Prefill(s.now, max(0, r.PromptTokens-cached)+pending) + s.untilSlot(e, r, others)
}

// firstAlone returns the least time to the first token on any endpoint, alone.
func (s *Scheduler) firstAlone(r *request) time.Duration {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints {
		if !s.takesWork(e) {
			continue
		}
		first := s.objective(e, r, s.cachedOn(r, e), 0, 0)
		if !found || first < best {
			best, found = first, true
		}
	}
	return best
}

// admitByObjective admits a request that will be on time, or finds room among the
// late ones.
func (s *Scheduler) admitByObjective(r *request, total time.Duration) bool {
	spare := r.FirstDue - s.now - s.firstAlone(r)
	if r.before.Kept {
		r.dueAt = s.now + time.Duration(rules.PromisedWaitFraction*float64(s.lateSpare(r, total)))
		return true
	}
	r.late = r.late || min(s.waitOf(r, r.order()), s.floorWait(r)) > spare
	return !r.late || s.admitLate(r, total)
}

// noLonger returns the requests of a list that are no longer than another.
func noLonger(list []*request, r *request) []*request {
	var out []*request
	for _, x := range list {
		if rules.SizeClass(x.cost) <= rules.SizeClass(r.length()) {
			out = append(out, x)
		}
	}
	return out
}

// before is the slot time of an order that is served before a request.
func (s *Scheduler) before(r *request, order int) time.Duration {
	own := r.cost + cost(noLonger(s.teamQueue(order, r.Team), r))
	return min(cost(noLonger(s.inTier(order), r)), s.shareOf(r, order, own))
}

// shareOf is the slot time until a part of a team's work is through, if every team
// with queued requests gets its share.
func (s *Scheduler) shareOf(r *request, order int, own time.Duration) time.Duration {
	sum := 0.0
	active := s.activeTeams(order)
	for _, t := range active {
		sum += weight(s.team(t))
	}
	if !slices.Contains(active, r.Team) {
		sum += weight(s.team(r.Team))
	}
	return time.Duration(float64(own) * sum / weight(s.team(r.Team)))
}

// waitOf is the time until a request is served among those of an order.
func (s *Scheduler) waitOf(r *request, order int) time.Duration {
	sum := s.before(r, order)
	if order >= rules.LatePriorityOffset {
		sum += s.promises.Outstanding(s.now)
	}
	for _, x := range s.ranks() {
		if x < order {
			sum += cost(s.inTier(x))
		}
	}
	return s.drainTime(order, sum)
}

// floorWait is the time until a request is served by its tier's floor alone.
func (s *Scheduler) floorWait(r *request) time.Duration {
	if r.Rank == 0 || r.excess != share.Within {
		return math.MaxInt64
	}
	floor := rules.TierFloorShare * max(s.meter.Capacity(s.totals.slots), 1)
	return time.Duration(s.before(r, r.Rank).Seconds() / floor * float64(time.Second))
}

func (s *Scheduler) admitLate(r *request, total time.Duration) bool {
	if r.before.Kept {
		return true
	}
	for s.waitOf(r, r.order()) > s.lateSpare(r, total) {
		all := s.below(r.order())
		below := slices.DeleteFunc(slices.Clone(all), func(x *request) bool { return x.before.Kept })
		if len(below) == 0 && len(all) > 0 {
			return true
		}
		if len(below) == 0 || r.order() < rules.LatePriorityOffset {
			s.spillOr(r, result.ShedTier)
			return false
		}
		s.yield(below[0])
	}
	s.shedOverlong(r.order(), r.Team)
	return true
}

// lateSpare is how long a late request may wait.
func (s *Scheduler) lateSpare(r *request, total time.Duration) time.Duration {
	spare := r.Deadline - s.now - total
	if r.Patience > 0 {
		spare = min(spare, r.Patience-s.now-s.firstAlone(r))
	}
	if r.before.Waited && !r.before.Kept {
		spare *= rules.ReturnWaitTolerance
	}
	return spare
}

// outwaited refuses a request whose caller would leave before its first token.
func (s *Scheduler) outwaited(r *request) {
	if r.state != queued && r.state != held {
		return
	}
	s.drop(r)
	s.refuseForRoom(r, result.DeadlineTooNear)
}

// shedOverlong sheds the last of a team's in an order while it would wait too long.
func (s *Scheduler) shedOverlong(order int, team ident.Team) {
	for list := s.teamQueue(order, team); len(list) > 0; list = s.teamQueue(order, team) {
		r := slices.MaxFunc(list, compareUrgency)
		if r.before.Kept {
			return
		}
		total, ok := s.fastest(r)
		if !ok || s.waitOf(r, order) <= s.lateSpare(r, total) {
			return
		}
		s.yield(r)
	}
}

// becomeLate moves a waiting request behind all that can be on time.
func (s *Scheduler) becomeLate(r *request) {
	if r.state != queued && r.state != held {
		return
	}
	s.withdraw(r)
	r.late = true
	total, _ := s.fastest(r)
	if !s.admitLate(r, total) {
		s.removeRequest(r)
		return
	}
	s.enqueue(r)
}

// least returns the least estimate over the endpoints that take work, with the
// whole prompt cached and as many others as given.
func (s *Scheduler) least(r *request, others func(*endpoint) int) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range s.endpoints {
		if !s.takesWork(e) {
			continue
		}
		total := s.estimate(e, r, r.PromptTokens, others(e), 0)
		if !found || total < best {
			best, found = total, true
		}
	}
	return best, found
}

func (s *Scheduler) fastest(r *request) (time.Duration, bool) {
	return s.least(r, func(*endpoint) int { return 0 })
}

func (s *Scheduler) busy(r *request) (time.Duration, bool) {
	return s.least(r, func(e *endpoint) int { return max(0, slots(e)-1) })
}

func (s *Scheduler) cautious(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.surprise.Factor())
}

func (s *Scheduler) watch(r *request) {
	total, ok := s.busy(r)
	switch {
	case !ok:
		s.set(r, "deadline", r.Deadline, func() { s.hopeless(r) })
	case !r.urgent && s.now < r.Deadline-s.cautious(total):
		s.set(r, "deadline", r.Deadline-s.cautious(total), func() {
			r.urgent = true
			s.fresh = append(s.fresh, r)
			s.watch(r)
		})
	default:
		r.urgent = true
		s.set(r, "deadline", max(r.Deadline-total, r.recheck), func() { s.hopeless(r) })
	}
}

func (s *Scheduler) hopeless(r *request) {
	total, ok := s.busy(r)
	if ok && s.now+total < r.Deadline {
		r.recheck = s.now + rules.RecheckInterval
		s.watch(r)
		return
	}
	s.drop(r)
	switch {
	case s.now >= r.Deadline:
		s.refuse(r, result.Expired)
	case !ok:
		s.refuse(r, result.NoEndpoint)
	default:
		s.refuse(r, result.DeadlineTooNear)
	}
}

func (s *Scheduler) admit(r *request) bool {
	total, ok := s.fastest(r)
	x := s.suspect(r.Request)
	switch {
	case x != nil && x.Quarantined:
		s.refuseQuarantined(r)
	case r.Deadline <= s.now:
		s.refuse(r, result.Expired)
	case !ok:
		s.spillOr(r, result.NoEndpoint)
	case s.now+total > r.Deadline:
		s.refuse(r, result.DeadlineTooNear)
	default:
		return s.admitToQueue(r, total)
	}
	return false
}

func (s *Scheduler) admitToQueue(r *request, total time.Duration) bool {
	r.late = r.FirstDue > 0 && r.FirstDue-s.now < s.firstAlone(r)
	waiting := 0
	for _, x := range s.requests {
		if x.Team == r.Team && (x.state == queued || x.state == held) {
			waiting++
		}
	}
	if most := s.team(r.Team).MaxQueued; most > 0 && waiting >= most {
		s.refuse(r, result.TeamLimit)
		return false
	}
	for _, t := range s.tiers {
		if t.Rank == r.Rank && t.MaxQueued > 0 && !r.before.Kept && len(s.inTier(r.order())) >= t.MaxQueued {
			return s.admitToFull(r)
		}
	}
	return s.admitForRoom(r, total)
}

func (s *Scheduler) admitToFull(r *request) bool {
	if s.spill(r) {
		return false
	}
	below := s.below(r.order())
	if len(below) == 0 {
		s.refuse(r, result.QueueFull)
		return false
	}
	s.yield(below[0])
	return true
}

// below returns what waits in lower tiers, the lowest tier and latest deadline
// first.
func (s *Scheduler) below(rank int) []*request {
	var out []*request
	for _, x := range s.ranks() {
		if x > rank {
			out = append(out, s.inTier(x)...)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return compareUrgency(b, a) })
	return out
}

func compareUrgency(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.order(), b.order()),
		cmp.Compare(a.turn(), b.turn()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

func (s *Scheduler) yield(r *request) {
	s.drop(r)
	s.spillOr(r, result.ShedTier)
}

func (s *Scheduler) admitForRoom(r *request, total time.Duration) bool {
	if r.FirstDue > 0 {
		return s.admitByObjective(r, total)
	}
	if r.before.Kept {
		return true
	}
	wait := s.teamWait(r)
	spare := r.Deadline - s.now - total
	if wait <= spare {
		return true
	}
	if s.spill(r) {
		return false
	}
	below := s.below(r.Rank)
	if len(below) > 0 && wait <= time.Duration(rules.WaitToleranceOverLowerTiers*float64(spare)) {
		return true
	}
	for _, x := range below {
		s.yield(x)
	}
	s.refuse(r, result.ShedTier)
	return false
}

// teamWait is the expected wait of a new request.
func (s *Scheduler) teamWait(r *request) time.Duration {
	var above time.Duration
	for _, x := range s.ranks() {
		if x < r.Rank {
			above += cost(s.inTier(x))
		}
	}
	share := s.shareOf(r, r.Rank, r.cost+cost(s.teamQueue(r.Rank, r.Team)))
	return s.drainTime(r.Rank, above+min(cost(s.inTier(r.Rank)), share))
}

func cost(list []*request) time.Duration {
	var sum time.Duration
	for _, r := range list {
		sum += r.cost
	}
	return sum
}

// teamQueue returns a team's queued requests in the order of their turns.
func (s *Scheduler) teamQueue(rank int, team ident.Team) []*request {
	var out []*request
	for _, r := range s.in(queued) {
		if r.order() == rank && r.Team == team {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareUrgency)
	return out
}

// activeTeams returns the teams with queued requests by name.
func (s *Scheduler) activeTeams(rank int) []ident.Team {
	var out []ident.Team
	for _, r := range s.in(queued) {
		if r.order() == rank {
			out = append(out, r.Team)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Scheduler) retryAfter(rank int) time.Duration {
	return min(max(s.expectedWait(rank), rules.MinRetryAfter), rules.MaxRetryAfter)
}

func (s *Scheduler) expectedWait(rank int) time.Duration {
	var sum time.Duration
	for _, x := range s.ranks() {
		if x <= rank {
			sum += cost(s.inTier(x))
		}
	}
	return s.drainTime(rank, sum)
}

func (s *Scheduler) drainTime(rank int, backlog time.Duration) time.Duration {
	if backlog == 0 {
		return 0
	}
	capacity := max(s.meter.Capacity(s.totals.slots), 1)
	above := s.meter.ArrivalRateAbove(rank)
	if rank >= rules.LatePriorityOffset {
		above = s.meter.RecentArrivalRate()
	}
	left := max(capacity-above, rules.MinDrainFraction*capacity)
	return time.Duration(backlog.Seconds() / left * float64(time.Second))
}

func (s *Scheduler) spill(r *request) bool {
	if r.Spilled {
		return false
	}
	best := -1
	for i, x := range s.remotes {
		room := x.Free > 0 || (x.LowestRank > r.Rank && r.Rank < len(x.Wait) &&
			s.now+x.Wait[r.Rank]+r.cost < r.Deadline)
		if room && (best < 0 || x.Free > s.remotes[best].Free) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	s.remotes[best].Free--
	s.out = append(s.out, pool.Spill{ID: r.ID, Host: r.Host, Domain: s.remotes[best].Domain})
	return true
}

func (s *Scheduler) spillOr(r *request, code result.Code) {
	if !s.spill(r) {
		s.refuse(r, code)
	}
}

func (s *Scheduler) cachedOn(r *request, e *endpoint) int {
	n := 0
	for n < len(r.Prefix) && e.holds(r.Prefix[n]) {
		n++
	}
	return int(float64(min(prefix.Sum(r.PrefixTokens, n), r.PromptTokens)) * e.trust)
}

func (s *Scheduler) findHome(r *request) {
	r.best, r.home = 0, nil
	for _, e := range s.endpoints {
		if cached := s.cachedOn(r, e); s.takesWork(e) && cached > r.best {
			r.best, r.home = cached, e
		}
	}
}

func (s *Scheduler) countTotals() {
	s.totals = totals{}
	for _, e := range s.endpoints {
		if s.takesWork(e) {
			s.totals.slots += max(0, slots(e))
			s.totals.free += max(0, slots(e)-s.inFlight(e))
			s.totals.working++
			if s.longPrefill(s.pending(e)) {
				s.totals.longPrefills++
			}
		}
	}
}

func (s *Scheduler) longPrefill(tokens int) bool {
	return time.Duration(tokens)*s.averageSpeed().prefill > rules.MaxPendingPrefill
}

func (s *Scheduler) spare() bool {
	waiting := len(s.in(queued)) + len(s.in(held))
	return waiting <= s.totals.working && float64(s.totals.free) >= rules.SpareSlotFraction*float64(s.totals.slots)
}
