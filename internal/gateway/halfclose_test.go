package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Guards against callers who close their sending side and read on: they got an empty success without a
// seal, or a cut response that ended as if it were whole (review/8).
func TestHalfClosedCallerGetsNoEndingThatLooksWhole(t *testing.T) {
	const event = "id: 0\ndata: x\n\n"
	headOnly := func(e *scriptedExchange) { e.write(sealedHead(200, e.attempt()) + "Content-Length: 20\r\n\r\n") }
	chunkedEvent := func(e *scriptedExchange) {
		e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event))
	}
	unframedPart := func(e *scriptedExchange) { e.write(sealedHead(200, e.attempt()) + "\r\n" + event) }
	for _, c := range []struct {
		name, route string
		waits       bool
		respond     func(*scriptedExchange)
	}{
		{"waits for an endpoint", "unsafe", true, nil},
		{"before the response", "unsafe", false, nil},
		{"before the response", "safe", false, nil},
		{"before the response", "resumable", false, nil},
		{"after the head", "unsafe", false, headOnly},
		{"after an event", "stream", false, chunkedEvent},
		{"after an event", "resumable", false, chunkedEvent},
		{"after an event without chunks", "stream", false, unframedPart},
		{"after a part without a length", "unsafe", false, unframedPart},
	} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(fmt.Sprintf("%s, %s, %s", c.route, c.name, version), func(t *testing.T) {
				t.Parallel()
				h := start(t, func(e *scriptedExchange) bool {
					if c.respond != nil {
						c.respond(e)
					}
					_, _ = e.raw.ReadByte() // until the gateway closes the connection
					return false
				})
				h.withhold.Store(c.waits)
				conn := h.dial()
				_, err := io.WriteString(conn, strings.Replace(post("/"+c.route+"/x", "id1", "order"), "HTTP/1.1", version, 1))
				h.Expect(err).NotTo(HaveOccurred())
				time.Sleep(100 * time.Millisecond)
				h.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
				a := readResponse(bufio.NewReader(conn))
				h.Expect(a.err).To(HaveOccurred(), "status %d with %q looks whole", a.status, a.body)
				if a.status != 0 {
					h.Expect(a.header.Get("Runner-Seal")).NotTo(BeEmpty())
				}
				h.Expect((<-h.outcomes).Code).To(Equal(result.CallerGone))
			})
		}
	}
}

// A caller who closes its sending side inside the body gets no success either.
func TestHalfClosedCallerWithoutAWholeBodyGetsNoSuccess(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"} {
		h := start(t, answerOK)
		conn := h.dial()
		_, err := io.WriteString(conn, head("POST", "/unsafe/x", "id1")+framing)
		h.Expect(err).NotTo(HaveOccurred())
		h.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		a := readResponse(bufio.NewReader(conn))
		if a.err == nil {
			h.Expect(a.status).To(BeNumerically(">=", http.StatusBadRequest), "%q", a.body)
		}
		h.Expect(h.endpoints[0].seen).To(BeEmpty())
	}
}
