package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// serveRaw serves connections with write, after the request was read, and closes them. It returns the
// server's address.
func serveRaw(write func(net.Conn)) string {
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
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				write(conn)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// bookRaw books at a service that writes raw bytes.
func bookRaw(write func(net.Conn)) reply {
	b := newBench(200)
	b.control.with(func(c *fakeControl) { c.addresses[bookings] = serveRaw(write) })
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
