package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

const (
	// maxNestedOffers is the number of failed dispatches that did not reach an upstream after which a nested call fails.
	// It is above maxOffers because its failure wastes the work that was done for its parent.
	maxNestedOffers = 16
	// nestedPause is the pause of a nested call that all endpoints have rejected, before it is offered again. In that
	// time several slots of a busy service become free.
	nestedPause = 15 * time.Millisecond
)

// nestedWait returns how long a nested call may wait for a slot: all the time that it has, but for the time that it
// takes to run. left is the time until its deadline, mean the mean duration of its route's calls, which contains
// waiting times and is therefore taken for at most half of the time.
func nestedWait(left, mean time.Duration) time.Duration { return max(left-min(mean, left/2), 0) }

// mayAwaitCapacity reports whether a call that all endpoints rejected with f is offered again after a pause.
func mayAwaitCapacity(f *httpcall.Failure, nested bool, offers int, left, mean time.Duration) bool {
	isFull := f.Kind == httpcall.KindRejected && (f.Reason == httpcall.ReasonWaitTooLong || f.Reason == httpcall.ReasonQueueFull)
	return nested && isFull && offers < maxNestedOffers && left > nestedPause && !hasTooLittleTime(left-nestedPause, mean)
}

// awaitCapacity blocks until a nested call that was rejected with f may be offered to all endpoints again. It returns
// false if the call fails instead.
func (c *call) awaitCapacity(f *httpcall.Failure) bool {
	if c.key != "" || !mayAwaitCapacity(f, c.info.Nested, c.offers, time.Until(c.deadline), c.meanWork()) {
		return false
	}
	timer := time.NewTimer(nestedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.r.Context().Done():
		return false
	}
	c.stage, c.busy = stageFirst, c.busy[:0]
	return true
}

// maxOffers returns the number of failed dispatches that did not reach an upstream after which the call fails.
func (c *call) maxOffers() int {
	if c.info.Nested {
		return maxNestedOffers
	}
	return maxOffers
}

// relate finds out how the call is served: whether its order of service and its endpoint are chosen by the rules of its
// service, how old the request is, and for which request the upstream beside this node makes it, if any.
func (c *call) relate() {
	o := c.o
	if c.ordered, c.byCost = o.isOrdered(c.cluster.Service); c.ordered && c.timeout > 0 {
		c.earlier = o.timeouts.observe(c.route.Name, c.timeout)
	}
	if o.lineage != nil && c.id != "" {
		c.isRepeat = o.lineage.RecordCall(c.cluster.Name, c.id, c.startedAt)
		c.inheritFromParent()
	}
}

// inheritFromParent makes the call a nested one if the upstream beside this node makes it for a request that it runs.
// The call then has the priorities of that request, and is of no use after its deadline. Upstreams have no API keys, so a
// call with one is that of a client, whatever its ID.
func (c *call) inheritFromParent() {
	if !c.ordered || c.caller != nil {
		return
	}
	p, ok := c.o.lineage.BeginNested(c.id, c.cluster.Name, c.cluster.Service, c.startedAt)
	if !ok {
		return
	}
	c.info.Nested, c.info.TeamPriority, c.priority = true, p.TeamPriority, p.Priority
	c.earlier = 0
	if p.Deadline.Before(c.deadline) {
		c.deadline = p.Deadline
	}
}

// recordNested records the end of a nested call for the admission of requests like its parent. err is the error of the
// job of the call. A call that its upstream gave up says nothing about the cluster.
func (c *call) recordNested(err error) {
	if c.info.Nested && c.r.Context().Err() == nil {
		c.o.lineage.EndNested(c.cluster.Name, err == nil && !c.unserved, time.Now())
	}
}

// isUnserved reports whether a call that failed with f might have been served by a cluster with more capacity. Time-outs
// count, since some endpoints do not answer when they are full.
func isUnserved(f *httpcall.Failure) bool {
	return f.Kind != httpcall.KindCancelled && f.Kind != httpcall.KindRequestBody && f.Kind != httpcall.KindSlowBody &&
		!(f.Kind == httpcall.KindRejected && isFinal(f.Reason) && f.Reason != httpcall.ReasonExpired && f.Reason != httpcall.ReasonNestedCalls)
}

// isRefusedAgain reports whether two nodes have refused the call because the calls that it causes would fail.
func (c *call) isRefusedAgain(f *httpcall.Failure) bool {
	if f.Kind != httpcall.KindRejected || f.Reason != httpcall.ReasonNestedCallsHere {
		return false
	}
	again := c.refusedForNested
	c.refusedForNested = true
	return again
}

// isOrdered reports whether the order of service and the choice by cost are on for a service.
func (o *Outbound) isOrdered(service string) (ordered, byCost bool) {
	if !o.s.Ordering.IsOn(true) && !o.cost.IsOn(true) {
		return false, false
	}
	auto := o.view.Current().HasCallers() || o.table.reportsSlowdown(service)
	return o.s.Ordering.IsOn(auto), o.cost.IsOn(auto)
}

// reportsSlowdown reports whether upstreams of a service state their slowdown.
func (t *table) reportsSlowdown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.balancers[service]
	return b != nil && b.reportsSlowdown
}
