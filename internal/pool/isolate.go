package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// isolation runs suspects one at a time, each alone on an endpoint, so that a crash
// identifies the request that caused it.
type isolation struct {
	// waiting is sorted by priority, sort key and arrival.
	waiting []*request
	// endpoint is drained for a suspect or runs it; nil if there is none.
	endpoint *endpoint
	// attempt is the suspect's attempt; nil while the endpoint drains.
	attempt *attempt
	// drainStart is when the endpoint was chosen.
	drainStart time.Duration
	timer      timer
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
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.sortKey(), b.sortKey()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// release makes the endpoint usable for other requests again.
func (i *isolation) release() {
	if i.endpoint != nil {
		i.endpoint.isolating = false
		i.endpoint.changed = true
	}
	i.endpoint, i.attempt = nil, nil
}

// isolate grants the next suspect an endpoint of its own, or drains one for it.
func (s *Scheduler) isolate() {
	i := &s.isolation
	if i.attempt != nil {
		return
	}
	// The endpoint of an earlier run may have ended without its connections breaking.
	next := slices.IndexFunc(i.waiting, func(r *request) bool { return !r.Repeats || !s.mustWait(r) })
	if next < 0 {
		i.release()
		return
	}
	r := i.waiting[next]
	if r.Repeats && s.onlyOneAvailable() {
		i.release()
		return
	}
	if i.endpoint == nil || !i.endpoint.available(s.now) || i.endpoint.inBackoff(r.Host, s.now) {
		i.release()
		i.endpoint, i.drainStart = s.leastLoaded(r), s.now
	}
	if i.endpoint == nil {
		return
	}
	i.endpoint.isolating = true
	if !s.readyForSuspect(r) {
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

// readyForSuspect reports whether the endpoint can run a suspect. For a suspect that
// repeats, the endpoint is drained for a limited time only: long streams would
// otherwise keep the other slots unused.
func (s *Scheduler) readyForSuspect(r *request) bool {
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
	if until := i.drainStart + rules.MaxIsolationDrainTime; s.now < until {
		s.timers.set(&i.timer, until, func() {})
		return false
	}
	return e.freeSlots() > 0
}

// onlyOneAvailable reports whether a single endpoint is available while others are
// closed. A suspect could crash the last one.
func (s *Scheduler) onlyOneAvailable() bool {
	open, closed := 0, 0
	for _, e := range s.endpoints.rows {
		switch {
		case !e.declared || e.State == resource.EndpointDrain:
		case e.available(s.now):
			open++
		default:
			closed++
		}
	}
	return open == 1 && closed > 0
}

// leastLoaded returns the endpoint with the fewest requests in flight that can answer
// a request before its deadline.
func (s *Scheduler) leastLoaded(r *request) *endpoint {
	var best *endpoint
	for _, e := range s.endpoints.rows {
		if !e.available(s.now) || e.inBackoff(r.Host, s.now) || s.now+s.estimateOn(e, r, 0, 0, 0).total > r.Deadline {
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

// quarantined returns the refusal of a request for a quarantined suspect.
func (s *Scheduler) quarantined(r *request, x *suspect) *Refuse {
	reason := "endpoints that ran this request crashed"
	if x.Part {
		reason = fmt.Sprintf("endpoints that began to answer requests with part %x of the prompt crashed", x.Fingerprint)
	}
	return s.refusal(r, result.Quarantined, 0, reason)
}
