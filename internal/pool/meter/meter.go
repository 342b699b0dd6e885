// Package meter measures the rates at which work arrives at a pool and is granted.
package meter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// bucketLength is the length of the buckets in which rates are counted.
	bucketLength = time.Second
	// drainWeight and arrivalWeight are the weights of one bucket in the averaged
	// rates. arrivalWeight is small, to average over bursts.
	drainWeight   = 0.1
	arrivalWeight = 0.02
	// recentWeight is the weight of one bucket in the recent arrival rate, which
	// follows bursts.
	recentWeight = 0.3
	// initialUtilization is the fraction of its slots' time that a full pool is assumed
	// to use before this was measured.
	initialUtilization = 0.9
	// minUtilization and maxUtilization bound the measured fraction. It exceeds 1 where the
	// expected slot time exceeds the real one: an endpoint that is twice as fast as the average
	// does the work of two slots with each of its own.
	minUtilization = 0.3
	maxUtilization = 4
)

// Meter measures, in slot time per time, the work that arrives by rank and the work
// that is granted while requests wait.
type Meter struct {
	start   time.Duration
	arrived map[int]float64
	granted float64
	// backlogged says that requests have waited throughout the bucket so far.
	backlogged bool
	// arrivals holds the arrival rates by rank, drain the rate granted under
	// backlog. They are 0 until measured.
	arrivals map[int]float64
	drain    float64
	// recent is the recent arrival rate of all ranks; measured says that a bucket
	// was closed.
	recent   float64
	measured bool
	forecast forecast
}

// New returns a Meter without measurements.
func New() Meter {
	return Meter{arrived: map[int]float64{}, arrivals: map[int]float64{}}
}

// Advance closes the buckets that have ended. waiting says whether requests wait now.
// It is called at the start of each step.
func (m *Meter) Advance(now time.Duration, waiting bool) {
	buckets := int((now - m.start) / bucketLength)
	if buckets > 0 {
		m.close(buckets)
		m.start += time.Duration(buckets) * bucketLength
		m.backlogged = waiting
	}
	m.backlogged = m.backlogged && waiting
}

// close updates the rates with a bucket and the empty ones after it.
func (m *Meter) close(buckets int) {
	span := bucketLength.Seconds() * float64(buckets)
	keep := math.Pow(1-arrivalWeight, float64(buckets))
	m.closeRecent(span, buckets)
	for rank := range m.arrivals {
		m.arrivals[rank] = keep*m.arrivals[rank] + (1-keep)*m.arrived[rank]/span
		m.arrived[rank] = 0
	}
	if m.backlogged && buckets == 1 {
		rate := m.granted / span
		if m.drain == 0 {
			m.drain = rate
		}
		m.drain += drainWeight * (rate - m.drain)
	}
	m.granted = 0
}

// closeRecent updates the recent arrival rate with a bucket and the empty ones after it.
func (m *Meter) closeRecent(span float64, buckets int) {
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(m.arrived)) {
		sum += m.arrived[rank]
	}
	m.forecast.add(m.arrived, buckets)
	keep := math.Pow(1-recentWeight, float64(buckets))
	if !m.measured {
		keep, m.measured = 0, true
	}
	m.recent = keep*m.recent + (1-keep)*sum/span
}

// RecentArrivalRate returns the recent arrival rate of all ranks, in slot time per time.
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

// Capacity returns the rate at which the pool can serve work with the given slots.
func (m *Meter) Capacity(slots int) float64 {
	if m.drain == 0 {
		return initialUtilization * float64(slots)
	}
	return min(max(m.drain, minUtilization*float64(slots)), maxUtilization*float64(slots))
}

// ArrivalRateAbove returns the arrival rate of all ranks above the given one. It sums
// in order of rank, so that the result is deterministic.
func (m *Meter) ArrivalRateAbove(rank int) float64 {
	sum := 0.0
	for _, x := range slices.Sorted(maps.Keys(m.arrivals)) {
		if x < rank {
			sum += m.arrivals[x]
		}
	}
	return sum
}

// HasArrivals reports whether requests of a rank arrive.
func (m *Meter) HasArrivals(rank int) bool {
	return m.arrivals[rank] > 0
}
