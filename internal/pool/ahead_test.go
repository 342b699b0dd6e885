package pool_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// The load of callsServed: more short calls than a plain service can answer, with a
// network between the service and the scheduler.
const (
	callSlots    = 6
	callTime     = 60 * time.Millisecond
	callLatency  = 3 * time.Millisecond
	callsRunTime = 10 * time.Second
	// callInterval is the time between two calls: 1.3 times what the slots can serve.
	callInterval = callTime * 10 / (13 * callSlots)
)

// callEvent is an event that reaches the scheduler or the service at a time.
type callEvent struct {
	at    time.Duration
	event pool.Event
	// grant is a grant that reaches the service; nil for an event of the scheduler.
	grant *pool.Grant
}

// callsServed counts the calls that a service answers if it may be granted some calls
// beyond its slots. It takes them in order and runs as many as it has slots.
func callsServed(ahead int) int {
	s := pool.New(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 1})
	s.Step(0, []pool.Event{pool.Configure{
		Tiers: []resource.Tier{{Rank: 0}}, Teams: []resource.Team{{Name: "t"}},
		Endpoints: []resource.Endpoint{{
			Name: "e", Domain: "d", Target: "m", Type: resource.EndpointService, State: resource.EndpointActive,
			Slots: callSlots, SpeedsAssumed: true, Ahead: ahead,
		}},
	}})
	var events []callEvent
	for at := time.Duration(0); at < callsRunTime; at += callInterval {
		events = append(events, callEvent{at: at, event: pool.Arrive{Request: pool.Request{
			ID: ident.Request(fmt.Sprint(at)), Host: "h", Team: "t", FirstDue: at + 300*time.Millisecond, Deadline: at + 3*time.Second,
		}}})
	}
	slots := make([]time.Duration, callSlots)
	served := 0
	for len(events) > 0 && events[0].at < callsRunTime {
		now, event, grant := events[0].at, events[0].event, events[0].grant
		events = events[1:]
		if grant != nil {
			free := slices.Index(slots, slices.Min(slots))
			slots[free] = max(now, slots[free]) + callTime
			served++
			took := slots[free] - now
			events = append(events,
				callEvent{at: now + callLatency, event: pool.Started{ID: grant.ID, Attempt: grant.Attempt}},
				callEvent{at: slots[free] + callLatency, event: pool.Finished{
					ID: grant.ID, Attempt: grant.Attempt, Outcome: pool.OutcomeCompleted, FirstToken: took, Total: took,
				}})
		} else {
			for _, e := range s.Step(now, []pool.Event{event}) {
				if e, ok := e.(pool.Grant); ok {
					events = append(events, callEvent{at: now + callLatency, grant: &e})
				}
			}
		}
		slices.SortStableFunc(events, func(a, b callEvent) int { return cmp.Compare(a.at, b.at) })
	}
	return served
}

// TestQueueAheadHidesGrantLatency guards against slots of a plain service that stay
// idle while a report and the next grant are in transit.
func TestQueueAheadHidesGrantLatency(t *testing.T) {
	g := NewWithT(t)
	most := float64(callSlots) * callsRunTime.Seconds() / callTime.Seconds()
	without, with := float64(callsServed(0))/most, float64(callsServed(1))/most
	t.Logf("of what the slots can serve: %.2f without a call ahead, %.2f with one", without, with)
	g.Expect(without).To(BeNumerically("<", 0.95), "slots stay idle under this load without a call ahead")
	g.Expect(with).To(BeNumerically(">=", 0.97))
}
