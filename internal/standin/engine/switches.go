package engine

import (
	"bytes"
	"time"
)

// Switches bring about failures. The numbers count requests to come.
type Switches struct {
	// Slow makes the engine slower by a factor; 0: 1.
	Slow float64 `json:"slow"`
	// Late holds back every answer, in nanoseconds. The engine itself runs on.
	Late time.Duration `json:"late"`
	// CrashMarker makes a request whose prompt contains it kill the engine when
	// its first token is due; empty: none does.
	CrashMarker string `json:"crash_marker"`
	// Cross is the number of streams whose second half is that of another
	// request's answer.
	Cross int `json:"cross"`
	// Truncate is the number of streams that end half-way, without an error and
	// without the end marker.
	Truncate int `json:"truncate"`
	// CloseAfterRead is the number of chat requests that are read and run, and
	// whose connections are closed without an answer.
	CloseAfterRead int `json:"close_after_read"`
}

// faults is what the switches do to one stream.
type faults struct {
	late     time.Duration
	cross    bool
	truncate bool
}

// takeFaults counts a stream and returns what the switches do to it.
func (s *Switches) takeFaults() faults {
	f := faults{late: s.Late}
	switch {
	case s.Cross > 0:
		s.Cross--
		f.cross = true
	case s.Truncate > 0:
		s.Truncate--
		f.truncate = true
	}
	return f
}

// takeClose counts a chat request and says whether its connection is closed.
func (s *Switches) takeClose() bool {
	if s.CloseAfterRead == 0 {
		return false
	}
	s.CloseAfterRead--
	return true
}

// crashes says whether a prompt kills the engine.
func (s *Switches) crashes(prompt []byte) bool {
	return s.CrashMarker != "" && bytes.Contains(prompt, []byte(s.CrashMarker))
}

// slowFactor returns Slow, or 1 if it isn't set.
func (s *Switches) slowFactor() float64 {
	if s.Slow <= 0 {
		return 1
	}
	return s.Slow
}
