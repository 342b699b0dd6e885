package resource

import (
	"maps"
	"strings"
)

// Spec is the content of one resource. It is a Tier, Team, Endpoint, Route,
// Objective or Order.
type Spec interface{ spec() }

func (Tier) spec()      {}
func (Team) spec()      {}
func (Endpoint) spec()  {}
func (Route) spec()     {}
func (Objective) spec() {}
func (Order) spec()     {}

// Item is one resource of a change.
type Item struct {
	Kind Kind
	Name string
	// Deleted takes the resource away; Spec is nil then.
	Deleted bool
	// Read is the revision that the resource was last changed at when the
	// operator read it: 0 says that it must not exist yet, nil that any will do.
	Read *uint64
	Spec Spec
}

// Key returns "kind/name", the key of Snapshot.Changed.
func (i *Item) Key() string {
	return Key(i.Kind, i.Name)
}

// keySeparator stands between kind and name.
const keySeparator = "/"

// Key returns "kind/name", the key of Snapshot.Changed.
func Key(kind Kind, name string) string {
	return string(kind) + keySeparator + name
}

// SplitKey takes "kind/name" apart. The last result is false for an unknown
// kind or a name that isn't valid.
func SplitKey(key string) (Kind, string, bool) {
	kind, name, _ := strings.Cut(key, keySeparator)
	return Kind(kind), name, validKey(Kind(kind), name)
}

// Get returns one resource. The second result is false if there is none.
func (s *Snapshot) Get(kind Kind, name string) (Spec, bool) {
	t, ok := tables[kind]
	if !ok {
		return nil, false
	}
	return t.get(s, name)
}

// Names returns the names of all resources of a kind in order.
func (s *Snapshot) Names(kind Kind) []string {
	t, ok := tables[kind]
	if !ok {
		return nil
	}
	return t.names(s)
}

// Items returns every resource, by kind in the order of Kinds and by name.
func (s *Snapshot) Items() []Item {
	var items []Item
	for _, kind := range Kinds {
		for _, name := range s.Names(kind) {
			spec, _ := s.Get(kind, name)
			items = append(items, Item{Kind: kind, Name: name, Spec: spec})
		}
	}
	return items
}

// Clone returns a copy that shares no map with s. Lists inside resources are
// shared: they are never changed in place.
func (s *Snapshot) Clone() *Snapshot {
	return &Snapshot{
		Revision:   s.Revision,
		Tiers:      maps.Clone(s.Tiers),
		Teams:      maps.Clone(s.Teams),
		Endpoints:  maps.Clone(s.Endpoints),
		Routes:     maps.Clone(s.Routes),
		Objectives: maps.Clone(s.Objectives),
		Orders:     maps.Clone(s.Orders),
		Changed:    maps.Clone(s.Changed),
	}
}

// With returns a copy of the snapshot with the items applied at a revision.
// Items of unknown kinds are left out.
func (s *Snapshot) With(revision uint64, items []Item) *Snapshot {
	next := s.Clone()
	next.Revision = revision
	for i := range items {
		next.set(&items[i], revision)
	}
	return next
}

// set applies one item that changed at a revision.
func (s *Snapshot) set(item *Item, changed uint64) {
	t, ok := tables[item.Kind]
	if !ok {
		return
	}
	if item.Deleted {
		t.remove(s, item.Name)
		delete(s.Changed, item.Key())
		return
	}
	t.put(s, item.Name, item.Spec)
	s.Changed[item.Key()] = changed
}
