package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// TestOnlyCompleteEventsAreForwarded splits a stream into random pieces and truncates it at a
// random position.
func TestOnlyCompleteEventsAreForwarded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(rt, "events")
		var stream, whole string
		last := ""
		end := rapid.IntRange(0, count*20).Draw(rt, "end")
		for i := range count {
			event := fmt.Sprintf("id: %d\ndata: x.%d\n\n", i*37, i)
			if len(stream)+len(event) <= end {
				whole, last = whole+event, fmt.Sprint(i*37)
			}
			stream += event
		}
		stream = stream[:min(end, len(stream))]
		e := eventSplitter{maxPartial: len(stream)}
		got := ""
		for stream != "" {
			k := rapid.IntRange(1, len(stream)).Draw(rt, "piece")
			passed, err := e.add([]byte(stream[:k]))
			if err != nil {
				rt.Fatal(err)
			}
			got += string(passed)
			stream = stream[k:]
		}
		if got != whole || e.lastID != last {
			rt.Fatalf("passed %q up to %q, want %q up to %q", got, e.lastID, whole, last)
		}
	})
}

// lastEvent is the number of the last event of a complete stream.
const lastEvent = 5

// streamEvents responds with a range of events. Unless the range includes the last event, it
// breaks off within the event after the range.
func streamEvents(from, to int, reset bool) script {
	return func(e *scriptedExchange) bool {
		e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n")
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			e.write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		}
		if to == lastEvent {
			e.write("0\r\n\r\n")
			return true
		}
		e.write(fmt.Sprintf("6\r\nid: %d\n\r\n", to+1)[:9])
		if reset {
			_ = e.conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

func TestBrokenStreamIsResumed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			h := start(t, streamEvents(0, 2, reset), streamEvents(3, 5, false))
			got := h.ask(post("/resumable/x", "id1", "prompt"))
			h.Expect(got.err).NotTo(HaveOccurred())
			h.Expect(got.header.Get("Runner-Seal")).To(Equal("s.id1"))
			want := ""
			for i := range 6 {
				want += fmt.Sprintf("id: %d\ndata: x\n\n", i)
			}
			h.Expect(got.body).To(Equal(want))
			second := <-h.endpoints[1].seen
			h.Expect(second.request.Header["Last-Event-Id"]).To(Equal([]string{"2"}))
			h.Expect(second.body).To(Equal("prompt"))
			o := <-h.outcomes
			h.Expect(o.Code).To(Equal(result.OK))
			h.Expect(o.Tries).To(Equal(2))
		})
	}
}

func TestUnresumableStreamIsTruncated(t *testing.T) {
	t.Run("second endpoint truncates it too", func(t *testing.T) {
		h := start(t, streamEvents(0, 1, false), streamEvents(2, 3, false), streamEvents(4, 5, false))
		got := h.ask(post("/resumable/x", "id1", "prompt"))
		h.Expect(got.err).To(HaveOccurred())
		h.Expect(strings.Count(got.body, "id:")).To(Equal(4))
		h.Expect(h.endpoints[2].seen).To(BeEmpty(), "the route allows two endpoints")
	})
	t.Run("route is not resumable", func(t *testing.T) {
		h := start(t, streamEvents(0, 1, false), streamEvents(2, 5, false))
		got := h.ask(post("/stream/x", "id1", "prompt"))
		h.Expect(got.err).To(HaveOccurred())
		h.Expect(h.endpoints[1].seen).To(BeEmpty())
	})
	t.Run("second endpoint responds with a failure", func(t *testing.T) {
		h := start(t, streamEvents(0, 1, false), func(e *scriptedExchange) bool {
			e.writeComplete(500, "no")
			return true
		})
		got := h.ask(post("/resumable/x", "id1", "prompt"))
		h.Expect(got.err).To(HaveOccurred())
		h.Expect(got.body).NotTo(ContainSubstring("no"))
	})
}
