package platformhost

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// auxiliaryTimeoutSlack is how long after its timeout a connection may be seen to end.
const auxiliaryTimeoutSlack = 2 * time.Second

// TestAuxiliaryServersBoundConnections guards against connections for readiness checks and
// scrapes that use memory or stay open without bound: by endless headers, sent fast or a byte
// at a time, or by a client that doesn't read a long response.
func TestAuxiliaryServersBoundConnections(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	writeTime := make(chan time.Duration, 1)
	go func() {
		served <- serveHTTP(t.Context(), ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			for {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					break
				}
			}
			writeTime <- time.Since(start)
		}))
	}()
	dial := func(t *testing.T) net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	t.Run("all", func(t *testing.T) {
		t.Run("endless headers", func(t *testing.T) {
			t.Parallel()
			conn, taken := dial(t), 0
			start := time.Now()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
			for time.Since(start) < auxiliaryTimeout {
				n, err := io.WriteString(conn, strings.Repeat("x", 16<<10))
				taken += n
				if err != nil {
					break
				}
			}
			NewWithT(t).Expect(taken).To(BeNumerically("<", 16<<20), "mostly kernel socket buffers")
			NewWithT(t).Expect(time.Since(start)).To(BeNumerically("<", auxiliaryTimeout))
		})
		t.Run("slow headers", func(t *testing.T) {
			t.Parallel()
			conn := dial(t)
			start := time.Now()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
			for time.Since(start) < 2*auxiliaryTimeout {
				if _, err := conn.Write([]byte{'x'}); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			NewWithT(t).Expect(time.Since(start)).To(BeNumerically("<", auxiliaryTimeout+auxiliaryTimeoutSlack))
		})
		t.Run("response not read", func(t *testing.T) {
			t.Parallel()
			_, _ = io.WriteString(dial(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			NewWithT(t).Eventually(writeTime, auxiliaryTimeout+auxiliaryTimeoutSlack).Should(Receive())
		})
	})
	_ = ln.Close()
	<-served
}

// TestAuxiliaryServersCloseTheOldest guards against idle connections that use up the descriptors or
// lock out the balancer.
func TestAuxiliaryServersCloseTheOldest(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = serveHTTP(t.Context(), ln, http.NotFoundHandler()) }()
	var conns []net.Conn
	for range 2 * auxiliaryMaxConnections {
		conn, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		conns = append(conns, conn)
	}
	resp, err := http.Get("http://" + ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	_, err = conns[0].Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}
