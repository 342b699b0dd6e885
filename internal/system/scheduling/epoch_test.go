package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// TestSupersededSchedulerContinuesInHigherEpoch covers a custodian that briefly used
// another host, which scheduled in a higher epoch. The scheduler must keep its queue and
// its running requests, grant in an epoch above both, and free the slots of requests that
// the custodian no longer holds.
func TestSupersededSchedulerContinuesInHigherEpoch(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	now := 10 * time.Millisecond
	receive := func(m *peerpb.Envelope) {
		now += 10 * time.Millisecond
		s.Receive(now, Process{"other", 1}, m, &out)
	}
	submit := func(id string) *peerpb.Submit {
		return &peerpb.Submit{Request: id, Target: "m", Domain: "a", Team: "t", PromptTokens: 10, MaxTokens: 10, DeadlineUs: time.Minute.Microseconds()}
	}
	s.Receive(now, Process{"self", 1}, holdingsReply(0), &out)
	receive(holdingsReply(0))
	receive(peerpb.Wrap(&peerpb.Envelope_Submit{Submit: submit("runs")}))
	first := lastGrant(out)
	g.Expect(first.GetRequest()).To(Equal("runs"))
	report := &peerpb.Report{
		Request: "runs", Target: "m", Domain: "a", Attempt: first.GetAttempt(), Phase: peerpb.Report_PHASE_STARTED, Epoch: first.GetEpoch(),
	}
	receive(peerpb.Wrap(&peerpb.Envelope_Report{Report: report}))
	waits := submit("waits")
	waits.Epoch = first.GetEpoch() + 4
	out = system.Outbox{}
	receive(peerpb.Wrap(&peerpb.Envelope_Submit{Submit: waits}))

	status := s.Status(testPool)
	g.Expect(status).NotTo(BeNil(), "no warm-up")
	g.Expect(status.Epoch).To(BeNumerically(">", waits.GetEpoch()))
	g.Expect(status.Endpoints[0].InFlight).To(Equal(1), "running requests are kept")
	queriedHosts := map[ident.Host]bool{}
	for _, send := range out.Sends {
		if send.Message.GetTakeOver() != nil {
			queriedHosts[send.To] = true
		}
	}
	g.Expect(queriedHosts).To(Equal(map[ident.Host]bool{"other": true, "self": true}))

	receive(holdingsReply(waits.GetEpoch(), waits))
	grant := lastGrant(out)
	g.Expect(grant.GetRequest()).To(Equal("waits"), "the slot of the first request was freed")
	g.Expect(grant.GetEpoch()).To(Equal(status.Epoch))
}

// lastGrant returns the last grant in an outbox.
func lastGrant(out system.Outbox) *peerpb.Grant {
	var last *peerpb.Grant
	for _, send := range out.Sends {
		if g := send.Message.GetGrant(); g != nil {
			last = g
		}
	}
	return last
}
