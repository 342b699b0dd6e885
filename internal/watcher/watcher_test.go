package watcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// TestEndlessReportIsNotKept guards against a faulty endpoint whose load report or cache events never
// end: the watcher must close the connection instead of buffering them.
func TestEndlessReportIsNotKept(t *testing.T) {
	// keptBytes bounds what may be read of both reports, with the kernel's buffers.
	const keptBytes, endlessTime = 64 << 20, 3 * time.Second
	part := strings.Repeat(" ", 64<<10)
	for name, head := range map[string]string{
		"connection": "\r\n",
		"length":     "Content-Length: 1000000000000\r\n\r\n",
		"chunk":      "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			var taken atomic.Int64
			closed := make(chan struct{}, 64)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
						for until := time.Now().Add(endlessTime); time.Now().Before(until); {
							n, err := io.WriteString(conn, part)
							taken.Add(int64(n))
							if err != nil {
								closed <- struct{}{}
								return
							}
						}
					}()
				}
			}()
			w := New(func(control.Event) {})
			w.SetEndpoints([]resource.Endpoint{{Name: "e1", Type: resource.EndpointEngine, Address: ln.Addr().String()}})
			for range 2 {
				g.Eventually(closed, 2*endlessTime).Should(Receive())
			}
			g.Expect(taken.Load()).To(BeNumerically("<", keptBytes))
			w.SetEndpoints(nil)
			_ = ln.Close()
			w.Close()
		})
	}
}
