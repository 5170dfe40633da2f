package limiter

import "time"

// suspendStep is the smallest lead of the wall clock over the monotonic clock that counts as a time in which the machine was
// suspended. Clock corrections in operation are smaller.
const suspendStep = 100 * time.Millisecond

// Elapsed measures the time since its first reading for a holder of leases: a time during which the process was frozen or
// its machine suspended counts. The monotonic clock covers the first, the wall clock the second. A wall clock that is set
// forward makes the time too long, which ends leases early. The zero value is ready.
type Elapsed struct {
	last  time.Time
	total time.Duration
}

// Read returns the elapsed time at now, or at the latest reading if that was later. It is not safe for concurrent use.
func (e *Elapsed) Read(now time.Time) time.Duration {
	if !e.last.IsZero() {
		step := now.Sub(e.last)
		if step < 0 {
			return e.total // the reading was taken by another goroutine before the last one
		}
		if wall := now.Round(0).Sub(e.last.Round(0)); wall > step+suspendStep {
			step = wall
		}
		e.total += step
	}
	e.last = now
	return e.total
}
