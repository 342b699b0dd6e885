// Package platform is a small stand-in for the platform's services: a
// transactional table, an object store, a rate-limited weight store and a
// lagging host list, all in memory. Server offers them over HTTP, Fake offers
// them in process. Both have switches that bring about failures.
package platform

import (
	"bytes"
	"slices"
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// table is a transactional table. It is not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// keys holds the keys of the rows in order.
	keys []string
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
	rows := []platform.Row{}
	start, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && after >= prefix {
		start++
	}
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) || (limit > 0 && len(rows) == limit) {
			break
		}
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
		t.remove(key)
	}
	for _, put := range txn.Puts {
		t.put(platform.Row{Key: put.Key, Value: bytes.Clone(put.Value), Version: t.version})
	}
	return t.version, nil
}

// put adds or replaces a row.
func (t *table) put(row platform.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		i, _ := slices.BinarySearch(t.keys, row.Key)
		t.keys = slices.Insert(t.keys, i, row.Key)
	}
	t.rows[row.Key] = row
}

// remove deletes a row if it exists.
func (t *table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	i, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, i, i+1)
	delete(t.rows, key)
}

// copyRow returns a row that shares no memory with the table.
func copyRow(row platform.Row) platform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
