package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

const (
	// stopDurationFactor is the multiple of the mean duration of its route's calls that a call needs
	// until the end of the planned stop to be accepted.
	stopDurationFactor = 2.5
	// stopMargin is the part of the stop that is left for sending the response.
	stopMargin = 200 * time.Millisecond
)

// canEndBefore reports whether a call of the route that arrives now is expected to end before the
// planned stop does. Without a known mean duration, the call is assumed to take the whole timeout of
// its route. A call that is not expected to end is refused: it would be cut off while it runs, and
// some calls must not be repeated.
func canEndBefore(now, stopDeadline time.Time, r *resource.Route, mean time.Duration) bool {
	needed := r.Timeout()
	if mean > 0 {
		needed = min(needed, time.Duration(stopDurationFactor*float64(mean)))
	}
	return now.Add(needed + stopMargin).Before(stopDeadline)
}
