package outbound

import (
	"math"
	"sync"
	"time"
)

const (
	// maxRetryAfterFraction is the greatest fraction of the time left until the deadline that the caller is to wait.
	maxRetryAfterFraction = 1.0 / 3
	// unknownWait is the wait until capacity is expected if no endpoint has stated it. Within it, the slots of a usual
	// endpoint have run a few calls each.
	unknownWait = 150 * time.Millisecond
	// earlySpread is the fraction of the wait over which callers are spread that return as soon as capacity is expected, and
	// lateSpread the fraction of the time left over which the others are.
	earlySpread, lateSpread = 0.5, 0.1
	// From maxEarlyRefused on, the fraction of refused calls is so high that a call which returns early is probably refused
	// again.
	maxEarlyRefused = 0.7
	// refusalTimeConstant is the time constant of the fraction of refused calls.
	refusalTimeConstant = time.Second
)

// orderedRetryAfter returns how long a caller should wait before it sends a refused call again. left is the time that it has
// left, and slack the part of it for which the call may wait and still meet its target. wait is the time until the endpoints
// are expected to have capacity for a call, and refused the fraction of the calls to the service that were refused lately.
// draw is a random number from 0 to 1, by which callers are spread.
//
// A call that can still meet its target returns when capacity is expected. Any other call has no haste: it returns as late as
// is permitted, since it would only displace calls that are in time.
func orderedRetryAfter(left, slack, wait time.Duration, refused, draw float64) time.Duration {
	if wait <= 0 {
		wait = unknownWait
	}
	var d time.Duration
	if wait <= slack && refused < maxEarlyRefused {
		d = time.Duration((1 - earlySpread*draw) * float64(wait))
	} else {
		d = time.Duration((maxRetryAfterFraction - lateSpread*draw) * float64(left))
	}
	return max(min(max(d, minRetryAfter), time.Duration(maxRetryAfterFraction*float64(left))), 0)
}

// refusals holds the fraction of refused calls by service. The zero value is ready to use; it is safe for concurrent use.
type refusals struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu        sync.Mutex
	byService map[string]refusalCounts
}

// refusalCounts counts calls and refused calls over refusalTimeConstant.
type refusalCounts struct {
	calls, refused float64
	at             time.Time
}

// observe counts a call and returns the fraction of refused ones.
func (r *refusals) observe(service string, refused bool, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byService[service]
	decay := math.Exp(-max(now.Sub(c.at), 0).Seconds() / refusalTimeConstant.Seconds())
	c.calls, c.refused, c.at = c.calls*decay+1, c.refused*decay+boolToFloat(refused), now
	if r.byService == nil || len(r.byService) >= maxTrackedRoutes {
		r.byService = map[string]refusalCounts{}
	}
	r.byService[service] = c
	// One more call counts as served, so that a single refusal after a quiet time is no overload.
	return c.refused / (c.calls + 1)
}
