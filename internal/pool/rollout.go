package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// RolloutChanged sets the order to move the pool's target to a version. Without an order,
// the versions of endpoints are ignored.
type RolloutChanged struct {
	// Active is false if there is no order.
	Active bool
	Status rollout.Status
	Bounds rollout.Bounds
}

// RolloutDecided is the decision on a roll-out. It is repeated while the roll-out's status
// stays running.
type RolloutDecided struct{ Verdict rollout.Verdict }

// RolloutStep reports a step of a roll-out for the log.
type RolloutStep struct {
	Order rollout.Order
	// Share is the part of the requests that the candidates may get from now on.
	Share   float64
	Samples rollout.Samples
	// Judgement is the judgement of the version so far, and Reason what the step rests on.
	Judgement, Reason string
	// Elapsed is the time since the order was confirmed.
	Elapsed time.Duration
}

const (
	// rolloutInterval is the interval at which an order is looked at. A bad version may answer
	// badly many times a second.
	rolloutInterval = 250 * time.Millisecond
	// overdueAfter is the least time after which a run in progress is compared with the usual
	// time. It keeps the check of the short runs off the tables.
	overdueAfter = 500 * time.Millisecond
	// candidateScore outweighs the cost of any placement.
	candidateScore = -time.Hour
)

// rolloutState is the order in force and its effect on the endpoints.
type rolloutState struct {
	*rollout.Controller
	version string
	timer   timer
	// due means that the order is to be looked at in this step.
	due  bool
	load rollout.Load
	// open is whether candidates may get requests according to the limits in force.
	open bool
}

// rolloutCount says how an attempt counts for an order.
type rolloutCount struct {
	order uint64
	// version is the endpoint's version at the time of the grant.
	version string
	first   bool
	// observed says that the run has counted as a sample.
	observed bool
}

// placementLimit is a bound that an order sets on the requests in flight at an endpoint.
type placementLimit struct {
	set      bool
	inFlight int32
}

// withheld reports whether an order keeps all requests from the endpoint.
func (e *endpoint) withheld() bool { return e.limit.set && e.limit.inFlight == 0 }

// room returns the number of requests that an order leaves of the free ones.
func (l placementLimit) room(free, inFlight int) int {
	if !l.set {
		return free
	}
	return min(free, int(l.inFlight)-inFlight)
}

// rolloutChanged applies the order to move the pool's target to a version.
func (s *Scheduler) rolloutChanged(e RolloutChanged) {
	r := s.rollout
	if !e.Active || !e.Bounds.Enabled() {
		s.endRollout()
		return
	}
	if r == nil || r.Order().ID != e.Status.Order.ID {
		s.endRollout()
		r = &rolloutState{version: e.Status.Order.Version, Controller: rollout.NewController(s.now, e.Status, e.Bounds)}
		s.rollout = r
	} else {
		r.SetStatus(s.now, e.Status, e.Bounds)
	}
	r.due = true
}

// endRollout lifts the limits of an order that is gone.
func (s *Scheduler) endRollout() {
	if s.rollout == nil {
		return
	}
	s.timers.stop(&s.rollout.timer)
	s.rollout = nil
	for _, e := range s.endpoints.rows {
		s.setLimit(e, placementLimit{})
	}
}

// takesWork reports whether an endpoint is there to serve requests, now or after a short time
// in which it is closed.
func (e *endpoint) takesWork(now time.Duration) bool {
	return e.declared && e.State != resource.EndpointDrain && (now >= e.closedUntil || e.failures < rules.RolloutFailures)
}

// isCandidate reports whether an endpoint has the version of the order in force.
func (s *Scheduler) isCandidate(e *endpoint) bool {
	return s.rollout != nil && e.Version == s.rollout.version
}

// runRollout lets the order in force decide and sets its limits on the endpoints.
func (s *Scheduler) runRollout() {
	r := s.rollout
	if r == nil {
		return
	}
	if !r.due {
		if r.Open(s.now) != r.open {
			s.limitEndpoints()
		}
		return
	}
	r.due = false
	s.observeLoad()
	s.observeOverdue()
	if v, decided := r.Tick(s.now, &r.load); decided {
		v.Pool = s.config.Pool
		s.emit(RolloutDecided{Verdict: v})
	}
	s.timers.set(&r.timer, s.now+rolloutInterval, func() { r.due = true })
	for _, x := range r.TakeSteps() {
		s.emit(RolloutStep{Order: r.Order(), Share: x.Share, Samples: x.Samples, Judgement: x.Phase.String(), Reason: x.Reason, Elapsed: x.Elapsed})
	}
	s.limitEndpoints()
}

// observeLoad fills the load of the pool.
func (s *Scheduler) observeLoad() {
	l := &s.rollout.load
	*l = rollout.Load{Candidates: l.Candidates[:0], Waiting: s.queue.size()}
	for _, e := range s.endpoints.rows {
		there := e.declared && e.State != resource.EndpointDrain
		switch {
		case s.isCandidate(e):
			l.CandidateInFlight += e.inFlight
			if there {
				l.Candidates = append(l.Candidates, rollout.Candidate{
					Name: e.Name, Domain: e.Domain, Slots: max(0, e.slots()), Usable: s.now >= e.closedUntil,
				})
			}
		default:
			l.BaselineInFlight += e.inFlight
			if there {
				l.Baseline++
				l.BaselineForeign += e.load.Foreign
				l.BaselineSlots += max(0, e.slots())
			}
		}
	}
}

// limitEndpoints sets the limits of the order in force, by the load when it was last looked at. Where only one version takes work, it
// gets everything: serving takes precedence over judging.
func (s *Scheduler) limitEndpoints() {
	r := s.rollout
	var baseline, candidates bool
	for _, e := range s.endpoints.rows {
		if !e.takesWork(s.now) {
			continue
		}
		if s.isCandidate(e) {
			candidates = true
		} else {
			baseline = true
		}
	}
	r.open = r.Open(s.now)
	moved := r.Phase() == rollout.Moved || r.Phase() == rollout.Finished
	busy := float64(r.load.BaselineInFlight) / float64(max(1, r.load.BaselineSlots))
	for _, e := range s.endpoints.rows {
		var l placementLimit
		switch {
		case !s.isCandidate(e):
			l.set = moved && candidates
		case !baseline:
		case !r.open || !r.Chosen(e.Name):
			l.set = true
		case r.Phase() == rollout.Watching:
			// The candidate is kept as busy as the baseline.
			l = placementLimit{true, int32(rollout.BusyLimit(busy, e.slots()))}
		}
		s.setLimit(e, l)
	}
}

// setLimit sets the limit of an endpoint. One that may get more is matched with the requests
// that wait.
func (s *Scheduler) setLimit(e *endpoint, l placementLimit) {
	if e.limit == l {
		return
	}
	if e.limit.set && (!l.set || l.inFlight > e.limit.inFlight) {
		e.changed = true
	}
	e.limit = l
}

// countRollout counts a grant for the order in force. A request that was tried before isn't
// counted as another one that reaches the target.
func (s *Scheduler) countRollout(a *attempt) {
	if s.rollout == nil {
		return
	}
	a.rollout = rolloutCount{order: s.rollout.Order().ID, version: a.endpoint.Version, first: a.request.Avoid == ""}
	candidate := s.isCandidate(a.endpoint)
	s.rollout.CountGrant(candidate, a.rollout.first)
	if candidate && !s.rollout.Open(s.now) {
		s.limitEndpoints()
	}
}

// uncountRollout takes back the count of a grant that was not used. The grant of a candidate
// that merely expired may have been used all the same, and stays counted.
func (s *Scheduler) uncountRollout(a *attempt, declined bool) {
	c := a.rollout
	if s.rollout == nil || c.order != s.rollout.Order().ID || a.started {
		return
	}
	a.rollout.order = 0
	candidate := c.version == s.rollout.version
	if declined || !candidate {
		s.rollout.UndoGrant(candidate, c.first)
	}
}

// keepsRetry reports whether an endpoint is kept from a request because it was tried before, and
// the endpoint's version is not judged yet.
func (s *Scheduler) keepsRetry(r *request, e *endpoint) bool {
	return r.Avoid != "" && e.limit.set && s.isCandidate(e)
}

// steers reports whether the order in force decides which version a request goes to.
func (s *Scheduler) steers() bool {
	return s.rollout != nil && (s.rollout.Phase() == rollout.Watching || s.rollout.Phase() == rollout.Moving)
}

// steeringScore makes requests go to a candidate while one may get some, whatever it would take
// there: which requests the versions get must not depend on the versions.
func (s *Scheduler) steeringScore(e *endpoint) time.Duration {
	if s.steers() && s.isCandidate(e) {
		return candidateScore
	}
	return 0
}

// steered reports whether a placement must not wait for a prefix at another version.
func (s *Scheduler) steered(p *placement) bool {
	return p.endpoint != nil && s.steers() && s.isCandidate(p.endpoint)
}

// RolloutStatus describes a roll-out as the scheduler sees it.
type RolloutStatus struct {
	Version, Phase string
	Share          float64
	Samples        rollout.Samples
}

func (s *Scheduler) rolloutStatus() *RolloutStatus {
	r := s.rollout
	if r == nil {
		return nil
	}
	return &RolloutStatus{Version: r.version, Phase: r.Phase().String(), Share: r.Share(), Samples: r.Samples()}
}
