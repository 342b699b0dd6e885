package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
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

// Guards against an event that reaches the caller twice: an endpoint that is asked to go on after an event
// begins with that one, or an earlier one, again (soak seed 61027).
func TestResumedStreamThatBeginsAgainIsBrokenOff(t *testing.T) {
	for _, c := range []struct {
		from  int
		whole bool
	}{{0, false}, {1, false}, {2, false}, {3, true}} {
		t.Run(fmt.Sprintf("begins with event %d", c.from), func(t *testing.T) {
			h := start(t, streamEvents(0, 2, false), streamEvents(c.from, lastEvent, false))
			got := h.ask(post("/resumable/x", "id1", "prompt"))
			last := 2
			if c.whole {
				h.Expect(got.err).NotTo(HaveOccurred())
				last = lastEvent
			} else {
				h.Expect(got.err).To(HaveOccurred())
			}
			want := ""
			for i := range last + 1 {
				want += fmt.Sprintf("id: %d\ndata: x\n\n", i)
			}
			h.Expect(got.body).To(Equal(want))
			h.Expect((<-h.outcomes).Tries).To(Equal(2))
		})
	}
}

// Guards against a resumed stream that is broken off because its first event begins with the line that
// tells of other weights.
func TestResumedStreamMayBeginWithTheLineOfOtherWeights(t *testing.T) {
	const first, rest = "id: 0\ndata: a\n\n", "weight-versions: 7\nid: 1\ndata: b\n\n"
	respond := func(body string, whole bool) script {
		return func(e *scriptedExchange) bool {
			e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body))
			if whole {
				e.write("0\r\n\r\n")
			}
			return whole
		}
	}
	h := start(t, respond(first, false), respond(rest, true))
	got := h.ask(post("/resumable/x", "id1", "prompt"))
	h.Expect(got.err).NotTo(HaveOccurred())
	h.Expect(got.body).To(Equal(first + rest))
	h = start(t, respond(rest, true))
	got = h.ask(post("/stream/x", "id2", "prompt"))
	h.Expect(got.body).To(Equal(rest))
	h.Expect((<-h.outcomes).Events).To(Equal(1), "a stream of events without a declared type")
}

// untilClose responds with a stream that has neither a length nor chunks and ends with its
// connection.
func untilClose(header, stream string) script {
	return func(e *scriptedExchange) bool {
		e.write(sealedHead(200, e.attempt()) + header + "\r\n" + stream)
		return false
	}
}

// TestStreamWithoutLengthThatEndsInsideAnEventIsIncomplete ends streams without a length or chunks at
// several places. The caller must not take a part of one for the whole.
func TestStreamWithoutLengthThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	const event, next = "id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"
	for _, c := range []struct {
		name, stream string
		complete     bool
	}{
		{"after an event", event, true},
		{"after an event of lines that end with CRLF", "id: 0\r\ndata: x\r\n\r\n", true},
		{"after an event of lines that end with CR", "id: 0\rdata: x\r\r", true},
		{"inside the first event", "id: 0\nda", false},
		{"inside a line", event + "id: 1\nda", false},
		{"after a line", event + "id: 1\ndata: y\n", false},
		{"after a line that ends with CRLF", event + "id: 1\r\ndata: y\r\n", false},
		{"before the first event", "", false},
	} {
		for _, header := range []string{"", "Content-Type: text/event-stream\r\n", "Content-Type: text/event-stream; charset=utf-8\r\n"} {
			t.Run(c.name+"/"+header, func(t *testing.T) {
				h := start(t, untilClose(header, c.stream))
				got := h.ask(post("/stream/x", "id1", "prompt"))
				h.Expect(c.stream).To(HavePrefix(got.body))
				h.Expect(got.err == nil).To(Equal(c.complete), "%v", got.err)
				o := <-h.outcomes
				h.Expect(o.Code == result.OK).To(Equal(c.complete))

				h = start(t, untilClose(header, c.stream), untilClose(header, next))
				got = h.ask(post("/resumable/x", "id2", "prompt"))
				h.Expect(got.err).NotTo(HaveOccurred())
				switch {
				case c.complete:
					h.Expect(got.body).To(Equal(c.stream))
				case strings.HasPrefix(c.stream, event):
					h.Expect(got.body).To(Equal(event + next))
				default:
					h.Expect(got.body).To(Equal(next))
				}
			})
		}
	}
}

// framings are the ways in which a response's body may end.
var framings = map[string]func(body string) string{
	"chunks": func(body string) string {
		if body == "" {
			return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
	},
	"length":     func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"connection": func(body string) string { return "\r\n" + body },
}

// framed responds with a status, headers and a framed body, and closes the connection.
func framed(status int, header, framing, body string) script {
	return func(e *scriptedExchange) bool {
		e.write(sealedHead(status, e.attempt()) + header + framings[framing](body))
		return false
	}
}

// TestStreamThatEndsProperlyInsideAnEventIsIncomplete ends streams inside an event by an orderly
// end of HTTP. The caller must not take a part of one for the whole.
func TestStreamThatEndsProperlyInsideAnEventIsIncomplete(t *testing.T) {
	const event, next = "id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"
	const declared = "Content-Type: text/event-stream\r\n"
	for _, part := range []string{"id: 1\nda", "id: 1\ndata: y\n", "id: 1\r\ndata: y\r\n", "id", "data: {}"} {
		for framing := range framings {
			for _, header := range []string{"", declared, "Content-Type: Text/Event-Stream;charset=utf-8\r\n"} {
				for _, status := range []int{200, 201} {
					t.Run(fmt.Sprintf("%q/%s/%s/%d", part, framing, header, status), func(t *testing.T) {
						h := start(t, framed(status, header, framing, event+part))
						got := h.ask(post("/stream/x", "id1", "prompt"))
						h.Expect(event + part).To(HavePrefix(got.body))
						h.Expect(got.err).To(HaveOccurred())
						h.Expect((<-h.outcomes).Code).To(Equal(result.AnswerCut))

						h = start(t, framed(status, header, framing, event+part), framed(status, header, framing, next))
						got = h.ask(post("/resumable/x", "id2", "prompt"))
						h.Expect(got.err).NotTo(HaveOccurred())
						h.Expect(got.body).To(Equal(event + next))
						<-h.endpoints[0].seen
						h.Expect((<-h.endpoints[1].seen).request.Header.Get("Last-Event-Id")).To(Equal("0"))

						h = start(t, framed(status, header, framing, event+part), framed(status, header, framing, next+part))
						got = h.ask(post("/resumable/x", "id3", "prompt"))
						h.Expect(got.body).To(Equal(event + next))
						h.Expect(got.err).To(HaveOccurred())
					})
				}
			}
		}
	}
	for _, status := range []int{404, 500} {
		h := start(t, framed(status, declared, "chunks", event+"da"))
		got := h.ask(post("/unsafe/x", "id1", "body"))
		h.Expect(got.err != nil || got.status == http.StatusBadGateway).To(BeTrue(), "a declared stream at status %d", status)
	}
}

// TestSoundAnswerOfAStreamRouteIsDelivered sends whole streams with unusual line ends and comments,
// and answers that are no streams, in every framing.
func TestSoundAnswerOfAStreamRouteIsDelivered(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	long := strings.Repeat("x", 2<<20)
	for name, c := range map[string]struct{ header, body string }{
		"CRLF":                       {events, "id: 0\r\ndata: x\r\n\r\nid: 1\r\ndata: y\r\n\r\n"},
		"CR":                         {events, "id: 0\rdata: x\r\rid: 1\rdata: y\r\r"},
		"mixed line ends":            {events, "id: 0\rdata: x\n\r\nid: 1\r\ndata: y\n\r"},
		"comment behind the last":    {events, "data: x\n\n: ping\n"},
		"empty line behind the last": {events, "data: x\n\n\n"},
		"undeclared":                 {"", "\n: ping\n\ndata: x\n\n"},
		"undeclared, byte order":     {"", "\xef\xbb\xbfdata: x\n\n"},
		"undeclared JSON":            {"", "{\"id\": 1}\n"},
		"undeclared text":            {"", "identity and data: none"},
		"JSON":                       {"Content-Type: application/json\r\n", "{\"data\":\n\n1}"},
		"longer than an event":       {"Content-Type: application/json\r\n", long},
	} {
		for framing := range framings {
			for _, path := range []string{"/stream/x", "/resumable/x"} {
				t.Run(name+"/"+framing+path, func(t *testing.T) {
					h := start(t, framed(200, c.header, framing, c.body))
					got := h.ask(post(path, "id1", "prompt"))
					h.Expect(got.err).NotTo(HaveOccurred())
					h.Expect(got.body == c.body).To(BeTrue(), "got %d of %d bytes", len(got.body), len(c.body))
					h.Expect((<-h.outcomes).Tries).To(Equal(1))
				})
			}
		}
	}
	for _, framing := range []string{"chunks", "length"} {
		h := start(t, framed(200, events, framing, ""))
		got := h.ask(post("/stream/x", "id1", "prompt"))
		h.Expect(got.err).NotTo(HaveOccurred(), framing)
		h.Expect(got.status).To(Equal(http.StatusOK))
	}
}

// TestCutAnswerIsIncompleteForCallersWithoutChunks breaks answers off whose only framing towards an
// HTTP/1.0 caller is the end of the connection.
func TestCutAnswerIsIncompleteForCallersWithoutChunks(t *testing.T) {
	for name, s := range map[string]script{
		"inside an event": framed(200, "Content-Type: text/event-stream\r\n", "chunks", "id: 0\ndata: x\n\nid: 1"),
		"in the body": func(e *scriptedExchange) bool {
			e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello"))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, s)
			a := h.ask(strings.Replace(post("/stream/x", "a1", "prompt"), "HTTP/1.1", "HTTP/1.0", 1))
			h.Expect(a.err).To(MatchError(syscall.ECONNRESET), "got %q", a.body)
		})
	}
	h := start(t, streamEvents(0, lastEvent, false))
	a := h.ask(strings.Replace(post("/stream/x", "a1", "prompt"), "HTTP/1.1", "HTTP/1.0", 1))
	h.Expect(a.err).NotTo(HaveOccurred())
	h.Expect(strings.Count(a.body, "data: x")).To(Equal(lastEvent + 1))
}

// TestEventsAreForwardedAsTheyEnd has events of every line end wait before the next one comes.
func TestEventsAreForwardedAsTheyEnd(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n"} {
		release := make(chan struct{})
		h := start(t, func(e *scriptedExchange) bool {
			first := strings.ReplaceAll("id: 0\ndata: x\n\n", "\n", end)
			e.write(sealedHead(200, e.attempt()) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first))
			<-release
			e.write(chunk(first) + "0\r\n\r\n")
			return true
		})
		conn := h.dial()
		_, err := io.WriteString(conn, post("/resumable/x", "id1", "prompt"))
		h.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		h.Expect(err).NotTo(HaveOccurred())
		got := make([]byte, len("id: 0 data: x")+2*len(end)-len(" ")+len(end))
		_, err = io.ReadFull(resp.Body, got)
		h.Expect(err).NotTo(HaveOccurred(), "%q", end)
		close(release)
		_, err = io.ReadAll(resp.Body)
		h.Expect(err).NotTo(HaveOccurred())
		o := <-h.outcomes
		h.Expect(o.Events).To(Equal(2))
		_ = resp.Body.Close()
	}
}

// TestBodyWithoutLengthIsDelivered ends a plain answer, and an answer on a stream's route that is no
// event stream, with the connection.
func TestBodyWithoutLengthIsDelivered(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x", "/resumable/x"} {
		h := start(t, func(e *scriptedExchange) bool {
			e.write(sealedHead(200, e.attempt()) + "Content-Type: application/json\r\n\r\n{}")
			return false
		})
		got := h.ask(post(path, "id1", "body"))
		h.Expect(got.err).NotTo(HaveOccurred())
		h.Expect(got.body).To(Equal("{}"))
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

// TestErrorAfterABrokenStreamIsNotPartOfIt breaks a stream off and has the next endpoint answer with
// something else than the rest of it. The caller gets none of that, and no orderly end.
func TestErrorAfterABrokenStreamIsNotPartOfIt(t *testing.T) {
	const text = "Content-Type: application/json\r\n"
	const length, chunked, unframed = "Content-Length: 13\r\n\r\n{\"error\":\"x\"}", "Transfer-Encoding: chunked\r\n\r\nd\r\n{\"error\":\"x\"}\r\n0\r\n\r\n", "\r\n{\"error\":\"x\"}"
	const unsealed = "HTTP/1.1 500 X\r\nAttempt-Id: id1\r\n"
	for name, answer := range map[string]string{
		"failure":                     sealedHead(500, "id1") + text + length,
		"chunked failure":             sealedHead(500, "id1") + text + chunked,
		"failure without a length":    sealedHead(500, "id1") + text + unframed,
		"failure as events":           sealedHead(500, "id1") + "Content-Type: text/event-stream\r\n" + chunked,
		"failure without a seal":      unsealed + length,
		"client error":                sealedHead(404, "id1") + text + chunked,
		"refusal":                     "HTTP/1.1 503 X\r\nAttempt-Id: id1\r\nNot-Executed: 1\r\n" + length,
		"success with a length":       sealedHead(200, "id1") + text + length,
		"chunked success":             sealedHead(200, "id1") + text + chunked,
		"success without a length":    sealedHead(200, "id1") + text + unframed,
		"success of no declared type": sealedHead(200, "id1") + chunked,
		"answer to another request":   sealedHead(200, "other") + "Content-Type: text/event-stream\r\n" + chunked,
		"two heads":                   sealedHead(200, "id1") + "Content-Type: text/event-stream\r\n\r\n" + sealedHead(500, "id1") + length,
		"no HTTP":                     "{\"error\":\"x\"}\r\n\r\n",
		"nothing":                     "",
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, streamEvents(0, 1, false), func(e *scriptedExchange) bool {
				e.write(answer)
				return false
			})
			got := h.ask(post("/resumable/x", "id1", "prompt"))
			h.Expect(got.body).To(Equal("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"))
			h.Expect(got.err).To(HaveOccurred())
			h.Expect((<-h.outcomes).Code).To(Equal(result.AnswerCut))
		})
	}
	t.Run("no endpoint", func(t *testing.T) {
		var h *harness
		h = start(t, func(e *scriptedExchange) bool {
			h.refuse = result.New(result.NoEndpoint, "no endpoint")
			return streamEvents(0, 1, false)(e)
		})
		got := h.ask(post("/resumable/x", "id1", "prompt"))
		h.Expect(got.body).To(Equal("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"))
		h.Expect(got.err).To(HaveOccurred())
	})
}
