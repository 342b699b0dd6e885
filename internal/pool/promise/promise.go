// Package promise decides when the callers of refused requests are told to return, and keeps
// the times that they were promised. It responds to overload: requests that a pool refuses for
// lack of room.
package promise

import (
	"container/heap"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// HonouredFraction is the fraction of the time that a caller has left up to which it
	// honours a return time.
	HonouredFraction = 1.0 / 3
	// minAfter is the shortest time that is promised. A connection to another host takes
	// about as long.
	minAfter = 50 * time.Millisecond
	// earlyTolerance is how much before its time a return still counts as kept, for rounding
	// and clocks, and grace how long after it the capacity is kept: a new connection, with
	// its handshake sent once more.
	earlyTolerance = 20 * time.Millisecond
	grace          = 1200 * time.Millisecond
	// deadlineTolerance is by how much later the deadline of a return may be than that of the
	// first attempt. Both travel as the time that is left, to which the time on the way adds.
	deadlineTolerance = 100 * time.Millisecond
	// maxRows bounds the refusals that are remembered: those of some seconds at the largest
	// rate that a pool is designed for.
	maxRows = 8192
)

// Key identifies a request over its attempts.
type Key struct {
	Team        ident.Team
	Fingerprint uint64
}

// Refused is a request that is refused for lack of room.
type Refused struct {
	Key
	// FirstDue is when its first token was due; 0: it has no such objective.
	FirstDue time.Duration
	Deadline time.Duration
	// Repeats means that callers send the same body repeatedly. A return is then told from
	// another request by its deadline.
	Repeats bool
	// Cost is its expected slot time, and Total the time that it takes at an endpoint.
	Cost, Total time.Duration
}

// Room is the capacity that is expected for those who return.
type Room struct {
	// Ahead is the slot time that is served before, without what is promised.
	Ahead time.Duration
	// Rate is the slot time per time that newcomers are expected to leave.
	Rate float64
}

// Answer is what a refused caller is told.
type Answer struct {
	// After is when capacity is expected. Without a promise it is later than callers wait.
	After time.Duration
	// Promised means that it is kept for the caller.
	Promised bool
}

// Return is what is known of a request that arrives. The zero value is a new request.
type Return struct {
	// FirstDue is when its first token was due when it first arrived.
	FirstDue time.Duration
	// Kept means that it comes at the time that it was promised, Waited that it comes no
	// earlier than that or, without a promise, than callers honour a time.
	Kept, Waited bool
	row          *row
}

// Known reports whether the request has been refused before.
func (r *Return) Known() bool { return r.row != nil }

// Book holds the refusals and the promises. The zero value is ready to use.
type Book struct {
	rows map[Key][]*row
	// byEnd orders the rows by the time at which they change or end.
	byEnd rowHeap
	// outstanding is the slot time that is promised and not used up.
	outstanding time.Duration
	counts      Counts
	sequence    uint64
}

// Counts counts what became of promises.
type Counts struct {
	// Made and Without count refusals with and without a promise. Kept counts returns at
	// the promised time, Early earlier ones, and Lapsed promises that nobody used.
	Made, Without, Kept, Early, Lapsed uint64
	// Outstanding is the slot time that is promised now.
	Outstanding time.Duration
}

// row is a refused request whose caller may return.
type row struct {
	Refused
	// at is the promised time; promised is false after it was used up or has lapsed.
	at       time.Duration
	promised bool
	// honoured is the earliest time at which a caller that honours what it is told returns.
	honoured time.Duration
	sequence uint64
	// index is the place in the heap; negative after the row was removed.
	index int
}

// end returns when the row changes: its promise lapses, or nobody returns any more.
func (r *row) end() time.Duration {
	if r.promised {
		return r.at + grace
	}
	return r.Deadline
}

// Refuse records the refusal of a request, of which Arrive returned what was known, and returns
// what the caller is told. A promise that the request has already is repeated, not renewed.
func (b *Book) Refuse(now time.Duration, r Refused, before Return, room Room) Answer {
	b.expire(now)
	if x := before.row; x != nil && x.index >= 0 {
		if x.promised && x.at > now {
			return Answer{x.at - now, true}
		}
		b.remove(x)
	}
	left := r.Deadline - now
	third := time.Duration(HonouredFraction * float64(left))
	x := &row{Refused: r, honoured: now + third}
	after, expected := b.after(room, r.Cost)
	answer := Answer{After: max(after, third+minAfter)}
	if expected && after <= third && after+r.Total < left {
		answer = Answer{After: after, Promised: true}
		x.at, x.promised = now+after, true
		x.honoured = x.at
	}
	b.add(x)
	return answer
}

// after returns the time until the work before a request of a cost is served, and the request
// itself; false if newcomers leave nothing.
func (b *Book) after(room Room, cost time.Duration) (time.Duration, bool) {
	if room.Rate <= 0 {
		return 0, false
	}
	work := room.Ahead + b.outstanding + cost
	return max(minAfter, time.Duration(work.Seconds()/room.Rate*float64(time.Second))), true
}

// Arrive returns what is known of an arriving request, and uses up its promise if it comes at
// its time.
func (b *Book) Arrive(now time.Duration, key Key, deadline time.Duration) Return {
	b.expire(now)
	x := b.find(key, deadline)
	if x == nil {
		return Return{}
	}
	out := Return{FirstDue: x.FirstDue, Waited: now >= x.honoured-earlyTolerance, row: x}
	switch {
	case !x.promised:
		b.remove(x)
	case now >= x.at-earlyTolerance:
		out.Kept = true
		b.counts.Kept++
		b.remove(x)
	default:
		b.counts.Early++
	}
	return out
}

// find returns the refused request that a request with a deadline is. Of several with the same
// body it is the one with the nearest deadline that isn't earlier.
func (b *Book) find(key Key, deadline time.Duration) *row {
	var best *row
	for _, x := range b.rows[key] {
		if x.Repeats && deadline > x.Deadline+deadlineTolerance {
			continue
		}
		if best == nil || x.Deadline < best.Deadline {
			best = x
		}
	}
	return best
}

// Admitted records that a request which returned early was admitted all the same: its promise
// is used up.
func (b *Book) Admitted(before Return) {
	if x := before.row; x != nil && x.index >= 0 {
		b.remove(x)
	}
}

// Outstanding returns the slot time that is promised to callers who have not returned yet.
func (b *Book) Outstanding(now time.Duration) time.Duration {
	b.expire(now)
	return b.outstanding
}

// Counts returns the counts.
func (b *Book) Counts() Counts {
	out := b.counts
	out.Outstanding = b.outstanding
	return out
}

// expire ends the promises and the rows whose time is over.
func (b *Book) expire(now time.Duration) {
	for len(b.byEnd) > 0 && b.byEnd[0].end() < now {
		x := b.byEnd[0]
		if !x.promised || x.Deadline < now {
			if x.promised {
				b.counts.Lapsed++
			}
			b.remove(x)
			continue
		}
		b.counts.Lapsed++
		x.promised = false
		b.outstanding -= x.Cost
		heap.Fix(&b.byEnd, x.index)
	}
}

func (b *Book) add(x *row) {
	if len(b.byEnd) >= maxRows {
		b.remove(b.byEnd[0])
	}
	if b.rows == nil {
		b.rows = map[Key][]*row{}
	}
	b.sequence++
	x.sequence = b.sequence
	b.rows[x.Key] = append(b.rows[x.Key], x)
	heap.Push(&b.byEnd, x)
	if !x.promised {
		b.counts.Without++
		return
	}
	b.counts.Made++
	b.outstanding += x.Cost
}

func (b *Book) remove(x *row) {
	same := slices.DeleteFunc(b.rows[x.Key], func(y *row) bool { return y == x })
	b.rows[x.Key] = same
	if len(same) == 0 {
		delete(b.rows, x.Key)
	}
	heap.Remove(&b.byEnd, x.index)
	if x.promised {
		b.outstanding -= x.Cost
	}
}

// rowHeap orders rows by their ends, then by their refusals.
type rowHeap []*row

func (h rowHeap) Len() int { return len(h) }

func (h rowHeap) Less(i, j int) bool {
	if a, b := h[i].end(), h[j].end(); a != b {
		return a < b
	}
	return h[i].sequence < h[j].sequence
}

func (h rowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *rowHeap) Push(x any) {
	r := x.(*row)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *rowHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.index = -1
	return r
}
