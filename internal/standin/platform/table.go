// Package platform is a small stand-in for the platform's services: a
// transactional table, an object store, a rate-limited weight store and a
// lagging host list, all in memory. Server offers them over HTTP, Fake offers
// them in process. Both have switches that bring about failures.
package platform

import (
	"bytes"
	"sort"
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// table is a transactional table. It is not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// version is the version of the last applied transaction.
	version uint64
}

// newTable returns an empty table.
func newTable() *table {
	return &table{rows: map[string]platform.Row{}}
}

// get returns a copy of one row.
func (t *table) get(key string) (platform.Row, error) {
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return copyRow(row), nil
}

// list returns copies of up to limit rows with the prefix and a key after the
// given one, in key order. A limit of 0 or less means no limit.
func (t *table) list(prefix, after string, limit int) []platform.Row {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, copyRow(t.rows[key]))
	}
	return rows
}

// commit applies the transaction whole if every condition holds.
func (t *table) commit(txn platform.Txn) (uint64, error) {
	for _, condition := range txn.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return 0, platform.ErrConflict
		}
	}
	t.version++
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	for _, put := range txn.Puts {
		t.rows[put.Key] = platform.Row{
			Key:     put.Key,
			Value:   bytes.Clone(put.Value),
			Version: t.version,
		}
	}
	return t.version, nil
}

// copyRow returns a row that shares no memory with the table.
func copyRow(row platform.Row) platform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
