package inbound

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// maxClasses bounds the number of classes with statistics. When a further class is added, the
// statistics of all classes are cleared.
const maxClasses = 256

const (
	// Slots are reserved for more urgent jobs if the next job is expected to take more than
	// reserveDurationRatio times as long as they do.
	reserveDurationRatio = 2
	// The number of reserved slots is the mean number that the urgent jobs use, plus
	// reserveDeviations standard deviations. Their arrivals are assumed to be a Poisson process.
	reserveDeviations = 0.6
	// No slots are reserved while the urgent jobs use fewer than reserveMinSlots slots on average.
	reserveMinSlots = 0.05
	// meanSlotsTimeConstant is the time constant of the mean number of slots that a class uses.
	meanSlotsTimeConstant = 2 * time.Second
	// durationSmoothingDivisor is the reciprocal of the weight that a new duration has in the moving
	// average of its class.
	durationSmoothingDivisor = 8
)

// class holds the statistics of the jobs of one class.
type class struct {
	priority int
	// meanDuration is the moving average of the durations of the jobs.
	meanDuration time.Duration
	// meanSlots is the mean number of slots that the jobs use, as of updatedAt.
	meanSlots float64
	updatedAt time.Time
}

// meanSlotsAt returns the mean number of slots that the jobs of the class use, decayed to the time
// now.
func (c *class) meanSlotsAt(now time.Time) float64 {
	return c.meanSlots * math.Exp(-now.Sub(c.updatedAt).Seconds()/meanSlotsTimeConstant.Seconds())
}

// expectedDuration returns the mean duration of a class, or that of the organisation's calls if the
// class is unknown.
func (a *Admission) expectedDuration(s *orgQueue, name string) time.Duration {
	if c := a.classes[name]; c != nil {
		return c.meanDuration
	}
	return s.cost
}

// recordDuration updates the statistics of a class by the duration of a job that has ended. It does
// nothing for a job without a class.
func (a *Admission) recordDuration(j *pool.Job, took time.Duration, now time.Time) {
	if j.Class == "" {
		return
	}
	c := a.classes[j.Class]
	if c == nil {
		if len(a.classes) >= maxClasses {
			clear(a.classes)
		}
		c = &class{meanDuration: took, updatedAt: now}
		a.classes[j.Class] = c
	}
	c.priority = classPriority(j)
	c.meanDuration += (took - c.meanDuration) / durationSmoothingDivisor
	c.meanSlots = c.meanSlotsAt(now) + took.Seconds()/meanSlotsTimeConstant.Seconds()
	c.updatedAt = now
}

// mustYield reports whether the next job of an organisation must leave the free slots to much
// shorter and more urgent jobs. Without this, the short jobs would wait until a long job ends, and
// their callers would hold slots of other upstreams in the meantime.
func (a *Admission) mustYield(s *orgQueue, now time.Time) bool {
	if len(s.queue) == 0 || s.queue[0].Class == "" {
		return false
	}
	return a.mustYieldJob(s.queue[0], a.expectedDuration(s, s.queue[0].Class), now)
}

// mustYieldJob reports whether a job that is expected to take nextDuration must leave the free slots to others.
func (a *Admission) mustYieldJob(next *pool.Job, nextDuration time.Duration, now time.Time) bool {
	priority, meanUrgentSlots := classPriority(next), 0.0
	isMoreUrgentAndShorter := func(c *class) bool {
		return c != nil && c.priority < priority && reserveDurationRatio*c.meanDuration < nextDuration
	}
	for _, c := range a.classes {
		if isMoreUrgentAndShorter(c) {
			meanUrgentSlots += c.meanSlotsAt(now)
		}
	}
	if meanUrgentSlots < reserveMinSlots {
		return false
	}
	longRunning := 0
	for _, r := range a.running {
		if !isMoreUrgentAndShorter(a.classes[r.class]) {
			longRunning++
		}
	}
	reservedSlots := int(math.Ceil(meanUrgentSlots + reserveDeviations*math.Sqrt(meanUrgentSlots)))
	return longRunning >= max(a.slots-reservedSlots, 1)
}
