package inbound

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

const (
	// maxFlows bounds the flows with a state of their own. The calls of further flows share one.
	maxFlows = 256
	// flowRetention is how long an idle flow is kept.
	flowRetention = 30 * time.Second
	// usualTimeConstant is the time constant of the usual rate of a flow. It is much longer than the bursts in which a team
	// sends several times that rate. The rate of a new flow is that since its first call, or minUsualPeriod if longer.
	usualTimeConstant = time.Minute
	minUsualPeriod    = time.Second
	// usualHeadroom is the rate up to which the calls of a flow are not in excess, relative to its usual rate, and
	// allowedCalls the number of calls that may come at once.
	usualHeadroom, allowedCalls = 1.5, 3
	// excessWeight is the weight of calls in excess in the usual rate: a lasting growth of the rate becomes the usual one,
	// a burst hardly does.
	excessWeight = 0.25

	// shareTimeConstant is the time constant of the fraction of calls that start.
	shareTimeConstant = 5 * time.Second
	// Calls of a kind or of a team priority are starved if the fraction of them that starts is below minRelativeShare
	// times that of all calls. It is above the quarter that is guaranteed over all endpoints, since an endpoint sees
	// only a part of the calls.
	minRelativeShare = 0.35
	// minShareArrivals is the number of arrivals within shareTimeConstant below which no calls count as starved.
	minShareArrivals = 4
	// maxShareKeys bounds the kinds and team priorities with statistics. When a further one is added, all are cleared.
	maxShareKeys = 256
)

// flow holds the rate of the calls of one team, or of one organisation for calls without a team, in seconds of expected
// work. Calls that exceed the usual rate are in excess: they follow the other calls of their class, so that the burst of a
// team delays its own calls. Shares are not equal, because teams differ in size by a factor of hundreds.
type flow struct {
	since time.Time
	usual decayingSum
	// tokens is the work that may still come at once without being in excess, as of the last call.
	tokens   float64
	refillAt time.Time
	served   served
}

// usualRate returns the usual expected work in one second.
func (f *flow) usualRate(now time.Time) float64 {
	age := max(now.Sub(f.since), minUsualPeriod).Seconds() / usualTimeConstant.Seconds()
	return f.usual.value(now, usualTimeConstant) / (usualTimeConstant.Seconds() * (1 - math.Exp(-age)))
}

// offer reports whether a call is in excess of the usual rate of the flow. A call that another endpoint has refused was
// counted there.
func (f *flow) offer(work time.Duration, isRepeated bool, now time.Time) (isExcess bool) {
	rate, size := usualHeadroom*f.usualRate(now), work.Seconds()
	f.tokens = min(f.tokens+rate*now.Sub(f.refillAt).Seconds(), max(allowedCalls*size, rate))
	f.refillAt = now
	isExcess = f.tokens < size
	if isRepeated {
		return isExcess
	}
	if isExcess {
		f.usual.add(excessWeight*size, now, usualTimeConstant)
		return true
	}
	f.tokens -= size
	f.usual.add(size, now, usualTimeConstant)
	return false
}

// decayingSum is a sum whose terms decay exponentially.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) value(now time.Time, constant time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-max(now.Sub(d.at), 0).Seconds()/constant.Seconds())
}

func (d *decayingSum) add(term float64, now time.Time, constant time.Duration) {
	d.sum, d.at = max(d.value(now, constant)+term, 0), now
}

// served counts the calls of a kind or of a team priority that arrived and that started.
type served struct {
	arrivals, starts decayingSum
	isStarved        bool
}

// fraction returns the fraction of the calls that started.
func (s *served) fraction(now time.Time) float64 {
	return s.starts.value(now, shareTimeConstant) / max(s.arrivals.value(now, shareTimeConstant), 1)
}

// shareKey identifies the calls of a kind, or those of a team priority if class is empty.
type shareKey struct {
	class        string
	teamPriority int
}

// shares holds the use of the slots by flows, and how often calls are served by kind and by team priority. The zero value is ready
// to use.
type shares struct {
	flows map[string]*flow
	// sweptAt is when idle flows were last removed.
	sweptAt time.Time
	// overflow is the flow of all calls beyond maxFlows flows.
	overflow flow
	all      served
	byKey    map[shareKey]*served
}

// flowOf returns the flow of a name.
func (s *shares) flowOf(name string, now time.Time) *flow {
	if f := s.flows[name]; f != nil {
		return f
	}
	if s.flows == nil {
		s.flows = map[string]*flow{}
	}
	if now.Sub(s.sweptAt) > flowRetention {
		s.sweptAt = now
		for n, f := range s.flows {
			if now.Sub(f.refillAt) > flowRetention {
				delete(s.flows, n)
			}
		}
	}
	if len(s.flows) >= maxFlows {
		return &s.overflow
	}
	f := &flow{since: now, refillAt: now, tokens: math.Inf(1)}
	s.flows[name] = f
	return f
}

// keysOf returns the keys under which a job is counted.
func keysOf(j *pool.Job) [2]shareKey {
	return [2]shareKey{{class: j.Class}, {teamPriority: j.Priority / teamPriorityStep}}
}

// servedOf returns the counts for the kind, the team priority and the flow of a job.
func (s *shares) servedOf(j *pool.Job, f *flow) (counts [3]*served) {
	counts[2] = &f.served
	for i, k := range keysOf(j) {
		v := s.byKey[k]
		if v == nil {
			if s.byKey == nil || len(s.byKey) >= maxShareKeys {
				s.byKey = map[shareKey]*served{}
			}
			v = &served{}
			s.byKey[k] = v
		}
		counts[i] = v
	}
	return counts
}

// countArrival counts a call that was offered to this endpoint first. Further offers of a call are not counted, since a
// less urgent call is offered more often.
func (s *shares) countArrival(counts [3]*served, now time.Time) {
	s.all.arrivals.add(1, now, shareTimeConstant)
	for _, v := range counts {
		v.arrivals.add(1, now, shareTimeConstant)
		s.update(v, now)
	}
}

// countStart counts a call that starts.
func (s *shares) countStart(counts [3]*served, now time.Time) {
	s.all.starts.add(1, now, shareTimeConstant)
	for _, v := range counts {
		v.starts.add(1, now, shareTimeConstant)
		s.update(v, now)
	}
}

// update decides whether the calls counted in v are starved.
func (s *shares) update(v *served, now time.Time) {
	v.isStarved = v.arrivals.value(now, shareTimeConstant) >= minShareArrivals && v.fraction(now) < minRelativeShare*s.all.fraction(now)
}
