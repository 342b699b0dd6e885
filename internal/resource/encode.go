package resource

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// errEncoding says that bytes are no snapshot or delta.
var errEncoding = errors.New("resource: not a snapshot or delta")

// EncodeSnapshot returns the snapshot as JSON. Equal snapshots have equal
// encodings.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "resource: encode snapshot")
}

// DecodeSnapshot reads what EncodeSnapshot wrote. Fields that this version
// doesn't know are left out, so that hosts of two versions understand each
// other.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	s := NewSnapshot()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "resource: decode snapshot")
	}
	if !s.consistent() {
		return nil, errors.WithStack(errEncoding)
	}
	return s, nil
}

// consistent says whether each resource has a valid name, stands under it and
// has a change no later than the snapshot, and whether no map is missing.
func (s *Snapshot) consistent() bool {
	if s.Tiers == nil || s.Teams == nil || s.Endpoints == nil || s.Routes == nil ||
		s.Objectives == nil || s.Orders == nil || s.Changed == nil {
		return false
	}
	items := s.Items()
	for i := range items {
		changed, ok := s.Changed[items[i].Key()]
		if !ok || changed == 0 || changed > s.Revision || !items[i].valid() {
			return false
		}
	}
	return len(s.Changed) == len(items)
}

// valid says whether the item's spec is of its kind and has its name.
func (i *Item) valid() bool {
	if !validKey(i.Kind, i.Name) {
		return false
	}
	if i.Deleted {
		return i.Spec == nil
	}
	kind, name := identify(i.Spec)
	return kind == i.Kind && name == i.Name
}

// identify returns the kind and name of a spec.
func identify(spec Spec) (Kind, string) {
	switch v := spec.(type) {
	case Tier:
		return KindTier, string(v.Name)
	case Team:
		return KindTeam, string(v.Name)
	case Endpoint:
		return KindEndpoint, string(v.Name)
	case Route:
		return KindRoute, v.Name
	case Objective:
		return KindObjective, v.Name
	case Order:
		return KindOrder, v.Name
	}
	return "", ""
}

// Delta is what changed between two revisions.
type Delta struct {
	// Base is the revision that the delta is applied to.
	Base uint64 `json:"base"`
	// Revision is the revision that it leads to.
	Revision uint64 `json:"revision"`
	// Items is sorted by kind and name.
	Items []DeltaItem `json:"items"`
}

// DeltaItem is one changed resource.
type DeltaItem struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Deleted bool   `json:"deleted,omitempty"`
	// Changed is the revision of the resource's last change; 0 if deleted.
	Changed uint64 `json:"changed,omitempty"`
	// Spec is the resource as JSON; empty if deleted.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Diff returns what changed from one snapshot to a later one.
func Diff(from, to *Snapshot) (*Delta, error) {
	d := &Delta{Base: from.Revision, Revision: to.Revision}
	for key, changed := range to.Changed {
		if from.Changed[key] == changed {
			continue
		}
		kind, name, _ := SplitKey(key)
		spec, ok := to.Get(kind, name)
		if !ok {
			return nil, errors.WithStack(errEncoding)
		}
		data, err := json.Marshal(spec)
		if err != nil {
			return nil, errors.Wrap(err, "resource: encode delta")
		}
		d.Items = append(d.Items, DeltaItem{Kind: kind, Name: name, Changed: changed, Spec: data})
	}
	for key := range from.Changed {
		if _, ok := to.Changed[key]; ok {
			continue
		}
		kind, name, _ := SplitKey(key)
		d.Items = append(d.Items, DeltaItem{Kind: kind, Name: name, Deleted: true})
	}
	sort.Slice(d.Items, func(i, j int) bool {
		return Key(d.Items[i].Kind, d.Items[i].Name) < Key(d.Items[j].Kind, d.Items[j].Name)
	})
	return d, nil
}

// EncodeDelta returns the delta as JSON.
func EncodeDelta(d *Delta) ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "resource: encode delta")
}

// DecodeDelta reads what EncodeDelta wrote.
func DecodeDelta(data []byte) (*Delta, error) {
	d := &Delta{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "resource: decode delta")
	}
	return d, nil
}

// Apply returns the snapshot that the delta leads to from its base. It fails
// if s is not at the base or the delta doesn't fit it; s is not changed.
func (d *Delta) Apply(s *Snapshot) (*Snapshot, error) {
	if s.Revision != d.Base || d.Revision <= d.Base {
		return nil, errors.Wrapf(errEncoding, "delta from %d to %d applied to %d", d.Base, d.Revision, s.Revision)
	}
	next := s.Clone()
	next.Revision = d.Revision
	for i := range d.Items {
		item, err := d.Items[i].item()
		if err != nil {
			return nil, err
		}
		next.set(&item, d.Items[i].Changed)
	}
	if !next.consistent() {
		return nil, errors.WithStack(errEncoding)
	}
	return next, nil
}

// item decodes the resource.
func (d *DeltaItem) item() (Item, error) {
	item := Item{Kind: d.Kind, Name: d.Name, Deleted: d.Deleted}
	t, ok := tables[d.Kind]
	if !ok {
		return item, errors.Wrapf(errEncoding, "kind %q", string(d.Kind))
	}
	if d.Deleted {
		return item, nil
	}
	spec, err := t.unmarshal(d.Spec)
	item.Spec = spec
	return item, err
}
