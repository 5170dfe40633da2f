// Package clock provides the time and timers of the kernel as an interface that tests can
// replace.
package clock

import "time"

// Timer is a call scheduled by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call. It returns false if the call has already started or been
	// canceled.
	Stop() bool
}

// Clock returns the time and starts timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// AfterFunc calls f in a new goroutine after d.
	AfterFunc(d time.Duration, f func()) Timer
}

// System is the Clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
