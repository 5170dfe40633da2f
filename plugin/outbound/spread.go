package outbound

import (
	"math"
	"time"
)

// Parameters of selection from a large set.
const (
	// idleSpeedExponent and busySpeedExponent are the exponents of the speed in the weight of an
	// endpoint, for an idle and for a busy set. In an idle set the fast endpoints run most calls.
	// In a busy one all endpoints should be equally loaded, which holds if the weight is
	// proportional to the speed.
	idleSpeedExponent, busySpeedExponent = 2.0, 1.0
	// idleLoad and fullLoad are the mean loads between which the exponent decreases.
	idleLoad, fullLoad = 0.4, 0.9
	// drawResolution is the number of distinct random values of a draw.
	drawResolution = 1 << 20
	// longQueueLoad is the load above which an endpoint's queue is long and its weight decreases
	// steeply. Below it the load affects the weight only slightly: it is up to a second old,
	// and all nodes react to it at once.
	longQueueLoad = 1.3
)

// pickWeighted selects a random endpoint of the list by weight.
func pickWeighted(list []*endpoint, now time.Time, slowStart time.Duration, intn func(int) int) *endpoint {
	mean := 0.0
	for _, e := range list {
		mean += min(e.expectedLoad(now), 1) / float64(len(list))
	}
	idle := min(max((fullLoad-mean)/(fullLoad-idleLoad), 0), 1)
	exponent := busySpeedExponent + idle*(idleSpeedExponent-busySpeedExponent)
	sum := 0.0
	for _, e := range list {
		e.pickWeight = e.selectionWeight(now, slowStart, exponent)
		sum += e.pickWeight
	}
	at := float64(intn(drawResolution)) / drawResolution * sum
	for _, e := range list {
		if at -= e.pickWeight; at < 0 {
			return e
		}
	}
	return list[len(list)-1]
}

// selectionWeight returns the weight of the endpoint in random selection.
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
	at            time.Time
}

// Parameters for sending calls out of a zone with many endpoints.
const (
	// minLeaveLoad is the load of the local zone below which no calls leave it.
	minLeaveLoad = 0.75
	// minZoneLoadGap is how much lower the load of other zones must be.
	minZoneLoadGap = 0.1
	// maxLeaveFraction bounds the fraction of calls that leave, since the loads are slightly old
	// and all nodes of the zone react to them.
	maxLeaveFraction = 0.4
	// minRelativeBytes is the lower bound of the relative bytes by which that fraction is divided.
	minRelativeBytes = 0.5
)

// shouldLeaveZone decides at random whether a call leaves the zone. The fraction of calls that
// leave is the excess load of the zone; it is higher for calls with few bytes per second of
// duration.
func (b *balancer) shouldLeaveZone(now time.Time, relativeBytes float64, intn func(int) int) bool {
	z := &b.zones
	if now.Sub(z.at) >= loadMaxAge || z.local < minLeaveLoad || z.local < z.remote+minZoneLoadGap {
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
		b.zones = zoneLoads{local: local / nLocal, remote: remote / nRemote, at: now}
	}
}
