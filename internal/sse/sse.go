// Package sse finds the ends of events in a stream of server-sent events. A stream that ends
// inside an event has been truncated, even if its transport ended properly.
package sse

import "strings"

// IsStream reports whether a Content-Type is that of a stream of events.
func IsStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// Scanner tracks where the events of a stream end. A line ends with LF, CR or CRLF, and an
// event with an empty line. Comments between events belong to none.
type Scanner struct {
	line lineType
	// inEvent is set if the event has a line already, and afterCR if the last byte was a CR.
	inEvent, afterCR bool
	events           int
}

// lineType is the type of the line that is being read.
type lineType int

const (
	lineEmpty lineType = iota
	lineComment
	lineField
)

// Scan reads the next bytes of the stream. It returns how many of them precede the last point
// that is inside no event; 0 if there is no such point.
func (s *Scanner) Scan(b []byte) int {
	end := 0
	for i, c := range b {
		if c == '\n' && s.afterCR {
			s.afterCR = false
			if !s.inEvent {
				end = i + 1
			}
			continue
		}
		s.afterCR = c == '\r'
		switch {
		case c == '\n' || c == '\r':
			s.endLine()
			if !s.inEvent {
				end = i + 1
			}
		case s.line != lineEmpty:
		case c == ':':
			s.line = lineComment
		default:
			s.line = lineField
		}
	}
	return end
}

// endLine ends the current line.
func (s *Scanner) endLine() {
	switch {
	case s.line == lineField:
		s.inEvent = true
	case s.line == lineEmpty && s.inEvent:
		s.inEvent = false
		s.events++
	}
	s.line = lineEmpty
}

// Events returns the number of complete events.
func (s *Scanner) Events() int {
	return s.events
}

// Inside reports whether the bytes so far end inside an event or a line.
func (s *Scanner) Inside() bool {
	return s.inEvent || s.line != lineEmpty
}

// Restart prepares for the stream of another endpoint. It keeps the number of events.
func (s *Scanner) Restart() {
	*s = Scanner{events: s.events}
}

// EndsInside reports whether a whole body of events ends inside one.
func EndsInside(body []byte) bool {
	var s Scanner
	s.Scan(body)
	return s.Inside()
}
