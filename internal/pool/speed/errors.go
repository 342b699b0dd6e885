package speed

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// Errors learns which part of an endpoint's answers fail. Its zero value has seen
// none.
type Errors struct {
	part float64
	at   time.Duration
	// inRow is the number of failed answers since the last whole one.
	inRow int
}

// Observe takes in an answer. It reports whether so many failed in a row that the
// endpoint is to be closed.
func (e *Errors) Observe(now time.Duration, failed bool) bool {
	part := e.Rate(now)
	e.at = now
	if !failed {
		e.inRow = 0
		e.part = part * (1 - rules.ErrorWeight)
		return false
	}
	e.inRow++
	e.part = part + rules.ErrorWeight*(1-part)
	return e.inRow%rules.FailuresToClose == 0
}

// Rate returns the part of answers that fail.
func (e *Errors) Rate(now time.Duration) float64 {
	if e.part == 0 {
		return 0
	}
	return e.part * math.Exp2(-float64(now-e.at)/float64(rules.ErrorHalfLife))
}

// Penalty is what the failures cost a request that is placed on the endpoint.
func (e *Errors) Penalty(now time.Duration) time.Duration {
	return time.Duration(e.Rate(now) * float64(rules.ErrorPenalty))
}
