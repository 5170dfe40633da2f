// Package clock is the source of time of the kernel, so that tests can replace it.
package clock

import "time"

// Timer is a pending call made by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it had not yet started.
	Stop() bool
}

// Clock tells time and starts timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d.
	AfterFunc(d time.Duration, f func()) Timer
}

// System is the clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
