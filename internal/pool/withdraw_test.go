package pool

import (
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// TestCancelInTheStepOfArrival checks that a request that comes and goes in one
// step is neither granted nor taken out of the queue twice.
func TestCancelInTheStepOfArrival(t *testing.T) {
	s := New(Config{Epoch: 1})
	s.Step(0, []Event{Configure{
		Tiers: []resource.Tier{{Name: "t"}},
		Teams: []resource.Team{{Name: "x", Tier: "t", Weight: 1}},
		Endpoints: []resource.Endpoint{{
			Name: "e", Type: resource.EndpointService, State: resource.EndpointActive, Slots: 1,
		}},
	}})
	effects := s.Step(time.Second, []Event{
		Arrive{Request{ID: "r", Team: "x", Deadline: time.Minute}}, Cancel{ID: "r"},
	})
	if len(effects) > 0 {
		t.Errorf("a canceled request led to %v", effects)
	}
}
