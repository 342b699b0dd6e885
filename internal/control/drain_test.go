package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// TestNothingIsDispatchedAfterTheDrainPeriod guards against requests that a stopping host takes or
// dispatches though it has no time left for them.
func TestNothingIsDispatchedAfterTheDrainPeriod(t *testing.T) {
	g := NewWithT(t)
	s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
	s.step(HostsListed{})
	s.declare(1, 1)
	refused := map[ident.Request]*result.Error{}
	step := func(events ...Event) {
		for range 5 {
			for _, d := range s.Step(s.now, 0, events).Directives {
				switch d.Kind {
				case custody.Refuse:
					refused[d.ID] = d.Err
				case custody.Connect:
					g.Expect(refused).NotTo(HaveKey(d.ID))
				}
			}
			events = nil
			s.now = max(s.now+time.Millisecond, s.NextWake())
		}
	}
	arrive := func(id ident.Request) Event {
		return Arrived{Arrival: custody.Arrival{ID: id, Target: "m", Deadline: time.Hour}}
	}
	step(arrive("granted"), arrive("waits"))
	step(DrainTimedOut{})
	step(arrive("late"))
	for _, id := range []ident.Request{"granted", "waits", "late"} {
		g.Expect(refused).To(HaveKey(id))
		g.Expect(refused[id].Code).To(Equal(result.Stopping))
		g.Expect(refused[id].RetryAfter).To(BeNumerically("<", time.Second), "another host can take it at once")
	}
	step(Connected{ID: "granted", Attempt: 1})
	waiting, dispatched, _ := s.Counts()
	g.Expect(waiting + dispatched).To(BeZero())
}
