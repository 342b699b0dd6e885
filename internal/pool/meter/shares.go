package meter

import (
	"math"
	"time"
)

// shareDecayTime is the time constant over which the slot time granted to each tier is
// summed up. It covers several bursts of the shortest requests.
const shareDecayTime = 2 * time.Second

// Shares tracks the slot time recently granted to each tier. The zero value is ready to
// use.
type Shares struct {
	byRank map[int]float64
	total  float64
	at     time.Duration
}

// RecordGrant counts a grant to a tier by its expected slot time.
func (s *Shares) RecordGrant(now time.Duration, rank int, cost time.Duration) {
	if s.byRank == nil {
		s.byRank = map[int]float64{}
	}
	keep := math.Exp(-float64(now-s.at) / float64(shareDecayTime))
	s.at = now
	s.total *= keep
	for r := range s.byRank {
		s.byRank[r] *= keep
	}
	s.byRank[rank] += cost.Seconds()
	s.total += cost.Seconds()
}

// Below reports whether a tier got less than the given fraction of the granted slot time.
func (s *Shares) Below(rank int, fraction float64) bool {
	return s.byRank[rank] < fraction*s.total
}
