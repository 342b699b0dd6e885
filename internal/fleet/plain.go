package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// plain is what the plain policies share: a ledger of what is in flight and
// requests waiting in order of arrival.
type plain struct {
	now       time.Duration
	out       []pool.Effect
	endpoints []resource.Endpoint
	waiting   []pool.Request
	flights   map[ident.Request]flight
	attempts  uint64
	closed    map[ident.Endpoint]time.Duration
	// choose returns the endpoint for a request, or false to let it wait.
	choose func(r pool.Request) (ident.Endpoint, bool)
	// first orders the waiting requests; nil keeps the order of arrival.
	first func(a, b pool.Request) int
	// report takes in a load report, if set.
	report func(pool.LoadReport)
}

type flight struct {
	request  pool.Request
	endpoint ident.Endpoint
	sent     time.Duration
}

// plainClosed is how long the plain policies pass over an endpoint that took
// no connection.
const plainClosed = time.Second

func newPlain() *plain {
	return &plain{flights: map[ident.Request]flight{}, closed: map[ident.Endpoint]time.Duration{}}
}

// NextWake returns nothing: the plain policies act on events alone.
func (p *plain) NextWake() (time.Duration, bool) { return 0, false }

// Step implements Policy.
func (p *plain) Step(now time.Duration, events []pool.Event) []pool.Effect {
	p.now, p.out = now, nil
	for _, e := range events {
		p.take(e)
	}
	if p.first != nil {
		slices.SortStableFunc(p.waiting, p.first)
	}
	p.grantAll()
	return p.out
}

// grantAll grants in order. A host whose first request finds no room is not
// asked again in this step.
func (p *plain) grantAll() {
	full := map[ident.Host]bool{}
	p.waiting = slices.DeleteFunc(p.waiting, func(r pool.Request) bool {
		if full[r.Host] {
			return false
		}
		granted := p.grant(r)
		full[r.Host] = !granted
		return granted
	})
}

func (p *plain) take(e pool.Event) {
	switch e := e.(type) {
	case pool.Configure:
		p.endpoints = e.Endpoints
	case pool.Arrive:
		p.waiting = append(p.waiting, e.Request)
	case pool.Cancel:
		p.waiting = slices.DeleteFunc(p.waiting, func(r pool.Request) bool { return r.ID == e.ID })
	case pool.Declined:
		f := p.flights[e.ID]
		delete(p.flights, e.ID)
		if e.Unreachable {
			p.closed[f.endpoint] = p.now + plainClosed
		}
		if e.Requeue {
			p.waiting = append(p.waiting, f.request)
		}
	case pool.Finished:
		delete(p.flights, e.ID)
	case pool.LoadReport:
		if p.report != nil {
			p.report(e)
		}
	}
}

func (p *plain) grant(r pool.Request) bool {
	e, ok := p.choose(r)
	if !ok {
		return false
	}
	p.attempts++
	p.flights[r.ID] = flight{request: r, endpoint: e, sent: p.now}
	p.out = append(p.out, pool.Grant{
		ID: r.ID, Host: r.Host, Endpoint: e, Attempt: ident.Attempt(p.attempts), Expires: p.now + time.Second,
	})
	return true
}

func (p *plain) open(e resource.Endpoint) bool {
	return e.State != resource.EndpointDrain && p.closed[e.Name] <= p.now
}

// newRoundRobin returns the policy by which each host sends every request at
// once to the next endpoint in turn.
func newRoundRobin() Policy {
	p := newPlain()
	turn := map[ident.Host]int{}
	p.choose = func(r pool.Request) (ident.Endpoint, bool) {
		for range p.endpoints {
			turn[r.Host]++
			e := p.endpoints[turn[r.Host]%len(p.endpoints)]
			if p.open(e) {
				return e.Name, true
			}
		}
		return "", false
	}
	return p
}

// leastReported is the policy by which each host queues for itself and sends
// to the endpoint with the least reported load plus what the host itself sent
// since the report was made.
type leastReported struct {
	*plain
	reports map[ident.Endpoint]loadAt
}

type loadAt struct {
	load int
	made time.Duration
}

func newLeastReported() Policy {
	l := &leastReported{plain: newPlain(), reports: map[ident.Endpoint]loadAt{}}
	l.report = func(r pool.LoadReport) {
		l.reports[r.Endpoint] = loadAt{load: r.Running + r.Waiting, made: l.now - r.Age}
	}
	l.choose = l.least
	return l
}

func (l *leastReported) least(r pool.Request) (ident.Endpoint, bool) {
	sent := map[ident.Endpoint]int{}
	for _, f := range l.flights {
		if f.request.Host == r.Host && f.sent >= l.reports[f.endpoint].made {
			sent[f.endpoint]++
		}
	}
	best, bestLoad := ident.Endpoint(""), 0
	for _, e := range l.endpoints {
		load := l.reports[e.Name].load + sent[e.Name]
		if !l.open(e) || load >= e.Slots {
			continue
		}
		if best == "" || load < bestLoad {
			best, bestLoad = e.Name, load
		}
	}
	return best, best != ""
}

// newStrictTiers returns the policy of one queue with strict tiers and no
// placement: any endpoint with the most free slots.
func newStrictTiers() Policy {
	p := newPlain()
	p.first = func(a, b pool.Request) int { return cmp.Compare(a.Rank, b.Rank) }
	p.choose = func(pool.Request) (ident.Endpoint, bool) {
		inFlight := map[ident.Endpoint]int{}
		for _, f := range p.flights {
			inFlight[f.endpoint]++
		}
		best, bestFree := ident.Endpoint(""), 0
		for _, e := range p.endpoints {
			free := e.Slots - inFlight[e.Name]
			if p.open(e) && free > bestFree {
				best, bestFree = e.Name, free
			}
		}
		return best, best != ""
	}
	return p
}

// withoutPrefix is a policy that is told of no prefixes and no cache events.
type withoutPrefix struct {
	Policy
}

// Step implements Policy.
func (p withoutPrefix) Step(now time.Duration, events []pool.Event) []pool.Effect {
	bare := make([]pool.Event, 0, len(events))
	for _, e := range events {
		switch x := e.(type) {
		case pool.CacheEvent:
		case pool.Arrive:
			x.Request.Prefix = nil
			bare = append(bare, x)
		default:
			bare = append(bare, e)
		}
	}
	return p.Policy.Step(now, bare)
}
