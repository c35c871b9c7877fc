package tdclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"tarragondeal"
)

const (
	// maxReadingAge is how long a reading of the boot clock is extended by the monotonic
	// clock, which needs no system call.
	maxReadingAge = 100 * time.Millisecond
	// suspendTolerance is how far the wall clock may move against the monotonic clock
	// since a reading. A suspension moves it, and so does a step of the wall clock.
	suspendTolerance = time.Millisecond
	// maxReadingTime bounds the time between the two clocks' readings: the process may
	// stand still between them.
	maxReadingTime = 50 * time.Microsecond
	// readingAttempts is how often they are read before the boot clock alone is used.
	readingAttempts = 3
)

// readBoot reads the boot clock of the system.
func readBoot() tarragondeal.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it no lease can be held
		// safely.
		panic("tdclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return tarragondeal.Instant(time.Duration(ts.Nano()))
}

// reading is the time by all clocks at about the same moment.
type reading struct {
	at   time.Time // Its monotonic clock counts.
	wall int64     // In nanoseconds since 1970.
	boot tarragondeal.Instant
}

// extend returns the boot time at a later moment, or false if the reading is too old for it
// or the system may have been suspended since.
func (r *reading) extend(now time.Time) (tarragondeal.Instant, bool) {
	elapsed := now.Sub(r.at)
	moved := time.Duration(now.UnixNano()-r.wall) - elapsed
	if elapsed < 0 || elapsed > maxReadingAge || max(moved, -moved) > suspendTolerance {
		return 0, false
	}
	return r.boot.Add(elapsed), true
}

// bootClock reads the boot clock with a system call from time to time only. It never goes
// back.
type bootClock struct {
	last   atomic.Pointer[reading]
	latest atomic.Int64
}

func (b *bootClock) now() tarragondeal.Instant {
	if r := b.last.Load(); r != nil {
		if now, ok := r.extend(time.Now()); ok {
			return b.advance(now)
		}
	}
	return b.advance(b.read())
}

func (b *bootClock) read() tarragondeal.Instant {
	for range readingAttempts {
		before := time.Now()
		boot := readBoot()
		if time.Since(before) <= maxReadingTime {
			b.last.Store(&reading{at: before, wall: before.UnixNano(), boot: boot})
			return boot
		}
	}
	return readBoot()
}

// advance returns now, or the latest time that was returned if that is later.
func (b *bootClock) advance(now tarragondeal.Instant) tarragondeal.Instant {
	for {
		latest := b.latest.Load()
		if int64(now) <= latest {
			return tarragondeal.Instant(latest)
		}
		if b.latest.CompareAndSwap(latest, int64(now)) {
			return now
		}
	}
}
