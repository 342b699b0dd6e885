package keyledger

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// entryRef names a note by its key, or a run by its request.
type entryRef struct {
	key     string
	request ident.Request
}

// due is an entry with the time at which it is to be looked at.
type due struct {
	at  time.Duration
	ref entryRef
}

// expiryQueue holds entries in the order of their times. All of a queue are
// pushed with the same delay, so that the order of pushes is that of times.
type expiryQueue struct {
	items []due
}

// push appends an entry; at must not be before that of the last one.
func (q *expiryQueue) push(at time.Duration, ref entryRef) {
	q.items = append(q.items, due{at: at, ref: ref})
}

// pop removes the first entry if its time has come.
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

// first returns the time of the first entry.
func (q *expiryQueue) first() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}
