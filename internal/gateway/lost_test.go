package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// phase returns how the first try ended for control.
func (h *harness) phase() peerpb.Report_Phase {
	var phase peerpb.Report_Phase
	h.Eventually(func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.ended) > 0 {
			phase = h.ended[0].Phase
		}
		return len(h.ended)
	}, eventually).Should(BeNumerically(">", 0))
	return phase
}

// TestEndpointThatEndsIsToldFromAnAnswerThatIsLost closes the connection in place of an
// answer, in the middle of one, and with all that the endpoint listens on.
func TestEndpointThatEndsIsToldFromAnAnswerThatIsLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		ends   bool
		phase  peerpb.Report_Phase
		whole  bool
	}{
		{"an answer is lost", "", false, peerpb.Report_PHASE_BROKEN, false},
		{"the endpoint ends", "", true, peerpb.Report_PHASE_LOST, false},
		{"an answer breaks off", "Content-Length: 100\r\n\r\nhalf", false, peerpb.Report_PHASE_BROKEN, false},
		{"the endpoint ends within an answer", "Content-Length: 100\r\n\r\nhalf", true, peerpb.Report_PHASE_LOST, false},
		{"the endpoint ends after an answer", "Content-Length: 4\r\n\r\ndone", true, peerpb.Report_PHASE_FINISHED, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h *harness
			h = start(t, func(e *exchanged) bool {
				if c.answer != "" {
					e.write(sealed(200, e.attempt()) + c.answer)
				}
				if c.ends {
					_ = h.endpoints[0].listener.Close()
				}
				return false
			})
			h.ask(post("/unsafe/1", "a1", "body"))
			h.Expect(h.phase()).To(Equal(c.phase))
			h.Expect(h.ended[0].Answered).To(Equal(c.whole))
		})
	}
}

// TestConnectionThatWasOpenedToLookIsUsed asks an endpoint that lives.
func TestConnectionThatWasOpenedToLookIsUsed(t *testing.T) {
	h := start(t, okay)
	h.Expect(h.gateway.conns.Refuses(t.Context(), h.endpoints[0].address)).To(BeFalse())
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusOK))
	h.Expect(h.endpoints[0].conns.Load()).To(BeEquivalentTo(1))
}

// TestSendingsOfOneRequestHaveOneFingerprint sends one request under two names, and others.
func TestSendingsOfOneRequestHaveOneFingerprint(t *testing.T) {
	h := start(t, okay)
	for _, request := range []string{
		post("/unsafe/1", "a1", "body"), post("/unsafe/1", "a2", "body"),
		post("/unsafe/1", "a3", "other"), post("/unsafe/2", "a4", "body"), post("/unsafe/1?x", "a5", "body"),
		post("/public/1", "a6", "body"),
	} {
		h.Expect(h.ask(request).status).To(Equal(http.StatusOK))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Expect(h.arrived).To(HaveLen(6))
	seen := map[uint64]int{}
	for _, a := range h.arrived {
		h.Expect(a.Repeats).To(BeTrue())
		h.Expect(a.Fingerprint).NotTo(BeZero())
		seen[a.Fingerprint]++
	}
	h.Expect(seen).To(HaveLen(5))
	h.Expect(seen[h.arrived[0].Fingerprint]).To(Equal(2))
}

// TestQuarantinedRequestIsNotAskedBack checks that its answer promises no later run, names
// no time to come back and blames neither the configuration nor the caller.
func TestQuarantinedRequestIsNotAskedBack(t *testing.T) {
	h := start(t, okay)
	h.refuse = result.New(result.Quarantined, "endpoints that ran this request crashed")
	a := h.ask(post("/unsafe/1", "a1", "body"))
	h.Expect(a.status).To(Equal(http.StatusBadGateway))
	h.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	h.Expect(a.header.Get("Attempt-Id")).To(Equal("a1"))
	h.Expect(a.header.Get(headerCode)).To(Equal(codeText(result.Quarantined)))
}

// TestRunThatFailsIsAnAnswer has an endpoint say that a run failed.
func TestRunThatFailsIsAnAnswer(t *testing.T) {
	h := start(t, func(e *exchanged) bool {
		e.whole(500, "failed")
		return true
	})
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusInternalServerError))
	h.Expect(h.phase()).To(Equal(peerpb.Report_PHASE_BROKEN))
	h.Expect(h.ended[0].Answered).To(BeTrue())
}
