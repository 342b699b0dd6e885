package endpoint_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/endpoint"
)

const testTimeout = 10 * time.Second

// serveRaw starts a server that writes reply to every connection and closes it.
// It returns the server's address.
func serveRaw(t testing.TB, reply string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, reply)
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// readStream reads a stream to its end. It returns the number of chunks, whether
// the stream was complete, and the error that ended it.
func readStream(t testing.TB, body string) (chunks int, complete bool, err error) {
	t.Helper()
	conn, err := endpoint.Dial(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
	if err != nil {
		t.Fatal(err)
	}
	stream, err := endpoint.Open(conn, "r1", 0, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for {
		if _, err = stream.Next(testTimeout); err != nil {
			return chunks, stream.Complete(), err
		}
		chunks++
	}
}

func chunk(id string, seq int) string {
	return `data: {"id":"` + id + `","seq":` + strconv.Itoa(seq) + "}\n\n"
}

func TestStreamAcceptsOnlyItsOwnChunksInOrder(t *testing.T) {
	good := chunk("r1", 0) + chunk("r1", 1)
	const done = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"complete":        {good + done, io.EOF},
		"comments":        {": hello\r\n\r\n" + good + "event: x\n" + done, io.EOF},
		"no end marker":   {good, endpoint.ErrTruncated},
		"truncated chunk": {good + `data: {"id":"r1","se`, endpoint.ErrTruncated},
		"not JSON":        {good + "data: oops\n\n" + done, endpoint.ErrTruncated},
		"another request": {good + chunk("r2", 2) + done, endpoint.ErrOtherRequest},
		"missing chunk":   {good + chunk("r1", 3) + done, endpoint.ErrOutOfOrder},
		"repeated chunk":  {good + chunk("r1", 1) + done, endpoint.ErrOutOfOrder},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			chunks, complete, err := readStream(t, c.body)
			g.Expect(err).To(MatchError(c.want))
			g.Expect(chunks).To(Equal(2))
			g.Expect(complete).To(Equal(errors.Is(c.want, io.EOF)))
		})
	}
}

func TestStreamRejectsOverlongLine(t *testing.T) {
	_, complete, err := readStream(t, "data: "+strings.Repeat("x", 2<<20))
	g := NewWithT(t)
	g.Expect(err).To(MatchError(ContainSubstring("line too long")))
	g.Expect(complete).To(BeFalse())
}

// FuzzStream checks that no stream counts as complete without its end marker, and
// that no more chunks are returned than the input has.
func FuzzStream(f *testing.F) {
	f.Add(chunk("r1", 0) + "data: [DONE]\n\n")
	f.Add(chunk("r1", 0) + chunk("r2", 1))
	f.Add("data:{\"id\":\"r1\",\"seq\":0}\ndata:")
	f.Add("data: [DONE]")
	f.Add("\x00\ndata: null\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		chunks, complete, err := readStream(t, body)
		if err == nil || complete != errors.Is(err, io.EOF) {
			t.Fatalf("complete=%v err=%v", complete, err)
		}
		if complete && !strings.Contains(body, "[DONE]") {
			t.Fatal("complete without an end marker")
		}
		if chunks > strings.Count(body, "data:") {
			t.Fatal("more chunks than events")
		}
	})
}

// TestPoolDropsIdleConnectionsToUnresponsiveEngine guards against handing out idle
// connections to an engine that no longer answers. Its socket still accepts
// connections, so only a probe shows it.
func TestPoolDropsIdleConnectionsToUnresponsiveEngine(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	pool := endpoint.NewPool()
	defer pool.Close()
	for range 2 {
		conn, err := endpoint.Dial(ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		pool.Put(conn)
	}
	_, err = pool.Get(ln.Addr().String())
	g.Expect(endpoint.IsTimeout(err)).To(BeTrue(), "%v", err)
	// The other idle connection was dropped, so the next one is new.
	conn, err := pool.Get(ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
}
