package preset

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemBootClock reads CLOCK_BOOTTIME, which includes the time in which the machine is suspended. Go's monotonic clock
// excludes it.
func SystemBootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
