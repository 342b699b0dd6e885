// Package explain keeps what happened to recent requests, so that an operator
// can ask why one was placed, shed or refused.
package explain

import (
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	// maxRequests bounds the requests that are kept.
	maxRequests = 4096
	// maxRecords bounds the records of one request.
	maxRecords = 32
)

// Record is one thing that happened to a request.
type Record struct {
	Time     time.Time
	Event    logs.Event
	Code     result.Code
	Endpoint ident.Endpoint
	Reason   string
}

// History keeps the records of the latest requests. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	rows  map[ident.Request][]Record
	order []ident.Request
}

// New returns an empty book.
func New() *History {
	return &History{rows: map[ident.Request][]Record{}}
}

// Add keeps a record. The oldest request makes room for a new one.
func (b *History) Add(id ident.Request, r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, known := b.rows[id]
	if !known {
		b.makeRoom()
		b.order = append(b.order, id)
	}
	if len(list) < maxRecords {
		b.rows[id] = append(list, r)
	}
}

// makeRoom drops the oldest request when the book is full.
func (b *History) makeRoom() {
	if len(b.order) < maxRequests {
		return
	}
	delete(b.rows, b.order[0])
	b.order = b.order[1:]
}

// Records returns the records of a request in order of time.
func (b *History) Records(id ident.Request) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.rows[id]...)
}
