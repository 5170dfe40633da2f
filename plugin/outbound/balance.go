package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Constants of the choice of an endpoint.
const (
	// loadTrust is the age at which a reported load is no longer used.
	loadTrust = 2 * time.Second
	// An endpoint of another zone is taken only when the own zone's is busier than
	// the route allows and busier than the other one by the factor zoneFactor.
	zoneFactor = 1.5
	// reportTrust is the age at which a reported slowness is no longer used.
	reportTrust = 5 * time.Second
	// loadFresh is the age up to which a load that came with an answer is preferred
	// to the mean that the fleet reports.
	loadFresh = 300 * time.Millisecond
	// ownSlow is how much slower than reported the own calls must be to count.
	ownSlow = 3
	// leastWeight is the share of a cold endpoint at the begin of its slow start.
	leastWeight = 0.1
	// observeWeight is the part of a new observation in the smoothed figures of an
	// endpoint.
	observeWeight = 0.1
	// busyIdle and busyWait are the parts of a call's duration that the load adds
	// below and above busyFrom. The reported load is that of a moment ago and the
	// slots are few, so waiting begins well below a load of 1.
	busyIdle, busyWait = 0.3, 4
	busyFrom           = 0.6
	// loadWeight is the part of a newly reported load in the smoothed one: a single
	// report of nine slots says little.
	loadWeight = 0.5
	// exploreShare is the part of the calls that go to an endpoint drawn at random,
	// so that new ones and those that were slow are tried again.
	exploreShare = 50
	// failureWeight multiplies the score of an endpoint that fails every call.
	failureWeight = 8
	// slowLeast and slowMost bound the effect of an endpoint's relative duration.
	slowLeast, slowMost = 0.4, 8
	// wholeSet is the number of endpoints up to which all are compared; from larger
	// sets one is drawn by weight.
	wholeSet = 8
	// busyLoad is the load assumed of an endpoint that has just rejected a call.
	busyLoad = 2
	// fullLocal and fullRemote are the pauses after a rejection for lack of room, in
	// the own zone and in others, where each offer costs bytes between zones.
	fullLocal  = 25 * time.Millisecond
	fullRemote = 250 * time.Millisecond
	// An ejection lasts ejectBase, doubled with each one in a row up to ejectMost.
	ejectBase = time.Second
	ejectMost = 30 * time.Second
	// leavingTime is how long an endpoint that rejected a call because it leaves is
	// avoided until its record says so.
	leavingTime = 5 * time.Second
)

// set balances over the endpoints of one service. It is not safe for concurrent use.
type set struct {
	zone   string
	source *resource.EndpointSet
	list   []*endpoint
	// digest names source; it is worked out when it is needed.
	digest uint64
	// called is when the last call was sent to the service.
	called time.Time
	// zones is what the fleet reports of the load of the zones.
	zones zoneLoads
	// local and remote are scratch space of pick.
	local, remote []*endpoint
}

// update takes over a changed endpoint set; counts of known incarnations stay.
func (s *set) update(from *resource.EndpointSet, now time.Time) {
	if s.source == from {
		return
	}
	s.source, s.digest = from, 0
	old := map[string]*endpoint{}
	for _, e := range s.list {
		old[e.Node] = e
	}
	list := make([]*endpoint, 0, len(from.Endpoints))
	for _, r := range from.Endpoints {
		e := old[r.Node]
		if e == nil || e.Incarnation != r.Incarnation || e.Address != r.Address {
			e = &endpoint{seen: now, slow: 1}
		} else if e.State != r.State && r.State == resource.StateReady {
			e.seen = now
		}
		e.Endpoint = r
		list = append(list, e)
	}
	s.list = list
}

// wish is what a call asks of the choice of its endpoint.
type wish struct {
	organisation string
	priority     int
	// tried lists endpoints that are not to be taken again.
	tried []*endpoint
	// spillAt is the load of the own zone from which the call leaves the zone.
	spillAt float64
	// bytes is the number of bytes of such a call for its duration, relative to other
	// calls; 0 when it is unknown.
	bytes float64
	// local leaves endpoints of other zones out.
	local bool
	// slow is the slow start of the cluster.
	slow time.Duration
}

// pick chooses a ready endpoint with room that was not tried: fresh ones, then
// stale ones, then those that are avoided. It returns nil when none is left. intn
// returns a random number below its argument.
func (s *set) pick(now time.Time, w wish, intn func(int) int) *endpoint {
	for _, tier := range [...]struct{ stale, avoided bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		s.local, s.remote = s.local[:0], s.remote[:0]
		for _, e := range s.list {
			if e.State != resource.StateReady || e.Stale != tier.stale || e.avoided(now) != tier.avoided ||
				e.isFull(w.organisation, w.priority, now) || contains(w.tried, e) {
				continue
			}
			if e.AvailabilityZone == s.zone {
				s.local = append(s.local, e)
			} else if !w.local {
				s.remote = append(s.remote, e)
			}
		}
		if e := s.zoned(now, &w, intn); e != nil {
			return e
		}
	}
	return nil
}

// zoned takes the own zone's candidate unless it is clearly busier.
func (s *set) zoned(now time.Time, w *wish, intn func(int) int) *endpoint {
	l, r := better(s.local, now, w.slow, intn), better(s.remote, now, w.slow, intn)
	if l == nil || r == nil {
		if l != nil {
			return l
		}
		return r
	}
	if len(s.local) > wholeSet {
		if s.leaves(now, w.bytes, intn) {
			return r
		}
		return l
	}
	if l.busy(now) > w.spillAt && l.score(now, w.slow) > zoneFactor*r.score(now, w.slow) {
		return r
	}
	return l
}

// better is the endpoint with the least score of a small list, and one drawn by weight
// from a large one: all nodes know much the same of the endpoints, and with many nodes
// the one that looks best would get the calls of all until that shows in its load.
func better(list []*endpoint, now time.Time, slow time.Duration, intn func(int) int) *endpoint {
	if len(list) == 0 {
		return nil
	}
	if len(list) > wholeSet {
		return drawn(list, now, slow, intn)
	}
	if e := list[intn(len(list))]; e.busy(now) < busyFrom && intn(exploreShare) == 0 {
		return e
	}
	first := intn(len(list)) // equal scores are taken in turn
	best, least := list[first], list[first].score(now, slow)
	for i := 1; i < len(list); i++ {
		e := list[(first+i)%len(list)]
		if v := e.score(now, slow); v < least {
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

// done takes the outcome of an attempt; ejectAfter is the number of failures in
// a row that eject, 0 for never.
func (s *set) done(e *endpoint, o Outcome, ejectAfter int, now time.Time) (ejected bool) {
	e.inflight--
	switch o {
	case OutcomeAnswer, OutcomeFailure, OutcomeShed:
		e.failing += observeWeight * (oneIf(o != OutcomeAnswer) - e.failing)
	case OutcomeBusy:
		e.load, e.loadAt = max(e.load, busyLoad), now
	}
	switch o {
	case OutcomeAnswer:
		e.failures, e.ejections, e.leaving = 0, 0, time.Time{}
	case OutcomeFailure:
		e.failures++
	case OutcomeRefused:
		e.failures = max(e.failures+1, ejectAfter)
	case OutcomeLeaving:
		e.leaving = now.Add(leavingTime)
	}
	failed := o == OutcomeFailure || o == OutcomeRefused
	if !failed || ejectAfter <= 0 || e.failures < ejectAfter || now.Before(e.ejected) || !s.mayEject(now) {
		return false
	}
	e.ejected = now.Add(min(ejectBase<<min(e.ejections, 8), ejectMost))
	e.ejections++
	// After the ejection a single failure ejects again.
	e.failures = ejectAfter - 1
	return true
}

// mayEject keeps at least half of the set: one fault seen by this node only, such
// as its own broken network, must not empty the set.
func (s *set) mayEject(now time.Time) bool {
	n := 1
	for _, e := range s.list {
		if now.Before(e.ejected) {
			n++
		}
	}
	return 2*n <= len(s.list)
}

// leaving returns the addresses that no longer take calls. Its cost is that of
// the changed sets, since most changes of a large fleet concern other services.
func leaving(before, now map[string]*resource.EndpointSet) map[string]bool {
	var out map[string]bool
	for name, old := range before {
		next := now[name]
		if next == old {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		for i := range old.Endpoints {
			out[old.Endpoints[i].Address] = true
		}
		if next == nil {
			continue
		}
		for i := range next.Endpoints {
			if s := next.Endpoints[i].State; s != resource.StateDraining && s != resource.StateGone {
				delete(out, next.Endpoints[i].Address)
			}
		}
	}
	return out
}
