// Package tdclock reads the clocks of a VM.
//
// # Usage
//
//	clock := tdclock.New()
//	start := clock.Now()
//	elapsed := clock.Now().Sub(start)
//
// Now counts the time that the VM spent suspended, so a lease that lapsed
// during a suspension is seen to have lapsed.
package tdclock

import (
	"time"

	"golang.org/x/sys/unix"

	"tarragondeal"
)

// Clock is the VM's own clock. Its zero value is ready for use.
type Clock struct{}

// New returns the VM's own clock.
func New() Clock { return Clock{} }

// Now returns the time since the VM booted, time suspended included.
func (Clock) Now() tarragondeal.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease
		// could be held safely.
		panic("tdclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return tarragondeal.Instant(time.Duration(ts.Nano()))
}

// Wall returns the wall clock time in UTC.
func (Clock) Wall() time.Time { return time.Now().UTC() }
