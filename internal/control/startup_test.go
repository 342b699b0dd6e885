package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// TestStartedHostWaitsForPeersBeforeScheduling guards against a new host that schedules
// before it knows the running requests and the suspects of endpoint crashes.
func TestStartedHostWaitsForPeersBeforeScheduling(t *testing.T) {
	other := []platform.HostEntry{{Host: "other", Domain: "a", Address: "127.0.0.1:1"}}
	for _, c := range []struct {
		name   string
		listed *HostsListed
		after  time.Duration
	}{
		{"there are no others", &HostsListed{}, 0},
		{"another doesn't answer", &HostsListed{Hosts: other}, joinTimeout},
		{"the list doesn't come", nil, joinTimeout},
	} {
		g := NewWithT(t)
		s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
		if c.listed != nil {
			s.step(*c.listed)
		}
		s.declare(1, 5)
		began, granted := s.now, time.Duration(-1)
		events := []Event{Arrived{Arrival: custody.Arrival{ID: "r", Target: "m", Deadline: time.Minute}}}
		for s.now-began < time.Second && granted < 0 {
			for _, d := range s.Step(s.now, 0, events).Directives {
				if d.Kind == custody.Connect {
					granted = s.now - began
				}
			}
			events = nil
			s.now = max(s.now+time.Millisecond, s.NextWake())
		}
		g.Expect(granted).To(BeNumerically("~", c.after, 30*time.Millisecond), c.name)
	}
}
