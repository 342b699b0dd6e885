package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusalBackoffIsBounded has an endpoint refuse with a Retry-After, with one above the
// configured maximum, with an invalid one, and without reporting that it did not run the request.
func TestRefusalBackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		name, head string
		backoff    time.Duration
	}{
		{"some seconds", "Not-Executed: 1\r\nRetry-After: 1.5\r\n", 1500 * time.Millisecond},
		{"hours", "Not-Executed: 1\r\nRetry-After: 7200\r\n", time.Minute},
		{"invalid", "Not-Executed: 1\r\nRetry-After: -3\r\n", 0},
		{"no time", "Not-Executed: 1\r\n", 0},
		{"no endpoint's answer", "Retry-After: 3\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, func(e *scriptedExchange) bool {
				e.write("HTTP/1.1 503 X\r\nAttempt-Id: " + e.attempt() + "\r\n" + c.head + "Content-Length: 0\r\n\r\n")
				return true
			})
			h.ask(post("/unsafe/1", "a1", "body"))
			h.firstPhase()
			h.mu.Lock()
			defer h.mu.Unlock()
			h.Expect(h.ended[0].Backoff).To(Equal(c.backoff))
		})
	}
}

// TestBoundedBackoffIsLoggedOncePerSecond checks that endpoints cannot flood the log.
func TestBoundedBackoffIsLoggedOncePerSecond(t *testing.T) {
	h := start(t, answerOK)
	at := time.Unix(1000, 0)
	h.Expect(h.gateway.allowBackoffLog(at)).To(BeTrue())
	h.Expect(h.gateway.allowBackoffLog(at.Add(900 * time.Millisecond))).To(BeFalse())
	h.Expect(h.gateway.allowBackoffLog(at.Add(time.Second))).To(BeTrue())
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusOK))
}
