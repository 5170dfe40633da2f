package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Parameters of endpoint selection.
const (
	// loadMaxAge is the age from which a reported load is ignored.
	loadMaxAge = 2 * time.Second
	// crossZoneScoreFactor is how many times higher the score of the best local endpoint must be
	// before a call leaves the zone. Its load must also exceed the route's spill load.
	crossZoneScoreFactor = 1.5
	// reportMaxAge is the age from which a report on an endpoint is ignored.
	reportMaxAge = 5 * time.Second
	// freshLoadMaxAge is the age up to which a load received with a response takes precedence over
	// the mean load reported by the fleet.
	freshLoadMaxAge = 300 * time.Millisecond
	// ownSlownessFactor is how many times the reported slowness this node's own measurement must
	// reach to replace it.
	ownSlownessFactor = 3
	// minSlowStartWeight is the weight of an endpoint at the start of its slow start.
	minSlowStartWeight = 0.1
	// endpointSmoothingFactor is the weight of a new sample in the moving averages of an endpoint.
	endpointSmoothingFactor = 0.1
	// baseLoadCost and queueingLoadCost are the relative increase of a call's duration per unit of
	// load, over the whole range and additionally above queueingLoad. The reported load is slightly
	// old and the slots are few, so queueing begins well below a load of 1.
	baseLoadCost, queueingLoadCost = 0.3, 4
	queueingLoad                   = 0.6
	// loadSmoothingFactor is the weight of a newly reported load in the moving average: with about
	// nine slots, a single report is too noisy.
	loadSmoothingFactor = 0.5
	// One in exploreOneIn calls goes to a random endpoint, so that new endpoints and those
	// that were slow are tried again.
	exploreOneIn = 50
	// failurePenalty is the relative increase of the score of an endpoint that fails every
	// call.
	failurePenalty = 8
	// minSlowness and maxSlowness bound the relative duration of an endpoint's calls.
	minSlowness, maxSlowness = 0.4, 8
	// maxFullScan is the number of endpoints up to which all are compared. From larger sets an
	// endpoint is selected at random by weight.
	maxFullScan = 8
	// loadAfterRejection is the least load assumed for an endpoint that has just rejected a call.
	loadAfterRejection = 2
	// fullPauseLocal and fullPauseRemote are how long an endpoint without free capacity is skipped,
	// in this node's zone and in other zones, where each offer costs traffic between zones.
	fullPauseLocal  = 25 * time.Millisecond
	fullPauseRemote = 250 * time.Millisecond
	// An ejection lasts baseEjectionTime, doubled with each consecutive one up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// leavingPause is how long an endpoint that rejected a call because it is shutting down
	// is avoided. By then its record normally shows the new state.
	leavingPause = 5 * time.Second
)

// balancer balances calls over the endpoints of one service. It is not safe for concurrent use.
type balancer struct {
	zone string
	// source is the endpoint set that endpoints was built from.
	source    *resource.EndpointSet
	endpoints []*endpoint
	// digest identifies source; 0 until it is first needed.
	digest uint64
	// lastCall is the time of the last call to the service.
	lastCall time.Time
	// zones holds the zone loads computed from the fleet's reports.
	zones zoneLoads
	// localCandidates and remoteCandidates are scratch space of pick.
	localCandidates, remoteCandidates []*endpoint
}

// updateEndpoints replaces the endpoint set. Endpoints whose node, incarnation and address are
// unchanged keep their statistics.
func (b *balancer) updateEndpoints(from *resource.EndpointSet, now time.Time) {
	if b.source == from {
		return
	}
	b.source, b.digest = from, 0
	old := map[string]*endpoint{}
	for _, e := range b.endpoints {
		old[e.Node] = e
	}
	list := make([]*endpoint, 0, len(from.Endpoints))
	for _, r := range from.Endpoints {
		e := old[r.Node]
		if e == nil || e.Incarnation != r.Incarnation || e.Address != r.Address {
			e = &endpoint{readySeenAt: now, ownSlowness: 1}
		} else if e.State != r.State && r.State == resource.StateReady {
			e.readySeenAt = now
		}
		e.Endpoint = r
		list = append(list, e)
	}
	b.endpoints = list
}

// pickOptions holds the requirements of a call on its endpoint.
type pickOptions struct {
	organisation string
	priority     int
	// tried lists the endpoints that must not be selected again.
	tried []*endpoint
	// spillLoad is the load of the best local endpoint above which the call may leave the zone.
	spillLoad float64
	// relativeBytes is the number of bytes per second of duration of the route's calls, relative to
	// all calls; 0 if unknown.
	relativeBytes float64
	// localOnly excludes the endpoints of other zones.
	localOnly bool
	// slowStart is the duration of the cluster's slow start.
	slowStart time.Duration
}

// pick selects a ready, untried endpoint with free capacity. It prefers endpoints that are
// neither stale nor avoided, then stale ones, then avoided ones, and returns nil if none is
// left. intn returns a random number below its argument.
func (b *balancer) pick(now time.Time, opts pickOptions, intn func(int) int) *endpoint {
	for _, tier := range [...]struct{ stale, avoided bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		b.localCandidates, b.remoteCandidates = b.localCandidates[:0], b.remoteCandidates[:0]
		for _, e := range b.endpoints {
			if e.State != resource.StateReady || e.Stale != tier.stale || e.isAvoided(now) != tier.avoided ||
				e.isFull(opts.organisation, opts.priority, now) || contains(opts.tried, e) {
				continue
			}
			if e.AvailabilityZone == b.zone {
				b.localCandidates = append(b.localCandidates, e)
			} else if !opts.localOnly {
				b.remoteCandidates = append(b.remoteCandidates, e)
			}
		}
		if e := b.pickAcrossZones(now, &opts, intn); e != nil {
			return e
		}
	}
	return nil
}

// pickAcrossZones selects between the best local and the best remote candidate. It prefers the
// local one unless that is clearly busier.
func (b *balancer) pickAcrossZones(now time.Time, opts *pickOptions, intn func(int) int) *endpoint {
	l, r := pickFrom(b.localCandidates, now, opts.slowStart, intn), pickFrom(b.remoteCandidates, now, opts.slowStart, intn)
	if l == nil || r == nil {
		if l != nil {
			return l
		}
		return r
	}
	if len(b.localCandidates) > maxFullScan {
		if b.shouldLeaveZone(now, opts.relativeBytes, intn) {
			return r
		}
		return l
	}
	if l.expectedLoad(now) > opts.spillLoad && l.score(now, opts.slowStart) > crossZoneScoreFactor*r.score(now, opts.slowStart) {
		return r
	}
	return l
}

// pickFrom returns the endpoint with the lowest score of a small list, or a random one by
// weight of a large list. All nodes have nearly the same data about the endpoints: if each of
// many nodes chose the best one, it would be overloaded before its reported load showed that.
func pickFrom(list []*endpoint, now time.Time, slowStart time.Duration, intn func(int) int) *endpoint {
	if len(list) == 0 {
		return nil
	}
	if len(list) > maxFullScan {
		return pickWeighted(list, now, slowStart, intn)
	}
	if e := list[intn(len(list))]; e.expectedLoad(now) < queueingLoad && intn(exploreOneIn) == 0 {
		return e
	}
	first := intn(len(list)) // a random start spreads calls over equal scores
	best, least := list[first], list[first].score(now, slowStart)
	for i := 1; i < len(list); i++ {
		e := list[(first+i)%len(list)]
		if v := e.score(now, slowStart); v < least {
			best, least = e, v
		}
	}
	return best
}

func contains(list []*endpoint, e *endpoint) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

// recordOutcome records the outcome of an attempt and reports whether it ejected the endpoint.
// ejectAfter is the number of consecutive failures that eject; 0 disables ejection.
func (b *balancer) recordOutcome(e *endpoint, o Outcome, ejectAfter int, now time.Time) (ejected bool) {
	e.inflight--
	switch o {
	case OutcomeAnswer, OutcomeFailure, OutcomeUpstreamRejected:
		e.ownFailureRate += endpointSmoothingFactor * (oneIf(o != OutcomeAnswer) - e.ownFailureRate)
	case OutcomeBusy:
		e.load, e.loadAt = max(e.load, loadAfterRejection), now
	}
	switch o {
	case OutcomeAnswer:
		e.consecutiveFailures, e.consecutiveEjections, e.leavingUntil = 0, 0, time.Time{}
	case OutcomeFailure:
		e.consecutiveFailures++
	case OutcomeRefused:
		e.consecutiveFailures = max(e.consecutiveFailures+1, ejectAfter)
	case OutcomeLeaving:
		e.leavingUntil = now.Add(leavingPause)
	}
	failed := o == OutcomeFailure || o == OutcomeRefused
	if !failed || ejectAfter <= 0 || e.consecutiveFailures < ejectAfter || now.Before(e.ejectedUntil) || !b.canEject(now) {
		return false
	}
	e.ejectedUntil = now.Add(min(baseEjectionTime<<min(e.consecutiveEjections, 8), maxEjectionTime))
	e.consecutiveEjections++
	// After the ejection a single failure ejects again.
	e.consecutiveFailures = ejectAfter - 1
	return true
}

// canEject reports whether one more endpoint may be ejected. At least half of the set stays:
// a fault that only this node sees, such as its own broken network, must not empty the set.
func (b *balancer) canEject(now time.Time) bool {
	n := 1
	for _, e := range b.endpoints {
		if now.Before(e.ejectedUntil) {
			n++
		}
	}
	return 2*n <= len(b.endpoints)
}

// leavingAddresses returns the addresses that no longer accept calls. It examines only sets that
// have changed, since a change in a large fleet usually leaves most services as they were.
func leavingAddresses(before, after map[string]*resource.EndpointSet) map[string]bool {
	var addresses map[string]bool
	for name, old := range before {
		next := after[name]
		if next == old {
			continue
		}
		if addresses == nil {
			addresses = map[string]bool{}
		}
		for i := range old.Endpoints {
			addresses[old.Endpoints[i].Address] = true
		}
		if next == nil {
			continue
		}
		for i := range next.Endpoints {
			if state := next.Endpoints[i].State; state != resource.StateDraining && state != resource.StateGone {
				delete(addresses, next.Endpoints[i].Address)
			}
		}
	}
	return addresses
}
