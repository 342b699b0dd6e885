package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// firstPhase returns the phase that was reported for the first try.
func (h *harness) firstPhase() peerpb.Report_Phase {
	var phase peerpb.Report_Phase
	h.Eventually(func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.ended) > 0 {
			phase = h.ended[0].Phase
		}
		return len(h.ended)
	}, waitTimeout).Should(BeNumerically(">", 0))
	return phase
}

// TestLostEndpointIsDistinguishedFromALostResponse closes the connection instead of a
// response, within one and after one, with and without the endpoint's listener.
func TestLostEndpointIsDistinguishedFromALostResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		ends   bool
		phase  peerpb.Report_Phase
		whole  bool
	}{
		{"response lost", "", false, peerpb.Report_PHASE_BROKEN, false},
		{"endpoint lost", "", true, peerpb.Report_PHASE_LOST, false},
		{"response truncated", "Content-Length: 100\r\n\r\nhalf", false, peerpb.Report_PHASE_BROKEN, false},
		{"endpoint lost within a response", "Content-Length: 100\r\n\r\nhalf", true, peerpb.Report_PHASE_LOST, false},
		{"endpoint lost after a response", "Content-Length: 4\r\n\r\ndone", true, peerpb.Report_PHASE_FINISHED, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h *harness
			h = start(t, func(e *scriptedExchange) bool {
				if c.answer != "" {
					e.write(sealedHead(200, e.attempt()) + c.answer)
				}
				if c.ends {
					_ = h.endpoints[0].listener.Close()
				}
				return false
			})
			h.ask(post("/unsafe/1", "a1", "body"))
			h.Expect(h.firstPhase()).To(Equal(c.phase))
			h.Expect(h.ended[0].Answered).To(Equal(c.whole))
		})
	}
}

// TestEndpointThatClosesItsListenerLastIsLost closes the connection first, as the kernel may when a
// process ends. The caller doesn't wait for the second probe.
func TestEndpointThatClosesItsListenerLastIsLost(t *testing.T) {
	var h *harness
	h = start(t, func(e *scriptedExchange) bool {
		time.AfterFunc(lossRecheckDelay/2, func() { _ = h.endpoints[0].listener.Close() })
		return false
	})
	began := time.Now()
	h.ask(post("/unsafe/1", "a1", "body"))
	h.Expect(time.Since(began)).To(BeNumerically("<", lossRecheckDelay))
	h.Expect(h.firstPhase()).To(Equal(peerpb.Report_PHASE_LOST))
}

// TestProbeConnectionIsReused checks that probing a live endpoint leaves a connection that the
// next request uses.
func TestProbeConnectionIsReused(t *testing.T) {
	h := start(t, answerOK)
	h.Expect(h.gateway.conns.Refuses(t.Context(), h.endpoints[0].address)).To(BeFalse())
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusOK))
	h.Expect(h.endpoints[0].conns.Load()).To(BeEquivalentTo(1))
}

// TestResentRequestKeepsItsFingerprint sends one request with two attempt IDs, and requests
// that differ from it.
func TestResentRequestKeepsItsFingerprint(t *testing.T) {
	h := start(t, answerOK)
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

// TestQuarantinedRequestGetsNoRetryAfter checks that the refusal names no time for a retry and
// that its status blames neither the configuration nor the caller.
func TestQuarantinedRequestGetsNoRetryAfter(t *testing.T) {
	h := start(t, answerOK)
	h.refuse = result.New(result.Quarantined, "endpoints that ran this request crashed")
	a := h.ask(post("/unsafe/1", "a1", "body"))
	h.Expect(a.status).To(Equal(http.StatusBadGateway))
	h.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	h.Expect(a.header.Get("Attempt-Id")).To(Equal("a1"))
	h.Expect(a.header.Get(headerCode)).To(Equal(codeText(result.Quarantined)))
}

// TestFailedRunCountsAsAnswered has an endpoint report a failed run.
func TestFailedRunCountsAsAnswered(t *testing.T) {
	h := start(t, func(e *scriptedExchange) bool {
		e.writeComplete(500, "failed")
		return true
	})
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusInternalServerError))
	h.Expect(h.firstPhase()).To(Equal(peerpb.Report_PHASE_BROKEN))
	h.Expect(h.ended[0].Answered).To(BeTrue())
}
