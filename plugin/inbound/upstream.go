package inbound

import (
	"context"
	"math"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

// upstreamSlots holds the slots of one upstream. A call keeps those that it was admitted to, so that it never runs at the
// upstream that replaces this one.
type upstreamSlots struct {
	upstream api.Upstream
	// pool has one worker for each slot.
	pool  *pool.Pool
	stats *upstreamStats
}

// upstreamStats holds what the calls of one upstream have shown. It is safe for concurrent use.
type upstreamStats struct {
	usage        usage
	minRun       minRunEstimate
	reportedLoad atomic.Uint64 // load that the upstream reported, as bits of a float64
	// slowdownPercent is the slowdown that the upstream last stated; 0 if it states none.
	slowdownPercent atomic.Int64
	work            upstreamWork
}

// load returns the load of the upstream: the higher one of its calls per slot and of the load that it last reported
// itself. The reported load is at most 1, since it may be late or wrong.
func (s *upstreamSlots) load() float64 {
	queued, running := s.pool.Len()
	callLoad := float64(queued+running) / float64(max(s.upstream.Slots, 1))
	return max(callLoad, math.Float64frombits(s.stats.reportedLoad.Load()))
}

// applyUpstream adopts the current upstream. Calls that wait for one that was replaced or has closed are rejected at once,
// since they can no longer run.
func (in *Inbound) applyUpstream() {
	for {
		u := in.announce.Upstream()
		if in.setUpstream(u) {
			in.client.CloseIdle(func(string) bool { return true })
		}
		// Changes may overlap: whoever has set the upstream last makes sure that it is still the current one.
		if in.announce.Upstream() == u {
			return
		}
	}
}

// setUpstream replaces the slots if they are not those of u, and reports whether it did. The calls that run in the old
// ones continue. Those that wait there continue only if u is the same upstream with another number of slots.
func (in *Inbound) setUpstream(u api.Upstream) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream == u {
		return false
	}
	old, isSame := in.current, in.upstream.Generation == u.Generation
	in.upstream, in.current = u, nil
	if old != nil {
		ctx, cancel := context.WithCancel(context.Background())
		if !isSame || u.Closed {
			cancel() // abandons the waiting calls
		}
		go func() {
			defer cancel()
			_ = old.pool.Stop(ctx) // its error only says that calls still run
		}()
	}
	closed := 0
	if u.Closed {
		closed = 1
	}
	in.c.Log.Log(evSlots).Str("upstream", u.ID).Str("service", u.Service).Int("slots", u.Slots).Int("closed", closed).Send()
	if u.Slots == 0 || u.Closed {
		return true
	}
	stats := &upstreamStats{}
	if isSame && old != nil {
		stats = old.stats
	}
	queue := newAdmission(u.Slots, u.Slots*in.s.QueuePerSlot, &stats.minRun)
	queue.work = &stats.work
	in.current = &upstreamSlots{upstream: u, stats: stats, pool: pool.New(pool.Options{
		Workers: u.Slots, Queue: queue,
		OnPanic: func(v any, stack []byte) { in.c.Fail(errors.Newf("call panicked: %v\n%s", v, stack)) },
	})}
	return true
}

// staleReason returns why the call may no longer be sent to the upstream that it was admitted for; "" if it may.
func (c *call) staleReason() string {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	switch u := c.in.upstream; {
	case u.Generation != c.slots.upstream.Generation:
		return httpcall.ReasonWrongUpstream
	case u.Closed:
		return httpcall.ReasonLeaving
	}
	return ""
}
