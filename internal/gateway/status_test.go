package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
)

// invalidStarts are status lines that no valid response with a body has.
var invalidStarts = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK", "HTTP/1.1 100 OK", "HTTP/1.1 101 OK", "HTTP/1.1 103 OK",
	"HTTP/1.1 199 OK", "HTTP/1.1 204 OK", "HTTP/1.1 304 OK", "HTTP/1.1 600 OK", "HTTP/1.1 700 OK", "HTTP/1.1 999 OK",
	"HTTP/2.1 200 OK", "HTTP/0.9 200 OK",
}

// TestGarbledStatusIsNoAnswer has an endpoint send one wrong byte in the status line of a whole answer.
// The caller must get neither a success nor the seal, and the endpoint's slot must become free.
func TestGarbledStatusIsNoAnswer(t *testing.T) {
	const event = "id: 0\ndata: x\n\n"
	starts := map[string][]string{"chunks": append([]string{"HTTP/1.0 200 OK"}, invalidStarts...), "length": invalidStarts}
	for framing, list := range starts {
		for _, line := range list {
			t.Run(line+"/"+framing, func(t *testing.T) {
				garbled := func(e *scriptedExchange) bool {
					e.write(strings.Replace(sealedHead(200, e.attempt()), "HTTP/1.1 200 OK", line, 1) + framings[framing](event))
					return false
				}
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					h := start(t, garbled)
					a := h.ask(post(path, "a1", "body"))
					h.Expect(a.err).NotTo(HaveOccurred(), path)
					h.Expect(a.status).To(Equal(http.StatusBadGateway), path)
					h.Expect(a.header).NotTo(HaveKey("Runner-Seal"))
					h.Expect(h.firstPhase()).NotTo(Equal(peerpb.Report_PHASE_FINISHED))
				}
				h := start(t, garbled, answerOK)
				a := h.ask(get("/safe/x", "a2"))
				h.Expect(a.status).To(Equal(http.StatusOK))
				h.Expect(a.body).To(Equal("hello"))

				h = start(t, streamEvents(0, 1, false), garbled)
				a = h.ask(post("/resumable/x", "a3", "body"))
				h.Expect(a.body).To(Equal("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"))
				h.Expect(a.err).To(HaveOccurred())
			})
		}
	}
	t.Run("interim status of a body that ends with the connection", func(t *testing.T) {
		inner := sealedHead(200, "a1") + "Content-Length: 5\r\n\r\ninner"
		h := start(t, func(e *scriptedExchange) bool {
			e.write(strings.Replace(sealedHead(200, e.attempt()), "200", "100", 1) + "\r\n" + inner)
			return false
		})
		h.Expect(h.ask(post("/unsafe/x", "a1", "body")).status).To(Equal(http.StatusBadGateway))
	})
}

// TestUnusualButValidHeadsAreAccepted sends interim responses, responses without a body, and such of
// HTTP/1.0.
func TestUnusualButValidHeadsAreAccepted(t *testing.T) {
	const hello = "Content-Length: 5\r\n\r\nhello"
	old := func(attempt string) string {
		return strings.Replace(sealedHead(200, attempt), "HTTP/1.1", "HTTP/1.0", 1)
	}
	for name, c := range map[string]struct {
		answer func(attempt string) string
		header string
		status int
		body   string
	}{
		"interim": {func(a string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + sealedHead(200, a) + hello }, "", 200, "hello"},
		"several interim": {func(a string) string {
			return strings.Repeat("HTTP/1.1 103 X\r\nLink: x\r\n\r\n", 5) + sealedHead(200, a) + hello
		}, "", 200, "hello"},
		"interim with an ID": {func(a string) string {
			return "HTTP/1.1 102 X\r\nAttempt-Id: " + a + "\r\n\r\n" + sealedHead(200, a) + hello
		}, "", 200, "hello"},
		"no content":   {func(a string) string { return sealedHead(204, a) + "\r\n" }, "", 204, ""},
		"not modified": {func(a string) string { return sealedHead(304, a) + "Content-Length: 5\r\n\r\n" }, "If-None-Match: x\r\n", 304, ""},
		"HTTP/1.0":     {func(a string) string { return old(a) + hello }, "", 200, "hello"},
		"HTTP/1.0 to its end": {func(a string) string {
			return old(a) + "X: " + strings.Repeat("transfer-encoding: ", 100) + "\r\n\r\nhello"
		}, "", 200, "hello"},
		"HTTP/1.0 with LF": {func(a string) string {
			return strings.ReplaceAll(old(a)+"Connection: keep-alive\r\n"+hello, "\r\n", "\n")
		}, "", 200, "hello"},
		"highest status": {func(a string) string { return sealedHead(499, a) + hello }, "", 499, "hello"},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, func(e *scriptedExchange) bool {
				answer := c.answer(e.attempt())
				e.write(answer)
				return strings.Contains(answer, "Content-Length")
			})
			a := h.ask(head("GET", "/unsafe/x", "a1") + c.header + "\r\n")
			h.Expect(a.err).NotTo(HaveOccurred())
			h.Expect(a.status).To(Equal(c.status))
			h.Expect(a.body).To(Equal(c.body))
			h.Expect(a.header.Get("Runner-Seal")).To(Equal("s.a1"))
		})
	}
}

// TestPanicFreesTheSlot has the handler panic within an exchange.
func TestPanicFreesTheSlot(t *testing.T) {
	h := start(t, func(e *scriptedExchange) bool {
		e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("a"))
		time.Sleep(100 * time.Millisecond)
		e.write(chunk("b") + "0\r\n\r\n")
		return true
	})
	h.gateway.opts.OnGap = func(ruleset.Kind, time.Duration) { panic("a fault of the test") }
	h.Expect(h.ask(get("/unsafe/x", "a1")).err).To(HaveOccurred())
	h.Expect(h.firstPhase()).To(Equal(peerpb.Report_PHASE_BROKEN))
	h.Eventually(h.endpoints[0].closed, waitTimeout).Should(Receive())
}

// TestTruncatedHeadIsNoAnswer ends the connection after each byte of a response's head, orderly and by a
// reset. The caller must not get a success, nor the start of the response.
func TestTruncatedHeadIsNoAnswer(t *testing.T) {
	const event = "id: 0\ndata: x\n\n"
	for framing := range framings {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", framing, reset), func(t *testing.T) {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					var cut atomic.Int64
					truncated := func(e *scriptedExchange) bool {
						whole := sealedHead(200, e.attempt()) + framings[framing](event)
						head := whole[:strings.Index(whole, "\r\n\r\n")+len("\r\n\r\n")]
						e.write(head[:min(int(cut.Load()), len(head)-1)])
						if reset {
							_ = e.conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					}
					h := start(t, truncated)
					length := len(sealedHead(200, "a1") + framings[framing](event))
					for n := range length - len(event) {
						cut.Store(int64(n))
						a := h.ask(post(path, "a1", "body"))
						h.Expect(a.err).NotTo(HaveOccurred(), "after %d bytes", n)
						h.Expect(a.status).To(Equal(http.StatusBadGateway), "after %d bytes", n)
						h.Expect(a.header).NotTo(HaveKey("Runner-Seal"))
						<-h.outcomes
						<-h.endpoints[0].seen
						<-h.endpoints[0].closed
						for len(h.dropped) > 0 {
							<-h.dropped
						}
					}
				}
			})
		}
	}
	t.Run("resumed", func(t *testing.T) {
		whole := sealedHead(200, "a1") + "Content-Type: text/event-stream\r\n\r\n"
		for n := range len(whole) {
			h := start(t, streamEvents(0, 1, false), func(e *scriptedExchange) bool {
				e.write(whole[:n])
				return false
			})
			a := h.ask(post("/resumable/x", "a1", "prompt"))
			h.Expect(a.body).To(Equal("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"))
			h.Expect(a.err).To(HaveOccurred(), "after %d bytes", n)
		}
	})
}
