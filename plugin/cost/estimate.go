package cost

import "time"

const (
	// maxAveragedCalls is the number of calls after which a mean becomes a moving average.
	maxAveragedCalls = 24
	// A call that takes more than tailFactor times the typical work belongs to the tail.
	tailFactor = 3
	// tailWeight is the weight of a call in the fraction of calls in the tail.
	tailWeight = 1.0 / 64
	// maxTailShare is the fraction of calls in the tail above which the typical work is out of date.
	maxTailShare = 0.4
	// minKnownCalls is the number of calls from which an estimate is used.
	minKnownCalls = 4
	// maxKinds bounds the kinds with an estimate. When a further kind is added, all are cleared.
	maxKinds = 512
	// allSizes is the size class of the estimates over bodies of all lengths.
	allSizes = -1
	// maxSizeClass is the size class of all longer bodies.
	maxSizeClass = 12
)

// Estimate is the expected work of a kind of calls: the time that a call takes at an endpoint of usual speed, without
// waiting times. The zero value is that of an unknown kind.
type Estimate struct {
	// Typical is the mean without the calls in the tail. Tail is the mean of those, and TailShare their fraction.
	Typical, Tail time.Duration
	TailShare     float64
}

// IsKnown reports whether the work is known.
func (e Estimate) IsKnown() bool { return e.Typical > 0 }

// Mean returns the mean work; 0 if it is unknown.
func (e Estimate) Mean() time.Duration {
	return e.Typical + time.Duration(e.TailShare*float64(e.Tail-e.Typical))
}

// Remaining returns the expected remaining work of a call that has run for the time elapsed. A call that has taken much
// longer than typical is one of the tail.
func (e Estimate) Remaining(elapsed time.Duration) time.Duration {
	return remaining(e.Mean(), max(e.Tail, tailFactor*e.Typical), elapsed)
}

// Remaining returns the expected remaining time of a call of which only the mean duration is known.
func Remaining(mean, elapsed time.Duration) time.Duration {
	return remaining(mean, tailFactor*mean, elapsed)
}

// remaining returns the expected remaining time of a call with a mean duration; tail is the mean duration of the calls in
// the tail. A call that has exceeded all of them takes a further part of the time that it has taken already.
func remaining(mean, tail, elapsed time.Duration) time.Duration {
	switch {
	case elapsed < mean:
		return mean - elapsed
	case elapsed < tail:
		return (tail - elapsed) / 2
	}
	return elapsed / 4
}

// kind identifies the calls of one estimate.
type kind struct {
	service, name string
	size          int8
}

// sizeClass returns the size class of a body length in bytes: the number of binary digits of its length in KiB.
func sizeClass(bytes int64) int8 {
	c := int8(0)
	for n := bytes >> 10; n > 0 && c < maxSizeClass; n >>= 1 {
		c++
	}
	return c
}

// learned is an estimate and the number of calls in it.
type learned struct {
	Estimate
	calls, tailCalls float64
}

// observe adds the work of one call.
func (l *learned) observe(work time.Duration) {
	if l.calls >= minKnownCalls && work > tailFactor*l.Typical {
		l.TailShare += tailWeight * (1 - l.TailShare)
		l.tailCalls = min(l.tailCalls+1, maxAveragedCalls)
		l.Tail += time.Duration(float64(work-l.Tail) / l.tailCalls)
		if l.TailShare > maxTailShare {
			*l = learned{Estimate: Estimate{Typical: l.Tail}, calls: minKnownCalls}
		}
		return
	}
	l.TailShare -= tailWeight * l.TailShare
	l.calls = min(l.calls+1, maxAveragedCalls)
	l.Typical += time.Duration(float64(work-l.Typical) / l.calls)
}

// estimates holds the estimates by service, name of the kind and size of the body. The zero value is ready to use. It is
// not safe for concurrent use.
type estimates struct{ byKind map[kind]*learned }

// observe adds the work of one call.
func (s *estimates) observe(service, name string, bytes int64, work time.Duration) {
	if work <= 0 {
		return
	}
	for _, size := range [...]int8{allSizes, sizeClass(bytes)} {
		k := kind{service, name, size}
		l := s.byKind[k]
		if l == nil {
			if s.byKind == nil || len(s.byKind) >= maxKinds {
				s.byKind = map[kind]*learned{}
			}
			l = &learned{}
			s.byKind[k] = l
		}
		l.observe(work)
	}
}

// expect returns the estimate for a call: that for bodies of its size, or that for all sizes.
func (s *estimates) expect(service, name string, bytes int64) Estimate {
	for _, size := range [...]int8{sizeClass(bytes), allSizes} {
		if l := s.byKind[kind{service, name, size}]; l != nil && l.calls >= minKnownCalls {
			return l.Estimate
		}
	}
	return Estimate{}
}
