package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Constants of the choice of an endpoint.
const (
	// loadWeight is the share of the load reported by an endpoint in its score. It
	// is below 1 because reports may be late or wrong; own counts come first.
	loadWeight = 0.5
	// loadTrust is the age at which a reported load is no longer used.
	loadTrust = 2 * time.Second
	// An endpoint of another zone is taken only when the own zone's is busier than
	// zoneBusy and busier than the other one by the factor zoneFactor.
	zoneBusy   = 0.75
	zoneFactor = 1.5
	// leastWeight is the share of a cold endpoint at the begin of its slow start.
	leastWeight = 0.1
	// An ejection lasts ejectBase, doubled with each one in a row up to ejectMost.
	ejectBase = time.Second
	ejectMost = 30 * time.Second
	// leavingTime is how long an endpoint that rejected a call because it leaves is
	// avoided until its record says so.
	leavingTime = 5 * time.Second
)

// Outcome is what an attempt tells of its endpoint.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswer is any answer, whatever its status.
	OutcomeAnswer Outcome = iota
	// OutcomeFailure is a cut connection or a timeout.
	OutcomeFailure
	// OutcomeRefused is a refused connection; it counts at once.
	OutcomeRefused
	// OutcomeBusy is a rejection by a full queue; it is no failure.
	OutcomeBusy
	// OutcomeLeaving is a rejection by an endpoint that is leaving.
	OutcomeLeaving
	// OutcomeNeutral tells nothing: the caller gave up.
	OutcomeNeutral
)

// endpoint is the own knowledge of one endpoint.
type endpoint struct {
	resource.Endpoint
	inflight  int
	load      float64
	loadAt    time.Time
	seen      time.Time
	failures  int
	ejections int
	ejected   time.Time // until when
	leaving   time.Time // until when
}

// set balances over the endpoints of one service. It is not safe for concurrent use.
type set struct {
	zone   string
	source *resource.EndpointSet
	list   []*endpoint
	// local and remote are scratch space of pick.
	local, remote []*endpoint
}

// update takes over a changed endpoint set; counts of known incarnations stay.
func (s *set) update(from *resource.EndpointSet, now time.Time) {
	if s.source == from {
		return
	}
	s.source = from
	old := map[string]*endpoint{}
	for _, e := range s.list {
		old[e.Node] = e
	}
	list := make([]*endpoint, 0, len(from.Endpoints))
	for _, r := range from.Endpoints {
		e := old[r.Node]
		if e == nil || e.Incarnation != r.Incarnation || e.Address != r.Address {
			e = &endpoint{seen: now}
		} else if e.State != r.State && r.State == resource.StateReady {
			e.seen = now
		}
		e.Endpoint = r
		list = append(list, e)
	}
	s.list = list
}

// weight is the share of an endpoint during its slow start, up to 1. The time
// since this node first saw it ready bounds the effect of skewed clocks.
func (e *endpoint) weight(now time.Time, slow time.Duration) float64 {
	if slow <= 0 {
		return 1
	}
	age := max(now.Sub(time.UnixMilli(e.ReadySince)), now.Sub(e.seen))
	return min(1, max(leastWeight, float64(age)/float64(slow)))
}

// score is the expected business of the endpoint with one more call.
func (e *endpoint) score(now time.Time, slow time.Duration) float64 {
	v := float64(e.inflight+1) / (float64(max(e.Slots, 1)) * e.weight(now, slow))
	if now.Sub(e.loadAt) < loadTrust {
		v += loadWeight * e.load
	}
	return v + float64(e.failures)
}

// avoided reports whether the endpoint is ejected or said that it leaves.
func (e *endpoint) avoided(now time.Time) bool {
	return now.Before(e.ejected) || now.Before(e.leaving)
}

// pick chooses a ready endpoint that is not in tried: fresh ones, then stale
// ones, then those that are avoided. It returns nil when none is left. intn returns a random
// number below its argument.
func (s *set) pick(now time.Time, slow time.Duration, tried []*endpoint, intn func(int) int) *endpoint {
	for _, tier := range [...]struct{ stale, avoided bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		s.local, s.remote = s.local[:0], s.remote[:0]
		for _, e := range s.list {
			if e.State != resource.StateReady || e.Stale != tier.stale || e.avoided(now) != tier.avoided || contains(tried, e) {
				continue
			}
			if e.AvailabilityZone == s.zone {
				s.local = append(s.local, e)
			} else {
				s.remote = append(s.remote, e)
			}
		}
		if e := s.zoned(now, slow, intn); e != nil {
			return e
		}
	}
	return nil
}

// zoned takes the own zone's candidate unless it is clearly busier.
func (s *set) zoned(now time.Time, slow time.Duration, intn func(int) int) *endpoint {
	l, r := better(s.local, now, slow, intn), better(s.remote, now, slow, intn)
	if l == nil || r == nil {
		if l != nil {
			return l
		}
		return r
	}
	if a, b := l.score(now, slow), r.score(now, slow); a > zoneBusy && a > zoneFactor*b {
		return r
	}
	return l
}

// better is the less busy one of two that are drawn at random.
func better(list []*endpoint, now time.Time, slow time.Duration, intn func(int) int) *endpoint {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i, j := intn(len(list)), intn(len(list)-1)
	if j >= i {
		j++
	}
	if list[j].score(now, slow) < list[i].score(now, slow) {
		i = j
	}
	return list[i]
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
