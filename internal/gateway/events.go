package gateway

import (
	"bytes"

	"github.com/pkg/errors"
)

// errEventTooLong says that an event didn't end within the bound.
var errEventTooLong = errors.New("an event of the stream is too long")

// events cuts a stream into whole events, so that one at which an endpoint stopped
// half-way is never passed on, and keeps the id of the last.
type events struct {
	// tail is the start of an event that isn't whole yet.
	tail []byte
	// last is the id of the last whole event; empty before the first.
	last string
	// most bounds the start of an event that isn't whole, in bytes.
	most int
}

// idField begins the line with an event's id, idLine that of a later event.
var (
	idField = []byte("id:")
	idLine  = []byte("\nid:")
)

// add takes bytes as they come and returns those that end whole events. The result is
// valid until the next call.
func (e *events) add(b []byte) ([]byte, error) {
	if len(e.tail) == 0 && bytes.HasSuffix(b, eventEnd) {
		e.note(b)
		return b, nil
	}
	// What was kept before has no end of an event, but may have the start of one.
	from := max(0, len(e.tail)-len(eventEnd)+1)
	e.tail = append(e.tail, b...)
	end := bytes.LastIndex(e.tail[from:], eventEnd)
	if end < 0 {
		if len(e.tail) > e.most {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end += from + len(eventEnd)
	whole := e.tail[:end]
	e.note(whole)
	// The rest moves to another array, since the caller still reads this one.
	e.tail = append([]byte(nil), e.tail[end:]...)
	return whole, nil
}

// note keeps the id of the last of some whole events.
func (e *events) note(whole []byte) {
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
	e.last = string(bytes.TrimSpace(line))
}

// rest returns what is left when the stream has ended as whole.
func (e *events) rest() []byte {
	tail := e.tail
	e.tail = nil
	return tail
}

// drop forgets an event that isn't whole, when its endpoint is lost.
func (e *events) drop() {
	e.tail = nil
}
