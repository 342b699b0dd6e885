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

const wide = 10 * time.Second

// serveRaw answers every connection with fixed bytes and closes it. It returns
// the address.
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

// readStream reads a stream to its end and returns the sequence numbers read.
func readStream(t testing.TB, body string) (chunks int, whole bool, err error) {
	t.Helper()
	conn, err := endpoint.Dial(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
	if err != nil {
		t.Fatal(err)
	}
	stream, err := endpoint.Open(conn, "r1", 0, wide)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for {
		if _, err = stream.Next(wide); err != nil {
			return chunks, stream.Whole(), err
		}
		chunks++
	}
}

func chunk(id string, seq int) string {
	return `data: {"id":"` + id + `","seq":` + strconv.Itoa(seq) + "}\n\n"
}

func TestStreamTakesOnlyItsOwnChunksInOrder(t *testing.T) {
	good := chunk("r1", 0) + chunk("r1", 1)
	const done = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"whole":           {good + done, io.EOF},
		"comments":        {": hello\r\n\r\n" + good + "event: x\n" + done, io.EOF},
		"no end marker":   {good, endpoint.ErrCut},
		"cut in a chunk":  {good + `data: {"id":"r1","se`, endpoint.ErrCut},
		"not JSON":        {good + "data: oops\n\n" + done, endpoint.ErrCut},
		"another request": {good + chunk("r2", 2) + done, endpoint.ErrCrossed},
		"a gap":           {good + chunk("r1", 3) + done, endpoint.ErrGap},
		"a repeat":        {good + chunk("r1", 1) + done, endpoint.ErrGap},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			chunks, whole, err := readStream(t, c.body)
			g.Expect(err).To(MatchError(c.want))
			g.Expect(chunks).To(Equal(2))
			g.Expect(whole).To(Equal(errors.Is(c.want, io.EOF)))
		})
	}
}

func TestStreamRefusesAnEndlessLine(t *testing.T) {
	_, whole, err := readStream(t, "data: "+strings.Repeat("x", 2<<20))
	g := NewWithT(t)
	g.Expect(err).To(MatchError(ContainSubstring("line too long")))
	g.Expect(whole).To(BeFalse())
}

// FuzzStream checks that no stream is taken for whole without its end marker,
// and that every chunk taken stands in the input.
func FuzzStream(f *testing.F) {
	f.Add(chunk("r1", 0) + "data: [DONE]\n\n")
	f.Add(chunk("r1", 0) + chunk("r2", 1))
	f.Add("data:{\"id\":\"r1\",\"seq\":0}\ndata:")
	f.Add("data: [DONE]")
	f.Add("\x00\ndata: null\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		chunks, whole, err := readStream(t, body)
		if err == nil || whole != errors.Is(err, io.EOF) {
			t.Fatalf("whole=%v err=%v", whole, err)
		}
		if whole && !strings.Contains(body, "[DONE]") {
			t.Fatal("whole without an end marker")
		}
		if chunks > strings.Count(body, "data:") {
			t.Fatal("more chunks than events")
		}
	})
}

// TestPoolTrustsNoEngineThatStandsStill keeps a connection to an engine that
// then answers nothing, though its socket still accepts.
func TestPoolTrustsNoEngineThatStandsStill(t *testing.T) {
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
	// The other kept connection was dropped: the next one is new.
	conn, err := pool.Get(ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
}
