package outbound

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// A call is not dispatched if the time left is below minTimeFraction of the mean duration of its
// route's calls. Fewer than one call in twenty finishes that fast, and the others would only
// occupy slots that calls with more time need.
const minTimeFraction = 0.4

// hasTooLittleTime reports whether a call is unlikely to finish in the time left. mean is the mean
// duration of its route's calls; 0 if unknown.
func hasTooLittleTime(left, mean time.Duration) bool {
	return left < time.Duration(minTimeFraction*float64(mean))
}

var errTooLittleTime = errors.New("the time left is much shorter than such calls take")

// urgentWaitFraction is the fraction of the time left that a call above the lowest priority may wait
// in a queue.
const urgentWaitFraction = 0.5

// Stages of a call. Each offer of the call that is rejected for lack of capacity moves it to the
// next stage.
const (
	// stageFirst is the first offer. The endpoint rejects the call unless a slot is free or will be
	// very soon, so that the call does not wait at one endpoint while another one is idle.
	stageFirst = iota
	// stageSecond is the second offer, with the same short wait at another endpoint.
	stageSecond
	// stageWait lets the call wait at the least loaded of the endpoints that have rejected it.
	stageWait
	// stageAny lets the call wait at any untried endpoint.
	stageAny
)

// probeWaitFraction is the fraction of the route's target that a call may wait for a slot before
// stageWait. It may wait longer if an offer to another endpoint would cost more than that wait.
const probeWaitFraction = 0.05

// maxQueueWait returns how long the call may wait for a slot at the endpoint of the next offer.
func (c *call) maxQueueWait(e *endpoint) time.Duration {
	if !c.isProbing() {
		return c.remainingQueueWait()
	}
	return min(c.remainingQueueWait(), max(time.Duration(probeWaitFraction*float64(c.route.Target())), c.o.table.breakEvenWait(e)))
}

// isProbing reports whether the call may wait only briefly at its next endpoint. A call with an
// Idempotency-Key never probes, since only the holder of its claim can run it.
func (c *call) isProbing() bool { return c.key == "" && c.stage < stageWait }

// remainingQueueWait returns how long the call may still wait for a slot. For a call of the lowest
// priority, that is a fraction of its route's target: if it waited longer, it would miss its target
// and delay calls that could still meet theirs. A more urgent call overtakes such calls in the
// queue and may wait longer, because whatever depends on it, such as the request that made it,
// would fail with it.
func (c *call) remainingQueueWait() time.Duration {
	if c.info.Nested {
		return nestedWait(time.Until(c.deadline), c.meanWork())
	}
	if !c.o.table.isLeastUrgent(c.cluster, c.route.Priority) {
		if c.ordered && c.route.Target() > 0 {
			return orderedWait(time.Until(c.deadline), time.Since(c.startedAt)+c.earlier, c.route.Target(), c.meanWork())
		}
		return max(time.Duration(urgentWaitFraction*float64(time.Until(c.deadline))), 0)
	}
	return max(time.Duration(c.o.s.WaitShare*float64(c.route.Target()))-time.Since(c.startedAt), 0)
}

// chooseEndpoint selects the endpoint of the next attempt and counts the attempt as in flight; nil
// if there is none. It moves the call to the next stage if the current one has no endpoint.
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
		if e, to := c.o.table.pickEarliest(c.busy, c.estimateOptions(), now); e != nil {
			return e, to
		}
		c.stage = stageAny
	}
	return c.pickUntried(tried, now)
}

// pickUntried selects one of the untried endpoints.
func (c *call) pickUntried(tried []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	opts := pickOptions{organisation: c.route.Organisation, priority: c.route.Priority, tried: tried, nested: c.info.Nested}
	if c.byCost {
		opts.byCost, opts.work = true, c.meanWork()
	}
	// After a rejection by a busy local endpoint, the call is offered to another local one or waits.
	// Whether calls leave the zone depends on the loads of the zones, not on a single endpoint.
	opts.localOnly = c.stage == stageSecond && len(c.busy) > 0 && c.o.table.isLocal(c.busy[0])
	c.o.routeStats.setSpillLoad(&opts, c.route.Name)
	return c.o.table.pick(c.cluster, opts, now)
}

// chooseClaimHolder selects the endpoint that is the primary holder of the claim of a call with an
// Idempotency-Key, and adds the claim's backup holder to the call. It returns nil if there is no
// such endpoint.
func (c *call) chooseClaimHolder() (*endpoint, httpcall.Target) {
	id := httpcall.ClaimID(c.route.Organisation, c.cluster.Service, c.key)
	primary, backup := httpcall.SelectHolders(c.o.table.usableSet(c.endpoints()), id)
	if primary == nil {
		return nil, httpcall.Target{}
	}
	c.info.Keyed = true
	if backup != nil {
		c.info.BackupNode, c.info.BackupAddress = backup.Node, backup.Address
	}
	return c.o.table.pickByNode(c.cluster.Service, primary.Node, time.Now())
}

// recordRejection records the load that a rejection reports. If the endpoint rejected the call for
// lack of capacity, the call moves to its next stage.
func (c *call) recordRejection(e *endpoint, f *httpcall.Failure) {
	now := time.Now()
	if f.HasLoad {
		c.o.table.setLoad(e, f.Load, now)
	}
	if f.HasWork {
		c.o.table.observeWork(e, f.Work, now)
		if f.Work.Wait > 0 && (c.statedWait == 0 || f.Work.Wait < c.statedWait) {
			c.statedWait = f.Work.Wait
		}
	}
	if f.Reason == httpcall.ReasonSlowNow {
		c.busy = append(c.busy, e)
		c.stage++
		return
	}
	if f.Reason == httpcall.ReasonUpstreamRejected {
		// The call reached this upstream. If it were offered there again, a second rejection could
		// be a duplicate of the first one, so the call does not wait at this endpoint any more.
		c.busy = slices.DeleteFunc(c.busy, func(b *endpoint) bool { return b.node == e.node })
		return
	}
	if f.Reason == httpcall.ReasonNestedCallsHere {
		c.o.table.markFull(e, c.route.Organisation, c.route.Priority, now)
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
