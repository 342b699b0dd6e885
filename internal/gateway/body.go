package gateway

import (
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	// wholeBytes is the largest body that is read into memory of just its length. It exceeds
	// ordinary bodies.
	wholeBytes = 128 << 10
	// chunkBytes is the size of the parts in which larger bodies are held, and firstChunkBytes
	// that of the first part of a body of unknown length.
	chunkBytes, firstChunkBytes = 64 << 10, 8 << 10
)

// chunkBuffers holds the parts of large bodies.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// newChunk returns a part of a given capacity.
func newChunk(n int) []byte {
	if n == chunkBytes {
		return chunkBuffers.Get().(*[chunkBytes]byte)[:]
	}
	return make([]byte, n)
}

// reuseChunk returns a part that nothing reads any more.
func reuseChunk(b []byte) {
	if cap(b) == chunkBytes {
		chunkBuffers.Put((*[chunkBytes]byte)(b[:chunkBytes]))
	}
}

// body is a request's body. Its parts are freed as soon as they cannot be sent again.
type body struct {
	conn   *callerConn
	chunks [][]byte
	size   int
	// spent is set if the body is freed, or will be as it is sent: the request has no other try.
	spent bool
	// writers counts the exchanges that are sending the body.
	writers atomic.Int32

	mu sync.Mutex
	// charged is what the budget has granted and was not freed.
	charged int64
}

// ask requests bytes of the budget.
func (b *body) ask(n int) bool {
	if !b.conn.gateway.ledger.ask(b.conn, memory.Bodies, int64(n)) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charged += int64(n)
	return true
}

// free returns bytes to the budget.
func (b *body) free(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, b.charged)
	b.charged -= n
	if n > 0 {
		b.conn.gateway.ledger.free(b.conn, memory.Bodies, n)
	}
}

// discard frees the body. Its parts are reused only if no endpoint is being sent them.
func (b *body) discard() {
	b.spent = true
	if b.writers.Load() == 0 {
		for _, chunk := range b.chunks {
			reuseChunk(chunk)
		}
		b.chunks = nil
	}
	b.free(math.MaxInt64)
}

// writeTo sends the body, and frees each part that is sent if it is not sent again.
func (b *body) writeTo(w io.Writer, spent bool) error {
	defer b.writers.Add(-1)
	for i, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		if spent {
			b.chunks[i] = nil
			b.free(int64(cap(chunk)))
			reuseChunk(chunk)
		}
	}
	return nil
}

// errNoMemory is returned when the budget grants no bytes for a body.
var errNoMemory = errors.New("no memory for the body")

// errGaveWay is the cause of a request's end when it gave way to others.
var errGaveWay = errors.New("the request gave way to others")

// read reads a body of a length, or of an unknown one if it is -1. The budget grants its bytes
// before they are read.
func (b *body) read(r io.Reader, length int64) error {
	step, next := chunkBytes, chunkBytes
	switch {
	case length < 0:
		next = firstChunkBytes
	case length <= wholeBytes:
		step, next = int(length), int(length)
		fallthrough
	default:
		if !b.ask((int(length) + step - 1) / step * step) {
			return errNoMemory
		}
	}
	if length > wholeBytes {
		b.conn.enlarge()
	}
	for ; ; next = step {
		if length < 0 && !b.ask(next) {
			return errNoMemory
		}
		chunk := newChunk(next)
		n, err := fill(r, chunk)
		b.chunks, b.size = append(b.chunks, chunk[:n]), b.size+n
		if err == nil && int64(b.size) == length {
			_, err = fill(r, make([]byte, 1))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// fill reads until b is full or a read fails. Unlike io.ReadFull, it tells the end of a body from
// its interruption.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

// noMemory returns the refusal of a request that there is no memory for. It closes the connection,
// because on a kept one the server would read the rest of the body.
func (c *call) noMemory() *result.Error {
	c.w.Header().Set("Connection", "close")
	_ = c.conn.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	return &result.Error{Code: result.NoMemory, RetryAfter: noMemoryRetryAfter, Reason: errNoMemory.Error()}
}
