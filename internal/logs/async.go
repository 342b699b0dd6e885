package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is how many lines may wait for a slow reader: some seconds of a
	// busy host's.
	asyncLines = 4096
	// dropReport is the time between two lines that tell of dropped ones.
	dropReport = 5 * time.Second
)

// Async writes log lines from a goroutine of its own, so that a reader that
// doesn't read never holds up who logs: lines are then dropped, and counted.
type Async struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Uint64
	// told is how many of the dropped lines were told of, at toldAt.
	told   uint64
	toldAt time.Time
	// quit is closed to end the goroutine, which closes done.
	quit, done chan struct{}
	once       sync.Once
}

// NewAsync returns a writer to out. Close flushes it.
func NewAsync(out io.Writer) *Async {
	a := &Async{
		lines: make(chan []byte, asyncLines), out: out, quit: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues a line. It never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() uint64 {
	return a.dropped.Load()
}

// run writes what is queued until quit, and then what is left.
func (a *Async) run() {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.write(append(batch[:0], line...))
		case <-a.quit:
			for len(a.lines) > 0 {
				batch = a.write(append(batch[:0], <-a.lines...))
			}
			return
		}
	}
}

// write writes a batch together with the lines behind it.
func (a *Async) write(batch []byte) []byte {
	for len(batch) < asyncBatch && len(a.lines) > 0 {
		batch = append(batch, <-a.lines...)
	}
	if n := a.dropped.Load(); n > a.told && time.Since(a.toldAt) >= dropReport {
		batch = fmt.Appendf(batch, "time=%q level=warning event=%s lines=%d\n",
			time.Now().Format(timeFormat), LinesDropped, n-a.told)
		a.told, a.toldAt = n, time.Now()
	}
	if _, err := a.out.Write(batch); err != nil {
		// There is nowhere left to tell of it but the count.
		a.dropped.Add(1)
	}
	return batch
}

// asyncBatch bounds what is written at once, in bytes.
const asyncBatch = 32 << 10

// Close writes what is queued, for at most a time: the reader may not read.
func (a *Async) Close(wait time.Duration) {
	a.once.Do(func() { close(a.quit) })
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}
