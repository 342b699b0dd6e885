package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// outage is the time without a successful read after which entries that are
	// missing may only have lapsed while the store was away: an entry lapses after
	// three reports that are 1.2 s apart. A host that lets others read notices sooner
	// that they don't.
	outage = 3500 * time.Millisecond
	// returnGrace is how long such an entry has to come back, counted from the
	// first read that succeeds. The platform says two seconds; the rest covers the
	// rhythm of the reads.
	returnGrace = 2500 * time.Millisecond
)

// Endpoints is the table of endpoints as the store's rows tell it. It is pure: it
// is told the time and the rows, and isn't safe for concurrent use.
type Endpoints struct {
	rows map[ident.Endpoint]platform.Endpoint
	// missing holds, by endpoint, until when one that lapsed in an outage may come
	// back.
	missing map[ident.Endpoint]time.Duration
	readAt  time.Duration
	started bool
	// lapses ends the time in which removals are taken for lapses.
	lapses time.Duration
}

// NewEndpoints returns an empty table.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		rows: map[ident.Endpoint]platform.Endpoint{}, missing: map[ident.Endpoint]time.Duration{},
	}
}

// ResetTo begins anew from what is known, whoever read it, and when it was true: the
// next rows are all that there are.
func (t *Endpoints) ResetTo(known []platform.Endpoint, at time.Duration) {
	t.rows = make(map[ident.Endpoint]platform.Endpoint, len(known))
	for _, e := range known {
		t.rows[e.Name] = e
	}
	t.readAt, t.started = at, at > 0
}

// Skipped is a row that names no endpoint to use.
type Skipped struct {
	Row string
	Err error
}

// Update takes rows: with whole set, all there are, else what changed. It reports
// whether the table changed in anything that matters, and which rows were skipped.
func (t *Endpoints) Update(now time.Duration, rows []platform.Row, whole bool) (changed bool, skipped []Skipped) {
	if t.started && now-t.readAt >= outage {
		t.lapses = now + returnGrace
	}
	t.started, t.readAt = true, now
	listed := map[ident.Endpoint]bool{}
	for _, row := range rows {
		name := ident.Endpoint(row.Key)
		if row.Deleted {
			changed = t.remove(now, name) || changed
			continue
		}
		e, err := platform.DecodeEndpoint(row)
		if err != nil {
			skipped = append(skipped, Skipped{Row: row.Key, Err: err})
			changed = t.forget(name) || changed
			continue
		}
		listed[name] = true
		changed = t.put(e) || changed
	}
	if whole {
		for _, name := range slices.Sorted(maps.Keys(t.rows)) {
			if !listed[name] {
				changed = t.remove(now, name) || changed
			}
		}
	}
	return t.expire(now) || changed, skipped
}

// put takes an endpoint's row.
func (t *Endpoints) put(e platform.Endpoint) bool {
	old, known := t.rows[e.Name]
	delete(t.missing, e.Name)
	t.rows[e.Name] = e
	old.Beat, old.Cold = e.Beat, e.Cold
	return !known || old != e
}

// remove takes the removal of a row. In and right after an outage it is put off.
func (t *Endpoints) remove(now time.Duration, name ident.Endpoint) bool {
	e, known := t.rows[name]
	if !known {
		return false
	}
	if now < t.lapses && !e.Leaving {
		if _, waiting := t.missing[name]; !waiting {
			t.missing[name] = t.lapses
		}
		return false
	}
	return t.forget(name)
}

// forget drops an endpoint.
func (t *Endpoints) forget(name ident.Endpoint) bool {
	_, known := t.rows[name]
	delete(t.rows, name)
	delete(t.missing, name)
	return known
}

// expire drops the endpoints that lapsed and have not come back in time.
func (t *Endpoints) expire(now time.Duration) bool {
	changed := false
	for name, until := range t.missing {
		if now >= until {
			changed = t.forget(name) || changed
		}
	}
	return changed
}

// Pending reports whether an endpoint that lapsed may still come back: the list is
// not sure then.
func (t *Endpoints) Pending() bool {
	return len(t.missing) > 0
}

// List returns the endpoints sorted by name.
func (t *Endpoints) List() []platform.Endpoint {
	list := make([]platform.Endpoint, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		list = append(list, t.rows[name])
	}
	return list
}
