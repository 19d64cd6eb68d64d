// Package boottime reads the kernel clock that also advances while the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"

	"sumachead"
)

// Clock reads the kernel's CLOCK_BOOTTIME. It implements [sumachead.Clock]; the zero value is
// ready to use.
type Clock struct{}

// Now implements [sumachead.Clock].
func (Clock) Now() sumachead.BootTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39; without it no lease could be trusted.
		panic("boottime: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return sumachead.BootTime(t.Nano()) * sumachead.BootTime(time.Nanosecond)
}
