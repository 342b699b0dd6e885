package store

import (
	"sort"
	"time"
)

// rowID names a row.
type rowID struct {
	table, part, key string
}

// row is one row, or the mark that one was removed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// id returns the row's name.
func (r *row) id() rowID {
	return rowID{r.Table, r.Part, r.Key}
}

// condition must hold for a transaction to be applied.
type condition struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
}

// transaction is applied whole or not at all.
type transaction struct {
	Conditions []condition `json:"expected_rev"`
	Puts       []row       `json:"puts"`
	Removes    []row       `json:"remove"`
}

// rows holds the tables with the history of their changes. Its methods are called
// under the server's lock.
type rows struct {
	now     map[rowID]row
	history []row
	version uint64
	// forgotten is the version up to which the history was dropped.
	forgotten uint64
	// changed is closed, and replaced, at every transaction.
	changed chan struct{}
	started time.Time
}

func newRows() *rows {
	return &rows{now: map[rowID]row{}, changed: make(chan struct{}), started: time.Now().Add(-time.Hour)}
}

// conflicts returns the rows whose condition doesn't hold.
func (t *rows) conflicts(x transaction) []row {
	var out []row
	for _, c := range x.Conditions {
		r, ok := t.now[rowID{c.Table, c.Part, c.Key}]
		if !ok {
			r = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		if r.Version != c.Version {
			out = append(out, r)
		}
	}
	return out
}

// apply applies a transaction whose conditions hold.
func (t *rows) apply(x transaction) {
	t.version++
	for _, r := range x.Puts {
		r.Version, r.Deleted = t.version, false
		t.now[r.id()] = r
		t.history = append(t.history, r)
	}
	for _, r := range x.Removes {
		delete(t.now, r.id())
		t.history = append(t.history, row{
			Table: r.Table, Part: r.Part, Key: r.Key, Version: t.version, Deleted: true,
		})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// list returns the rows of a partition from a key on, in the order of their keys.
func (t *rows) list(table, part, from string) []row {
	var out []row
	for id, r := range t.now {
		if id.table == table && id.part == part && id.key >= from {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// since returns the changes of a table after a version; false when they are not
// kept any more, or when the store hasn't given out that version.
func (t *rows) since(table string, after uint64) ([]row, bool) {
	if after < t.forgotten || after > t.version {
		return nil, false
	}
	var out []row
	for _, r := range t.history {
		if r.Table == table && r.Version > after {
			out = append(out, r)
		}
	}
	return out, true
}

// forget drops the history.
func (t *rows) forget() {
	t.history, t.forgotten = nil, t.version
}
