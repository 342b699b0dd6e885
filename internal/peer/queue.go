package peer

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// queue is a bounded first-in first-out queue of messages for one peer.
//
// Invariants: len(items) == len(sizes) <= maxMessages; bytes is the sum of
// sizes and at most maxBytes.
type queue struct {
	maxMessages int
	maxBytes    int
	// ready holds a token while the queue may hold messages.
	ready chan struct{}

	mu    sync.Mutex
	items []*peerpb.Envelope
	sizes []int
	bytes int
}

// newQueue returns an empty queue.
func newQueue(maxMessages, maxBytes int) *queue {
	return &queue{maxMessages: maxMessages, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push appends a message. When it can't, it returns false and why.
func (q *queue) push(m *peerpb.Envelope) (Reason, bool) {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return DropTooLarge, false
	}
	q.mu.Lock()
	if len(q.items) >= q.maxMessages || q.bytes+size > q.maxBytes {
		q.mu.Unlock()
		return DropFull, false
	}
	q.items = append(q.items, m)
	q.sizes = append(q.sizes, size)
	q.bytes += size
	q.mu.Unlock()
	q.signal()
	return 0, true
}

// signal puts the token into ready.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// pop removes the messages of one batch and returns them with their sizes. When more remain, it
// signals again.
func (q *queue) pop() (batch []*peerpb.Envelope, sizes []int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, bytes := 0, 0
	for n < len(q.items) && n < maxBatchMessages && bytes < maxBatchBytes {
		bytes += q.sizes[n]
		n++
	}
	batch, sizes = q.items[:n:n], q.sizes[:n:n]
	q.items = q.items[n:]
	q.sizes = q.sizes[n:]
	q.bytes -= bytes
	if len(q.items) == 0 {
		q.items, q.sizes = nil, nil
	} else {
		q.signal()
	}
	return batch, sizes
}

// clear empties the queue and returns how many messages it held.
func (q *queue) clear() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.items)
	q.items, q.sizes, q.bytes = nil, nil, 0
	return n
}

// empty reports whether the queue holds nothing.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) == 0
}
