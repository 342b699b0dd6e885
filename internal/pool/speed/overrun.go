package speed

import "time"

const (
	// targetOverruns is the fraction of requests that may take longer than their estimate
	// times OverrunFactor.Factor.
	targetOverruns = 0.03
	// factorStep scales how far one request moves the factor.
	factorStep = 0.05
	// initialFactor, minFactor and maxFactor bound the factor.
	initialFactor = 1.3
	minFactor     = 1
	maxFactor     = 3
)

// OverrunFactor learns the factor that only few requests exceed their estimate by.
type OverrunFactor struct {
	factor float64
}

// NewOverrunFactor returns an OverrunFactor without observations.
func NewOverrunFactor() OverrunFactor { return OverrunFactor{factor: initialFactor} }

// Factor returns the factor.
func (s *OverrunFactor) Factor() float64 { return s.factor }

// Observe records the estimated and the real time of a request. For a request that was
// cut off, the real time is a lower bound.
func (s *OverrunFactor) Observe(estimated, real time.Duration, cut bool) {
	if estimated <= 0 {
		return
	}
	over := float64(real) > s.factor*float64(estimated)
	switch {
	case over:
		s.factor += factorStep * (1 - targetOverruns)
	case !cut:
		s.factor -= factorStep * targetOverruns
	}
	s.factor = min(max(s.factor, minFactor), maxFactor)
}
