package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// dripUntilClosed sends a text and then a byte every 20 ms. It returns the time until the
// other end responded or closed the connection, and the start of the response.
func dripUntilClosed(t *testing.T, address, text string, most time.Duration) (time.Duration, string) {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	answered := make(chan string, 1)
	go func() {
		start := make([]byte, len("HTTP/1.1 200"))
		n, _ := io.ReadFull(conn, start)
		answered <- string(start[:n])
	}()
	for time.Since(began) < most {
		select {
		case answer := <-answered:
			return time.Since(began), answer
		case <-time.After(20 * time.Millisecond):
			// A failed write means a closed connection, which the read reports too.
			_, _ = conn.Write([]byte{'x'})
		}
	}
	return most, ""
}

// TestSlowCallersAreTimedOut has callers send a head or a body that never ends, a byte at a
// time.
func TestSlowCallersAreTimedOut(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		t.Parallel()
		h := start(t, answerOK)
		took, answer := dripUntilClosed(t, h.address, "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nX: ", 2*headTimeout)
		h.Expect(took).To(BeNumerically("<", headTimeout+promptLimit))
		h.Expect(answer).To(BeEmpty())
		h.Expect(h.endpoints[0].seen).To(BeEmpty())
	})
	t.Run("body of a request that is refused", func(t *testing.T) {
		t.Parallel()
		h := start(t, answerOK)
		took, answer := dripUntilClosed(t, h.address, head("POST", "/nowhere/x", "a1")+"Content-Length: 100000\r\n\r\n", waitTimeout)
		h.Expect(took).To(BeNumerically("<", promptLimit))
		h.Expect(answer).To(Equal("HTTP/1.1 404"))
	})
	t.Run("body", func(t *testing.T) {
		t.Parallel()
		h := start(t, answerOK)
		request := strings.Replace(head("POST", "/unsafe/x", "a1"), "Deadline-Ms: 8000", "Deadline-Ms: 700", 1)
		took, answer := dripUntilClosed(t, h.address, request+"Content-Length: 100000\r\n\r\n", waitTimeout)
		h.Expect(took).To(BeNumerically("<", promptLimit))
		h.Expect(answer).To(Equal("HTTP/1.1 503"), "not run")
		h.Expect(h.endpoints[0].seen).To(BeEmpty())
	})
}
