package inbound

import (
	"sync/atomic"
	"time"
)

// estimate follows the shortest runs of the upstream. It is safe for concurrent use.
type estimate struct {
	least atomic.Int64 // nanoseconds; 0 when unknown
	last  atomic.Int64 // Unix nanoseconds of the last observation
}

// estimateHalf is the time in which an estimate without observations halves. An
// estimate from a slow time would otherwise refuse every call for ever, as a
// refused call is never observed.
const estimateHalf = time.Second

// observe takes the duration of an answered call.
func (e *estimate) observe(d time.Duration, now time.Time) {
	old := e.at(now)
	if old == 0 || d < old {
		old = d
	} else {
		old += (d - old) / 64
	}
	e.least.Store(int64(old))
	e.last.Store(now.UnixNano())
}

// at is the estimate at a time.
func (e *estimate) at(now time.Time) time.Duration {
	halves := (now.UnixNano() - e.last.Load()) / int64(estimateHalf)
	if halves > 40 {
		return 0
	}
	return time.Duration(e.least.Load() >> max(halves, 0))
}
