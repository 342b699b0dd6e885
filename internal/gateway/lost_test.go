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
		name    string
		partial bool
		ends    bool
		phase   peerpb.Report_Phase
	}{
		{"an answer is lost", false, false, peerpb.Report_PHASE_BROKEN},
		{"the endpoint ends", false, true, peerpb.Report_PHASE_LOST},
		{"an answer breaks off", true, false, peerpb.Report_PHASE_BROKEN},
		{"the endpoint ends within an answer", true, true, peerpb.Report_PHASE_LOST},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h *harness
			h = start(t, func(e *exchanged) bool {
				if c.partial {
					e.write(sealed(200, e.attempt()) + "Content-Length: 100\r\n\r\nhalf")
				}
				if c.ends {
					_ = h.endpoints[0].listener.Close()
				}
				return false
			})
			h.ask(post("/unsafe/1", "a1", "body"))
			h.Expect(h.phase()).To(Equal(c.phase))
		})
	}
}

// TestConnectionThatWasOpenedToLookIsUsed asks an endpoint that lives.
func TestConnectionThatWasOpenedToLookIsUsed(t *testing.T) {
	h := start(t, okay)
	h.Expect(h.gateway.conns.Refused(t.Context(), h.endpoints[0].address)).To(BeFalse())
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
