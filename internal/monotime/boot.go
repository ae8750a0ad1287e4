package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the monotonic time of the machine, which its processes share (clock_gettime(2),
// CLOCK_MONOTONIC). It is 0 if the kernel does not give it.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
