package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// TestLoadFigureReachesThePool guards against a load figure of a report that is dropped, used
// although the report was long on its way, or called stale because two clocks drift apart.
func TestLoadFigureReachesThePool(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	now := 10 * time.Millisecond
	receive := func(clock time.Duration, m *peerpb.Report) {
		m.Request, m.Target, m.Domain, m.ClockUs = "r", "m", "a", clock.Microseconds()
		s.Receive(now, Process{"other", 1}, peerpb.Wrap(&peerpb.Envelope_Report{Report: m}), &out)
	}
	s.Receive(now, Process{"self", 1}, holdingsReply(0), &out)
	s.Receive(now, Process{"other", 1}, holdingsReply(0), &out)
	s.Receive(now, Process{"other", 1}, peerpb.Wrap(&peerpb.Envelope_Submit{Submit: &peerpb.Submit{
		Request: "r", Target: "m", Domain: "a", Team: "t", PromptTokens: 10, MaxTokens: 10, DeadlineUs: time.Minute.Microseconds(),
	}}), &out)
	grant := lastGrant(out)
	receive(now, &peerpb.Report{Attempt: grant.GetAttempt(), Epoch: grant.GetEpoch(), Phase: peerpb.Report_PHASE_STARTED})
	now += 300 * time.Millisecond
	receive(now-100*time.Millisecond, &peerpb.Report{
		Attempt: grant.GetAttempt(), Epoch: grant.GetEpoch(), Phase: peerpb.Report_PHASE_FIRST_TOKEN, LoadPercent: 250,
	})
	g.Expect(s.Status(testPool).Endpoints[0].Factor).To(Equal(2.5))

	in := s.instances[testPool]
	for range 50 {
		now += 20 * time.Minute
		clock := now - now/20_000
		g.Expect(in.noteMessage(now, Process{"other", 1}, clock.Microseconds())).To(BeTrue())
		g.Expect(in.messageAge(now, Process{"other", 1}, clock.Microseconds())).To(BeNumerically("<", 100*time.Millisecond))
	}
}
