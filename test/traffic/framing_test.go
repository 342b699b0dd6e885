package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// serveRaw serves connections with write, after the request was read, and closes them. It returns the
// server's address.
func serveRaw(write func(net.Conn, *http.Request)) string {
	return serveConn(func(conn net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			write(conn, req)
		}
	})
}

// serveConn serves connections one after the other and closes them. It returns the server's address.
func serveConn(serve func(net.Conn, *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	DeferCleanup(func() {
		Expect(ln.Close()).To(Succeed())
		<-done
	})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serve(conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// bookRaw books at a service that writes raw bytes.
func bookRaw(write func(net.Conn)) reply {
	b := newBench(200)
	address := serveRaw(func(conn net.Conn, _ *http.Request) { write(conn) })
	b.control.with(func(c *fakeControl) { c.addresses[bookings] = address })
	return b.send(http.MethodPost, bookingPath, []byte(`{}`), entry.HeaderKey, "k1")
}

// bodyFramings are the ways in which a response's body may end.
var bodyFramings = map[string]func(body string) string{
	"chunks": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"length":     func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"connection": func(body string) string { return "\r\n" + body },
}

var _ = DescribeTable("a service's stream of events is whole if it ends outside an event",
	func(body string, code result.Code) {
		for name, frame := range bodyFramings {
			got := bookRaw(func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+frame(body))
			})
			if code == result.OK {
				Expect(got.code).To(Equal(result.OK), name)
				Expect(got.body).To(Equal(body), name)
				continue
			}
			Expect(got.errorCode()).To(Equal(code), name)
		}
	},
	Entry("whole", "data: a\n\ndata: b\n\n", result.OK),
	Entry("whole, with CRLF and a comment", "data: a\r\n\r\n: ping\r\n", result.OK),
	Entry("inside a line", "data: a\n\ndata: b", result.OutcomeUnknown),
	Entry("inside an event", "data: a\n\ndata: b\n", result.OutcomeUnknown),
)

// A part of an answer that ends with its connection must not count as the whole if the connection is
// reset, also where the request is still being written.
var _ = DescribeTable("a service's answer whose connection is reset is no answer",
	func(read int64, body int) {
		for range 4 {
			b := newBench(200)
			address := serveConn(func(conn net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npartly")
				_, _ = io.CopyN(io.Discard, r, read)
				time.Sleep(20 * time.Millisecond)
				Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
			})
			b.control.with(func(c *fakeControl) { c.addresses[bookings] = address })
			declared := snapshot()
			route := declared.Routes["booking"]
			route.MaxBody = 0
			declared.Routes["booking"] = route
			b.server.Configure(declared)
			order := []byte(`{"text":"` + strings.Repeat("x", body) + `"}`)
			got := b.send(http.MethodPost, bookingPath, order, entry.HeaderKey, "k1")
			Expect(got.errorCode()).To(Equal(result.OutcomeUnknown))
		}
	},
	Entry("a short request", int64(0), 10),
	Entry("a long request of which nothing was read", int64(0), 8<<20),
	Entry("a long request of which a part was read", int64(1<<20), 8<<20),
)

var _ = DescribeTable("a service's answer with a garbled status is no answer",
	func(line string) {
		for name, frame := range bodyFramings {
			if name == "connection" {
				continue
			}
			inner := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
			got := bookRaw(func(conn net.Conn) { _, _ = io.WriteString(conn, line+"\r\n"+frame(inner)) })
			Expect(got.errorCode()).To(Equal(result.OutcomeUnknown), name)
		}
	},
	Entry("000", "HTTP/1.1 000 OK"), Entry("020", "HTTP/1.1 020 OK"), Entry("100", "HTTP/1.1 100 OK"),
	Entry("101", "HTTP/1.1 101 OK"), Entry("199", "HTTP/1.1 199 OK"), Entry("204", "HTTP/1.1 204 OK"),
	Entry("304", "HTTP/1.1 304 OK"), Entry("600", "HTTP/1.1 600 OK"), Entry("999", "HTTP/1.1 999 OK"),
)

var _ = DescribeTable("a service's unusual but valid head is accepted",
	func(text string, status int, body string) {
		got := bookRaw(func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		Expect(got.status).To(Equal(status))
		Expect(got.code).To(Equal(result.OK))
		Expect(got.body).To(Equal(body))
	},
	Entry("interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
	Entry("no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
	Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", 200, "ok"),
	Entry("an error of its own", "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nno", 599, "no"),
)

// endlessTime bounds the time for which an endpoint writes without end.
const endlessTime = 5 * time.Second

// writeEndlessly writes a start and then a part again and again, and counts the bytes.
func writeEndlessly(conn net.Conn, taken *atomic.Int64, start, part string) {
	_, _ = io.WriteString(conn, start)
	for until := time.Now().Add(endlessTime); time.Now().Before(until); {
		n, err := io.WriteString(conn, part)
		taken.Add(int64(n))
		if err != nil {
			return
		}
	}
}

var _ = DescribeTable("a service's answer without end is not kept",
	func(start, part string) {
		var taken atomic.Int64
		got := bookRaw(func(conn net.Conn) { writeEndlessly(conn, &taken, start, strings.Repeat(part, 32<<10/len(part))) })
		Expect(got.errorCode()).To(Equal(result.OutcomeUnknown))
		Expect(taken.Load()).To(BeNumerically("<", 32<<20))
	},
	Entry("status line", "HTTP/1.1 200 ", "x"),
	Entry("no status line", "", "x"),
	Entry("field", "HTTP/1.1 200 OK\r\nX: ", "x"),
	Entry("fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
	Entry("interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(strings.Repeat("x", 1000))),
	Entry("to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"),
	Entry("length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
)

// chunkOf returns a chunk of a body.
func chunkOf(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

var _ = It("an engine's answer without end is not kept", func() {
	b := newBench(200)
	var taken atomic.Int64
	address := serveRaw(func(conn net.Conn, req *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		text := strings.Repeat("x", 16<<10)
		id := req.Header.Get(engine.HeaderRequest)
		for n, until := 0, time.Now().Add(endlessTime); time.Now().Before(until); n++ {
			written, err := fmt.Fprintf(conn, "data: {\"id\":%q,\"seq\":%d,\"x\":%q}\n\n", id, n, text)
			taken.Add(int64(written))
			if err != nil {
				return
			}
		}
	})
	b.control.with(func(c *fakeControl) { c.addresses[model] = address })
	body, _ := question("endless", 8)
	got := b.send(http.MethodPost, chatPath, body)
	Expect(got.errorCode()).To(Equal(result.AnswerCut))
	Expect(taken.Load()).To(BeNumerically("<", 64<<20))
})

var _ = It("a service's head that breaks off is no answer", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n"
	for n := range len(head) {
		got := bookRaw(func(conn net.Conn) { _, _ = io.WriteString(conn, head[:n]) })
		Expect(got.errorCode()).To(Equal(result.OutcomeUnknown), "after %d bytes", n)
	}
})
