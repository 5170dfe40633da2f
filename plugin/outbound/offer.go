package outbound

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// minTimeFraction is the fraction of a route's mean call duration below which the time left is
// too short: fewer than one call in twenty finishes that fast, and the others would only
// occupy slots that calls with more time need.
const minTimeFraction = 0.4

// hasTooLittleTime reports whether a call is unlikely to finish in the time left. mean is the mean
// duration of such calls; 0 if unknown.
func hasTooLittleTime(left, mean time.Duration) bool {
	return left < time.Duration(minTimeFraction*float64(mean))
}

var errTooLittleTime = errors.New("the time left is much shorter than such calls take")

// urgentWaitFraction is the fraction of the remaining time that an urgent call may wait.
const urgentWaitFraction = 0.5

// Stages of the offers of a call. The first two offers need a slot that is free now or very
// soon, so that the call does not wait at one endpoint while another one is idle. Then the call
// waits at the least loaded endpoint that rejected it, and last at any untried one.
const (
	stageFirst = iota
	stageSecond
	stageWait
	stageAny
)

// probeWaitFraction is the fraction of the route's target that an offer before stageWait may wait.
// It may wait longer if an offer to another endpoint would take longer.
const probeWaitFraction = 0.05

// maxQueueWait returns how long the call may wait for a slot at the endpoint.
func (c *call) maxQueueWait(e *endpoint) time.Duration {
	if !c.isProbing() {
		return c.remainingQueueWait()
	}
	return min(c.remainingQueueWait(), max(time.Duration(probeWaitFraction*float64(c.route.Target())), c.o.table.breakEvenWait(e)))
}

// isProbing reports whether the next offer is one of the first, which wait only briefly.
func (c *call) isProbing() bool { return c.key == "" && c.stage < stageWait }

// remainingQueueWait returns how long the call may still wait for a slot. A call of the lowest
// priority that waits longer misses its target and delays calls that could still meet theirs. A
// more urgent call overtakes those in the queue and may wait longer: whatever depends on it,
// such as the request that made it, would fail with it.
func (c *call) remainingQueueWait() time.Duration {
	if !c.o.table.isLeastUrgent(c.cluster, c.route.Priority) {
		return max(time.Duration(urgentWaitFraction*float64(time.Until(c.deadline))), 0)
	}
	return max(time.Duration(c.o.s.WaitShare*float64(c.route.Target()))-time.Since(c.startedAt), 0)
}

// chooseEndpoint selects the endpoint of the next attempt; nil if there is none.
func (c *call) chooseEndpoint(tried []*endpoint) (*endpoint, httpcall.Target) {
	if c.key != "" {
		return c.chooseClaimHolder()
	}
	now := time.Now()
	if c.stage == stageFirst && len(tried) == 0 {
		if e, to := c.o.table.pickColocated(c.cluster, c.route, c.o.routeStats.meanDuration(c.route.Name), now); e != nil {
			return e, to
		}
	}
	if c.stage < stageWait {
		if e, to := c.pickUntried(tried, now); e != nil {
			return e, to
		}
		c.stage = stageWait
	}
	if c.stage == stageWait {
		if e, to := c.o.table.pickLeastLoaded(c.busy, now); e != nil {
			return e, to
		}
		c.stage = stageAny
	}
	return c.pickUntried(tried, now)
}

// pickUntried selects one of the untried endpoints.
func (c *call) pickUntried(tried []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	opts := pickOptions{organisation: c.route.Organisation, priority: c.route.Priority, tried: tried}
	// A call rejected by a busy local endpoint is offered to another local one, or waits.
	// Whether calls leave the zone depends on the load of the zones, not of one endpoint.
	opts.localOnly = c.stage == stageSecond && len(c.busy) > 0 && c.o.table.isLocal(c.busy[0])
	c.o.routeStats.setSpillLoad(&opts, c.route.Name)
	return c.o.table.pick(c.cluster, opts, now)
}

// chooseClaimHolder selects the endpoint that primarily holds the claim of a call with an
// Idempotency-Key.
func (c *call) chooseClaimHolder() (*endpoint, httpcall.Target) {
	id := httpcall.ClaimID(c.route.Organisation, c.cluster.Service, c.key)
	primary, backup := httpcall.SelectHolders(c.endpoints(), id)
	if primary == nil {
		return nil, httpcall.Target{}
	}
	c.call.Keyed = true
	if backup != nil {
		c.call.BackupNode, c.call.BackupAddress = backup.Node, backup.Address
	}
	return c.o.table.pickByNode(c.cluster.Service, primary.Node, time.Now())
}

// recordRejection records a rejection: the load it reports, and whether the endpoint lacks
// capacity.
func (c *call) recordRejection(e *endpoint, f *httpcall.Failure) {
	now := time.Now()
	if f.HasLoad {
		c.o.table.setLoad(e, f.Load, now)
	}
	if f.Reason == httpcall.ReasonUpstreamRejected {
		// The call reached this upstream. A second rejection by it could be a duplicate of the
		// first one, so the call does not wait there again.
		c.busy = slices.DeleteFunc(c.busy, func(b *endpoint) bool { return b.Node == e.Node })
		return
	}
	if f.Reason != httpcall.ReasonWaitTooLong && f.Reason != httpcall.ReasonQueueFull {
		return
	}
	if c.isProbing() {
		c.busy = append(c.busy, e)
	} else {
		c.o.table.markFull(e, c.route.Organisation, c.route.Priority, now)
	}
	c.stage++
}
