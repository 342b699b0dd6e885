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

// sideSlack is how much later than its bound a connection may be seen to end.
const sideSlack = 2 * time.Second

// TestQuestionsBesideCallersAreBounded has a balancer or a scrape send a head without end, at
// once and a byte now and then, and read nothing of a long answer.
func TestQuestionsBesideCallersAreBounded(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	ended := make(chan time.Duration, 1)
	go func() {
		served <- serveHTTP(t.Context(), ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			began := time.Now()
			for {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					break
				}
			}
			ended <- time.Since(began)
		}))
	}()
	dial := func(t *testing.T) net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	t.Run("all", func(t *testing.T) {
		t.Run("a head without end", func(t *testing.T) {
			t.Parallel()
			conn, taken := dial(t), 0
			began := time.Now()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
			for time.Since(began) < sideTimeout {
				n, err := io.WriteString(conn, strings.Repeat("x", 16<<10))
				taken += n
				if err != nil {
					break
				}
			}
			NewWithT(t).Expect(taken).To(BeNumerically("<", 16<<20), "most of it is the kernel's buffers")
			NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<", sideTimeout))
		})
		t.Run("a byte now and then", func(t *testing.T) {
			t.Parallel()
			conn := dial(t)
			began := time.Now()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
			for time.Since(began) < 2*sideTimeout {
				if _, err := conn.Write([]byte{'x'}); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<", sideTimeout+sideSlack))
		})
		t.Run("nothing read", func(t *testing.T) {
			t.Parallel()
			_, _ = io.WriteString(dial(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			NewWithT(t).Eventually(ended, sideTimeout+sideSlack).Should(Receive())
		})
	})
	_ = ln.Close()
	<-served
}
