package resource

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Keys of the platform's table.
const (
	// RevisionKey is the row that every change is conditioned on.
	RevisionKey = "revision"
	// ResourcePrefix starts the keys "resource/<kind>/<name>".
	ResourcePrefix = "resource/"
	// ChangePrefix starts the keys "change/<revision>", with the revision in
	// 20 digits so that keys sort by it.
	ChangePrefix = "change/"
)

// RevisionRow is the value of the row RevisionKey.
type RevisionRow struct {
	Revision uint64 `json:"revision"`
	// ChangeID is the id of the change that led to the revision.
	ChangeID string `json:"change_id"`
}

// SpecRow is the value of a row under ResourcePrefix.
type SpecRow struct {
	// Changed is the revision of the resource's last change.
	Changed uint64 `json:"changed"`
	// Spec is the resource as JSON.
	Spec json.RawMessage `json:"spec"`
}

// ChangeRow is the value of a row under ChangePrefix.
type ChangeRow struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Sum is the SHA-256 sum of the change's items, so that one id can't stand
	// for two changes.
	Sum   string       `json:"sum"`
	Items []ChangedKey `json:"items"`
}

// ChangedKey names a resource that a change wrote or deleted.
type ChangedKey struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Deleted bool   `json:"deleted,omitempty"`
}

func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, revision)
}

func resourceKey(kind Kind, name string) string {
	return ResourcePrefix + Key(kind, name)
}

// DecodeRevisionRow reads the row RevisionKey.
func DecodeRevisionRow(value []byte) (RevisionRow, error) {
	var row RevisionRow
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "resource: revision row")
}

// SnapshotFromRows builds a snapshot from all rows under ResourcePrefix, as
// they stood at the revision. A row that changed later is an error: the rows
// were then read across a change.
func SnapshotFromRows(revision uint64, rows []platform.Row) (*Snapshot, error) {
	s := NewSnapshot()
	s.Revision = revision
	for i := range rows {
		item, changed, err := decodeResourceRow(&rows[i])
		if err != nil {
			return nil, err
		}
		s.set(&item, changed)
	}
	if !s.consistent() {
		return nil, errors.Wrap(errEncoding, "resource rows")
	}
	return s, nil
}

// decodeResourceRow reads one row under ResourcePrefix.
func decodeResourceRow(row *platform.Row) (Item, uint64, error) {
	kind, name, ok := SplitKey(strings.TrimPrefix(row.Key, ResourcePrefix))
	if !ok {
		return Item{}, 0, errors.Wrapf(errEncoding, "row key %q", row.Key)
	}
	var value SpecRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return Item{}, 0, errors.Wrapf(err, "resource: row %q", row.Key)
	}
	spec, err := tables[kind].unmarshal(value.Spec)
	return Item{Kind: kind, Name: name, Spec: spec}, value.Changed, err
}

// encodeResourceRow returns the row that decodeResourceRow reads.
func encodeResourceRow(item *Item, changed uint64) (platform.Put, error) {
	spec, err := json.Marshal(item.Spec)
	if err != nil {
		return platform.Put{}, errors.Wrap(err, "resource: encode row")
	}
	value, err := json.Marshal(SpecRow{Changed: changed, Spec: spec})
	return platform.Put{Key: resourceKey(item.Kind, item.Name), Value: value}, errors.Wrap(err, "resource: encode row")
}
