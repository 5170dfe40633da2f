package cost

import (
	"math"
	"time"
)

const (
	// statedTimeConstant is the time constant with which a stated slowdown loses its weight: slowdowns change many times a
	// second.
	statedTimeConstant = 100 * time.Millisecond
	// meanTimeConstant is the time constant of the mean of the stated slowdowns.
	meanTimeConstant = 10 * time.Second
	// inferredTimeConstant is the time constant with which a slowdown that was inferred from durations loses its weight.
	// It ends after this time that few calls are sent to an upstream because it was slow.
	inferredTimeConstant = time.Second
	// inferredWeight is the weight of one call in the inferred slowdown, and maxInferredRatio the highest duration that
	// counts, relative to the typical one: one call of the tail must not make an upstream slow.
	inferredWeight, maxInferredRatio = 0.1, 4
	// From these slowdowns on, relative to the usual one, an upstream counts as slow now. The inferred one is less certain.
	slowNowStated, slowNowInferred = 1.6, 2.0
)

// Slowdown tracks how long work takes at an upstream at the moment, relative to the usual time there. It uses the slowdown
// that the upstream states, or else the durations of its calls. The zero value is ready to use. It is not safe for
// concurrent use.
type Slowdown struct {
	stated, mean float64 // percent
	statedAt     time.Time
	inferred     float64 // excess over 1
	inferredAt   time.Time
}

// State records the slowdown in percent that the upstream states.
func (s *Slowdown) State(percent int, now time.Time) {
	v := float64(percent)
	if s.mean == 0 {
		s.mean = v
	} else {
		s.mean += (v - s.mean) * (1 - math.Exp(-max(now.Sub(s.statedAt), 0).Seconds()/meanTimeConstant.Seconds()))
	}
	s.stated, s.statedAt = v, now
}

// Observe records the duration of a call, relative to the typical duration of its kind.
func (s *Slowdown) Observe(ratio float64, now time.Time) {
	excess := s.inferredExcess(now)
	s.inferred, s.inferredAt = excess+inferredWeight*(min(ratio, maxInferredRatio)-1-excess), now
}

// isStated reports whether the upstream has stated its slowdown lately.
func (s *Slowdown) isStated(now time.Time) bool {
	return s.mean > 0 && now.Sub(s.statedAt) < meanTimeConstant
}

func (s *Slowdown) inferredExcess(now time.Time) float64 {
	return s.inferred * math.Exp(-max(now.Sub(s.inferredAt), 0).Seconds()/inferredTimeConstant.Seconds())
}

// Now returns the current slowdown relative to the usual one; 1 if nothing is known.
func (s *Slowdown) Now(now time.Time) float64 {
	if s.isStated(now) {
		weight := math.Exp(-max(now.Sub(s.statedAt), 0).Seconds() / statedTimeConstant.Seconds())
		return max(1+weight*(s.stated/s.mean-1), 0.1)
	}
	return max(1+s.inferredExcess(now), 0.1)
}

// IsSlow reports whether the upstream is much slower than usual now.
func (s *Slowdown) IsSlow(now time.Time) bool {
	if s.isStated(now) {
		return s.Now(now) >= slowNowStated
	}
	return s.Now(now) >= slowNowInferred
}
