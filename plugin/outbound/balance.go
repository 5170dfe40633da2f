package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Parameters of endpoint selection.
const (
	// loadMaxAge is the age from which a reported load is ignored.
	loadMaxAge = 2 * time.Second
	// A call leaves the zone only if the score of the best local endpoint is more than
	// crossZoneScoreFactor times that of the best remote one, and the load of the local endpoint
	// exceeds the route's spill load.
	crossZoneScoreFactor = 1.5
	// reportMaxAge is the age from which a report on an endpoint is ignored.
	reportMaxAge = 5 * time.Second
	// freshLoadMaxAge is the age up to which a load received with a response takes precedence over
	// the mean load reported by the fleet.
	freshLoadMaxAge = 300 * time.Millisecond
	// This node's own measurement of an endpoint's slowness replaces the reported slowness if it is
	// at least ownSlownessFactor times as high.
	ownSlownessFactor = 3
	// minSlowStartWeight is the weight of an endpoint at the start of its slow start.
	minSlowStartWeight = 0.1
	// endpointSmoothingFactor is the weight of a new sample in the moving averages of an endpoint.
	endpointSmoothingFactor = 0.1
	// The expected relative duration of a call increases by baseLoadCost per unit of the endpoint's
	// load. Above queueingLoad, it increases by a further queueingLoadCost per unit. Queueing begins
	// well below a load of 1, because the reported load is slightly old and endpoints have few
	// slots.
	baseLoadCost, queueingLoadCost = 0.3, 4
	queueingLoad                   = 0.6
	// loadSmoothingFactor is the weight of a newly reported load in the moving average: with about
	// nine slots, a single report is too noisy.
	loadSmoothingFactor = 0.5
	// On average, one in callsPerExploration calls goes to a random endpoint, so that new endpoints
	// and those that were slow get calls too. An endpoint at queueingLoad or above is not chosen
	// this way.
	callsPerExploration = 50
	// failurePenalty is the relative increase of the score of an endpoint that fails every
	// call.
	failurePenalty = 8
	// The relative duration of an endpoint's calls counts as at least minSlowness and at most
	// maxSlowness.
	minSlowness, maxSlowness = 0.4, 8
	// maxFullScan is the largest number of candidates of which all are compared. From more
	// candidates, one is selected at random by weight.
	maxFullScan = 8
	// loadAfterRejection is the least load assumed for an endpoint that has just rejected a call.
	loadAfterRejection = 2
	// fullPauseLocal is how long an endpoint of this node's zone is skipped after it had no free
	// capacity. fullPauseRemote is that time for endpoints of other zones. It is longer because
	// each offer to them costs traffic between zones.
	fullPauseLocal  = 25 * time.Millisecond
	fullPauseRemote = 250 * time.Millisecond
	// The first ejection lasts baseEjectionTime. Each consecutive one lasts twice as long as the one
	// before, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// leavingPause is how long an endpoint is avoided after it rejected a call because it is
	// shutting down. By the end of the pause, its record normally shows the new state.
	leavingPause = 5 * time.Second
)

// balancer balances calls over the endpoints of one service. It is not safe for concurrent use.
type balancer struct {
	zone string
	// source is the endpoint set that endpoints was built from.
	source    *resource.EndpointSet
	endpoints []*endpoint
	// isVersioned is set if an endpoint has a version.
	isVersioned bool
	// digest identifies source; 0 until it is first needed.
	digest uint64
	// reportsSlowdown means that upstreams of the service state their slowdown, according to the fleet's reports.
	reportsSlowdown bool
	// lastCall is the time of the last call to the service.
	lastCall time.Time
	// zones holds the zone loads computed from the fleet's reports.
	zones zoneLoads
	// localCandidates and remoteCandidates are buffers that pick reuses.
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
	b.isVersioned = false
	list := make([]*endpoint, 0, len(from.Endpoints))
	for _, r := range from.Endpoints {
		e := old[r.Node]
		if e == nil || e.Incarnation != r.Incarnation || e.Address != r.Address {
			e = &endpoint{node: r.Node, readySeenAt: now, ownSlowness: 1}
		} else if e.State != r.State && r.State == resource.StateReady {
			e.readySeenAt = now
		}
		if r.Version == "" && e.Incarnation == r.Incarnation {
			r.Version = e.Version // the control instance does not know yet that the service has a roll-out
		}
		b.isVersioned = b.isVersioned || r.Version != ""
		e.Endpoint = r
		list = append(list, e)
	}
	b.endpoints = list
}

// pickOptions holds the requirements of a call on its endpoint.
type pickOptions struct {
	organisation string
	priority     int
	// tried lists the endpoints whose nodes must not be selected again.
	tried []*endpoint
	// spillLoad is the load of the best local endpoint above which the call may leave the zone.
	spillLoad float64
	// relativeBytes is the number of bytes that the route's calls transfer per second of their
	// duration, divided by the same figure for the calls of all routes; 0 if unknown.
	relativeBytes float64
	// localOnly excludes the endpoints of other zones.
	localOnly bool
	// nested marks a nested call, which is also offered to endpoints that have rejected other calls lately: it takes
	// the place of one of the calls that wait there.
	nested bool
	// byCost selects the endpoint by its expected finish. work is then the mean work of such calls; 0 if unknown.
	byCost bool
	work   time.Duration
	// slowStart is the duration of the slow start of the cluster's endpoints.
	slowStart time.Duration
	// accepts restricts the endpoints during a roll-out; nil accepts all.
	accepts func(e *endpoint) bool
}

// pick selects a ready, untried endpoint with free capacity, and returns nil if there is none. It
// prefers endpoints that are neither stale nor avoided, then stale ones, then avoided ones, and
// last those that are both. intn returns a random number below its argument.
func (b *balancer) pick(now time.Time, opts pickOptions, intn func(int) int) *endpoint {
	for _, tier := range [...]struct{ stale, avoided bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		b.localCandidates, b.remoteCandidates = b.localCandidates[:0], b.remoteCandidates[:0]
		for _, e := range b.endpoints {
			if e.State != resource.StateReady || e.Stale != tier.stale || e.isAvoided(now) != tier.avoided ||
				!opts.nested && e.isFull(opts.organisation, opts.priority, now) || contains(opts.tried, e) || opts.accepts != nil && !opts.accepts(e) {
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

// pickAcrossZones selects the best local or the best remote candidate. It prefers the local one
// unless this zone is clearly busier than the others.
func (b *balancer) pickAcrossZones(now time.Time, opts *pickOptions, intn func(int) int) *endpoint {
	l, r := pickFrom(b.localCandidates, now, opts, intn), pickFrom(b.remoteCandidates, now, opts, intn)
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

// pickFrom returns the candidate with the lowest score, or a random one by weight if there are more
// than maxFullScan. All nodes have nearly the same data about the endpoints: if each node of a
// large fleet chose the best endpoint, that endpoint would be overloaded before its reported load
// showed it.
func pickFrom(candidates []*endpoint, now time.Time, opts *pickOptions, intn func(int) int) *endpoint {
	if len(candidates) == 0 {
		return nil
	}
	slowStart := opts.slowStart
	if opts.byCost && len(candidates) > 1 {
		return pickByFinish(candidates, now, opts, intn)
	}
	if len(candidates) > maxFullScan {
		return pickWeighted(candidates, now, slowStart, intn)
	}
	if e := candidates[intn(len(candidates))]; e.expectedLoad(now) < queueingLoad && intn(callsPerExploration) == 0 {
		return e
	}
	first := intn(len(candidates)) // a random start spreads calls over equal scores
	best, least := candidates[first], candidates[first].score(now, slowStart)
	for i := 1; i < len(candidates); i++ {
		e := candidates[(first+i)%len(candidates)]
		if v := e.score(now, slowStart); v < least {
			best, least = e, v
		}
	}
	return best
}

// contains reports whether list has an endpoint on the node of e. It compares nodes, because the
// record of an endpoint is replaced when its upstream restarts.
func contains(list []*endpoint, e *endpoint) bool {
	for _, x := range list {
		if x.node == e.node {
			return true
		}
	}
	return false
}

// recordOutcome records the outcome of an attempt and reports whether the outcome ejected the
// endpoint. ejectAfter is the number of consecutive failures after which an endpoint is ejected; 0
// disables ejection.
func (b *balancer) recordOutcome(e *endpoint, o Outcome, ejectAfter int, now time.Time) (ejected bool) {
	e.inflight--
	switch o {
	case OutcomeAnswer, OutcomeFailure, OutcomeUpstreamRejected:
		e.ownFailureRate += endpointSmoothingFactor * (boolToFloat(o != OutcomeAnswer) - e.ownFailureRate)
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
	// After the ejection, a single failure ejects the endpoint again.
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

// leavingAddresses returns the addresses of the endpoints in before that are draining, gone or
// missing in after. It skips sets that have not changed, since a change in a large fleet usually
// leaves most services as they were.
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
