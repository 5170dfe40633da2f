package outbound

import (
	"math"
	"time"
)

// Parameters of selection from a large set.
const (
	// The weight of an endpoint contains its speed raised to an exponent. In an idle set, the
	// exponent is idleSpeedExponent, so that the fast endpoints run most calls. In a busy set, it
	// is busySpeedExponent: the weight is then proportional to the speed, so that all endpoints are
	// equally loaded.
	idleSpeedExponent, busySpeedExponent = 2.0, 1.0
	// A set counts as idle up to a mean load of idleLoad, and as busy from fullLoad. Between the two,
	// the exponent decreases linearly.
	idleLoad, fullLoad = 0.4, 0.9
	// drawResolution is the number of distinct random values of a draw.
	drawResolution = 1 << 20
	// longQueueLoad is the load above which an endpoint's queue counts as long, and its weight
	// decreases steeply with the load. Below it, the load affects the weight only slightly, because
	// the reported load is up to a second old and all nodes react to it at once.
	longQueueLoad = 1.3
)

// pickWeighted selects a random candidate by weight.
func pickWeighted(candidates []*endpoint, now time.Time, slowStart time.Duration, intn func(int) int) *endpoint {
	mean := 0.0
	for _, e := range candidates {
		mean += min(e.expectedLoad(now), 1) / float64(len(candidates))
	}
	idle := min(max((fullLoad-mean)/(fullLoad-idleLoad), 0), 1)
	exponent := busySpeedExponent + idle*(idleSpeedExponent-busySpeedExponent)
	sum := 0.0
	for _, e := range candidates {
		e.pickWeight = e.selectionWeight(now, slowStart, exponent)
		sum += e.pickWeight
	}
	at := float64(intn(drawResolution)) / drawResolution * sum
	for _, e := range candidates {
		if at -= e.pickWeight; at < 0 {
			return e
		}
	}
	return candidates[len(candidates)-1]
}

// selectionWeight returns the weight of the endpoint in a random selection. exponent is that of the
// endpoint's speed.
func (e *endpoint) selectionWeight(now time.Time, slowStart time.Duration, exponent float64) float64 {
	load := e.expectedLoad(now)
	w := e.slowStartWeight(now, slowStart) / math.Pow(e.slowdown(now), exponent) / (1 + load)
	if load > longQueueLoad {
		w *= longQueueLoad / load
	}
	return w / (1 + failurePenalty*e.expectedFailureRate(now) + float64(e.consecutiveFailures))
}

// zoneLoads holds the mean loads of the endpoints of this node's zone and of other zones.
type zoneLoads struct {
	local, remote float64
	computedAt    time.Time
}

// Parameters for sending calls out of a zone with many endpoints.
const (
	// minLeaveLoad is the load of the local zone below which no calls leave it.
	minLeaveLoad = 0.75
	// minZoneLoadGap is how much lower than the load of the local zone that of other zones must be
	// for calls to leave.
	minZoneLoadGap = 0.1
	// maxLeaveFraction bounds the fraction of calls that leave. A higher one could overload the other
	// zones, since the loads are slightly old and all nodes of the zone react to them.
	maxLeaveFraction = 0.4
	// The fraction of calls that leave is divided by the relative bytes of the route, which count as
	// at least minRelativeBytes.
	minRelativeBytes = 0.5
)

// shouldLeaveZone decides at random whether a call leaves the zone. The fraction of calls that
// leave is the excess load of the zone divided by its load. It is higher for calls that transfer
// fewer bytes per second of their duration than the mean of all routes, and lower for calls that
// transfer more.
func (b *balancer) shouldLeaveZone(now time.Time, relativeBytes float64, intn func(int) int) bool {
	z := &b.zones
	if now.Sub(z.computedAt) >= loadMaxAge || z.local < minLeaveLoad || z.local < z.remote+minZoneLoadGap {
		return false
	}
	fraction := (z.local - max(minLeaveLoad, z.remote)) / z.local
	if relativeBytes > 0 {
		fraction /= max(relativeBytes, minRelativeBytes)
	}
	return float64(intn(drawResolution)) < min(fraction, maxLeaveFraction)*drawResolution
}

// updateZoneLoads computes the zone loads from the reports on endpoints.
func (b *balancer) updateZoneLoads(now time.Time) {
	var local, remote, nLocal, nRemote float64
	for _, e := range b.endpoints {
		if now.Sub(e.reportedAt) >= reportMaxAge {
			continue
		}
		if e.AvailabilityZone == b.zone {
			local, nLocal = local+e.reportedLoad, nLocal+1
		} else {
			remote, nRemote = remote+e.reportedLoad, nRemote+1
		}
	}
	if nLocal > 0 && nRemote > 0 {
		b.zones = zoneLoads{local: local / nLocal, remote: remote / nRemote, computedAt: now}
	}
}
