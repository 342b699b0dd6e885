package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// BenchmarkRequests measures what a request costs on a kept connection, by its body, and a stream
// with a hundred events.
func BenchmarkRequests(b *testing.B) {
	for _, size := range []int{100, 12_000, 72_000, 4 << 20} {
		b.Run(fmt.Sprint("body ", size), func(b *testing.B) { benchmark(b, post("/unsafe/x", "a1", strings.Repeat("x", size)), answerOK) })
	}
	b.Run("answer 4 MiB", func(b *testing.B) {
		text := strings.Repeat("x", 4<<20)
		benchmark(b, get("/unsafe/x", "a1"), func(e *scriptedExchange) bool {
			e.writeComplete(200, text)
			return true
		})
	})
	var events strings.Builder
	for i := range 100 {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", i)
	}
	b.Run("events", func(b *testing.B) {
		benchmark(b, post("/stream/x", "a1", "{}"), func(e *scriptedExchange) bool {
			e.write(sealedHead(200, e.attempt()) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for event := range strings.SplitAfterSeq(events.String(), "\n\n") {
				e.write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			}
			return true
		})
	})
}

func benchmark(b *testing.B, request string, s script) {
	h := start(b, s)
	go func() {
		for {
			select {
			case <-h.outcomes:
			case <-h.endpoints[0].seen:
			case <-b.Context().Done():
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(conn, request)
		if got := readResponse(r); got.err != nil {
			b.Fatal(got.err)
		}
	}
}
