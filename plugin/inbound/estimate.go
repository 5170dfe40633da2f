package inbound

import (
	"sync/atomic"
	"time"
)

// minRunEstimate tracks the shortest duration of calls at the upstream. It is safe for concurrent
// use.
type minRunEstimate struct {
	shortest   atomic.Int64 // nanoseconds; 0 when unknown
	observedAt atomic.Int64 // Unix nanoseconds of the last observation
}

// estimateHalfLife is the time after which an estimate has halved if there were no observations.
// If it did not decay, an estimate from a time when the upstream was slow could refuse every call
// forever, since refused calls are not observed.
const estimateHalfLife = time.Second

// observe updates the estimate by the duration of an answered call.
func (e *minRunEstimate) observe(d time.Duration, now time.Time) {
	updated := e.at(now)
	if updated == 0 || d < updated {
		updated = d
	} else {
		updated += (d - updated) / 64
	}
	e.shortest.Store(int64(updated))
	e.observedAt.Store(now.UnixNano())
}

// at returns the estimate at the time now.
func (e *minRunEstimate) at(now time.Time) time.Duration {
	halvings := (now.UnixNano() - e.observedAt.Load()) / int64(estimateHalfLife)
	if halvings > 40 {
		return 0
	}
	return time.Duration(e.shortest.Load() >> max(halvings, 0))
}
