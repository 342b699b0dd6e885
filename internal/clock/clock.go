// Package clock reads the clock that also counts the time in which a machine was
// suspended. Go's monotonic clock doesn't.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspension included. It never
// falls.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no age could be trusted.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
