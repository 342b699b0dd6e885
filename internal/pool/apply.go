package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// apply applies one event to the tables.
func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case Arrive:
		s.arrive(e.Request)
	case Cancel:
		s.cancel(e.ID)
	case Started:
		s.started(e)
	case Declined:
		s.declined(e)
	case FirstToken:
		s.firstToken(e)
	case Finished:
		s.finished(e)
	case LoadReport:
		s.loadReport(e)
	case CacheEvent:
		s.cacheEvent(e)
	case Configure:
		s.configure(e)
	case Restore:
		s.restore(e)
	case Remote:
		s.remotes.update(e)
	case Suspects:
		s.mergeSuspects(e.List)
	case HostLost:
		s.hostLost(e.Host)
	case RolloutChanged:
		s.rolloutChanged(e)
	}
}

// arrive queues a new request or refuses it at once. An ID that is already known is a
// repeated message and has no effect.
func (s *Scheduler) arrive(r Request) {
	if s.requests[r.ID] != nil {
		return
	}
	s.sequence++
	row := &request{Request: r, sequence: s.sequence}
	row.outputTokens = s.expectedOutput(&r)
	row.cost = s.costOf(row)
	s.recognize(row)
	s.measureShare(row)
	if s.domains.Enabled() && r.Near != "" {
		s.domains.Arrive(s.now, r.Near, row.cost)
	}
	s.checkStarvation(row)
	if !s.admit(row) {
		return
	}
	s.promises.Admitted(row.before)
	s.requests[r.ID] = row
	s.enqueue(row)
}

func (s *Scheduler) refusal(r *request, code result.Code, after time.Duration, reason string) *Refuse {
	return &Refuse{ID: r.ID, Host: r.Host, Code: code, RetryAfter: after, Reason: reason, Late: r.late}
}

// enqueue puts a request into the queue or, if it is a suspect, among those that wait
// to run in isolation. It sets the deadline timer.
func (s *Scheduler) enqueue(r *request) {
	r.attempt = nil
	s.setDeadlineTimer(r)
	if s.requiresIsolation(&r.Request) {
		r.phase = phaseIsolated
		s.isolation.add(r)
		return
	}
	r.phase = phaseQueued
	s.checkObjective(r)
	s.matchPrefix(r)
	s.findCacheEndpoint(r)
	s.queue.push(r, s.teams.get(r.Team))
	s.toExamine = append(s.toExamine, r)
}

// withdraw removes a waiting request from where it waits. It has no effect on a
// request that doesn't wait.
func (s *Scheduler) withdraw(r *request) {
	switch r.phase {
	case phaseQueued:
		s.queue.remove(r)
	case phaseHeld:
		s.queue.unhold(r)
	case phaseParked:
		s.unpark(r)
	case phaseIsolated:
		s.isolation.remove(r)
	default:
		return
	}
	s.timers.stop(&r.deadlineTimer)
	s.timers.stop(&r.holdTimer)
	s.timers.stop(&r.lateTimer)
	r.phase = phaseWithdrawn
}

// cancel withdraws a request. A granted request keeps its slot until the custodian
// reports or the grant expires.
func (s *Scheduler) cancel(id ident.Request) {
	r := s.requests[id]
	if r == nil || r.phase == phaseRunning {
		return
	}
	s.withdraw(r)
	delete(s.requests, id)
}

// started records a dispatch. The report may arrive after the grant expired: the
// request runs all the same and counts.
func (s *Scheduler) started(e Started) {
	a := s.attempts.find(e.ID, e.Attempt)
	if a == nil || a.started {
		return
	}
	a.started = true
	s.timers.stop(&a.timer)
	s.occupySlot(a)
	s.markRunning(e.ID, a)
}

// markRunning takes a request that runs under an attempt out of the waiting ones.
func (s *Scheduler) markRunning(id ident.Request, a *attempt) {
	r := s.requests[id]
	if r == nil {
		return
	}
	s.withdraw(r)
	r.phase, r.attempt = phaseRunning, a
}

// declined frees the slot of an unused grant.
func (s *Scheduler) declined(e Declined) {
	a := s.attempts.find(e.ID, e.Attempt)
	if a == nil || a.started {
		return
	}
	if e.Unreachable && !a.endpoint.supersedes(e.Lifetime) {
		s.closeAfterFailure(a.endpoint, ClosedUnreachable)
	}
	if !a.endpoint.supersedes(e.Lifetime) {
		s.startBackoff(a.endpoint, a.request.Host, e.Backoff)
	}
	s.uncountRollout(a, true)
	s.settle(a)
	r := s.requests[e.ID]
	if r == nil || r.attempt != a {
		return
	}
	if e.Requeue {
		s.enqueue(r)
		return
	}
	delete(s.requests, e.ID)
}

// finished frees the slot of a request that left its endpoint.
func (s *Scheduler) finished(e Finished) {
	a := s.attempts.find(e.ID, e.Attempt)
	if a == nil {
		return
	}
	s.observeFinished(a, e)
	s.observeRun(a, &e)
	if !a.endpoint.supersedes(e.Lifetime) {
		s.startBackoff(a.endpoint, a.request.Host, e.Backoff)
	}
	s.settle(a)
	if e.Outcome == OutcomeCompleted || e.Answered {
		s.clearSuspect(a.request)
	}
	if e.Outcome == OutcomeCompleted && e.Generated || e.Outcome != OutcomeLost && s.provesParts(a) {
		s.clearParts(a)
	}
	if r := s.requests[e.ID]; r != nil {
		s.withdraw(r)
		delete(s.requests, e.ID)
	}
}

// configure applies the declared resources.
func (s *Scheduler) configure(e Configure) {
	s.tiers.configure(e.Tiers)
	s.teams.configure(e.Teams)
	s.queue.recomputeWeights()
	removed, ended := s.endpoints.configure(s.config.Pool, e.Endpoints)
	for _, row := range ended {
		s.lifetimeEnded(row)
	}
	for _, number := range removed {
		s.blocks.Remove(number)
	}
	for _, row := range s.endpoints.rows {
		s.blocks.Resize(row.number, row.CacheTokens)
	}
	if s.rollout != nil {
		s.rollout.due = true
	}
	if !s.endpoints.anyActive() {
		s.refuseAll()
	}
}

// refuseAll spills or refuses all waiting requests when the last endpoint leaves.
func (s *Scheduler) refuseAll() {
	for _, r := range s.waiting() {
		s.drop(r)
		s.spillOrRefuse(r, result.NoEndpoint, "the last endpoint of the pool leaves")
	}
}

// waiting returns the waiting requests in the order of their arrival.
func (s *Scheduler) waiting() []*request {
	var out []*request
	for _, r := range s.requests {
		if r.isWaiting() {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return out
}

// restore takes over the requests of one host.
func (s *Scheduler) restore(e Restore) {
	for _, r := range e.Waiting {
		s.arrive(r)
	}
	running := slices.Clone(e.Running)
	slices.SortFunc(running, func(a, b Running) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	for _, r := range running {
		s.restoreRunning(r)
	}
}

func (s *Scheduler) restoreRunning(r Running) {
	if s.attempts.find(r.Request.ID, r.Attempt) != nil {
		s.started(Started{ID: r.Request.ID, Attempt: r.Attempt})
		return
	}
	a := &attempt{
		id:       r.Attempt,
		request:  r.Request,
		endpoint: s.endpoints.get(r.Endpoint),
		granted:  s.now - r.Age,
		started:  true,
	}
	if r.FirstTokenAge > 0 {
		a.sawFirstToken, a.firstTokenAt = true, s.now-r.FirstTokenAge
	}
	s.attempts.add(a)
	s.occupySlot(a)
	row := s.requests[r.Request.ID]
	if row == nil {
		s.sequence++
		row = &request{Request: r.Request, sequence: s.sequence}
		s.requests[row.ID] = row
	} else {
		s.withdraw(row)
	}
	row.phase, row.attempt = phaseRunning, a
}

// hostLost drops the waiting requests of a lost custodian. Nobody will report the end
// of its running requests: they keep their slots until their deadline, or for a short
// time on endpoints where requests end with their connection. Requests with the same
// body don't wait for that.
func (s *Scheduler) hostLost(h ident.Host) {
	var lost []*request
	for _, r := range s.requests {
		if r.Host == h {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, r := range lost {
		s.orphan(r)
	}
}

// orphan cancels a request of a lost custodian or, if it runs, marks it as orphaned.
func (s *Scheduler) orphan(r *request) {
	if r.phase != phaseRunning {
		s.cancel(r.ID)
		return
	}
	a := r.attempt
	a.orphaned = true
	s.releaseBody(a)
	until := max(s.now, r.Deadline)
	if a.endpoint.EndsWithConnection {
		until = min(until, s.now+rules.OrphanSlotHold)
	}
	s.timers.set(&a.timer, until, func() {
		s.settle(a)
		delete(s.requests, r.ID)
	})
}
