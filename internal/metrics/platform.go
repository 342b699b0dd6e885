package metrics

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Operations of the platform's services.
const (
	operationGet    = "table_get"
	operationList   = "table_list"
	operationCommit = "table_commit"
	operationPut    = "object_put"
	operationRead   = "object_get"
	operationKeys   = "object_list"
)

// outcome returns the label of a call's error.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrNotFound):
		return "not_found"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrAmbiguous):
		return "ambiguous"
	case errors.Is(err, platform.ErrLimited):
		return "limited"
	}
	return "other"
}

// called counts one call of the platform.
func (m *Metrics) called(operation string, start time.Time, err error) {
	m.Called(operation, outcome(err), time.Since(start))
}

// Called counts one call of a platform's service with its outcome.
func (m *Metrics) Called(operation, outcome string, took time.Duration) {
	ctx := context.Background()
	m.set.platformCalls.Add(ctx, 1, m.by(labelOperation, operation, labelOutcome, outcome))
	m.set.platformTime.Record(ctx, took.Seconds(), m.by(labelOperation, operation))
}

// Table returns a table whose calls are counted.
func (m *Metrics) Table(inner platform.Table) platform.Table {
	return &table{inner: inner, metrics: m}
}

type table struct {
	inner   platform.Table
	metrics *Metrics
}

func (t *table) Get(ctx context.Context, key string) (platform.Row, error) {
	start := time.Now()
	row, err := t.inner.Get(ctx, key)
	t.metrics.called(operationGet, start, err)
	return row, err
}

func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	start := time.Now()
	rows, err := t.inner.List(ctx, prefix, after, limit)
	t.metrics.called(operationList, start, err)
	return rows, err
}

func (t *table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	start := time.Now()
	version, err := t.inner.Commit(ctx, txn)
	t.metrics.called(operationCommit, start, err)
	return version, err
}

// Objects returns an object store whose calls are counted.
func (m *Metrics) Objects(inner platform.Objects) platform.Objects {
	return &objects{inner: inner, metrics: m}
}

type objects struct {
	inner   platform.Objects
	metrics *Metrics
}

func (o *objects) PutObject(ctx context.Context, key string, value []byte) error {
	start := time.Now()
	err := o.inner.PutObject(ctx, key, value)
	o.metrics.called(operationPut, start, err)
	return err
}

func (o *objects) GetObject(ctx context.Context, key string) ([]byte, error) {
	start := time.Now()
	value, err := o.inner.GetObject(ctx, key)
	o.metrics.called(operationRead, start, err)
	return value, err
}

func (o *objects) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	start := time.Now()
	keys, err := o.inner.ListObjects(ctx, prefix)
	o.metrics.called(operationKeys, start, err)
	return keys, err
}
