package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// outage is the time without a successful read after which missing entries may merely
	// have expired while the store was unavailable: an entry expires after three missed
	// reports, which are 1.2 s apart. A host that relies on readers notices earlier that
	// they have stopped reading.
	outage = 3500 * time.Millisecond
	// returnGrace is how long such an entry has to reappear, counted from the first
	// successful read. The platform specifies two seconds; the rest covers the read
	// interval.
	returnGrace = 2500 * time.Millisecond
	// restoredTime is how long rows of an older copy of the store may be there: those of endpoints that
	// are gone lapse after three missed reports.
	restoredTime = 20 * time.Second
	// reportTTL is how long the last report of an endpoint is known: a copy of the store is some seconds
	// old, and its rows stay for restoredTime.
	reportTTL = time.Minute
)

// report identifies a report of an endpoint: the start of its process in Unix milliseconds, or 0 if it
// doesn't say, and the report's number.
type report struct {
	started int64
	number  uint64
	// at is when it was read, and gone is set if the endpoint has been removed since.
	at   time.Duration
	gone bool
}

// supersedes reports whether a row is an older one of the same endpoint. Without a start, it can't be
// told from one of the endpoint's next process.
func (r report) supersedes(e *platform.Endpoint) bool {
	switch {
	case r.started == 0 || e.Started == 0:
		return false
	case e.Started != r.started:
		return e.Started < r.started
	case r.gone:
		return e.Heartbeat <= r.number
	}
	return e.Heartbeat < r.number
}

// forgetReports forgets the reports that are no longer of use.
func (t *Endpoints) forgetReports(now time.Duration) {
	maps.DeleteFunc(t.reports, func(_ ident.Endpoint, r report) bool { return now-r.at > reportTTL })
}

// Endpoints is the table of endpoints built from the store's rows. It does no I/O and reads
// no clock, and is not safe for concurrent use.
type Endpoints struct {
	rows map[ident.Endpoint]platform.Endpoint
	// missing maps each endpoint whose entry expired during an outage to the time until
	// which it may reappear.
	missing map[ident.Endpoint]time.Duration
	readAt  time.Duration
	started bool
	// graceEnd is the time until which removed entries are treated as expired in an outage.
	graceEnd time.Duration
	// reports holds what is known of each endpoint's reports, and era is the era of the last read. Until
	// restoredEnd, rows may be those of an older copy of the store.
	reports     map[ident.Endpoint]report
	era         platform.Era
	restoredEnd time.Duration
	// withVersions keeps the versions of the endpoints, which are otherwise ignored.
	withVersions bool
}

// NewEndpoints returns an empty table.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		rows: map[ident.Endpoint]platform.Endpoint{}, missing: map[ident.Endpoint]time.Duration{},
		reports: map[ident.Endpoint]report{},
	}
}

// EnterEra tells the era of the store in which the next update was read. In a new one, rows may be
// missing or older than those known, until the endpoints have written again.
func (t *Endpoints) EnterEra(now time.Duration, era platform.Era) {
	if t.era.Named && era != t.era {
		t.graceEnd, t.restoredEnd = now+returnGrace, now+restoredTime
	}
	t.era = era
}

// ResetTo replaces the table by a known list of endpoints and the time for which it was
// correct. The next update must contain the whole table.
func (t *Endpoints) ResetTo(known []platform.Endpoint, at time.Duration) {
	t.rows = make(map[ident.Endpoint]platform.Endpoint, len(known))
	for _, e := range known {
		t.rows[e.Name] = e
	}
	t.readAt, t.started = at, at > 0
}

// Skipped is a row that does not describe a usable endpoint.
type Skipped struct {
	Row string
	Err error
}

// Update applies rows: the whole table if whole is set, otherwise only changes. It reports
// whether the table changed in a relevant way, and which rows were skipped.
func (t *Endpoints) Update(now time.Duration, rows []platform.Row, whole bool) (changed bool, skipped []Skipped) {
	if t.started && now-t.readAt >= outage {
		t.graceEnd = now + returnGrace
	}
	t.started, t.readAt = true, now
	listed := map[ident.Endpoint]bool{}
	for _, row := range rows {
		// A row of another partition is none of an endpoint's.
		name, elsewhere := ident.Endpoint(row.Key), row.Part != ""
		if row.Deleted {
			changed = !elsewhere && t.remove(now, name) || changed
			continue
		}
		e, err := platform.DecodeEndpoint(row)
		if err != nil {
			skipped = append(skipped, Skipped{Row: row.Key, Err: err})
			changed = !elsewhere && t.forget(name) || changed
			continue
		}
		if now < t.restoredEnd && t.reports[name].supersedes(&e) {
			// A row of the older copy: the endpoint's later one is known.
			listed[name] = !t.reports[name].gone
			continue
		}
		listed[name] = true
		t.reports[name] = report{started: e.Started, number: e.Heartbeat, at: now}
		changed = t.put(e) || changed
	}
	if whole {
		t.forgetReports(now)
		for _, name := range slices.Sorted(maps.Keys(t.rows)) {
			if !listed[name] {
				changed = t.remove(now, name) || changed
			}
		}
	}
	return t.expire(now) || changed, skipped
}

// put applies an endpoint's row.
func (t *Endpoints) put(e platform.Endpoint) bool {
	if !t.withVersions {
		e.Version = ""
	}
	old, known := t.rows[e.Name]
	delete(t.missing, e.Name)
	t.rows[e.Name] = e
	old.Heartbeat, old.WarmUp = e.Heartbeat, e.WarmUp
	return !known || old != e
}

// remove applies the removal of a row. During an outage and the grace period after it, the
// removal is postponed.
func (t *Endpoints) remove(now time.Duration, name ident.Endpoint) bool {
	e, known := t.rows[name]
	if !known {
		return false
	}
	if now < t.graceEnd && !e.Leaving {
		if _, waiting := t.missing[name]; !waiting {
			t.missing[name] = t.graceEnd
		}
		return false
	}
	return t.forget(name)
}

// forget drops an endpoint.
func (t *Endpoints) forget(name ident.Endpoint) bool {
	if r, ok := t.reports[name]; ok {
		r.gone = true
		t.reports[name] = r
	}
	_, known := t.rows[name]
	delete(t.rows, name)
	delete(t.missing, name)
	return known
}

// expire drops the endpoints that were missing and have not reappeared in time.
func (t *Endpoints) expire(now time.Duration) bool {
	changed := false
	for name, until := range t.missing {
		if now >= until {
			changed = t.forget(name) || changed
		}
	}
	return changed
}

// Pending reports whether a missing endpoint may still reappear. If so, the list is uncertain.
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
