package outbound

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// hopelessShare is the part of the usual duration of a route's calls below which the
// time left is too short: hardly one call in twenty ends so soon, and the others would
// only take slots from calls that can still be answered.
const hopelessShare = 0.4

// hopeless reports whether a call can hardly end in the time that is left. usual is 0
// when it is unknown.
func hopeless(left, usual time.Duration) bool {
	return left < time.Duration(hopelessShare*float64(usual))
}

var errHopeless = errors.New("the time left is much shorter than such calls take")

// urgentShare is the part of the remaining time that an urgent call may wait.
const urgentShare = 0.5

// The first offers of a call ask for a slot that is free now or about to be: the call
// does not wait at one endpoint while another one is idle. Then it waits at the least
// busy endpoint that it has asked.
const (
	stageFirst = iota
	stageSecond
	stageWait
	stageAny
)

// probeShare is the part of the route's target that an offer before stageWait may wait.
// It may also wait for as long as the way to another endpoint would take.
const probeShare = 0.05

// patience is how long the call may wait for a slot at the endpoint.
func (c *call) patience(e *endpoint) time.Duration {
	if !c.probing() {
		return c.fullPatience()
	}
	return min(c.fullPatience(), max(time.Duration(probeShare*float64(c.route.Target())), c.o.table.worthWaiting(e)))
}

// probing reports whether the next offer is one of those that do not wait.
func (c *call) probing() bool { return c.key == "" && c.stage < stageWait }

// fullPatience is how long the call may still wait for a slot. One of the least
// urgent that waits for longer misses its target and holds up those that could still
// meet theirs. A more urgent one passes them in the queue and may wait: what depends
// on it, such as a request that makes the call, would fail with it.
func (c *call) fullPatience() time.Duration {
	if !c.o.table.leastUrgent(c.cluster, c.route.Priority) {
		return max(time.Duration(urgentShare*float64(time.Until(c.deadline))), 0)
	}
	return max(time.Duration(c.o.s.WaitShare*float64(c.route.Target()))-time.Since(c.begin), 0)
}

// choose returns the endpoint of the next attempt, or nil.
func (c *call) choose(tried []*endpoint) (*endpoint, httpcall.Target) {
	if c.key != "" {
		return c.holder()
	}
	now := time.Now()
	if c.stage == stageFirst && len(tried) == 0 {
		if e, to := c.o.table.beside(c.cluster, c.route, c.o.classes.mean(c.route.Name), now); e != nil {
			return e, to
		}
	}
	if c.stage < stageWait {
		if e, to := c.pick(tried, now); e != nil {
			return e, to
		}
		c.stage = stageWait
	}
	if c.stage == stageWait {
		if e, to := c.o.table.leastLoaded(c.busy, now); e != nil {
			return e, to
		}
		c.stage = stageAny
	}
	return c.pick(tried, now)
}

// pick chooses among all endpoints that were not tried.
func (c *call) pick(tried []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	w := wish{organisation: c.route.Organisation, priority: c.route.Priority, tried: tried}
	// A call that found an endpoint of its zone busy asks another one there or waits; it
	// leaves the zone by the load of the zones, not by that of one endpoint.
	w.local = c.stage == stageSecond && len(c.busy) > 0 && c.o.table.local(c.busy[0])
	c.o.classes.spill(&w, c.route.Name)
	return c.o.table.pick(c.cluster, w, now)
}

// holder returns the primary holder of the claim of a keyed call.
func (c *call) holder() (*endpoint, httpcall.Target) {
	id := httpcall.ClaimID(c.route.Organisation, c.cluster.Service, c.key)
	primary, backup := httpcall.Holders(c.endpoints(), id)
	if primary == nil {
		return nil, httpcall.Target{}
	}
	c.call.Keyed = true
	if backup != nil {
		c.call.BackupNode, c.call.BackupAddress = backup.Node, backup.Address
	}
	return c.o.table.named(c.cluster.Service, primary.Node, time.Now())
}

// noRoom takes what a rejection tells of the endpoint's load.
func (c *call) noRoom(e *endpoint, f *httpcall.Failure) {
	now := time.Now()
	if f.HasLoad {
		c.o.table.measured(e, f.Load, now)
	}
	if f.Reason == httpcall.ReasonUpstream {
		// The call was at this upstream. A second refusal by it could be a copy of the
		// first one, so the call does not wait there again.
		c.busy = slices.DeleteFunc(c.busy, func(b *endpoint) bool { return b.Node == e.Node })
		return
	}
	if f.Reason != httpcall.ReasonWait && f.Reason != httpcall.ReasonFull {
		return
	}
	if c.probing() {
		c.busy = append(c.busy, e)
	} else {
		c.o.table.full(e, c.route.Organisation, c.route.Priority, now)
	}
	c.stage++
}
