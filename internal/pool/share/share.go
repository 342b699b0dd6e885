// Package share decides which requests are beyond their team's share of a pool. It responds to
// teams that send several times their usual rate while the pool is full.
package share

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// bucketLength and buckets are the time over which a team's usual rate is measured, as the
	// median of buckets: a surge of up to half of the time doesn't change it. The buckets are
	// long enough for some requests of a small team.
	bucketLength = 5 * time.Second
	buckets      = 12
	// minBuckets is the number of buckets from which on the usual rate is known. After a
	// change of the scheduler in a surge, the surge would pass for it.
	minBuckets = 4
	// headroom is the multiple of its usual rate that a team may always send: the bursts of
	// ordinary traffic.
	headroom = 1.5
	// leastFraction is the fraction of its part by weight that a team may always send.
	leastFraction = 0.5
	// depth is how long a team may send at any rate before its share applies.
	depth = 6 * time.Second
	// slightly is for how long more it is then beyond its share by little.
	slightly = 3 * time.Second
	// mostSurging is the fraction of the teams, by weight, from which on their surge is an
	// overload of the pool, in which nobody is within a share to be protected.
	mostSurging = 0.5
)

// Level says how a request stands to its team's share.
type Level int

// Levels.
const (
	Within Level = iota
	// Beyond is a request that exceeds the share by as little as ordinary traffic does.
	Beyond
	FarBeyond
)

// Table measures the teams' rates. The zero value is ready to use.
type Table struct {
	teams map[ident.Team]*team
	start time.Duration
	// weight and lastWeight sum the weights of the teams that sent in this bucket and in the
	// last one.
	weight, lastWeight float64
	// beyondWeight sums the weights of the teams that are far beyond their share.
	beyondWeight float64
}

// team is the traffic of one team.
type team struct {
	weight float64
	// arrived is the slot time that arrived in this bucket, rates the rates of the last ones.
	arrived float64
	rates   []float64
	usual   float64
	// tokens is the slot time that the team may send now, as of at.
	tokens float64
	at     time.Duration
	seen   bool
	// beyond means that a request was far beyond the share and none within it since.
	beyond       bool
	beyondWeight float64
}

// Arrive counts a request by its expected slot time, and returns how it stands to the share of
// its team in a pool of the given capacity. The share is the larger of the team's part by
// weight among the teams that send, and what it usually sends.
func (t *Table) Arrive(now time.Duration, name ident.Team, weight float64, cost time.Duration, capacity float64) Level {
	t.advance(now)
	x := t.teams[name]
	if x == nil {
		if t.teams == nil {
			t.teams = map[ident.Team]*team{}
		}
		x = &team{at: now}
		t.teams[name] = x
	}
	if !x.seen {
		x.seen, x.weight = true, weight
		t.weight += weight
	}
	first := x.arrived == 0 && len(x.rates) == 0
	x.arrived += cost.Seconds()
	rate := capacity * x.weight / max(t.weight, t.lastWeight)
	if x.known() {
		rate = max(headroom*x.usual, leastFraction*rate)
	}
	x.tokens = min(x.tokens+rate*(now-x.at).Seconds(), rate*depth.Seconds())
	if first {
		x.tokens = rate * depth.Seconds()
	}
	x.at = now
	level := x.spend(cost, rate)
	t.mark(x, level)
	if max(t.beyondWeight, x.weight) > mostSurging*max(t.weight, t.lastWeight) {
		return Within
	}
	return level
}

// spend takes the cost of a request from the team's tokens, unless it is far beyond its share.
func (x *team) spend(cost time.Duration, rate float64) Level {
	before := x.tokens
	if before <= -rate*slightly.Seconds() {
		return FarBeyond
	}
	x.tokens -= cost.Seconds()
	if before > 0 {
		return Within
	}
	return Beyond
}

// mark keeps the sum of the weights of the teams that are far beyond their share.
func (t *Table) mark(x *team, level Level) {
	beyond := level == FarBeyond || level == Beyond && x.beyond
	if beyond == x.beyond {
		return
	}
	x.beyond = beyond
	if beyond {
		x.beyondWeight = x.weight
		t.beyondWeight += x.beyondWeight
		return
	}
	t.beyondWeight -= x.beyondWeight
}

// advance closes the buckets that have ended.
func (t *Table) advance(now time.Duration) {
	ended := int((now - t.start) / bucketLength)
	if ended <= 0 {
		return
	}
	t.start += time.Duration(ended) * bucketLength
	t.lastWeight, t.weight = t.weight, 0
	if ended > 1 {
		t.lastWeight = 0
	}
	t.beyondWeight = 0
	for _, name := range slices.Sorted(maps.Keys(t.teams)) {
		x := t.teams[name]
		x.close(min(ended, buckets+1))
		if !slices.ContainsFunc(x.rates, func(rate float64) bool { return rate > 0 }) {
			delete(t.teams, name)
		} else if x.beyond {
			t.beyondWeight += x.beyondWeight
		}
	}
}

// known reports whether the team's usual rate is known.
func (x *team) known() bool { return len(x.rates) >= minBuckets }

// close closes a bucket of the team and the empty ones after it.
func (x *team) close(ended int) {
	for range ended {
		x.rates = append(x.rates, x.arrived/bucketLength.Seconds())
		x.arrived = 0
	}
	x.rates = x.rates[max(0, len(x.rates)-buckets):]
	x.seen, x.usual = false, 0
	if x.known() {
		x.usual = slices.Sorted(slices.Values(x.rates))[len(x.rates)/2]
	}
}
