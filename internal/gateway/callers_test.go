package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// dripUntilClosed sends a text and then a byte now and then, and returns after which time
// the other end answered or closed the connection, and the start of the answer.
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
			// A failed write means a closed connection, which the read tells too.
			_, _ = conn.Write([]byte{'x'})
		}
	}
	return most, ""
}

// TestCallersThatSendByteByByteAreNotWaitedFor has callers send a head and a body that never
// end, a byte now and then.
func TestCallersThatSendByteByByteAreNotWaitedFor(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		t.Parallel()
		h := start(t, okay)
		took, answer := dripUntilClosed(t, h.address, "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nX: ", 2*headTimeout)
		h.Expect(took).To(BeNumerically("<", headTimeout+soon))
		h.Expect(answer).To(BeEmpty())
		h.Expect(h.endpoints[0].seen).To(BeEmpty())
	})
	t.Run("body of a request that is refused", func(t *testing.T) {
		t.Parallel()
		h := start(t, okay)
		took, answer := dripUntilClosed(t, h.address, head("POST", "/nowhere/x", "a1")+"Content-Length: 100000\r\n\r\n", eventually)
		h.Expect(took).To(BeNumerically("<", soon))
		h.Expect(answer).To(Equal("HTTP/1.1 404"))
	})
	t.Run("body", func(t *testing.T) {
		t.Parallel()
		h := start(t, okay)
		request := strings.Replace(head("POST", "/unsafe/x", "a1"), "Deadline-Ms: 8000", "Deadline-Ms: 700", 1)
		took, answer := dripUntilClosed(t, h.address, request+"Content-Length: 100000\r\n\r\n", eventually)
		h.Expect(took).To(BeNumerically("<", soon))
		h.Expect(answer).To(Equal("HTTP/1.1 503"), "not run")
		h.Expect(h.endpoints[0].seen).To(BeEmpty())
	})
}
