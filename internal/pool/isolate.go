package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// isolation runs suspects one at a time, each alone on an endpoint, so that a
// crash tells which request it was.
type isolation struct {
	// waiting is sorted by tier, deadline and arrival.
	waiting []*request
	// endpoint is being emptied for, or runs, a suspect; nil if none.
	endpoint *endpoint
	// attempt is the suspect's attempt; nil while the endpoint empties.
	attempt *attempt
	// since is when the endpoint was chosen.
	since time.Duration
	timer timer
}

func (i *isolation) add(r *request) {
	at, _ := slices.BinarySearchFunc(i.waiting, r, compareUrgency)
	i.waiting = slices.Insert(i.waiting, at, r)
}

func (i *isolation) remove(r *request) {
	i.waiting = slices.DeleteFunc(i.waiting, func(x *request) bool { return x == r })
}

func compareUrgency(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.order(), b.order()),
		cmp.Compare(a.turn(), b.turn()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// release gives the endpoint back to the others.
func (i *isolation) release() {
	if i.endpoint != nil {
		i.endpoint.isolating = false
		i.endpoint.changed = true
	}
	i.endpoint, i.attempt = nil, nil
}

// isolate grants the next suspect an endpoint of its own, or empties one.
func (s *Scheduler) isolate() {
	i := &s.isolation
	if i.attempt != nil {
		return
	}
	if len(i.waiting) == 0 {
		i.release()
		return
	}
	r := i.waiting[0]
	if r.Repeats && s.lastOpen() {
		i.release()
		return
	}
	if i.endpoint == nil || !i.endpoint.takesWork(s.now) || i.endpoint.backsOff(r.Host, s.now) {
		i.release()
		i.endpoint, i.since = s.emptiest(r), s.now
	}
	if i.endpoint == nil {
		return
	}
	i.endpoint.isolating = true
	if !s.emptied(r) {
		return
	}
	e := i.endpoint
	s.withdraw(r)
	s.issueIsolated(r, e)
	s.timers.stop(&i.timer)
	if r.Repeats {
		s.timers.set(&i.timer, s.now+rules.IsolationTime, i.release)
	}
}

// emptied reports whether the endpoint is ready for a suspect. For one that repeats it is
// emptied for a short time only: long streams would else keep the other slots unused.
func (s *Scheduler) emptied(r *request) bool {
	i := &s.isolation
	e := i.endpoint
	if e.slots() < 1 {
		return false
	}
	if e.inFlight == 0 {
		return true
	}
	if !r.Repeats {
		return false
	}
	if until := i.since + rules.MaxIsolationDrainTime; s.now < until {
		s.timers.set(&i.timer, until, func() {})
		return false
	}
	return e.freeSlots() > 0
}

// lastOpen reports whether a single endpoint takes work while others are closed: a suspect
// could take the last one away from everybody.
func (s *Scheduler) lastOpen() bool {
	open, closed := 0, 0
	for _, e := range s.endpoints.rows {
		switch {
		case !e.declared || e.State == resource.EndpointDrain:
		case e.takesWork(s.now):
			open++
		default:
			closed++
		}
	}
	return open == 1 && closed > 0
}

// emptiest returns the endpoint with the fewest requests in flight that can
// answer a request in time.
func (s *Scheduler) emptiest(r *request) *endpoint {
	var best *endpoint
	for _, e := range s.endpoints.rows {
		if !e.takesWork(s.now) || e.backsOff(r.Host, s.now) || s.now+s.estimateOn(e, r, 0, 0, 0).total > r.Deadline {
			continue
		}
		if best == nil || e.inFlight < best.inFlight {
			best = e
		}
	}
	return best
}

func (s *Scheduler) issueIsolated(r *request, e *endpoint) {
	s.matchPrefix(r)
	s.issue(r, placement{
		endpoint: e,
		cached:   s.cachedOn(r, e),
		reason:   "alone, because an endpoint crashed that ran it",
		isolated: true,
	})
	s.isolation.attempt = r.attempt
}

func (s *Scheduler) quarantined(r *request) *Refuse {
	return s.refusal(r, result.Quarantined, 0, "endpoints that ran this request crashed")
}
