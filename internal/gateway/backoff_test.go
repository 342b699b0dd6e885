package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestBackoffOfARefusalIsBounded has an endpoint refuse with a time, a longer one than the
// settings allow, and without saying that it did not run the request.
func TestBackoffOfARefusalIsBounded(t *testing.T) {
	for _, c := range []struct {
		name, head string
		backoff    time.Duration
	}{
		{"some seconds", "Not-Executed: 1\r\nRetry-After: 1.5\r\n", 1500 * time.Millisecond},
		{"hours", "Not-Executed: 1\r\nRetry-After: 7200\r\n", time.Minute},
		{"nonsense", "Not-Executed: 1\r\nRetry-After: -3\r\n", 0},
		{"no time", "Not-Executed: 1\r\n", 0},
		{"no endpoint's answer", "Retry-After: 3\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, func(e *exchanged) bool {
				e.write("HTTP/1.1 503 X\r\nAttempt-Id: " + e.attempt() + "\r\n" + c.head + "Content-Length: 0\r\n\r\n")
				return true
			})
			h.ask(post("/unsafe/1", "a1", "body"))
			h.phase()
			h.mu.Lock()
			defer h.mu.Unlock()
			h.Expect(h.ended[0].Backoff).To(Equal(c.backoff))
		})
	}
}

// TestBoundedBackoffsAreToldOnceASecond bounds the lines that endpoints can bring about.
func TestBoundedBackoffsAreToldOnceASecond(t *testing.T) {
	h := start(t, okay)
	at := time.Unix(1000, 0)
	h.Expect(h.gateway.mayTellBackoff(at)).To(BeTrue())
	h.Expect(h.gateway.mayTellBackoff(at.Add(900 * time.Millisecond))).To(BeFalse())
	h.Expect(h.gateway.mayTellBackoff(at.Add(time.Second))).To(BeTrue())
	h.Expect(h.ask(post("/unsafe/1", "a1", "body")).status).To(Equal(http.StatusOK))
}
