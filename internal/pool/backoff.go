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

// backOff keeps the requests of a host from an endpoint for a time. A later word can make
// that longer, not shorter: the earlier one stands.
func (s *Scheduler) backOff(e *endpoint, host ident.Host, wait time.Duration) {
	if wait <= 0 {
		return
	}
	until := s.now + wait
	if until <= e.backoffs[host] {
		return
	}
	if !e.backsOff(host, s.now) {
		s.closings = append(s.closings, Closing{Endpoint: e.Name, Reason: ClosedBackoff, For: wait, Host: host})
	}
	maps.DeleteFunc(e.backoffs, func(_ ident.Host, until time.Duration) bool { return until <= s.now })
	if e.backoffs == nil {
		e.backoffs = map[ident.Host]time.Duration{}
	}
	e.backoffs[host] = until
	s.watchBackoffs(e)
	s.refuseBackedOff(host)
}

// watchBackoffs wakes the scheduler when the next host may send to an endpoint again.
func (s *Scheduler) watchBackoffs(e *endpoint) {
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
		s.watchBackoffs(e)
	})
}

// backsOff reports whether an endpoint asked a host to send it nothing now.
func (e *endpoint) backsOff(host ident.Host, now time.Duration) bool {
	return now < e.backoffs[host]
}

// backoffEnd returns when the first endpoint takes requests of a host again, if none does
// now and one of them asked the host to wait.
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
		asked = asked || e.backsOff(host, s.now)
		if first == 0 || until < first {
			first = until
		}
	}
	return first, asked
}

// waitsInVain returns the refusal of a request that no endpoint takes from its host for longer
// than its caller waits, or than is worth waiting: other hosts may be served. It returns nil
// where one does, or where none asked the host to wait.
func (s *Scheduler) waitsInVain(r *request, total time.Duration) *Refuse {
	end, asked := s.backoffEnd(r.Host)
	leaves := r.Deadline
	if r.Patience > 0 {
		leaves = min(leaves, r.Patience)
	}
	if !asked || end-s.now <= rules.MaxBackoffWait && end+total <= leaves {
		return nil
	}
	wait := end - s.now
	return s.refusal(r, result.NoEndpoint, wait, fmt.Sprintf(
		"no endpoint of the pool takes requests of this host, the first does in %v", wait.Round(time.Millisecond)))
}

// refuseBackedOff refuses what waits of a host in vain, if that has come to be so.
func (s *Scheduler) refuseBackedOff(host ident.Host) {
	if _, asked := s.backoffEnd(host); !asked {
		return
	}
	for _, r := range s.waiting() {
		if r.Host != host {
			continue
		}
		total, _ := s.fastest(r)
		if refusal := s.waitsInVain(r, total); refusal != nil {
			s.drop(r)
			s.emit(*refusal)
		}
	}
}

// backoffFilter keeps the requests of a host from endpoints that asked it to wait.
type backoffFilter struct{}

func (backoffFilter) filter(s *Scheduler, r *request, c *candidate) string {
	if c.endpoint.backsOff(r.Host, s.now) {
		return reasonBackoff
	}
	return ""
}
