package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// RolloutChanged sets the order to move the pool's target to a version. Without an order,
// the versions of endpoints are ignored.
type RolloutChanged struct {
	// Active is false if there is no order.
	Active bool
	Status rollout.Status
	Bounds rollout.Bounds
}

// RolloutDecided is the decision on a roll-out. It is repeated while the roll-out's status
// stays running.
type RolloutDecided struct{ Verdict rollout.Verdict }

// RolloutStep reports a step of a roll-out for the log.
type RolloutStep struct {
	Order rollout.Order
	// Share is the part of the requests that the candidates may get from now on.
	Share   float64
	Samples rollout.Samples
	// Judgement is the judgement of the version so far, and Reason what the step rests on.
	Judgement, Reason string
	// Elapsed is the time since the order was confirmed.
	Elapsed time.Duration
}

// rolloutChanged applies the order to move the pool's target to a version.
func (s *Scheduler) rolloutChanged(RolloutChanged) {}
