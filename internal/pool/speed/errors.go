package speed

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// Errors tracks the rate of failed answers of an endpoint. The zero value is ready
// to use.
type Errors struct {
	rate float64
	at   time.Duration
	// consecutiveFailures is the number of failed answers since the last successful one.
	consecutiveFailures int
}

// Observe records the outcome of an answer. It reports whether so many consecutive
// answers failed that the endpoint has to be closed.
func (e *Errors) Observe(now time.Duration, failed bool) bool {
	rate := e.Rate(now)
	e.at = now
	if !failed {
		e.consecutiveFailures = 0
		e.rate = rate * (1 - rules.ErrorWeight)
		return false
	}
	e.consecutiveFailures++
	e.rate = rate + rules.ErrorWeight*(1-rate)
	return e.consecutiveFailures%rules.FailuresToClose == 0
}

// Rate returns the fraction of answers that fail. It decays without answers.
func (e *Errors) Rate(now time.Duration) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-float64(now-e.at)/float64(rules.ErrorHalfLife))
}

// Penalty returns the time that the failures add to the cost of placing a request on
// the endpoint.
func (e *Errors) Penalty(now time.Duration) time.Duration {
	return time.Duration(e.Rate(now) * float64(rules.ErrorPenalty))
}
