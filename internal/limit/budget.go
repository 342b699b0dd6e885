// Package limit bounds what a host does beside first tries of requests.
package limit

import (
	"sync"
	"time"
)

// Budget bounds the tries of requests beyond their first at the endpoints of one
// target: within any window at most a part of the first tries of that window, and
// a number beside. Every host keeps to its part of that number, so that the sum
// holds without messages between them. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the part of the first tries, extra the number beside.
	ratio  float64
	extra  float64
	window time.Duration
	firsts series
	others series
}

// series counts events in slices of time.
type series struct {
	slices []int
	// last is the number of the newest slice since the clock's zero.
	last int64
	sum  int
}

// budgetSlices is how many slices a window has. First tries are counted in as many,
// the newest not yet whole: never over more than the window. Further tries are
// counted in one more: never over less.
const budgetSlices = 20

// NewBudget returns a budget with a ratio to the first tries and a number of tries
// beside them in each window.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{
		ratio: ratio, extra: extra, window: window,
		firsts: series{slices: make([]int, budgetSlices)},
		others: series{slices: make([]int, budgetSlices+1)},
	}
}

// SetExtra sets the number of tries beside the ratio.
func (b *Budget) SetExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = extra
}

// Resize sets the ratio and the window. Tries of a longer window before count as made
// just now, so that no window has more than the budget of either.
func (b *Budget) Resize(now time.Duration, ratio float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.others.roll(at)
	used := b.others.sum
	b.ratio, b.window = ratio, window
	at = b.slice(now)
	b.firsts = series{slices: make([]int, budgetSlices), last: at}
	b.others = series{slices: make([]int, budgetSlices+1), last: at}
	b.others.slices[at%int64(len(b.others.slices))] = used
	b.others.sum = used
}

// CountFirst counts the first try of a request.
func (b *Budget) CountFirst(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.add(b.slice(now))
}

// Take takes a further try out of the budget. It returns false when none is left.
func (b *Budget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.others.roll(at)
	if float64(b.others.sum+1) > b.ratio*float64(b.firsts.sum)+b.extra {
		return false
	}
	b.others.add(at)
	return true
}

// Remaining returns how many further tries are left now.
func (b *Budget) Remaining(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice(now)
	b.firsts.roll(at)
	b.others.roll(at)
	return b.ratio*float64(b.firsts.sum) + b.extra - float64(b.others.sum)
}

// slice returns the number of the slice of a time.
func (b *Budget) slice(now time.Duration) int64 {
	return int64(now / (b.window / budgetSlices))
}

// add counts an event in a slice.
func (s *series) add(at int64) {
	s.roll(at)
	s.slices[at%int64(len(s.slices))]++
	s.sum++
}

// roll drops the slices that are too old.
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
