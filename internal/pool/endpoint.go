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

// endpoint is the row of a declared endpoint, or of a removed one that still has
// requests in flight.
type endpoint struct {
	resource.Endpoint
	// number is the endpoint's number in the prefix index.
	number int32
	// declared is false after the endpoint has been removed from the configuration.
	declared bool
	// limit is set by an order to move to a version.
	limit placementLimit
	// inFlight counts the attempts that occupy a slot.
	inFlight int
	// pendingTokens is the number of prompt tokens granted and not yet prefilled.
	pendingTokens int
	// closedUntil is the end of the time without new grants after a failure. failures
	// counts the failures since the last complete answer.
	closedUntil time.Duration
	failures    int
	// reopenTimer wakes the scheduler when the endpoint may get grants again.
	reopenTimer timer
	// changed means that a slot was freed, prefill progressed or the endpoint opened
	// since the last step.
	changed bool
	// isolating means that the endpoint is reserved for a suspect.
	isolating bool
	// backoffs holds until when each host was asked to send nothing.
	backoffs     map[ident.Host]time.Duration
	backoffTimer timer
	// brokenRuns holds the runs whose connection broke recently, in the order in which
	// they ended.
	brokenRuns []*brokenRun
	speed      speed.Endpoint
	errors     speed.Errors
	window     window.Window
	// cacheTrust is the fraction of the expected cached tokens that the engine finds.
	cacheTrust float64
	load       window.ForeignLoad
}

// slots returns the number of requests that the endpoint may have in flight now.
func (e *endpoint) slots() int {
	return min(e.Slots, e.window.Size()) - e.load.Foreign
}

// free returns the number of requests that the endpoint may be granted now, including
// those that would queue there until one in flight ends.
func (e *endpoint) free() int {
	return e.limit.room(e.slots()+e.Ahead-e.inFlight, e.inFlight)
}

// freeSlots returns the number of free slots.
func (e *endpoint) freeSlots() int {
	return max(0, e.slots()-e.inFlight)
}

// reservedSlots returns the number of slots reserved for the highest tier while it
// sends requests: its short requests with near deadlines would otherwise wait until
// long ones end.
func (e *endpoint) reservedSlots() int {
	return e.slots() / rules.SlotsPerReservedSlot
}

// available reports whether the endpoint may get grants at all.
func (e *endpoint) available(now time.Duration) bool {
	return e.declared && e.State != resource.EndpointDrain && now >= e.closedUntil && !e.withheld()
}

// update applies the endpoint's declaration. Learned speeds are kept unless the
// declared ones changed. It reports whether a new lifetime of the endpoint has begun: no
// process changes its address, even if its declaration doesn't tell when it started.
func (e *endpoint) update(d resource.Endpoint) (restarted bool) {
	if !e.declared || e.PrefillRate != d.PrefillRate || e.DecodeRate != d.DecodeRate {
		e.speed = newSpeed(d)
	}
	if !e.declared {
		e.cacheTrust = 1
	}
	moved := e.declared && e.Started == d.Started && e.Address != d.Address
	if moved || e.Started != d.Started {
		restarted = moved || e.Started != 0
		e.resetLifetime()
	}
	if d.SpeedsAssumed {
		e.window.Batch()
	}
	e.window.SetMax(d.Slots)
	e.Endpoint = d
	e.changed = true
	e.declared = true
	return restarted
}

// resetLifetime discards what was learned of an earlier lifetime of the endpoint. The
// speed is kept, because the hardware is usually the same.
func (e *endpoint) resetLifetime() {
	e.closedUntil, e.failures = 0, 0
	e.errors, e.window, e.load = speed.Errors{}, window.Window{}, window.ForeignLoad{}
	e.cacheTrust, e.backoffs = 1, nil
	e.speed.ForgetFactors()
}

// supersedes reports whether the endpoint is known to have begun another lifetime
// after the given one. Hosts learn of that at different times.
func (e *endpoint) supersedes(lifetime int64) bool {
	return lifetime != 0 && lifetime < e.Started
}

// newSpeed returns the speed of an endpoint according to its declaration.
func newSpeed(d resource.Endpoint) speed.Endpoint {
	switch {
	case d.SpeedsAssumed && d.PrefillRate == 0 && d.DecodeRate == 0 && d.Type == resource.EndpointEngine:
		return speed.NewEngine()
	case d.SpeedsAssumed:
		return speed.NewAssumed(d.PrefillRate, d.DecodeRate)
	}
	return speed.NewEndpoint(d.PrefillRate, d.DecodeRate)
}

// endpointTable holds the endpoints, sorted by name.
type endpointTable struct {
	rows   []*endpoint
	byName map[ident.Endpoint]*endpoint
	// numberCount is one more than the largest number assigned. Unused numbers are in
	// freeNumbers.
	numberCount int32
	freeNumbers []int32
	// cachedAverage is the result of average until averageUntil.
	cachedAverage averageSpeed
	averageUntil  time.Duration
}

func newEndpointTable() *endpointTable {
	return &endpointTable{byName: map[ident.Endpoint]*endpoint{}}
}

// configure updates the rows. It returns the numbers of the removed endpoints, and the
// endpoints of which a lifetime has ended unplanned.
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
	return t.removeUnused(), ended
}

// removeUnused removes undeclared rows without requests in flight and returns their
// numbers.
func (t *endpointTable) removeUnused() []int32 {
	var removed []int32
	t.rows = slices.DeleteFunc(t.rows, func(e *endpoint) bool {
		unused := !e.declared && e.inFlight == 0
		if unused {
			delete(t.byName, e.Name)
			removed = append(removed, e.number)
		}
		return unused
	})
	t.freeNumbers = append(t.freeNumbers, removed...)
	return removed
}

// get returns the row of an endpoint and creates it, undeclared, if needed.
func (t *endpointTable) get(name ident.Endpoint) *endpoint {
	if e := t.byName[name]; e != nil {
		return e
	}
	e := &endpoint{Endpoint: resource.Endpoint{Name: name}, number: t.allocateNumber(), speed: speed.NewEndpoint(0, 0)}
	t.byName[name] = e
	i, _ := slices.BinarySearchFunc(t.rows, name, func(e *endpoint, n ident.Endpoint) int {
		return cmp.Compare(e.Name, n)
	})
	t.rows = slices.Insert(t.rows, i, e)
	return e
}

func (t *endpointTable) allocateNumber() int32 {
	if n := len(t.freeNumbers); n > 0 {
		out := t.freeNumbers[n-1]
		t.freeNumbers = t.freeNumbers[:n-1]
		return out
	}
	t.numberCount++
	return t.numberCount - 1
}

// anyActive reports whether a declared endpoint is not draining.
func (t *endpointTable) anyActive() bool {
	return slices.ContainsFunc(t.rows, func(e *endpoint) bool {
		return e.declared && e.State != resource.EndpointDrain
	})
}

// plainService reports whether the pool's endpoints are plain services.
func (t *endpointTable) plainService() bool {
	return len(t.rows) > 0 && t.rows[0].Type == resource.EndpointService
}

// averageSpeed is the time per token on an average endpoint.
type averageSpeed struct {
	prefill, decode time.Duration
}

// average returns the mean time per token over the endpoints, weighted by their slots.
func (t *endpointTable) average(now time.Duration) averageSpeed {
	if now < t.averageUntil {
		return t.cachedAverage
	}
	speeds := make([]*speed.Endpoint, len(t.rows))
	for i, e := range t.rows {
		speeds[i] = &e.speed
	}
	speed.ShareRates(speeds)
	var prefill, decode, weight float64
	for _, e := range t.rows {
		w := float64(max(1, e.Slots))
		weight += w
		prefill += w * float64(e.speed.UsualPrefill(now, 1))
		decode += w * float64(e.speed.UsualDecode(now, 1, e.Slots))
	}
	weight = max(weight, 1)
	t.cachedAverage = averageSpeed{time.Duration(prefill / weight), time.Duration(decode / weight)}
	t.averageUntil = now + rules.AverageSpeedTTL
	return t.cachedAverage
}
