package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/sse"
	"github.com/trefoilchute/trefoilchute/platform"
)

// errEventTooLong is returned when an event exceeds the size limit.
var errEventTooLong = errors.New("an event of the stream is too long")

// eventSplitter splits a stream into complete events, so that an event that an endpoint
// left incomplete is never forwarded, and keeps the ID of the last event.
type eventSplitter struct {
	sse.Scanner
	// partial is the start of an event that is not complete yet.
	partial []byte
	// lastID is the ID of the last complete event; empty before the first.
	lastID string
	// maxPartial bounds the length of an incomplete event in bytes.
	maxPartial int
}

// add appends bytes of the stream and returns those that complete events. The result is
// valid until the next call.
func (e *eventSplitter) add(b []byte) ([]byte, error) {
	n := e.Scan(b)
	if n == 0 {
		if e.partial = append(e.partial, b...); len(e.partial) > e.maxPartial {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	whole := b[:n]
	if len(e.partial) > 0 {
		whole = append(e.partial, whole...)
	}
	e.recordID(whole)
	// The rest moves to a new array, because the caller still reads the returned slice.
	e.partial = append([]byte(nil), b[n:]...)
	return whole, nil
}

// idField begins a line with the ID of an event.
var idField = []byte("id:")

// recordID keeps the ID of the last of some complete events.
func (e *eventSplitter) recordID(whole []byte) {
	for end := len(whole); end > 0; {
		at := bytes.LastIndexAny(whole[:end], "\r\n") + 1
		if id, ok := bytes.CutPrefix(whole[at:end], idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
			return
		}
		end = at - 1
	}
}

// firstID returns the ID of the first of some complete events; empty if it has none.
func firstID(whole []byte) string {
	for line := range bytes.FieldsFuncSeq(whole, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// follows reports whether an event may come after another, by their IDs, which increase. Where one of
// them has no number, it reports whether they differ.
func follows(id, last string) bool {
	n, err1 := strconv.ParseUint(id, 10, 64)
	before, err2 := strconv.ParseUint(last, 10, 64)
	if err1 != nil || err2 != nil {
		return id == "" || id != last
	}
	return n > before
}

// discardPartial drops the incomplete event of a lost endpoint.
func (e *eventSplitter) discardPartial() {
	e.partial = nil
	e.Restart()
}

// format is what a response's body holds.
type format int

const (
	// formatOther: no events, or no body.
	formatOther format = iota
	// formatUndeclared: events or something else, which the first bytes tell.
	formatUndeclared
	// formatEvents: a stream of events.
	formatEvents
)

// formatOf returns the format of a response's body. A response on a stream's route that declares
// no type may be a stream of events.
func (c *call) formatOf(resp *http.Response) format {
	contentType := resp.Header.Get("Content-Type")
	switch {
	case c.r.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return formatOther
	case sse.IsStream(contentType):
		return formatEvents
	case contentType == "" && c.route.Kind == ruleset.Stream && isSuccess(resp.StatusCode):
		return formatUndeclared
	}
	return formatOther
}

// fieldNames are the names of an event's fields.
var fieldNames = append([]string{"id", "data", "event", "retry"}, platform.EventFields...)

// detectFormat returns the format that the first bytes of a body tell, or formatUndeclared if
// more bytes are needed.
func detectFormat(b []byte) format {
	b = bytes.TrimLeft(bytes.TrimPrefix(b, byteOrderMark), "\r\n")
	if len(b) == 0 {
		return formatUndeclared
	}
	if b[0] == ':' {
		return formatEvents
	}
	for _, name := range fieldNames {
		switch {
		case strings.HasPrefix(name, string(b)):
			return formatUndeclared
		case bytes.HasPrefix(b, []byte(name)) && bytes.IndexByte(fieldNameEnds, b[len(name)]) >= 0:
			return formatEvents
		}
	}
	return formatOther
}

var (
	// byteOrderMark may precede the first event.
	byteOrderMark = []byte("\xef\xbb\xbf")
	// fieldNameEnds are the bytes that end a field's name.
	fieldNameEnds = []byte(":\r\n")
)
