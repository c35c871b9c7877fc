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

	"tarragondeal"
)

// Clock is the clock of the VM. Its zero value is ready for use, and makes a system call
// for each reading of Now.
type Clock struct{ boot *bootClock }

// New returns the clock of the VM.
func New() Clock { return Clock{boot: &bootClock{}} }

// Now returns the time since the VM booted, including the time suspended.
func (c Clock) Now() tarragondeal.Instant {
	if c.boot == nil {
		return readBoot()
	}
	return c.boot.now()
}

// Wall returns the wall clock time in UTC.
func (Clock) Wall() time.Time { return time.Now().UTC() }
