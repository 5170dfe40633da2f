package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Parameters of the preference for the colocated endpoint, whose upstream this node serves.
const (
	// colocatedMinRTT is the lowest round-trip time to other nodes at which a call is first offered
	// to the colocated endpoint. On slow links, each call between nodes also delays other calls:
	// the median round-trip time was 45 ms on links of 1.25 Mbit/s. On fast links, selection by
	// speed and load gains more than the round trip costs.
	colocatedMinRTT = 5 * time.Millisecond
	// colocatedMaxSlowness is the duration of the colocated endpoint's calls, relative to that at
	// other endpoints, at and above which the endpoint is not preferred.
	colocatedMaxSlowness = 2.5
	// colocatedUsualSlowness is the duration of the colocated endpoint's calls, relative to that at
	// other endpoints, below which the endpoint counts as about as fast as the others. It is then
	// preferred whatever the target latency of the route.
	colocatedUsualSlowness = 1.2
	// From colocatedUsualSlowness on, the colocated endpoint is preferred only if the expected
	// duration of a call is at most colocatedTargetFraction of the route's target latency, or if
	// the route has no target. With a long target or short calls, slow endpoints serve as well as
	// fast ones.
	colocatedTargetFraction = 0.8
	// colocatedMaxFailureRate is the failure rate at and above which the colocated endpoint is not
	// preferred.
	colocatedMaxFailureRate = 0.05
	// remoteWaitRTTs is the number of round-trip times that a call may wait for a slot at another
	// node's endpoint before it is offered elsewhere. colocatedWaitRTTs is that number for the
	// colocated endpoint. Calls wait because each further offer delays other calls on the network.
	// Waits of two and four times these lengths brought no further gain.
	remoteWaitRTTs, colocatedWaitRTTs = 2, 5
)

// observeRTT records the network round-trip time of a call to an endpoint. It ignores calls to the
// colocated endpoint.
func (t *table) observeRTT(e *endpoint, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Node != t.nodeName {
		t.meanRTT += time.Duration(endpointSmoothingFactor * float64(max(rtt, 0)-t.meanRTT))
	}
}

// smoothedRTT returns the moving average of the round-trip time to other nodes.
func (t *table) smoothedRTT() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meanRTT
}

// breakEvenWait returns how long a call may wait for a slot at the endpoint until an offer to
// another endpoint is the cheaper choice.
func (t *table) breakEvenWait(e *endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Node == t.nodeName {
		return colocatedWaitRTTs * t.meanRTT
	}
	return remoteWaitRTTs * t.meanRTT
}

// pickColocated selects the colocated endpoint and counts the attempt as in flight. It returns nil
// if the network is fast or the endpoint is not preferred. mean is the mean duration of the
// route's calls; 0 if unknown.
func (t *table) pickColocated(c *resource.Cluster, r *resource.Route, mean time.Duration, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.meanRTT < colocatedMinRTT {
		return nil, httpcall.Target{}
	}
	b := t.balancerFor(c.Service, now)
	b.lastCall = now
	for _, e := range b.endpoints {
		if e.Node == t.nodeName && t.mayUseColocated(c.Service, e) && e.isPreferred(r, time.Duration(c.SlowStartMillis)*time.Millisecond, mean, now) {
			return t.startAttempt(e)
		}
	}
	return nil, httpcall.Target{}
}

// isPreferred reports whether a call of the route is offered to the colocated endpoint before
// others.
func (e *endpoint) isPreferred(r *resource.Route, slowStart, mean time.Duration, now time.Time) bool {
	if e.State != resource.StateReady || e.Stale || e.isAvoided(now) || e.isFull(r.Organisation, r.Priority, now) {
		return false
	}
	if e.slowStartWeight(now, slowStart) < 1 || e.expectedFailureRate(now) >= colocatedMaxFailureRate || e.consecutiveFailures > 0 {
		return false
	}
	slowdown := e.slowdown(now)
	if slowdown < colocatedUsualSlowness || r.Target() == 0 {
		return slowdown < colocatedMaxSlowness
	}
	return slowdown < colocatedMaxSlowness && slowdown*float64(mean) <= colocatedTargetFraction*float64(r.Target())
}
