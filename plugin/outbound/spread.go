package outbound

import (
	"math"
	"time"
)

// Constants of the choice from a large set.
const (
	// steepIdle and steepBusy are the powers of the speed by which endpoints are
	// weighed when the set is idle and when it is busy. An idle set has its calls run
	// by the fast endpoints; in a busy one each endpoint is to be as busy as the others,
	// which is the case when its share follows its speed.
	steepIdle, steepBusy = 2.0, 1.0
	// idleLoad and fullLoad are the mean loads between which the power falls.
	idleLoad, fullLoad = 0.4, 0.9
	// weightSteps is the resolution of a draw.
	weightSteps = 1 << 20
	// drawnLoad is the load above which an endpoint's weight falls steeply: its queue
	// is long. Below it the load, which is a second old, moves the weight only little:
	// all nodes act on it at once.
	drawnLoad = 1.3
)

// drawn returns an endpoint of a list by weight.
func drawn(list []*endpoint, now time.Time, slow time.Duration, intn func(int) int) *endpoint {
	mean := 0.0
	for _, e := range list {
		mean += min(e.busy(now), 1) / float64(len(list))
	}
	idle := min(max((fullLoad-mean)/(fullLoad-idleLoad), 0), 1)
	steep := steepBusy + idle*(steepIdle-steepBusy)
	sum := 0.0
	for _, e := range list {
		e.share = e.drawWeight(now, slow, steep)
		sum += e.share
	}
	at := float64(intn(weightSteps)) / weightSteps * sum
	for _, e := range list {
		if at -= e.share; at < 0 {
			return e
		}
	}
	return list[len(list)-1]
}

// drawWeight is the endpoint's share of the draws, relative to others.
func (e *endpoint) drawWeight(now time.Time, slow time.Duration, steep float64) float64 {
	busy := e.busy(now)
	w := e.weight(now, slow) / math.Pow(e.slowFactor(now), steep) / (1 + busy)
	if busy > drawnLoad {
		w *= drawnLoad / busy
	}
	return w / (1 + failureWeight*e.failingShare(now) + float64(e.failures))
}

// zoneLoads are the mean loads of the endpoints of the own zone and of the others.
type zoneLoads struct {
	local, remote float64
	at            time.Time
}

// Constants of the calls that leave a zone with many endpoints.
const (
	// leaveLoad is the load that is left to the own zone.
	leaveLoad = 0.75
	// leaveGap is how much less busy other zones must be.
	leaveGap = 0.1
	// leaveMost bounds the part of the calls that leave, since the loads are those of
	// a moment ago and all nodes of the zone act on them.
	leaveMost = 0.4
	// bytesLeast bounds the relative bytes of a call by which its share is divided.
	bytesLeast = 0.5
)

// leaves draws whether a call leaves the zone: the part of the calls that the zone has
// too much does, and more of those that carry few bytes for their duration.
func (s *set) leaves(now time.Time, bytes float64, intn func(int) int) bool {
	z := &s.zones
	if now.Sub(z.at) >= loadTrust || z.local < leaveLoad || z.local < z.remote+leaveGap {
		return false
	}
	part := (z.local - max(leaveLoad, z.remote)) / z.local
	if bytes > 0 {
		part /= max(bytes, bytesLeast)
	}
	return float64(intn(weightSteps)) < min(part, leaveMost)*weightSteps
}

// observe works out the loads of the zones from the reports.
func (s *set) observe(now time.Time) {
	var local, remote, nLocal, nRemote float64
	for _, e := range s.list {
		if now.Sub(e.reported) >= reportTrust {
			continue
		}
		if e.AvailabilityZone == s.zone {
			local, nLocal = local+e.reportedLoad, nLocal+1
		} else {
			remote, nRemote = remote+e.reportedLoad, nRemote+1
		}
	}
	if nLocal > 0 && nRemote > 0 {
		s.zones = zoneLoads{local: local / nLocal, remote: remote / nRemote, at: now}
	}
}
