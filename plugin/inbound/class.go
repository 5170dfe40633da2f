package inbound

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// maxClasses bounds the number of classes.
const maxClasses = 256

const (
	// reserveDurationRatio is how many times longer than more urgent jobs a job must be for
	// slots to be reserved for those.
	reserveDurationRatio = 2
	// reserveDeviations is the number of standard deviations that is reserved above the mean
	// number of slots that urgent jobs use. Their arrivals count as a Poisson process.
	reserveDeviations = 0.6
	// reserveMinSlots is the mean number of slots used by more urgent jobs from which slots are
	// reserved for them.
	reserveMinSlots = 0.05
	// meanSlotsTimeConstant is the time constant of the mean number of slots that a class uses.
	meanSlotsTimeConstant = 2 * time.Second
	// costSmoothing is the reciprocal of the weight of a new duration in the moving average.
	costSmoothing = 8
)

// class holds the statistics of the jobs of one class.
type class struct {
	priority int
	// cost is the moving average of the durations.
	cost time.Duration
	// meanSlots is the mean number of slots in use, as of updatedAt.
	meanSlots float64
	updatedAt time.Time
}

// meanSlotsAt returns the mean number of slots in use, decayed until now.
func (c *class) meanSlotsAt(now time.Time) float64 {
	return c.meanSlots * math.Exp(-now.Sub(c.updatedAt).Seconds()/meanSlotsTimeConstant.Seconds())
}

// expectedDuration returns the expected duration of a job of a class.
func (a *Admission) expectedDuration(s *orgQueue, name string) time.Duration {
	if c := a.classes[name]; c != nil {
		return c.cost
	}
	return s.cost
}

// recordDuration updates the statistics of a class by the duration of a job that has ended.
func (a *Admission) recordDuration(j *pool.Job, took time.Duration, now time.Time) {
	if j.Class == "" {
		return
	}
	c := a.classes[j.Class]
	if c == nil {
		if len(a.classes) >= maxClasses {
			clear(a.classes)
		}
		c = &class{cost: took, updatedAt: now}
		a.classes[j.Class] = c
	}
	c.priority = j.Priority
	c.cost += (took - c.cost) / costSmoothing
	c.meanSlots = c.meanSlotsAt(now) + took.Seconds()/meanSlotsTimeConstant.Seconds()
	c.updatedAt = now
}

// mustYield reports whether the next job of an organisation must leave the free slots to more
// urgent jobs that are much shorter. Otherwise these would wait for the end of a long job
// while their callers hold slots of other upstreams.
func (a *Admission) mustYield(s *orgQueue, now time.Time) bool {
	if len(s.queue) == 0 || s.queue[0].Class == "" {
		return false
	}
	next := s.queue[0]
	cost, load := a.expectedDuration(s, next.Class), 0.0
	isShorter := func(c *class) bool {
		return c != nil && c.priority < next.Priority && reserveDurationRatio*c.cost < cost
	}
	for _, c := range a.classes {
		if isShorter(c) {
			load += c.meanSlotsAt(now)
		}
	}
	if load < reserveMinSlots {
		return false
	}
	longRunning := 0
	for _, r := range a.running {
		if !isShorter(a.classes[r.class]) {
			longRunning++
		}
	}
	reservedSlots := int(math.Ceil(load + reserveDeviations*math.Sqrt(load)))
	return longRunning >= max(a.slots-reservedSlots, 1)
}
