package resource

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// memoryTable is a table in memory whose commits can be made to fail.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	// fault is asked before each commit; it returns whether the transaction is
	// applied and what the caller is told.
	fault func() (applied bool, err error)
	// readFault is asked before each read; a read with a fault returns nothing.
	readFault func() error
	// before is called before each operation.
	before func(operation string)
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: map[string]platform.Row{}}
}

func (t *memoryTable) hook(operation string) {
	if t.before != nil {
		t.before(operation)
	}
}

func (t *memoryTable) read(ctx context.Context) error {
	if t.readFault != nil {
		return t.readFault()
	}
	return ctx.Err()
}

func (t *memoryTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.hook("get " + key)
	if err := t.read(ctx); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (t *memoryTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.hook("list " + prefix)
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *memoryTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	t.hook("commit")
	applied, err := true, ctx.Err()
	if t.fault != nil {
		applied, err = t.fault()
	}
	if !applied {
		return 0, err
	}
	if version, txnErr := t.apply(txn); txnErr != nil || err == nil {
		return version, txnErr
	}
	return 0, err
}

// apply runs one transaction.
func (t *memoryTable) apply(txn platform.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
		t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	return t.version, nil
}
