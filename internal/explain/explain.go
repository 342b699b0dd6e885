// Package explain records what happened to recent requests, so that an operator can
// see why one was placed, shed or refused.
package explain

import (
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	// maxRequests limits the number of requests that are kept.
	maxRequests = 4096
	// maxRecords limits the number of records per request.
	maxRecords = 32
)

// Record is one event in the processing of a request.
type Record struct {
	Time     time.Time
	Event    logs.Event
	Code     result.Code
	Endpoint ident.Endpoint
	Reason   string
}

// History keeps the records of the most recent requests. It is safe for concurrent
// use.
type History struct {
	mu      sync.Mutex
	records map[ident.Request][]Record
	order   []ident.Request
}

// New returns an empty history.
func New() *History {
	return &History{records: map[ident.Request][]Record{}}
}

// Add adds a record to a request. A new request evicts the oldest one if the
// history is full. Records over the limit of a request are dropped.
func (h *History) Add(id ident.Request, r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, known := h.records[id]
	if !known {
		h.evictOldest()
		h.order = append(h.order, id)
	}
	if len(list) < maxRecords {
		h.records[id] = append(list, r)
	}
}

// evictOldest removes the oldest request if the history is full.
func (h *History) evictOldest() {
	if len(h.order) < maxRequests {
		return
	}
	delete(h.records, h.order[0])
	h.order = h.order[1:]
}

// Records returns the records of a request in the order in which they were added.
func (h *History) Records(id ident.Request) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.records[id]...)
}
