package keyledger

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// entryRef refers to a record by its key, or to a run by its request.
type entryRef struct {
	key     string
	request ident.Request
}

// queuedEntry is an entry with its due time.
type queuedEntry struct {
	at  time.Duration
	ref entryRef
}

// expiryQueue is a FIFO queue of entries, ordered by due time. All entries of a
// queue are pushed with the same delay, so they arrive in that order.
type expiryQueue struct {
	items []queuedEntry
}

// push appends an entry. Its due time must not be before that of the last one.
func (q *expiryQueue) push(at time.Duration, ref entryRef) {
	q.items = append(q.items, queuedEntry{at: at, ref: ref})
}

// pop removes and returns the first entry if it is due.
func (q *expiryQueue) pop(now time.Duration) (entryRef, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return entryRef{}, false
	}
	ref := q.items[0].ref
	q.items = q.items[1:]
	if len(q.items) == 0 {
		q.items = nil
	}
	return ref, true
}

// first returns the due time of the first entry.
func (q *expiryQueue) first() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}
