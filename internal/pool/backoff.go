package pool

import (
	"fmt"
	"maps"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// startBackoff keeps the requests of a host from an endpoint for a time. A later
// backoff can extend an earlier one, but not shorten it.
func (s *Scheduler) startBackoff(e *endpoint, host ident.Host, wait time.Duration) {
	if wait <= 0 {
		return
	}
	until := s.now + wait
	if until <= e.backoffs[host] {
		return
	}
	if !e.inBackoff(host, s.now) {
		s.closings = append(s.closings, Closing{Endpoint: e.Name, Reason: ClosedBackoff, For: wait, Host: host})
	}
	maps.DeleteFunc(e.backoffs, func(_ ident.Host, until time.Duration) bool { return until <= s.now })
	if e.backoffs == nil {
		e.backoffs = map[ident.Host]time.Duration{}
	}
	e.backoffs[host] = until
	s.setBackoffTimer(e)
	s.refuseWaitingInBackoff(host)
}

// setBackoffTimer wakes the scheduler when the next host may send to the endpoint
// again.
func (s *Scheduler) setBackoffTimer(e *endpoint) {
	next := time.Duration(0)
	for _, until := range e.backoffs {
		if until > s.now && (next == 0 || until < next) {
			next = until
		}
	}
	if next == 0 {
		return
	}
	s.timers.set(&e.backoffTimer, next, func() {
		e.changed = true
		s.setBackoffTimer(e)
	})
}

// inBackoff reports whether the endpoint asked a host to send nothing now.
func (e *endpoint) inBackoff(host ident.Host, now time.Duration) bool {
	return now < e.backoffs[host]
}

// backoffEnd returns when the first endpoint takes requests of a host again. The
// second result reports whether none does now and one of them asked the host to wait.
func (s *Scheduler) backoffEnd(host ident.Host) (time.Duration, bool) {
	first, asked := time.Duration(0), false
	for _, e := range s.endpoints.rows {
		if !e.declared || e.State == resource.EndpointDrain {
			continue
		}
		until := max(e.backoffs[host], e.closedUntil)
		if until <= s.now {
			return 0, false
		}
		asked = asked || e.inBackoff(host, s.now)
		if first == 0 || until < first {
			first = until
		}
	}
	return first, asked
}

// backoffRefusal returns the refusal of a request that every endpoint keeps waiting
// because of its host, for longer than its caller stays or than is worth waiting;
// requests of other hosts may still be served. It returns nil if an endpoint takes the
// request, or if none asked the host to wait.
func (s *Scheduler) backoffRefusal(r *request, total time.Duration) *Refuse {
	end, asked := s.backoffEnd(r.Host)
	leavesAt := r.Deadline
	if r.Patience > 0 {
		leavesAt = min(leavesAt, r.Patience)
	}
	if !asked || end-s.now <= rules.MaxBackoffWait && end+total <= leavesAt {
		return nil
	}
	wait := end - s.now
	return s.refusal(r, result.NoEndpoint, wait, fmt.Sprintf(
		"no endpoint of the pool takes requests of this host, the first does in %v", wait.Round(time.Millisecond)))
}

// refuseWaitingInBackoff refuses the waiting requests of a host that now have to wait
// too long because of its backoffs.
func (s *Scheduler) refuseWaitingInBackoff(host ident.Host) {
	if _, asked := s.backoffEnd(host); !asked {
		return
	}
	for _, r := range s.waiting() {
		if r.Host != host {
			continue
		}
		total, _ := s.fastestTotal(r)
		if refusal := s.backoffRefusal(r, total); refusal != nil {
			s.drop(r)
			s.emit(*refusal)
		}
	}
}

// backoffFilter keeps the requests of a host from endpoints that asked it to wait.
type backoffFilter struct{}

func (backoffFilter) filter(s *Scheduler, r *request, c *candidate) string {
	if c.endpoint.inBackoff(r.Host, s.now) {
		return reasonBackoff
	}
	return ""
}
