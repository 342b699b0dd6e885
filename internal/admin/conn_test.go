package admin

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestWatchConn sends heartbeats for a time that is many times the silence that
// is allowed, then nothing any more.
func TestWatchConn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		go func() {
			for range 100 {
				_, _ = far.Write([]byte(":"))
				time.Sleep(watchHeartbeat)
			}
		}()
		conn := &watchConn{Conn: near, silence: silenceTimeout}
		buffer := make([]byte, 1)
		for range 100 {
			_, err := conn.Read(buffer)
			g.Expect(err).NotTo(HaveOccurred())
		}
		start := time.Now()
		_, err := conn.Read(buffer)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(start)).To(Equal(silenceTimeout))
	})
}
