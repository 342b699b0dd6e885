package resource

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// Kinds lists every kind, referenced kinds before those that refer to them.
var Kinds = []Kind{KindTier, KindTeam, KindEndpoint, KindRoute, KindObjective, KindOrder}

// kindTable is what the code that treats all kinds alike needs of one kind.
type kindTable interface {
	get(s *Snapshot, name string) (Spec, bool)
	put(s *Snapshot, name string, spec Spec)
	remove(s *Snapshot, name string)
	names(s *Snapshot) []string
	// decode reads a section of a manifest.
	decode(file, name string, section inifile.Section) (Spec, inifile.Problems)
	// encode returns the entries that decode would read to spec.
	encode(spec Spec) []inifile.Entry
	unmarshal(data []byte) (Spec, error)
	docs() []inifile.Doc
}

// tables holds the table of each kind.
var tables = map[Kind]kindTable{
	KindTier:      table[Tier]{tierFields, (*Snapshot).tierMap, func(t *Tier, n string) { setName(&t.Name, n) }},
	KindTeam:      table[Team]{teamFields, (*Snapshot).teamMap, func(t *Team, n string) { setName(&t.Name, n) }},
	KindEndpoint:  table[Endpoint]{endpointFields, (*Snapshot).endpointMap, func(e *Endpoint, n string) { setName(&e.Name, n) }},
	KindRoute:     table[Route]{routeFields, (*Snapshot).routeMap, func(r *Route, n string) { setName(&r.Name, n) }},
	KindObjective: table[Objective]{objectiveFields, (*Snapshot).objectiveMap, func(o *Objective, n string) { setName(&o.Name, n) }},
	KindOrder:     table[Order]{orderFields, (*Snapshot).orderMap, func(o *Order, n string) { setName(&o.Name, n) }},
}

func (s *Snapshot) tierMap() map[string]Tier           { return s.Tiers }
func (s *Snapshot) teamMap() map[string]Team           { return s.Teams }
func (s *Snapshot) endpointMap() map[string]Endpoint   { return s.Endpoints }
func (s *Snapshot) routeMap() map[string]Route         { return s.Routes }
func (s *Snapshot) objectiveMap() map[string]Objective { return s.Objectives }
func (s *Snapshot) orderMap() map[string]Order         { return s.Orders }

func setName[S ~string](at *S, name string) { *at = S(name) }

// table implements kindTable for one type of resource.
type table[T Spec] struct {
	fields []inifile.Field[T]
	rows   func(*Snapshot) map[string]T
	rename func(*T, string)
}

func (t table[T]) get(s *Snapshot, name string) (Spec, bool) {
	v, ok := t.rows(s)[name]
	return v, ok
}

func (t table[T]) put(s *Snapshot, name string, spec Spec) {
	t.rows(s)[name] = spec.(T)
}

func (t table[T]) remove(s *Snapshot, name string) {
	delete(t.rows(s), name)
}

func (t table[T]) names(s *Snapshot) []string {
	return slices.Sorted(maps.Keys(t.rows(s)))
}

func (t table[T]) decode(file, name string, section inifile.Section) (Spec, inifile.Problems) {
	var v T
	problems := inifile.Decode(file, section, t.fields, &v)
	t.rename(&v, name)
	return v, problems
}

func (t table[T]) encode(spec Spec) []inifile.Entry {
	v := spec.(T)
	return inifile.Encode(t.fields, &v)
}

func (t table[T]) unmarshal(data []byte) (Spec, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, errors.Wrap(err, "resource: decode")
	}
	return v, nil
}

func (t table[T]) docs() []inifile.Doc {
	docs := make([]inifile.Doc, len(t.fields))
	for i, field := range t.fields {
		docs[i] = field.Doc
	}
	return docs
}

// validKey says whether a resource of the kind can have the name.
func validKey(kind Kind, name string) bool {
	_, ok := tables[kind]
	return ok && inifile.ValidName(name)
}
