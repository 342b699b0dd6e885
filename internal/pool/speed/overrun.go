package speed

import "time"

const (
	// surpriseTarget is the part of requests that may take longer than
	// estimated times Surprise.Factor.
	surpriseTarget = 0.03
	// surpriseStep is how far one request moves the factor.
	surpriseStep = 0.05
	// firstSurprise, minSurprise and maxSurprise bound the factor.
	firstSurprise = 1.3
	minSurprise   = 1
	maxSurprise   = 3
)

// OverrunFactor learns by which factor few requests exceed their estimate.
type OverrunFactor struct {
	factor float64
}

// NewOverrunFactor returns a Surprise that has seen no request.
func NewOverrunFactor() OverrunFactor { return OverrunFactor{factor: firstSurprise} }

// Factor returns the factor.
func (s *OverrunFactor) Factor() float64 { return s.factor }

// Observe takes in the estimated and the real time of a request. For one that was
// cut off, the real time is a lower bound.
func (s *OverrunFactor) Observe(estimated, real time.Duration, cut bool) {
	if estimated <= 0 {
		return
	}
	over := float64(real) > s.factor*float64(estimated)
	switch {
	case over:
		s.factor += surpriseStep * (1 - surpriseTarget)
	case !cut:
		s.factor -= surpriseStep * surpriseTarget
	}
	s.factor = min(max(s.factor, minSurprise), maxSurprise)
}
