package meter

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// sizeTime is the time over which requests are counted by their length: some bursts.
const sizeTime = 10 * time.Second

// Sizes counts what arrived and what was granted lately, by rank and by class of length.
// Its zero value has seen nothing.
type Sizes struct {
	byRank map[int]*sizeCounts
}

// sizeCounts are the counts of one rank, as of a time.
type sizeCounts struct {
	arrived, granted [rules.SizeClasses]float64
	at               time.Duration
}

// RecordArrival counts a request that arrives, Grant one that is granted.
func (s *Sizes) RecordArrival(now time.Duration, rank, class int) {
	s.counts(now, rank).arrived[class]++
}

// RecordGrant counts a request that is granted.
func (s *Sizes) RecordGrant(now time.Duration, rank, class int) { s.counts(now, rank).granted[class]++ }

// counts returns the counts of a rank, brought up to now.
func (s *Sizes) counts(now time.Duration, rank int) *sizeCounts {
	if s.byRank == nil {
		s.byRank = map[int]*sizeCounts{}
	}
	c := s.byRank[rank]
	if c == nil {
		c = &sizeCounts{at: now}
		s.byRank[rank] = c
	}
	keep := math.Exp(-float64(now-c.at) / float64(sizeTime))
	c.at = now
	for i := range c.arrived {
		c.arrived[i] *= keep
		c.granted[i] *= keep
	}
	return c
}

// Starved reports whether requests of a class and longer ones are granted less often than
// a part of how often all of their rank are. It looks at the longest alone: those that are
// no more than a part of what arrives.
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
