package gateway

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// TestLeavingHeaderIsReadFromEveryOwnResponse has an endpoint announce that it leaves in each
// kind of response, and in bytes that are not a response to the request.
func TestLeavingHeaderIsReadFromEveryOwnResponse(t *testing.T) {
	const leaves = "Server-Leaving: 1\r\n"
	for _, c := range []struct {
		name, path string
		answer     func(attempt string) string
		left       bool
	}{
		{"a success", "/unsafe/1", func(a string) string { return sealedHead(200, a) + leaves + "Content-Length: 2\r\n\r\nok" }, true},
		{"a failure", "/unsafe/1", func(a string) string { return sealedHead(500, a) + leaves + "Content-Length: 2\r\n\r\nno" }, true},
		{"a refusal", "/unsafe/1", func(a string) string {
			return "HTTP/1.1 503 X\r\nAttempt-Id: " + a + "\r\nNot-Executed: 1\r\n" + leaves + "Content-Length: 0\r\n\r\n"
		}, true},
		{"a stream's head", "/stream/1", func(a string) string {
			return sealedHead(200, a) + leaves + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n"
		}, true},
		{"an answer to another request", "/unsafe/1", func(a string) string {
			return sealedHead(200, "another") + leaves + "Content-Length: 2\r\n\r\nno" + sealedHead(200, a) + "Content-Length: 2\r\n\r\nok"
		}, false},
		{"a trailer", "/unsafe/1", func(a string) string {
			return sealedHead(200, a) + "Transfer-Encoding: chunked\r\nTrailer: Server-Leaving\r\n\r\n2\r\nok\r\n0\r\n" + leaves + "\r\n"
		}, false},
		{"no endpoint's answer", "/unsafe/1", func(a string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + a + "\r\n" + leaves + "Content-Length: 2\r\n\r\nok"
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, func(e *scriptedExchange) bool {
				e.write(c.answer(e.attempt()))
				return !strings.HasPrefix(c.path, "/stream")
			})
			h.ask(post(c.path, "a1", "body"))
			h.firstPhase()
			h.mu.Lock()
			defer h.mu.Unlock()
			want := []ident.Endpoint{}
			if c.left {
				want = append(want, "e0")
			}
			h.Expect(h.leaving).To(ConsistOf(want))
		})
	}
}
