// Package platform defines the interfaces of the platform's services: the
// transactional table, the object store, the rate-limited weight store and the
// list of hosts. Client implements them over HTTP.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services; match them with errors.Is.
var (
	// ErrConflict means that a condition didn't hold. Nothing was written.
	ErrConflict = errors.New("platform: condition not met")
	// ErrNotFound means that the row or object doesn't exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the call failed without effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrAmbiguous means that a write got no valid answer: it may have taken effect.
	ErrAmbiguous = errors.New("platform: outcome unknown")
	// ErrLimited means that the service's rate limit rejected the call.
	ErrLimited = errors.New("platform: rate limited")
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with each write of the row; it is never 0.
	Version uint64 `json:"version"`
}

// Condition is a precondition of a transaction.
type Condition struct {
	Key string `json:"key"`
	// Version is the expected version of the row; 0 means that the row must not exist.
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction, applied atomically.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and sort after
	// the given key, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the new version of its rows.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the platform's object store. Writes replace whole objects.
type Objects interface {
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	// ListObjects returns the keys with the prefix in order.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Weights is the platform's rate-limited weight store.
type Weights interface {
	// Reserve requests permission to fetch a weight set now. With ErrLimited, it
	// also returns how long to wait.
	Reserve(ctx context.Context, name string) (time.Duration, error)
}

// HostEntry is an entry of the platform's host list.
type HostEntry struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Leaving is set if the platform plans to remove the host.
	Leaving bool `json:"leaving"`
	// Incarnation and Capacity are those of the host's process, as in a member's row. An
	// incarnation is set only if the process wrote it so recently that it is probably running.
	Incarnation uint64 `json:"-"`
	Capacity    uint32 `json:"-"`
}

// Hosts is the platform's list of hosts, which lags behind the actual state.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostEntry, error)
	// Register adds or updates this process's entry.
	Register(ctx context.Context, entry HostEntry) error
}
