package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
	"github.com/trefoilchute/trefoilchute/internal/pool/window"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// endpoint is the row of a declared endpoint, or of one that was removed but
// still has requests in flight.
type endpoint struct {
	resource.Endpoint
	// number is the endpoint's number in the prefix index.
	number int32
	// declared is false once the endpoint is gone from the configuration.
	declared bool
	// inFlight counts the attempts that hold a slot.
	inFlight int
	// pending is the number of prompt tokens granted and not yet prefilled.
	pending int
	// closedUntil bars new grants after a failure; failures counts those
	// without a whole answer between them.
	closedUntil time.Duration
	failures    int
	// reopen wakes the scheduler when the endpoint may get work again.
	reopen timer
	// changed says that since the last step a slot came free, prefill went on
	// or the endpoint opened.
	changed bool
	// isolating says that the endpoint is kept for a suspect.
	isolating bool
	// backoffs holds until when each host was asked to send nothing.
	backoffs     map[ident.Host]time.Duration
	backoffTimer timer
	// lost holds the runs that broke lately, in the order of their ends.
	lost   []lostRun
	speed  speed.Endpoint
	errors speed.Errors
	window window.Window
	// trust is the part of the expected cached tokens that the engine finds.
	trust float64
	load  window.ForeignLoad
}

// slots is the number of requests that the endpoint may have now.
func (e *endpoint) slots() int {
	return min(e.Slots, e.window.Size()) - e.load.Foreign
}

// free is the number of requests that the endpoint may get now, those included that
// would wait there for one to end.
func (e *endpoint) free() int {
	return e.slots() + e.Ahead - e.inFlight
}

// freeSlots is the number of its slots that are free.
func (e *endpoint) freeSlots() int {
	return max(0, e.slots()-e.inFlight)
}

// keptSlots is the number of slots kept for the highest tier while it sends
// requests: short requests with a near deadline else wait for long ones to end.
func (e *endpoint) keptSlots() int {
	return e.slots() / rules.SlotsPerReservedSlot
}

// takesWork says whether the endpoint may get grants at all.
func (e *endpoint) takesWork(now time.Duration) bool {
	return e.declared && e.State != resource.EndpointDrain && now >= e.closedUntil
}

// update takes in the endpoint's declaration. Learned speeds stand unless the
// declared ones changed. It reports whether a new lifetime of the endpoint has begun.
func (e *endpoint) update(d resource.Endpoint) (anew bool) {
	if !e.declared || e.PrefillRate != d.PrefillRate || e.DecodeRate != d.DecodeRate {
		e.speed = newSpeed(d)
	}
	if !e.declared {
		e.trust = 1
	}
	if e.Started != d.Started {
		anew = e.Started != 0
		e.beginAnew()
	}
	if d.SpeedsAssumed {
		e.window.Batch()
	}
	e.window.SetMax(d.Slots)
	e.Endpoint = d
	e.changed = true
	e.declared = true
	return anew
}

// beginAnew forgets what an earlier lifetime of the endpoint did. Its speed stays: the
// machine is mostly the same.
func (e *endpoint) beginAnew() {
	e.closedUntil, e.failures = 0, 0
	e.errors, e.window, e.load = speed.Errors{}, window.Window{}, window.ForeignLoad{}
	e.trust, e.backoffs = 1, nil
}

// outlived reports whether a lifetime of the endpoint is known to have been followed by
// another: hosts hear of that at different times.
func (e *endpoint) outlived(lifetime int64) bool {
	return lifetime != 0 && lifetime < e.Started
}

// newSpeed returns the speed of an endpoint as it is declared.
func newSpeed(d resource.Endpoint) speed.Endpoint {
	switch {
	case d.SpeedsAssumed && d.PrefillRate == 0 && d.DecodeRate == 0 && d.Type == resource.EndpointEngine:
		return speed.NewEngine()
	case d.SpeedsAssumed:
		return speed.NewAssumed(d.PrefillRate, d.DecodeRate)
	}
	return speed.NewEndpoint(d.PrefillRate, d.DecodeRate)
}

// endpointTable holds the endpoints sorted by name.
type endpointTable struct {
	rows   []*endpoint
	byName map[ident.Endpoint]*endpoint
	// numbers is one more than the largest number given; unused ones are in
	// spare.
	numbers int32
	spare   []int32
	// mean caches average until averageUntil.
	mean         averageSpeed
	averageUntil time.Duration
}

func newEndpointTable() *endpointTable {
	return &endpointTable{byName: map[ident.Endpoint]*endpoint{}}
}

// configure updates the rows. It returns the numbers of those removed and the endpoints
// of which a lifetime has ended without notice.
func (t *endpointTable) configure(pool ident.Pool, declared []resource.Endpoint) (removed []int32, ended []*endpoint) {
	named := map[ident.Endpoint]bool{}
	for _, d := range declared {
		if d.Pool() != pool {
			continue
		}
		named[d.Name] = true
		e := t.get(d.Name)
		leaving := e.State == resource.EndpointDrain
		if e.update(d) && !leaving {
			ended = append(ended, e)
		}
	}
	for _, e := range t.rows {
		if e.declared && !named[e.Name] && e.State != resource.EndpointDrain {
			ended = append(ended, e)
		}
		e.declared = named[e.Name]
	}
	t.averageUntil = 0
	return t.sweep(), ended
}

// sweep removes undeclared rows without requests.
func (t *endpointTable) sweep() []int32 {
	var removed []int32
	t.rows = slices.DeleteFunc(t.rows, func(e *endpoint) bool {
		gone := !e.declared && e.inFlight == 0
		if gone {
			delete(t.byName, e.Name)
			removed = append(removed, e.number)
		}
		return gone
	})
	t.spare = append(t.spare, removed...)
	return removed
}

// get returns the row of a name and makes it, undeclared, if needed.
func (t *endpointTable) get(name ident.Endpoint) *endpoint {
	if e := t.byName[name]; e != nil {
		return e
	}
	e := &endpoint{Endpoint: resource.Endpoint{Name: name}, number: t.newNumber(), speed: speed.NewEndpoint(0, 0)}
	t.byName[name] = e
	i, _ := slices.BinarySearchFunc(t.rows, name, func(e *endpoint, n ident.Endpoint) int {
		return cmp.Compare(e.Name, n)
	})
	t.rows = slices.Insert(t.rows, i, e)
	return e
}

func (t *endpointTable) newNumber() int32 {
	if n := len(t.spare); n > 0 {
		out := t.spare[n-1]
		t.spare = t.spare[:n-1]
		return out
	}
	t.numbers++
	return t.numbers - 1
}

// anyActive says whether an endpoint is declared that doesn't leave.
func (t *endpointTable) anyActive() bool {
	return slices.ContainsFunc(t.rows, func(e *endpoint) bool {
		return e.declared && e.State != resource.EndpointDrain
	})
}

// plainService says whether the pool's endpoints are plain services.
func (t *endpointTable) plainService() bool {
	return len(t.rows) > 0 && t.rows[0].Type == resource.EndpointService
}

// averageSpeed is the time for one token on an average endpoint.
type averageSpeed struct {
	prefill, decode time.Duration
}

// average returns the mean time for a token over the endpoints, weighted by
// their slots.
func (t *endpointTable) average(now time.Duration) averageSpeed {
	if now < t.averageUntil {
		return t.mean
	}
	likes := make([]*speed.Endpoint, len(t.rows))
	for i, e := range t.rows {
		likes[i] = &e.speed
	}
	speed.ShareRates(likes)
	var prefill, decode, weight float64
	for _, e := range t.rows {
		w := float64(max(1, e.Slots))
		weight += w
		prefill += w * float64(e.speed.Prefill(now, 1))
		decode += w * float64(e.speed.Decode(now, 1, e.Slots))
	}
	weight = max(weight, 1)
	t.mean = averageSpeed{time.Duration(prefill / weight), time.Duration(decode / weight)}
	t.averageUntil = now + rules.AverageSpeedTTL
	return t.mean
}
