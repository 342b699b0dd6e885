// Package platform holds the interfaces to the platform's services: the
// transactional table, the object store, the rate-limited weight store and the
// list of hosts. Client implements them over HTTP.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services. Test with errors.Is.
var (
	// ErrConflict says that a condition didn't hold. Nothing was written.
	ErrConflict = errors.New("platform: condition not met")
	// ErrNotFound says that there is no such row or object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable says that the service refused the call before any effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrAmbiguous says that no answer came: a write may have taken effect.
	ErrAmbiguous = errors.New("platform: outcome unknown")
	// ErrLimited says that the service's rate limit refused the call.
	ErrLimited = errors.New("platform: rate limited")
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the row; it is never 0.
	Version uint64 `json:"version"`
}

// Condition must hold for a transaction to be applied.
type Condition struct {
	Key string `json:"key"`
	// Version is the row's wanted version; 0 means that no row may exist.
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and sort after
	// the given key, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the version given to its rows.
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
	// Reserve asks for leave to fetch a weight set now. ErrLimited carries on
	// how long to wait in the second result.
	Reserve(ctx context.Context, name string) (time.Duration, error)
}

// HostEntry is one row of the platform's lagging host list.
type HostEntry struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Leaving says that the platform means to take the host away.
	Leaving bool `json:"leaving"`
}

// Hosts is the platform's lagging list of hosts.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostEntry, error)
	// Register adds or refreshes this process's entry.
	Register(ctx context.Context, entry HostEntry) error
}
