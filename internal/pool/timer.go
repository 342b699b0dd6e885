package pool

import (
	"container/heap"
	"time"
)

// timer is an entry of the timer heap. The zero value is stopped.
type timer struct {
	at       time.Duration
	sequence uint64
	// index is the place in the heap plus one; 0 if the timer is stopped.
	index int
	fire  func()
}

// timers is a heap of timers, ordered by time and then by the order in which they were
// set.
type timers struct {
	heap     timerHeap
	sequence uint64
}

// set starts or resets a timer.
func (t *timers) set(x *timer, at time.Duration, fire func()) {
	t.sequence++
	x.at, x.sequence, x.fire = at, t.sequence, fire
	if x.index == 0 {
		heap.Push(&t.heap, x)
		return
	}
	heap.Fix(&t.heap, x.index-1)
}

// stop stops a timer if it is running.
func (t *timers) stop(x *timer) {
	if x.index > 0 {
		heap.Remove(&t.heap, x.index-1)
	}
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// runTimers runs the timers that are due, in order.
func (s *Scheduler) runTimers() {
	for {
		at, ok := s.timers.next()
		if !ok || at > s.now {
			return
		}
		x := heap.Pop(&s.timers.heap).(*timer)
		x.fire()
	}
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h) + 1
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}
