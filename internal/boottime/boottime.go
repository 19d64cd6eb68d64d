// Package boottime reads the clock that goes on while the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"

	"sumachead"
)

// Clock is the kernel's CLOCK_BOOTTIME. It implements sumachead.Clock; the zero value is
// ready.
type Clock struct{}

// Now implements sumachead.Clock.
func (Clock) Now() sumachead.BootTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has it since 2.6.39; without it no lease could be trusted.
		panic("boottime: the kernel does not tell the time since its start: " + err.Error())
	}
	return sumachead.BootTime(t.Nano()) * sumachead.BootTime(time.Nanosecond)
}
