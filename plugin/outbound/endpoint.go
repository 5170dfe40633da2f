package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Outcome is the result of an attempt as far as it concerns the endpoint.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswer is a complete response with any status.
	OutcomeAnswer Outcome = iota
	// OutcomeFailure is a broken connection or a timeout.
	OutcomeFailure
	// OutcomeRefused is an unreachable endpoint or upstream. A single one ejects the endpoint.
	OutcomeRefused
	// OutcomeBusy is a rejection for lack of capacity; it does not count as a failure.
	OutcomeBusy
	// OutcomeLeaving is a rejection because the endpoint is shutting down or its upstream was
	// replaced by another one.
	OutcomeLeaving
	// OutcomeUpstreamRejected is a rejection by the upstream itself, which did not run the call.
	OutcomeUpstreamRejected
	// OutcomeNeutral says nothing about the endpoint: the caller failed or gave up.
	OutcomeNeutral
)

// endpoint is an endpoint with this node's measurements of it and the reports of its node.
type endpoint struct {
	// node is the node of the endpoint. It never changes, so it may be read without the table's
	// lock. The embedded record may be replaced at any time while the lock is not held.
	node string
	resource.Endpoint
	// inflight is the number of this node's attempts in progress.
	inflight int
	// load is the latest known load, as of loadAt; 1 means that all slots are in use.
	load   float64
	loadAt time.Time
	// readySeenAt is when this node first saw the endpoint ready.
	readySeenAt time.Time
	// ownSlowness is the moving average of the duration of this node's calls relative to the mean
	// of their route.
	ownSlowness float64
	// reportedSlowness is the duration of calls relative to that at other endpoints, as last
	// reported by the endpoint's node. It excludes time in queues and on the network.
	reportedSlowness float64
	// reportedLoad is the load in the same report, a mean over one second.
	reportedLoad float64
	// reportedFailureRate is the failure rate of the calls of all nodes to the endpoint, minus the
	// rate that is usual at the other endpoints.
	reportedFailureRate float64
	reportedAt          time.Time
	// stated is what the endpoint's node has stated with its last response.
	stated statedWork
	// ownFailureRate is the moving average of the failure rate of this node's calls.
	ownFailureRate      float64
	consecutiveFailures int
	// pickWeight is the weight that the current call of pickWeighted has computed.
	pickWeight           float64
	consecutiveEjections int
	ejectedUntil         time.Time
	leavingUntil         time.Time
	// fullUntil holds, by organisation and priority, the time until which this node assumes that
	// calls of the organisation with that or a less urgent priority would be rejected for lack of
	// capacity. Organisations are kept apart because each has its own queue at the endpoint.
	fullUntil map[string]*[priorityCount]time.Time
}

// priorityCount is the number of priorities that fullUntil distinguishes. Less urgent priorities
// count as the last one.
const priorityCount = 4

// isFull reports whether a call of the organisation and priority is expected to be rejected for lack
// of capacity.
func (e *endpoint) isFull(organisation string, priority int, now time.Time) bool {
	full := e.fullUntil[organisation]
	if full == nil {
		return false
	}
	for p := 0; p <= min(priority, priorityCount-1); p++ {
		if now.Before(full[p]) {
			return true
		}
	}
	return false
}

// markFull records that a call was rejected for lack of capacity. An endpoint in the given zone,
// that of this node, is tried again sooner, since an offer within the zone costs little.
func (e *endpoint) markFull(organisation string, priority int, zone string, now time.Time) {
	pause := fullPauseRemote
	if e.AvailabilityZone == zone {
		pause = fullPauseLocal
	}
	full := e.fullUntil[organisation]
	if full == nil {
		if len(e.fullUntil) >= maxOrganisations || e.fullUntil == nil {
			e.fullUntil = map[string]*[priorityCount]time.Time{}
		}
		full = &[priorityCount]time.Time{}
		e.fullUntil[organisation] = full
	}
	full[min(max(priority, 0), priorityCount-1)] = now.Add(pause)
}

// maxOrganisations bounds the number of organisations with recorded rejections; the records
// are cleared beyond that.
const maxOrganisations = 64

// slowStartWeight returns the fraction of its usual calls that an endpoint gets during its slow
// start; 1 afterwards. Its age counts from when it became ready by its node's clock, or from when
// this node first saw it ready if that gives a higher age: otherwise an endpoint whose clock is
// ahead would stay in slow start.
func (e *endpoint) slowStartWeight(now time.Time, slowStart time.Duration) float64 {
	if slowStart <= 0 {
		return 1
	}
	age := max(now.Sub(time.UnixMilli(e.ReadySince)), now.Sub(e.readySeenAt))
	return min(1, max(minSlowStartWeight, float64(age)/float64(slowStart)))
}

// expectedLoad returns the load of the endpoint with one more call; 1 means that all slots are in
// use. The last reported load includes the calls of other nodes; this node's calls since then
// are counted only in inflight.
func (e *endpoint) expectedLoad(now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	v := float64(e.inflight+1) / slots
	if now.Sub(e.loadAt) < loadMaxAge {
		v = max(v, e.load+1/slots)
	}
	return v
}

// score returns the expected duration of one more call relative to that at an idle endpoint of
// average speed, with penalties for failures and during the slow start. Up to queueingLoad, the
// speed matters most, so that fast endpoints are used first; above it, calls begin to queue.
func (e *endpoint) score(now time.Time, slowStart time.Duration) float64 {
	load := e.expectedLoad(now)
	v := 1 + baseLoadCost*load + queueingLoadCost*max(load-queueingLoad, 0)
	v *= e.slowdown(now)
	return v/e.slowStartWeight(now, slowStart)*(1+failurePenalty*e.expectedFailureRate(now)) + float64(e.consecutiveFailures)
}

// slowdown returns the expected duration of a call relative to that at other endpoints. It prefers
// the report of the endpoint's node, which covers the calls of all nodes. This node's own
// measurement counts if there is no recent report or if its calls are much slower than reported,
// as with a fault that only some callers see.
func (e *endpoint) slowdown(now time.Time) float64 {
	own := e.ownSlowness
	if own <= 0 {
		own = 1
	}
	if now.Sub(e.reportedAt) < reportMaxAge && own < ownSlownessFactor*e.reportedSlowness {
		own = e.reportedSlowness
	}
	return min(max(own, minSlowness), maxSlowness)
}

// expectedFailureRate returns the failure rate that this node has measured, or the reported one if
// that is higher and its age is below reportMaxAge.
func (e *endpoint) expectedFailureRate(now time.Time) float64 {
	if now.Sub(e.reportedAt) < reportMaxAge {
		return max(e.ownFailureRate, e.reportedFailureRate)
	}
	return e.ownFailureRate
}

// isAvoided reports whether the endpoint is ejected, or rejected a call within leavingPause because
// it is shutting down.
func (e *endpoint) isAvoided(now time.Time) bool {
	return now.Before(e.ejectedUntil) || now.Before(e.leavingUntil)
}

// observeDuration records the duration of an answered call, divided by the mean of its route.
func (e *endpoint) observeDuration(relative float64) {
	e.ownSlowness += endpointSmoothingFactor * (min(relative, maxSlowness) - e.ownSlowness)
}

// boolToFloat returns 1 if b is true and 0 otherwise.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
