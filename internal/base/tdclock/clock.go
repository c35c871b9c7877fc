// Package tdclock reads the clocks of the VM.
//
// # Usage
//
//	clock := tdclock.New()
//	start := clock.Now()
//	elapsed := clock.Now().Sub(start)
//
// Now includes the time that the VM was suspended, so that a lease that expired
// during a suspension is recognised as expired.
package tdclock

import (
	"time"

	"golang.org/x/sys/unix"

	"tarragondeal"
)

// Clock is the clock of the VM. Its zero value is ready for use.
type Clock struct{}

// New returns the clock of the VM.
func New() Clock { return Clock{} }

// Now returns the time since the VM booted, including the time suspended.
func (Clock) Now() tarragondeal.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it no lease can be held
		// safely.
		panic("tdclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return tarragondeal.Instant(time.Duration(ts.Nano()))
}

// Wall returns the wall clock time in UTC.
func (Clock) Wall() time.Time { return time.Now().UTC() }
