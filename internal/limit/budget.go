// Package limit limits the retries that a host makes in addition to the first
// tries of requests.
package limit

import (
	"sync"
	"time"
)

// Budget is a retry budget for the endpoints of one target. Within any window it
// allows a fixed ratio of the window's first tries, plus a constant number of
// extra retries. Every host uses its own share of that number, so that the total
// holds without coordination. Budget is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the allowed retries per first try, extra the number allowed in
	// addition.
	ratio   float64
	extra   float64
	window  time.Duration
	firsts  series
	retries series
}

// series counts events in a ring of time slices.
type series struct {
	slices []int
	// last is the number of the newest slice, counted from time 0.
	last int64
	sum  int
}

// budgetSlices is the number of slices in a window. First tries are counted over
// as many slices, of which the newest is incomplete, and thus never over more than
// the window. Retries are counted over one slice more, and thus never over less
// than the window.
const budgetSlices = 20

// NewBudget returns a budget of ratio retries per first try, plus extra retries,
// in each window.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{
		ratio: ratio, extra: extra, window: window,
		firsts:  series{slices: make([]int, budgetSlices)},
		retries: series{slices: make([]int, budgetSlices+1)},
	}
}

// SetExtra sets the number of retries allowed in addition to the ratio.
func (b *Budget) SetExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = extra
}

// Resize sets the ratio and the window. Retries in the previous window count as
// made at now, so that no window has more than the old or the new budget.
func (b *Budget) Resize(now time.Duration, ratio float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.retries.roll(at)
	used := b.retries.sum
	b.ratio, b.window = ratio, window
	at = b.slice(now)
	b.firsts = series{slices: make([]int, budgetSlices), last: at}
	b.retries = series{slices: make([]int, budgetSlices+1), last: at}
	b.retries.slices[at%int64(len(b.retries.slices))] = used
	b.retries.sum = used
}

// CountFirst records the first try of a request.
func (b *Budget) CountFirst(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.add(b.slice(now))
}

// Take takes one retry out of the budget. It reports whether one was left.
func (b *Budget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.retries.roll(at)
	if float64(b.retries.sum+1) > b.ratio*float64(b.firsts.sum)+b.extra {
		return false
	}
	b.retries.add(at)
	return true
}

// Remaining returns the number of retries left.
func (b *Budget) Remaining(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.retries.roll(at)
	return b.ratio*float64(b.firsts.sum) + b.extra - float64(b.retries.sum)
}

// slice returns the number of the slice that contains a time.
func (b *Budget) slice(now time.Duration) int64 {
	return int64(now / (b.window / budgetSlices))
}

// add counts an event in a slice.
func (s *series) add(at int64) {
	s.roll(at)
	s.slices[at%int64(len(s.slices))]++
	s.sum++
}

// roll advances to slice at and clears the slices that have left the ring.
func (s *series) roll(at int64) {
	n := int64(len(s.slices))
	if at-s.last >= n {
		clear(s.slices)
		s.sum, s.last = 0, at
		return
	}
	for s.last < at {
		s.last++
		s.sum -= s.slices[s.last%n]
		s.slices[s.last%n] = 0
	}
}
