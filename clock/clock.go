// Package clock reads the clocks of the host.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady returns the time since the host started. It implements gypsum.SteadyClock.
func Steady() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists since Linux 2.6.39. Promises with a time bound cannot be kept without it.
		panic("read the clock since the host's start: " + err.Error())
	}
	return time.Duration(now.Nano())
}
