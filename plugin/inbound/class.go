package inbound

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// maxClasses bounds the table of classes.
const maxClasses = 256

const (
	// reserveRatio is how many times longer a job must be than more urgent ones to
	// leave slots to them.
	reserveRatio = 2
	// reserveMargin is the number of standard deviations of the slots that urgent
	// jobs use (Poisson arrivals) that is reserved above their mean.
	reserveMargin = 0.6
	// reserveFrom is the number of slots in use from which a class counts.
	reserveFrom = 0.05
	// loadTime is the time constant of the slots that a class uses.
	loadTime = 2 * time.Second
	// costWeight is the part of a new duration in the smoothed one.
	costWeight = 8
)

// class is what is known of the jobs of one class.
type class struct {
	priority int
	// cost is the smoothed duration.
	cost time.Duration
	// load is the mean number of slots in use, as of at.
	load float64
	at   time.Time
}

// loadAt returns the mean number of slots in use.
func (c *class) loadAt(now time.Time) float64 {
	return c.load * math.Exp(-now.Sub(c.at).Seconds()/loadTime.Seconds())
}

// cost returns the expected duration of a job.
func (a *Admission) cost(s *share, name string) time.Duration {
	if c := a.classes[name]; c != nil {
		return c.cost
	}
	return s.cost
}

// learn takes the duration of a job that has ended.
func (a *Admission) learn(j *pool.Job, took time.Duration, now time.Time) {
	if j.Class == "" {
		return
	}
	c := a.classes[j.Class]
	if c == nil {
		if len(a.classes) >= maxClasses {
			clear(a.classes)
		}
		c = &class{cost: took, at: now}
		a.classes[j.Class] = c
	}
	c.priority = j.Priority
	c.cost += (took - c.cost) / costWeight
	c.load = c.loadAt(now) + took.Seconds()/loadTime.Seconds()
	c.at = now
}

// reserved reports whether the next job of a share must leave room for more urgent
// ones that are much shorter. These would otherwise wait for the end of a long job,
// and whoever made them would hold a slot elsewhere meanwhile.
func (a *Admission) reserved(s *share, now time.Time) bool {
	if len(s.queue) == 0 || s.queue[0].Class == "" {
		return false
	}
	next := s.queue[0]
	cost, load := a.cost(s, next.Class), 0.0
	short := func(c *class) bool { return c != nil && c.priority < next.Priority && reserveRatio*c.cost < cost }
	for _, c := range a.classes {
		if short(c) {
			load += c.loadAt(now)
		}
	}
	if load < reserveFrom {
		return false
	}
	long := 0
	for _, r := range a.running {
		if !short(a.classes[r.class]) {
			long++
		}
	}
	kept := int(math.Ceil(load + reserveMargin*math.Sqrt(load)))
	return long >= max(a.slots-kept, 1)
}
