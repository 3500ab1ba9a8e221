// Package boottime reads CLOCK_BOOTTIME, the time since the start of the VM. Unlike the
// monotonic clock of package time, it also advances while the VM is suspended, so that a
// lease ends on time on a VM that was suspended.
//
// # Usage
//
//	end := boottime.Now() + leaseTime
//	...
//	if boottime.Now() >= end {
//		return errExpired
//	}
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the VM.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
