package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// limit lowers what the gateway may hold for callers.
func (h *harness) limit(l memory.Limits) {
	t := h.gateway.Tuning()
	t.Memory = l
	h.gateway.SetTuning(t)
}

// TestHeadsAreBounded guards against heads that take more memory than their connection, and against
// bounds that ordinary or odd but legal requests meet.
func TestHeadsAreBounded(t *testing.T) {
	long := head("GET", "/safe/x", "a1") + "X-Parts: " + strings.Repeat("5c1e07a2:6550,", 1200) + "\r\n"
	newlines := strings.Repeat("\n", 5000)
	cases := []struct {
		name, request string
		status        int
		action        MemoryAction
	}{
		{"many prompt parts", long + "\r\n", 200, ""},
		{"many lines", head("GET", "/safe/x", "a1") + strings.Repeat("a:\r\n", 900) + "\r\n", 200, ""},
		{"lines that end with LF", strings.ReplaceAll(get("/safe/x", "a1"), "\r\n", "\n"), 200, ""},
		{"body of empty lines", post("/safe/x", "a1", newlines), 200, ""},
		{"too many lines", head("GET", "/safe/x", "a1") + strings.Repeat("a:\r\n", 1100) + "\r\n", 431, ActionHeadTooManyLines},
		{"too many bytes", head("GET", "/safe/x", "a1") + "X: " + strings.Repeat("x", maxHeaderBytes+headSlack), 431, ActionHeadTooLong},
		{"some empty lines", "\r\n\n\r\n" + get("/safe/x", "a1"), 200, ""},
		{"too many empty lines", strings.Repeat("\r\n", 5000), 431, ActionHeadTooManyLines},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, answerOK)
			conn := h.dial()
			_, _ = io.WriteString(conn, c.request)
			r := bufio.NewReader(conn)
			h.Expect(readResponse(r).status).To(Equal(c.status))
			if c.status != 200 {
				h.Expect(readResponse(r).status).To(BeZero(), "one answer")
			}
			if c.action != "" {
				h.Expect(<-h.limited).To(Equal(c.action))
			}
			if c.status != 200 {
				h.Expect(h.endpoints[0].seen).To(BeEmpty())
			}
			h.Expect(h.ask(get("/safe/x", "a2")).status).To(Equal(200))
		})
	}
}

// TestPipelinedRequests guards against heads that are counted together with what precedes them.
func TestPipelinedRequests(t *testing.T) {
	h := start(t, answerOK)
	conn := h.dial()
	r := bufio.NewReader(conn)
	const count = 200
	lines := strings.Repeat("a:\r\n", 20)
	go func() {
		for i := range count {
			_, _ = io.WriteString(conn, head("POST", "/safe/x", fmt.Sprint("a", i))+lines+"Content-Length: 6\r\n\r\n\r\n\r\n\r\n")
		}
	}()
	for range count {
		h.Expect(readResponse(r).status).To(Equal(200))
		<-h.endpoints[0].seen
		<-h.outcomes
	}
	h.Expect(h.limited).To(BeEmpty())
}

// TestMemoryForBodies guards against requests that are refused while others hold the memory without
// progress, and against refused ones that are dispatched.
func TestMemoryForBodies(t *testing.T) {
	const large = 1 << 20
	stalled := head("POST", "/safe/x", "large") + fmt.Sprintf("Content-Length: %d\r\n\r\n", large) + strings.Repeat("x", large/2)
	cases := []struct {
		name, first string
		// waits says that the first request is complete and waits for an endpoint.
		waits  bool
		second int
		status int
		action MemoryAction
	}{
		{"a sender gives way to a small request", stalled, false, 72_000, 200, ActionSenderClosed},
		{"a waiting request gives way to a small one", post("/safe/x", "large", strings.Repeat("x", large)), true, 72_000, 200, ActionWaitingRefused},
		{"a large request doesn't displace another", stalled, false, large, 503, ActionBodyRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, answerOK)
			h.limit(memory.Limits{Bytes: large + 1, Connections: 10})
			h.withhold.Store(c.waits)
			conn := h.dial()
			_, err := io.WriteString(conn, c.first)
			h.Expect(err).NotTo(HaveOccurred())
			h.Eventually(func() int64 { return h.gateway.MemoryUsage().Held[memory.Bodies] }, waitTimeout).Should(BeEquivalentTo(large))
			if c.waits {
				h.Eventually(func() int {
					h.mu.Lock()
					defer h.mu.Unlock()
					return len(h.arrived)
				}, waitTimeout).Should(Equal(1))
			}
			h.withhold.Store(false)
			got := h.ask(post("/safe/x", "second", strings.Repeat("x", c.second)))
			h.Expect(got.status).To(Equal(c.status))
			h.Expect(<-h.limited).To(Equal(c.action))
			if c.status != 200 {
				h.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				h.Expect(h.endpoints[0].seen).To(BeEmpty())
				return
			}
			if first := readResponse(bufio.NewReader(conn)); first.err == nil {
				h.Expect(first.status).To(Equal(503))
				h.Expect(first.header.Get(headerCode)).To(Equal(codeText(result.NoMemory)))
			}
			h.Expect((<-h.endpoints[0].seen).attempt()).To(Equal("second"))
			h.Expect(h.endpoints[0].seen).To(BeEmpty())
			h.Eventually(func() int64 { return h.gateway.MemoryUsage().Held[memory.Bodies] }, waitTimeout).Should(BeZero())
		})
	}
}

// TestBodiesThatAreNotKept guards against a body that is freed as it is sent and then sent again,
// and against one that is kept and sent again in part.
func TestBodiesThatAreNotKept(t *testing.T) {
	text := strings.Repeat("0123456789", 30_000)
	for budget, wantTries := range map[int64]int{64 << 20: 2, 1 << 20: 1} {
		h := start(t, answerNotRun, answerOK)
		h.limit(memory.Limits{Bytes: budget, Connections: 10})
		got := h.ask(post("/safe/x", "a1", text))
		o := <-h.outcomes
		h.Expect(o.Tries).To(Equal(wantTries))
		h.Expect((<-h.endpoints[0].seen).body == text).To(BeTrue())
		if wantTries == 1 {
			h.Expect(got.status).To(Equal(503))
			continue
		}
		h.Expect(got.status).To(Equal(200))
		h.Expect((<-h.endpoints[1].seen).body == text).To(BeTrue())
	}
}

// TestBodiesOfUnknownLength guards against an interrupted body that is taken for a complete one.
func TestBodiesOfUnknownLength(t *testing.T) {
	h := start(t, answerOK)
	request := head("POST", "/safe/x", "a1") + "Transfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 300_000)
	h.Expect(h.ask(request + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)).status).To(Equal(200))
	h.Expect((<-h.endpoints[0].seen).body == text).To(BeTrue())
	conn := h.dial()
	_, _ = io.WriteString(conn, request+fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	h.Expect(h.endpoints[0].seen).To(BeEmpty())
}

// TestAnswersAreReadAhead guards against a slow caller that stops the reading of its answer, bytes
// that are lost or reordered on the way, and an answer that is cut off without a reset.
func TestAnswersAreReadAhead(t *testing.T) {
	// The answer exceeds the kernel's buffers of both connections.
	part := strings.Repeat("0123456789abcdef", 4<<10)
	const parts = 8
	read := make(chan struct{}, 1)
	answer := func(e *scriptedExchange) bool {
		_ = e.conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
		e.write(sealedHead(200, e.attempt()) + fmt.Sprintf("Content-Length: %d\r\n\r\n", parts*len(part)))
		for range parts {
			e.write(part)
		}
		read <- struct{}{}
		return false
	}
	for _, budget := range []int64{8 << 20, 64 << 10} {
		h := start(t, answer)
		h.limit(memory.Limits{Bytes: budget, Connections: 10})
		conn := h.dial()
		_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
		_, err := io.WriteString(conn, get("/safe/x", "a1"))
		h.Expect(err).NotTo(HaveOccurred())
		h.Eventually(read, 2*waitTimeout).Should(Receive(), "the answer is read to its end")
		got := readResponse(bufio.NewReader(conn))
		if budget < int64(parts*len(part)) {
			h.Expect(got.err).To(MatchError(syscall.ECONNRESET))
			continue
		}
		h.Expect(got.err).NotTo(HaveOccurred())
		h.Expect(got.body == strings.Repeat(part, parts)).To(BeTrue())
		h.Eventually(func() int64 { return h.gateway.MemoryUsage().Held[memory.Answers] }, waitTimeout).Should(BeZero())
	}
}

// TestConnectionsAreBounded guards against idle connections that lock out others.
func TestConnectionsAreBounded(t *testing.T) {
	h := start(t, answerOK)
	h.limit(memory.Limits{Bytes: 1 << 20, Connections: 3})
	var conns []net.Conn
	for range 10 {
		conns = append(conns, h.dial())
		time.Sleep(5 * time.Millisecond)
	}
	h.Expect(h.ask(get("/safe/x", "a1")).status).To(Equal(200))
	h.Expect(h.gateway.MemoryUsage().Connections).To(BeNumerically("<=", 3))
	_, err := conns[0].Read(make([]byte, 1))
	h.Expect(err).To(HaveOccurred())
}
