package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Constants of the choice of the endpoint beside the node.
const (
	// dearWay is the time on the way to other nodes from which a call is first offered
	// to the endpoint beside the node. Where links are narrow each call between nodes also
	// delays the others: 45 ms (p50) were seen on links of 1.25 Mbit/s. On fast links the
	// choice by speed and load gains more than the way costs.
	dearWay = 5 * time.Millisecond
	// besideSlowest is the relative duration of its calls from which the endpoint beside
	// the node has no precedence.
	besideSlowest = 2.5
	// besideUsual is the relative duration up to which an endpoint is as fast as others.
	besideUsual = 1.2
	// besideTarget is the part of a route's target that calls may take at a slower
	// endpoint for it to have precedence. Where the target is generous or the work short,
	// slow endpoints serve as well as fast ones.
	besideTarget = 0.8
	// besideFailing is the share of failing calls from which it has none.
	besideFailing = 0.05
	// offerWait and besideWait are how many times the way a call waits for a slot at
	// another endpoint and at the one beside the node, before it is offered elsewhere:
	// each further offer makes the way longer for other calls. Waits of twice and four
	// times as much gained nothing more.
	offerWait, besideWait = 2, 5
)

// travelled takes the time that a call spent on the way to an endpoint and back.
func (t *table) travelled(e *endpoint, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Node != t.node {
		t.way += time.Duration(observeWeight * float64(max(took, 0)-t.way))
	}
}

// travelTime returns the smoothed time on the way to other nodes and back.
func (t *table) travelTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.way
}

// worthWaiting is how long a wait at the endpoint costs less than another offer.
func (t *table) worthWaiting(e *endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Node == t.node {
		return besideWait * t.way
	}
	return offerWait * t.way
}

// beside returns the endpoint beside this node, counted as in flight, when a call is
// to be offered to it before others: the links are narrow, and nothing is known against
// the endpoint. usual is the usual duration of the route's calls; 0 when it is unknown.
func (t *table) beside(c *resource.Cluster, r *resource.Route, usual time.Duration, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.way < dearWay {
		return nil, httpcall.Target{}
	}
	s := t.set(c.Service, now)
	s.called = now
	for _, e := range s.list {
		if e.Node == t.node && e.precedes(r, time.Duration(c.SlowStartMillis)*time.Millisecond, usual, now) {
			return t.chosen(e)
		}
	}
	return nil, httpcall.Target{}
}

// precedes reports whether the endpoint beside the node is offered a call of the route
// before others.
func (e *endpoint) precedes(r *resource.Route, slowStart, usual time.Duration, now time.Time) bool {
	if e.State != resource.StateReady || e.Stale || e.avoided(now) || e.isFull(r.Organisation, r.Priority, now) {
		return false
	}
	if e.weight(now, slowStart) < 1 || e.failingShare(now) >= besideFailing || e.failures > 0 {
		return false
	}
	slow := e.slowFactor(now)
	if slow < besideUsual || r.Target() == 0 {
		return slow < besideSlowest
	}
	return slow < besideSlowest && slow*float64(usual) <= besideTarget*float64(r.Target())
}
