package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// longBody is more than the kernel buffers, so that it is still being written when the response comes.
var longBody = strings.Repeat("x", 4<<20)

// Ways in which an endpoint ends a connection whose request it has not read.
var earlyEnds = map[string]struct {
	end   func(*scriptedExchange)
	whole bool
}{
	"reset at once": {func(e *scriptedExchange) { resetOnClose(e) }, false},
	"reset after a while": {func(e *scriptedExchange) {
		time.Sleep(100 * time.Millisecond)
		resetOnClose(e)
	}, false},
	"reset while the request is read": {func(e *scriptedExchange) {
		_, _ = io.CopyN(io.Discard, e.raw, 1<<20)
		resetOnClose(e)
	}, false},
	"closed with the rest unread": {func(*scriptedExchange) { time.Sleep(50 * time.Millisecond) }, false},
	"sending side closed, then the rest read": {func(e *scriptedExchange) {
		_ = e.conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, e.request.Body)
	}, true},
	"rest read, then closed": {func(e *scriptedExchange) { _, _ = io.Copy(io.Discard, e.request.Body) }, true},
}

// resetOnClose makes the connection's end a reset.
func resetOnClose(e *scriptedExchange) {
	_ = e.conn.(*net.TCPConn).SetLinger(0)
}

// Guards against a part of a response that counts as the whole because the write of a long request,
// instead of a read, got the error of the connection's reset. A response with neither a length nor
// chunks ends with its connection only if that ends in order.
func TestResponseResetWhileTheRequestIsWrittenIsIncomplete(t *testing.T) {
	const event = "id: 0\ndata: x\n\n"
	for _, c := range []struct {
		route, head, part string
		status            int
	}{
		{"unsafe", "", "partly", 200},
		{"unsafe", "Connection: close\r\n", "partly", 404},
		{"unsafe", "", "failed", 500},
		{"stream", "Content-Type: text/event-stream\r\n", event, 200},
		{"stream", "", event, 200},
		{"resumable", "Content-Type: text/event-stream\r\n", event, 200},
		{"safe", "", "partly", 200},
	} {
		for name, way := range earlyEnds {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(fmt.Sprintf("%s %d %q by HTTP/%s, %s", c.route, c.status, c.head, version, name), func(t *testing.T) {
					t.Parallel()
					h := start(t, func(e *scriptedExchange) bool {
						e.write(strings.Replace(sealedHead(c.status, e.attempt()), "1.1", version, 1) + c.head + "\r\n" + c.part)
						way.end(e)
						return false
					})
					var answers [4]response
					var wg sync.WaitGroup
					for i := range answers {
						conn := h.dial()
						wg.Go(func() {
							answers[i] = exchangeOn(conn, post("/"+c.route+"/early", fmt.Sprintf("id%d", i), longBody))
						})
					}
					wg.Wait()
					for _, a := range answers {
						switch {
						case way.whole:
							h.Expect(a.err).NotTo(HaveOccurred())
							h.Expect(a.status).To(Equal(c.status))
							h.Expect(a.body).To(Equal(c.part))
						case a.err == nil:
							h.Expect(a.status).To(Equal(http.StatusBadGateway), "%q counts as the whole body", a.body)
						}
					}
				})
			}
		}
	}
}

// Guards against the same in the rest of a resumed stream, and for callers whose responses end with
// their connection too.
func TestResumedStreamResetWhileTheRequestIsWrittenIsIncomplete(t *testing.T) {
	part := func(i int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", i) }
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			var runs atomic.Int64
			h := start(t, func(e *scriptedExchange) bool {
				run := int(runs.Add(1)) - 1
				e.write(sealedHead(200, e.attempt()) + "Content-Type: text/event-stream\r\n\r\n" + part(run))
				resetOnClose(e)
				return false
			})
			conn := h.dial()
			a := exchangeOn(conn, strings.Replace(post("/resumable/early", "id1", longBody), "HTTP/1.1", version, 1))
			h.Expect(a.status).To(Equal(http.StatusOK))
			h.Expect(a.err).To(HaveOccurred(), "%q counts as the whole stream", a.body)
			h.Expect((<-h.outcomes).Tries).To(Equal(2))
		})
	}
}
