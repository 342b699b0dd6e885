// Package meter measures what arrives at a pool and how fast it drains.
package meter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meterBucket is the time over which rates are counted.
	meterBucket = time.Second
	// drainWeight and arrivalWeight are the weights of one bucket in the rates;
	// the one of arrivals looks over bursts.
	drainWeight   = 0.1
	arrivalWeight = 0.02
	// recentWeight is the weight of one bucket in what arrives just now, bursts
	// included.
	recentWeight = 0.3
	// firstUse is the part of its slots' time that a pool is taken to use
	// while it is full, before it was measured.
	firstUse = 0.9
	// minUse bounds the measured part from below.
	minUse = 0.3
)

// Meter measures, in slot time per time, what arrives by rank and what is
// granted while requests wait.
type Meter struct {
	start   time.Duration
	arrived map[int]float64
	granted float64
	// waited says that requests waited throughout the bucket.
	waited bool
	// arrivals are the rates by rank and drain the rate granted under backlog;
	// 0 until measured.
	arrivals map[int]float64
	drain    float64
	// recent is the rate of what arrives just now, of all ranks; measured says that
	// there was a bucket.
	recent   float64
	measured bool
}

// New returns a meter that has measured nothing.
func New() Meter {
	return Meter{arrived: map[int]float64{}, arrivals: map[int]float64{}}
}

// Advance closes the buckets that are over. waiting says whether requests wait
// now; it is called at the start of each step.
func (m *Meter) Advance(now time.Duration, waiting bool) {
	buckets := int((now - m.start) / meterBucket)
	if buckets > 0 {
		m.close(buckets)
		m.start += time.Duration(buckets) * meterBucket
		m.waited = waiting
	}
	m.waited = m.waited && waiting
}

// close books a bucket and the empty ones after it.
func (m *Meter) close(buckets int) {
	span := meterBucket.Seconds() * float64(buckets)
	keep := math.Pow(1-arrivalWeight, float64(buckets))
	m.closeRecent(span, buckets)
	for rank := range m.arrivals {
		m.arrivals[rank] = keep*m.arrivals[rank] + (1-keep)*m.arrived[rank]/span
		m.arrived[rank] = 0
	}
	if m.waited && buckets == 1 {
		rate := m.granted / span
		if m.drain == 0 {
			m.drain = rate
		}
		m.drain += drainWeight * (rate - m.drain)
	}
	m.granted = 0
}

// closeRecent books what arrived in a bucket and the empty ones after it.
func (m *Meter) closeRecent(span float64, buckets int) {
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(m.arrived)) {
		sum += m.arrived[rank]
	}
	keep := math.Pow(1-recentWeight, float64(buckets))
	if !m.measured {
		keep, m.measured = 0, true
	}
	m.recent = keep*m.recent + (1-keep)*sum/span
}

// RecentArrivalRate is the rate of what arrives just now, of all ranks.
func (m *Meter) RecentArrivalRate() float64 {
	return m.recent
}

// RecordArrival counts a request of a rank by its expected slot time.
func (m *Meter) RecordArrival(rank int, cost time.Duration) {
	m.arrived[rank] += cost.Seconds()
	if _, known := m.arrivals[rank]; !known {
		m.arrivals[rank] = 0
	}
}

// RecordGrant counts a grant by its expected slot time.
func (m *Meter) RecordGrant(cost time.Duration) {
	m.granted += cost.Seconds()
}

// Capacity is the rate at which the pool can serve, given its slots.
func (m *Meter) Capacity(slots int) float64 {
	if m.drain == 0 {
		return firstUse * float64(slots)
	}
	return min(max(m.drain, minUse*float64(slots)), float64(slots))
}

// ArrivalRateAbove sums the rates that arrive at ranks above one, in order of the ranks.
func (m *Meter) ArrivalRateAbove(rank int) float64 {
	sum := 0.0
	for _, x := range slices.Sorted(maps.Keys(m.arrivals)) {
		if x < rank {
			sum += m.arrivals[x]
		}
	}
	return sum
}

// HasArrivals says whether requests of a rank have arrived.
// Arrive counts a request of a rank by its expected slot time.
func (m *Meter) HasArrivals(rank int) bool {
	return m.arrivals[rank] > 0
}
