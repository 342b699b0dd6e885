package gateway

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"
)

// errEventTooLong is returned when an event exceeds the size limit.
var errEventTooLong = errors.New("an event of the stream is too long")

// eventSplitter splits a stream into complete events, so that an event that an endpoint
// left incomplete is never forwarded, and keeps the ID of the last event.
type eventSplitter struct {
	// partial is the start of an event that is not complete yet.
	partial []byte
	// lastID is the ID of the last complete event; empty before the first.
	lastID string
	// maxPartial bounds the length of an incomplete event in bytes.
	maxPartial int
}

// idField begins the line with the ID of the first event, and idLine that of a later event.
var (
	idField = []byte("id:")
	idLine  = []byte("\nid:")
)

// add appends bytes of the stream and returns those that complete events. The result is
// valid until the next call.
func (e *eventSplitter) add(b []byte) ([]byte, error) {
	if len(e.partial) == 0 && bytes.HasSuffix(b, eventTerminator) {
		e.recordID(b)
		return b, nil
	}
	// The buffered part contains no event terminator, but may end with the start of one.
	from := max(0, len(e.partial)-len(eventTerminator)+1)
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial[from:], eventTerminator)
	if end < 0 {
		if len(e.partial) > e.maxPartial {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end += from + len(eventTerminator)
	whole := e.partial[:end]
	e.recordID(whole)
	// The rest moves to a new array, because the caller still reads the returned slice.
	e.partial = append([]byte(nil), e.partial[end:]...)
	return whole, nil
}

// recordID keeps the ID of the last of some complete events.
func (e *eventSplitter) recordID(whole []byte) {
	at := bytes.LastIndex(whole, idLine)
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(whole, idField):
		at = 0
	default:
		return
	}
	line := whole[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	e.lastID = string(bytes.TrimSpace(line))
}

// takePartial returns the bytes left over when the stream ended cleanly.
func (e *eventSplitter) takePartial() []byte {
	tail := e.partial
	e.partial = nil
	return tail
}

// discardPartial drops the incomplete event of a lost endpoint.
func (e *eventSplitter) discardPartial() {
	e.partial = nil
}

// fieldNames begin the lines of an event; a line that begins with a colon is a comment.
var fieldNames = []string{"id", "data", "event", "retry", ":"}

// beginsWithEvent reports whether the first bytes of a body may be those of an event.
func beginsWithEvent(b []byte) bool {
	return slices.ContainsFunc(fieldNames, func(name string) bool {
		n := min(len(name), len(b))
		return name[:n] == string(b[:n])
	})
}

// streamTail holds the last bytes of a stream, from which it can be told whether an event is
// complete: as many as two line ends have.
type streamTail struct {
	last [4]byte
	n    int
}

// add appends bytes of the stream.
func (t *streamTail) add(b []byte) {
	b = b[max(0, len(b)-len(t.last)):]
	kept := min(t.n, len(t.last)-len(b))
	copy(t.last[:], t.last[t.n-kept:t.n])
	t.n = kept + copy(t.last[kept:], b)
}

// eventEnds are the ends of an event's last line and of the empty line after it. A line may end
// with LF, CR or both.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\r"), []byte("\r\n\r"), []byte("\n\r\n")}

// endsEvent reports whether the stream so far ends with a complete event. An empty stream does
// not.
func (t *streamTail) endsEvent() bool {
	return slices.ContainsFunc(eventEnds, func(end []byte) bool { return bytes.HasSuffix(t.last[:t.n], end) })
}
