package pool

import (
	"math"
	"time"
)

const (
	// meterBucket is the time over which rates are counted.
	meterBucket = time.Second
	// drainWeight and arrivalWeight are the weights of one bucket in the rates;
	// the one of arrivals looks over bursts.
	drainWeight   = 0.1
	arrivalWeight = 0.02
	// firstUse is the part of its slots' time that a pool is taken to use
	// while it is full, before it was measured.
	firstUse = 0.9
	// minUse bounds the measured part from below.
	minUse = 0.3
)

// meter measures, in slot time per time, what arrives by rank and what is
// granted while requests wait.
type meter struct {
	start   time.Duration
	arrived map[int]float64
	granted float64
	// waited says that requests waited throughout the bucket.
	waited bool
	// arrivals are the rates by rank and drain the rate granted under backlog;
	// 0 until measured.
	arrivals map[int]float64
	drain    float64
}

func newMeter() meter {
	return meter{arrived: map[int]float64{}, arrivals: map[int]float64{}}
}

// roll closes the buckets that are over. waiting says whether requests wait
// now; it is called at the start of each step.
func (m *meter) roll(now time.Duration, waiting bool) {
	buckets := int((now - m.start) / meterBucket)
	if buckets > 0 {
		m.close(buckets)
		m.start += time.Duration(buckets) * meterBucket
		m.waited = waiting
	}
	m.waited = m.waited && waiting
}

// close books a bucket and the empty ones after it.
func (m *meter) close(buckets int) {
	span := meterBucket.Seconds() * float64(buckets)
	keep := math.Pow(1-arrivalWeight, float64(buckets))
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

func (m *meter) arrive(rank int, cost time.Duration) {
	m.arrived[rank] += cost.Seconds()
	if _, known := m.arrivals[rank]; !known {
		m.arrivals[rank] = 0
	}
}

func (m *meter) grant(cost time.Duration) {
	m.granted += cost.Seconds()
}

// capacity is the rate at which the pool can serve, given its slots.
func (m *meter) capacity(slots int) float64 {
	if m.drain == 0 {
		return firstUse * float64(slots)
	}
	return min(max(m.drain, minUse*float64(slots)), float64(slots))
}

// above sums the rates that arrive at ranks above one, in order of the ranks.
func (m *meter) above(ranks []*tierQueue, rank int) float64 {
	sum := 0.0
	for _, t := range ranks {
		if t.rank < rank {
			sum += m.arrivals[t.rank]
		}
	}
	return sum
}
