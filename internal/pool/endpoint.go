package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// endpoint is the row of a declared endpoint, or of one that was removed but
// still has requests in flight.
type endpoint struct {
	resource.Endpoint
	// declared is false once the endpoint is gone from the configuration.
	declared bool
	// inFlight counts the attempts that hold a slot.
	inFlight int
	// closedUntil bars new grants after a failure.
	closedUntil time.Duration
}

// slots is the number of requests that the endpoint may have now.
func (e *endpoint) slots() int {
	return e.Slots
}

// takesWork says whether the endpoint may get grants at all.
func (e *endpoint) takesWork(now time.Duration) bool {
	return e.declared && e.State != resource.EndpointDrain && now >= e.closedUntil
}

// endpointTable holds the endpoints sorted by name.
type endpointTable struct {
	rows   []*endpoint
	byName map[ident.Endpoint]*endpoint
}

func newEndpointTable() *endpointTable {
	return &endpointTable{byName: map[ident.Endpoint]*endpoint{}}
}

func (t *endpointTable) configure(pool ident.Pool, declared []resource.Endpoint) {
	for _, e := range t.rows {
		e.declared = false
	}
	for _, d := range declared {
		if d.Pool() != pool {
			continue
		}
		t.get(d.Name).update(d)
	}
	t.rows = slices.DeleteFunc(t.rows, func(e *endpoint) bool {
		gone := !e.declared && e.inFlight == 0
		if gone {
			delete(t.byName, e.Name)
		}
		return gone
	})
}

func (e *endpoint) update(d resource.Endpoint) {
	e.Endpoint = d
	e.declared = true
}

// get returns the row of a name and makes it, undeclared, if needed.
func (t *endpointTable) get(name ident.Endpoint) *endpoint {
	if e := t.byName[name]; e != nil {
		return e
	}
	e := &endpoint{Endpoint: resource.Endpoint{Name: name}}
	t.byName[name] = e
	i, _ := slices.BinarySearchFunc(t.rows, name, func(e *endpoint, n ident.Endpoint) int {
		return cmp.Compare(e.Name, n)
	})
	t.rows = slices.Insert(t.rows, i, e)
	return e
}
