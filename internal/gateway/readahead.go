package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/memory"
)

const (
	// aheadChunkBytes is the size of the parts in which bytes that a caller has not taken are held.
	aheadChunkBytes = 16 << 10
	// aheadWait is how long the reading of an answer waits for a slow caller at each part. An
	// endpoint cuts off an answer that stays unread for some seconds, so that a stalled caller must
	// not stop the reading; the wait keeps a fast endpoint from filling the budget at once.
	aheadWait = 20 * time.Millisecond
)

// errTooSlow is returned when the budget grants no bytes for an answer that its caller doesn't take.
var errTooSlow = errors.New("the caller takes its answer too slowly")

// aheadWriter sends answers to a caller. What the kernel does not take is held and sent by a
// goroutine, so that the answer is read further.
type aheadWriter struct {
	conn *callerConn
	raw  syscall.RawConn
	// try writes what the kernel takes at once of part. It is kept, so that writing does not
	// allocate, and leaves its result in written.
	try     func(fd uintptr) bool
	part    []byte
	written int
	// drained is signaled when everything that was held was sent.
	drained chan struct{}

	mu sync.Mutex
	// ahead is set while an answer of an endpoint may be read ahead.
	ahead bool
	// queue is what is held, and sending is set while a goroutine sends it.
	queue   [][]byte
	sending bool
	err     error
	// idleAfter, closeWriteAfter and closeAfter tell what follows when everything was sent.
	idleAfter, closeWriteAfter, closeAfter bool
}

// newAheadWriter returns the writer of a connection.
func newAheadWriter(c *callerConn) *aheadWriter {
	w := &aheadWriter{conn: c, drained: make(chan struct{}, 1)}
	w.try = func(fd uintptr) bool {
		n, err := syscall.Write(int(fd), w.part)
		if w.written = n; err != nil {
			// The blocking write that follows reports the error, unless it is temporary.
			w.written = 0
		}
		return true
	}
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		w.raw, _ = conn.SyscallConn()
	}
	return w
}

// setAhead allows or ends reading ahead.
func (w *aheadWriter) setAhead(ahead bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ahead = ahead
}

// beginRequest records that another request is received on the connection.
func (w *aheadWriter) beginRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idleAfter = false
	w.conn.gateway.ledger.enter(w.conn, memory.Receiving)
}

// write sends bytes, or holds them.
func (w *aheadWriter) write(p []byte) (int, error) {
	w.mu.Lock()
	if w.err != nil {
		defer w.mu.Unlock()
		return 0, w.err
	}
	n := 0
	if !w.sending {
		if !w.ahead || w.raw == nil {
			w.mu.Unlock()
			return w.conn.Conn.Write(p)
		}
		w.part, w.written = p, 0
		err := w.raw.Write(w.try)
		w.part = nil
		if n = w.written; n == len(p) || err != nil {
			w.mu.Unlock()
			w.conn.passed.Add(int64(n))
			return n, err
		}
	}
	w.mu.Unlock()
	w.conn.passed.Add(int64(n))
	if err := w.hold(p[n:]); err != nil {
		return n, err
	}
	timer := time.NewTimer(aheadWait)
	defer timer.Stop()
	select {
	case <-w.drained:
	case <-timer.C:
	}
	return len(p), nil
}

// hold keeps bytes for the goroutine that sends them. Only one goroutine writes at a time.
func (w *aheadWriter) hold(p []byte) error {
	for len(p) > 0 {
		w.mu.Lock()
		if last := len(w.queue) - 1; last >= 0 {
			room := min(len(p), cap(w.queue[last])-len(w.queue[last]))
			w.queue[last] = append(w.queue[last], p[:room]...)
			p = p[room:]
		}
		w.mu.Unlock()
		if len(p) == 0 {
			break
		}
		if !w.conn.gateway.ledger.ask(w.conn, memory.Answers, aheadChunkBytes) {
			if w.fail(errTooSlow) {
				w.conn.gateway.ledger.act(ActionAnswerReset, w.conn.RemoteAddr().String())
			}
			return errTooSlow
		}
		part := append(make([]byte, 0, aheadChunkBytes), p[:min(len(p), aheadChunkBytes)]...)
		p = p[len(part):]
		w.mu.Lock()
		if w.queue = append(w.queue, part); !w.sending && w.err == nil {
			w.sending = true
			w.conn.gateway.sending.Add(1)
			go w.send()
		}
		w.mu.Unlock()
	}
	return nil
}

// send sends what is held until there is nothing more.
func (w *aheadWriter) send() {
	defer w.conn.gateway.sending.Add(-1)
	for {
		w.mu.Lock()
		if len(w.queue) == 0 || w.err != nil {
			w.finish()
			return
		}
		part := w.queue[0]
		w.queue[0] = nil
		w.queue = w.queue[1:]
		w.mu.Unlock()
		if _, err := w.conn.Conn.Write(part); err != nil {
			w.fail(err)
			continue
		}
		w.conn.passed.Add(int64(len(part)))
		w.conn.gateway.ledger.free(w.conn, memory.Answers, aheadChunkBytes)
	}
}

// finish ends the goroutine that sends and does what was to follow. It unlocks w.
func (w *aheadWriter) finish() {
	w.sending = false
	idle, closeWrite, closes := w.idleAfter, w.closeWriteAfter, w.closeAfter
	w.idleAfter, w.closeWriteAfter = false, false
	if idle && !closes {
		w.conn.gateway.ledger.enter(w.conn, memory.Idle)
	}
	w.mu.Unlock()
	select {
	case w.drained <- struct{}{}:
	default:
	}
	switch {
	case closes:
		_ = w.conn.closeNow()
	case closeWrite:
		_ = w.conn.CloseWrite()
	}
}

// fail drops what is held and resets the connection: the caller must not take what it has for the
// whole answer. It returns false if writing had failed before.
func (w *aheadWriter) fail(err error) bool {
	w.mu.Lock()
	first := w.err == nil
	if first {
		w.err = err
	}
	w.queue = nil
	w.mu.Unlock()
	w.conn.abortOnClose()
	_ = w.conn.closeNow()
	return first
}

// defers notes what is to follow when everything was sent. It returns false if nothing is held.
func (w *aheadWriter) defers(what *bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sending && w.err == nil {
		*what = true
		return true
	}
	return false
}
