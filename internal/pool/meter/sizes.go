package meter

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// sizeDecayTime is the time constant over which requests are counted by length class. It
// covers several bursts.
const sizeDecayTime = 10 * time.Second

// Sizes counts the requests that recently arrived and were granted, by rank and length
// class. The zero value is ready to use.
type Sizes struct {
	byRank map[int]*sizeCounts
}

// sizeCounts holds the decaying counts of one rank, as of at.
type sizeCounts struct {
	arrived, granted [rules.SizeClasses]float64
	at               time.Duration
}

// RecordArrival counts a request that arrives.
func (s *Sizes) RecordArrival(now time.Duration, rank, class int) {
	s.counts(now, rank).arrived[class]++
}

// RecordGrant counts a request that is granted.
func (s *Sizes) RecordGrant(now time.Duration, rank, class int) { s.counts(now, rank).granted[class]++ }

// counts returns the counts of a rank, decayed up to now.
func (s *Sizes) counts(now time.Duration, rank int) *sizeCounts {
	if s.byRank == nil {
		s.byRank = map[int]*sizeCounts{}
	}
	c := s.byRank[rank]
	if c == nil {
		c = &sizeCounts{at: now}
		s.byRank[rank] = c
	}
	keep := math.Exp(-float64(now-c.at) / float64(sizeDecayTime))
	c.at = now
	for i := range c.arrived {
		c.arrived[i] *= keep
		c.granted[i] *= keep
	}
	return c
}

// Starved reports whether the grant ratio of the requests of a class and the longer ones
// is below the given part of the grant ratio of all requests of their rank. It considers
// only the longest requests: those that make up at most the fraction longest of the
// arrivals.
func (s *Sizes) Starved(now time.Duration, rank, class int, longest, part float64) bool {
	c := s.counts(now, rank)
	var arrived, granted, longArrived, longGranted float64
	for i := range c.arrived {
		arrived += c.arrived[i]
		granted += c.granted[i]
		if i >= class {
			longArrived += c.arrived[i]
			longGranted += c.granted[i]
		}
	}
	return longArrived > 0 && longArrived <= longest*arrived && longGranted*arrived < part*granted*longArrived
}
