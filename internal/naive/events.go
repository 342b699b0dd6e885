package naive

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
	"github.com/trefoilchute/trefoilchute/internal/pool/window"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

func (s *Scheduler) take(e pool.Event) {
	switch e := e.(type) {
	case pool.Arrive:
		s.arrive(e.Request)
	case pool.Cancel:
		s.cancel(e.ID)
	case pool.Started:
		s.started(e)
	case pool.Declined:
		s.declined(e)
	case pool.FirstToken:
		s.firstToken(e)
	case pool.Finished:
		s.finished(e)
	case pool.LoadReport:
		s.loadReport(e)
	case pool.CacheEvent:
		s.cacheEvent(e)
	case pool.Configure:
		s.configure(e)
	case pool.Restore:
		s.restore(e)
	case pool.Remote:
		s.remote(e)
	case pool.Suspects:
		s.learnSuspects(e.List)
	case pool.HostLost:
		s.hostLost(e.Host)
	}
}

func (s *Scheduler) arrive(r pool.Request) {
	if s.find(r.ID) != nil {
		return
	}
	s.sequence++
	row := &request{Request: r, sequence: s.sequence, state: gone}
	row.mean = 1
	if !s.plainService() {
		row.mean = s.lengths.Expect(r.Team, r.MaxTokens)
		if r.ExpectedTokens > 0 {
			row.mean = float64(r.ExpectedTokens)
		}
	}
	row.cost = s.costOf(row)
	s.recognize(row)
	s.countArrival(row)
	if r.FirstDue > 0 {
		class := rules.SizeClass(row.cost)
		s.sizes.RecordArrival(s.now, r.Rank, class)
		row.favoured = s.sizes.Starved(s.now, r.Rank, class, rules.LongestFraction, rules.LongestMinGrantRatio)
	}
	if s.admit(row) {
		s.promises.Admitted(row.before)
		s.requests = append(s.requests, row)
		s.enqueue(row)
	}
}

func (s *Scheduler) enqueue(r *request) {
	r.attempt = nil
	s.watch(r)
	if s.suspect(r.Request) != nil {
		r.state = isolated
		return
	}
	if r.FirstDue > 0 && !slices.Contains(s.objectives, r.Rank) {
		s.objectives = append(s.objectives, r.Rank)
	}
	r.late = r.late || r.FirstDue > 0 && r.FirstDue-s.firstAlone(r) <= s.now
	s.watchLate(r)
	s.findHome(r)
	x := s.share(r.order(), r.Team)
	if len(s.teamQueue(r.order(), r.Team)) == 0 {
		x.start = max(x.start, s.share(r.order(), "").virtual)
	}
	r.state = queued
	s.fresh = append(s.fresh, r)
}

// watchLate waits for a request to become late, or for the caller of a late one to leave.
func (s *Scheduler) watchLate(r *request) {
	first := s.firstAlone(r)
	if r.FirstDue > 0 && !r.late {
		s.set(r, "late", r.FirstDue-first, func() { s.becomeLate(r) })
	}
	if r.FirstDue > 0 && r.late && r.before.Kept && !r.due {
		s.set(r, "late", r.dueAt, func() { s.becomeDue(r) })
		return
	}
	if r.FirstDue > 0 && r.late && r.Patience > 0 {
		s.set(r, "late", r.Patience-first, func() { s.outwaited(r) })
	}
}

func (s *Scheduler) withdraw(r *request) {
	if r.state >= granted {
		return
	}
	r.state = gone
	s.stop(r, "deadline")
	s.stop(r, "hold")
	s.stop(r, "late")
}

func (s *Scheduler) drop(r *request) {
	s.withdraw(r)
	s.removeRequest(r)
}

func (s *Scheduler) cancel(id ident.Request) {
	if r := s.find(id); r != nil && r.state != running {
		s.drop(r)
	}
}

func (s *Scheduler) started(e pool.Started) {
	a := s.findAttempt(e.ID, e.Attempt)
	if a == nil || a.started {
		return
	}
	a.started = true
	s.stop(a, "attempt")
	s.hold(a)
	if r := s.find(e.ID); r != nil {
		s.withdraw(r)
		r.state, r.attempt = running, a
	}
}

func (s *Scheduler) declined(e pool.Declined) {
	a := s.findAttempt(e.ID, e.Attempt)
	if a == nil || a.started {
		return
	}
	if e.Unreachable {
		s.failed(a.endpoint, false)
	}
	s.settle(a)
	r := s.find(e.ID)
	switch {
	case r == nil || r.attempt != a:
	case e.Requeue:
		s.enqueue(r)
	default:
		s.removeRequest(r)
	}
}

func (s *Scheduler) firstToken(e pool.FirstToken) {
	a := s.findAttempt(e.ID, e.Attempt)
	if a == nil || a.firstSeen {
		return
	}
	a.firstSeen = true
	x := a.endpoint
	x.changed = true
	if x.Type == resource.EndpointService {
		return
	}
	x.speed.ObservePrefill(s.now, a.ahead, e.After-rules.DispatchOverhead)
	x.window.Observe(s.now, x.speed.Pace(s.now))
}

func (s *Scheduler) finished(e pool.Finished) {
	a := s.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	s.learn(a, e)
	s.settle(a)
	if e.Outcome == pool.OutcomeCompleted {
		s.clearSuspect(a.request)
	}
	if r := s.find(e.ID); r != nil {
		s.drop(r)
	}
}

func (s *Scheduler) learn(a *attempt, f pool.Finished) {
	e := a.endpoint
	switch f.Outcome {
	case pool.OutcomeLost:
		s.crashed(e)
		s.failed(e, false)
		return
	case pool.OutcomeRejected:
		if until := s.now + rules.RejectedCloseTime; until > e.closedUntil {
			e.closedUntil = until
			s.set(e, "reopen", until, func() { e.changed = true })
		}
		return
	case pool.OutcomeFailed:
		if e.errors.Observe(s.now, true) {
			s.failed(e, true)
		}
		return
	}
	whole := f.Outcome == pool.OutcomeCompleted
	if whole || s.now >= a.request.Deadline {
		s.surprise.Observe(a.expected, f.Total, !whole)
	}
	others := float64(a.others+s.inFlight(e)-1) / 2
	if e.Type == resource.EndpointService {
		e.speed.ObserveCall(s.now, f.Total, others)
	} else if f.FirstToken > 0 {
		e.speed.ObserveDecode(s.now, f.OutputTokens, f.Total-f.FirstToken, others)
		if f.CachedTokens >= 0 && a.cached >= rules.MinCacheSavingTokens {
			ratio := min(1, float64(f.CachedTokens)/float64(a.cached))
			e.trust = max(e.trust+rules.CacheTrustWeight*(ratio-e.trust), rules.MinCacheTrust)
		}
	}
	e.window.Observe(s.now, e.speed.Pace(s.now))
	if !whole {
		return
	}
	e.failures = 0
	e.errors.Observe(s.now, false)
	s.prove(a.request.Fingerprint)
	if e.Type == resource.EndpointEngine {
		s.lengths.Observe(a.request.Team, a.request.MaxTokens, f.OutputTokens)
	}
}

func (s *Scheduler) loadReport(r pool.LoadReport) {
	for _, e := range s.endpoints {
		if e.Name == r.Endpoint {
			e.load.ObserveInFlight(s.now, s.inFlight(e))
			e.load.ObserveReport(r.Running+r.Waiting, r.Age)
			e.changed = true
		}
	}
}

func (s *Scheduler) cacheEvent(c pool.CacheEvent) {
	for _, e := range s.endpoints {
		if e.Name == c.Endpoint {
			e.cache = slices.DeleteFunc(e.cache, func(b block) bool { return slices.Contains(c.Evicted, b.hash) })
			s.store(e, c.Stored, nil)
		}
	}
}

func (s *Scheduler) configure(c pool.Configure) {
	s.tiers, s.teams = c.Tiers, c.Teams
	was := map[ident.Endpoint]bool{}
	for _, e := range s.endpoints {
		was[e.Name] = e.declared
		e.declared = false
	}
	for _, d := range c.Endpoints {
		if d.Pool() == s.config.Pool {
			s.declare(d, was[d.Name])
		}
	}
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpoint) bool {
		return !e.declared && s.inFlight(e) == 0
	})
	s.averageUntil = 0
	for _, e := range s.endpoints {
		s.store(e, nil, nil)
	}
	for _, e := range s.endpoints {
		if e.declared && e.State != resource.EndpointDrain {
			return
		}
	}
	for _, r := range s.waiting() {
		s.drop(r)
		s.spillOr(r, result.NoEndpoint)
	}
}

func (s *Scheduler) declare(d resource.Endpoint, was bool) {
	e := s.endpoint(d.Name)
	if !was || e.PrefillRate != d.PrefillRate || e.DecodeRate != d.DecodeRate {
		e.speed = speed.NewEndpoint(d.PrefillRate, d.DecodeRate)
		switch {
		case d.SpeedsAssumed && d.PrefillRate == 0 && d.DecodeRate == 0 && d.Type == resource.EndpointEngine:
			e.speed = speed.NewEngine()
		case d.SpeedsAssumed:
			e.speed = speed.NewAssumed(d.PrefillRate, d.DecodeRate)
		}
	}
	if !was {
		e.trust = 1
	}
	if e.Started != d.Started {
		e.closedUntil, e.failures = 0, 0
		e.errors, e.window, e.load = speed.Errors{}, window.Window{}, window.ForeignLoad{}
		e.trust = 1
		if e.Started != 0 {
			e.cache = nil
		}
	}
	if d.SpeedsAssumed {
		e.window.Batch()
	}
	e.window.SetMax(d.Slots)
	e.Endpoint = d
	e.declared, e.changed = true, true
}

// endpoint returns the row of a name and makes it if needed.
func (s *Scheduler) endpoint(name ident.Endpoint) *endpoint {
	for _, e := range s.endpoints {
		if e.Name == name {
			return e
		}
	}
	e := &endpoint{Endpoint: resource.Endpoint{Name: name}, speed: speed.NewEndpoint(0, 0)}
	s.endpoints = append(s.endpoints, e)
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return e
}

func (s *Scheduler) restore(e pool.Restore) {
	for _, r := range e.Waiting {
		s.arrive(r)
	}
	list := slices.Clone(e.Running)
	slices.SortFunc(list, func(a, b pool.Running) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	for _, r := range list {
		s.restoreRunning(r)
	}
}

func (s *Scheduler) restoreRunning(r pool.Running) {
	if s.findAttempt(r.Request.ID, r.Attempt) != nil {
		s.started(pool.Started{ID: r.Request.ID, Attempt: r.Attempt})
		return
	}
	a := &attempt{
		id: r.Attempt, request: r.Request, endpoint: s.endpoint(r.Endpoint), granted: s.now - r.Age, started: true,
	}
	s.attempts = append(s.attempts, a)
	s.hold(a)
	row := s.find(r.Request.ID)
	if row == nil {
		s.sequence++
		row = &request{Request: r.Request, sequence: s.sequence, state: gone}
		s.requests = append(s.requests, row)
	}
	s.withdraw(row)
	row.state, row.attempt = running, a
}

func (s *Scheduler) hostLost(h ident.Host) {
	for _, r := range slices.Clone(s.requests) {
		switch {
		case r.Host != h:
		case r.state != running:
			s.drop(r)
		default:
			a := r.attempt
			if !a.orphan {
				a.orphan = true
				s.bodyEnded(a.request.Fingerprint)
			}
			until := max(s.now, r.Deadline)
			if a.endpoint.EndsWithConnection {
				until = min(until, s.now+rules.OrphanSlotHold)
			}
			s.set(a, "attempt", until, func() {
				s.settle(a)
				s.removeRequest(r)
			})
		}
	}
}

func (s *Scheduler) remote(x pool.Remote) {
	s.remotes = slices.DeleteFunc(s.remotes, func(y pool.Remote) bool { return y.Domain == x.Domain })
	if !x.Gone {
		s.remotes = append(s.remotes, x)
	}
	slices.SortFunc(s.remotes, func(a, b pool.Remote) int { return cmp.Compare(a.Domain, b.Domain) })
}

// hold counts an attempt as in flight.
func (s *Scheduler) hold(a *attempt) {
	if a.holds {
		return
	}
	a.holds = true
	a.endpoint.load.ObserveInFlight(s.now, s.inFlight(a.endpoint))
}

// release frees the slot of an attempt.
func (s *Scheduler) release(a *attempt) {
	if !a.holds {
		return
	}
	a.holds = false
	a.endpoint.changed = true
	if !a.orphan {
		s.bodyEnded(a.request.Fingerprint)
	}
	if s.isolatedAlone == a {
		s.releaseIsolated()
	}
}

func (s *Scheduler) settle(a *attempt) {
	s.release(a)
	s.stop(a, "attempt")
	s.removeAttempt(a)
}

func (s *Scheduler) failed(e *endpoint, failing bool) {
	if s.now < e.closedUntil {
		return
	}
	last := !slices.ContainsFunc(s.endpoints, func(x *endpoint) bool { return x != e && s.takesWork(x) })
	if last && failing {
		return
	}
	closed := min(rules.InitialCloseTime<<min(e.failures, 8), rules.MaxCloseTime)
	if last {
		closed = rules.InitialCloseTime
		for _, x := range s.endpoints {
			if x.closedUntil > s.now+closed {
				x.closedUntil = s.now + closed
				s.set(x, "reopen", x.closedUntil, func() { x.changed = true })
			}
		}
	}
	e.failures++
	e.closedUntil = s.now + closed
	e.window.Restart()
	e.cache = nil
	s.set(e, "reopen", e.closedUntil, func() { e.changed = true })
}

// store uses blocks of a cache from the last to the first and drops what
// exceeds its size.
func (s *Scheduler) store(e *endpoint, hashes []uint64, lengths []int) {
	for i, hash := range slices.Backward(hashes) {
		tokens := prefix.TokensOf(lengths, i)
		for _, b := range e.cache {
			if b.hash == hash {
				tokens = b.tokens
			}
		}
		e.cache = slices.DeleteFunc(e.cache, func(b block) bool { return b.hash == hash })
		e.cache = append(e.cache, block{hash, tokens})
	}
	used := 0
	for _, b := range e.cache {
		used += b.tokens
	}
	for used > e.CacheTokens {
		used -= e.cache[0].tokens
		e.cache = slices.Clone(e.cache[1:])
	}
}

func (s *Scheduler) inFlight(e *endpoint) int {
	n := 0
	for _, a := range s.attempts {
		if a.endpoint == e && a.holds {
			n++
		}
	}
	return n
}

func (s *Scheduler) pending(e *endpoint) int {
	n := 0
	for _, a := range s.attempts {
		if a.endpoint == e && a.holds && !a.firstSeen {
			n += a.uncached
		}
	}
	return n
}

func (s *Scheduler) lapse(a *attempt) {
	s.release(a)
	s.set(a, "attempt", s.now+rules.VoidAttemptRetention, func() { s.removeAttempt(a) })
	r := s.find(a.request.ID)
	switch {
	case r == nil || r.attempt != a:
	case r.Deadline <= s.now:
		s.removeRequest(r)
	default:
		s.enqueue(r)
	}
}

func (s *Scheduler) waiting() []*request {
	var out []*request
	for _, r := range s.requests {
		if r.state < granted {
			out = append(out, r)
		}
	}
	return out
}

func (s *Scheduler) share(rank int, team ident.Team) *queueShare {
	for _, x := range s.shares {
		if x.rank == rank && x.team == team {
			return x
		}
	}
	x := &queueShare{rank: rank, team: team}
	s.shares = append(s.shares, x)
	return x
}

// costOf estimates the slot time on an average endpoint.
func (s *Scheduler) costOf(r *request) time.Duration {
	average := s.averageSpeed()
	if s.plainService() {
		return average.decode
	}
	return average.prefill*time.Duration(r.PromptTokens) + time.Duration(float64(average.decode)*r.mean)
}
