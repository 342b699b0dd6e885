package meter

import (
	"math"
	"time"
)

// shareTime is the time over which what was granted to each tier is summed up: some
// bursts of the shortest requests.
const shareTime = 2 * time.Second

// Shares sums up the slot time that was granted to each tier lately. Its zero value
// has seen none.
type Shares struct {
	by    map[int]float64
	total float64
	at    time.Duration
}

// RecordGrant counts a grant to a tier by its expected slot time.
func (s *Shares) RecordGrant(now time.Duration, rank int, cost time.Duration) {
	if s.by == nil {
		s.by = map[int]float64{}
	}
	keep := math.Exp(-float64(now-s.at) / float64(shareTime))
	s.at = now
	s.total *= keep
	for r := range s.by {
		s.by[r] *= keep
	}
	s.by[rank] += cost.Seconds()
	s.total += cost.Seconds()
}

// Below reports whether a tier got less than a part of what was granted.
func (s *Shares) Below(rank int, part float64) bool {
	return s.by[rank] < part*s.total
}
