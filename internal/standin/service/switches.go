package service

import "time"

// Switches bring about failures. The numbers count calls to come.
type Switches struct {
	// Slow is the time from reading a call to its booking, in nanoseconds,
	// added to that of the options.
	Slow time.Duration `json:"slow"`
	// Late is the time from a booking to its answer, in nanoseconds.
	Late time.Duration `json:"late"`
	// CloseAfterRead is the number of calls that are read and booked, and whose
	// connections are closed without an answer.
	CloseAfterRead int `json:"close_after_read"`
}

// takeClose counts a call and says whether its connection is closed.
func (s *Switches) takeClose() bool {
	if s.CloseAfterRead == 0 {
		return false
	}
	s.CloseAfterRead--
	return true
}
