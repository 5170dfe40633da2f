package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/plugin/cost"
)

// errSlowNow is returned for a call that can be offered to another endpoint while the upstream is slow.
var errSlowNow = errors.New("the upstream is much slower than usual at the moment")

const (
	// overdueFactor is the duration of a running call, relative to the expected one, from which the call is overdue.
	overdueFactor = 2.5
	// The upstream is slow if at least half of its slots, and at least minOverdueCalls, hold overdue calls.
	minOverdueCalls = 4
)

// upstreamWork holds what is known about the work of an upstream. It is safe for concurrent use.
type upstreamWork struct {
	// isOn is set while the choice by cost is on for the upstream.
	isOn atomic.Bool
	// perSlot and wait are the NodeWork as of the last change of the queue, in nanoseconds.
	perSlot, wait atomic.Int64
	// mu guards slowdown. It is a leaf lock: nothing is called while it is held.
	mu       sync.Mutex
	slowdown cost.Slowdown
}

func (w *upstreamWork) slowdownAt(now time.Time) (ratio float64, isSlow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowdown.Now(now), w.slowdown.IsSlow(now)
}

// observe records the slowdown in percent that the upstream states with a response; 0 if it states none.
func (w *upstreamWork) observe(percent int, now time.Time) {
	if percent > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.slowdown.State(percent, now)
	}
}

// isCostOn reports whether endpoints of the upstream's service are chosen by cost, and records it for the queue.
func (c *call) isCostOn() bool {
	on := c.in.cost.IsOn(c.in.isAuto(c.slots))
	c.slots.stats.work.isOn.Store(on)
	return on
}

// setWork sets the expected work of a job, and whether it is rejected while the upstream is slow.
func (c *call) setWork(j *pool.Job, now time.Time) {
	ratio, _ := c.slots.stats.work.slowdownAt(now)
	mean := c.in.cost.Expect(c.info.Service, c.info.Class(), c.r.ContentLength).Mean()
	j.Work = time.Duration(ratio * float64(mean))
	j.IsProbing = !c.info.Keyed && httpcall.ParseCallAge(c.r.Header.Get(httpcall.HeaderAge)).IsProbing
}

// observeWork records the work of an answered call. statesSlowdown tells whether the upstream has stated its slowdown.
func (c *call) observeWork(took time.Duration, statesSlowdown bool, now time.Time) {
	if c.run = took; !c.slots.stats.work.isOn.Load() {
		return
	}
	ratio, _ := c.slots.stats.work.slowdownAt(now)
	// A request that has made nested calls may have been slow because of those.
	isOwn := c.execution == nil || !c.in.lineage.HasCalled(c.execution)
	if e := c.in.cost.Expect(c.info.Service, c.info.Class(), c.r.ContentLength); isOwn && !statesSlowdown && e.IsKnown() {
		w := &c.slots.stats.work
		w.mu.Lock()
		w.slowdown.Observe(took.Seconds()/e.Typical.Seconds(), now)
		w.mu.Unlock()
	}
	c.in.cost.Observe(c.info.Service, c.info.Class(), c.r.ContentLength, time.Duration(took.Seconds()/ratio*float64(time.Second)))
}

// nodeWork returns what is stated about the work of the upstream.
func (c *call) nodeWork(now time.Time) httpcall.NodeWork {
	w := &c.slots.stats.work
	ratio, _ := w.slowdownAt(now)
	return httpcall.NodeWork{
		PerSlot: time.Duration(w.perSlot.Load()), Wait: time.Duration(w.wait.Load()), SlowdownPercent: max(int(100*ratio+0.5), 1), Run: c.run,
	}
}

// isSlow reports whether the upstream is much slower than usual: by its slowdown, or because most calls that it runs are
// overdue.
func (a *Admission) isSlow(now time.Time) bool {
	if a.work == nil {
		return false
	}
	if _, slow := a.work.slowdownAt(now); slow {
		return true
	}
	overdue := 0
	for _, r := range a.running {
		if now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.expectedDuration)) {
			overdue++
		}
	}
	return overdue >= max((a.slots+1)/2, minOverdueCalls)
}

// publishWork updates the outstanding work after a change of the queue.
func (a *Admission) publishWork(now time.Time) {
	if a.work == nil || !a.work.isOn.Load() {
		return
	}
	work, first, waiting := time.Duration(0), time.Duration(-1), time.Duration(0)
	for _, r := range a.running {
		left := cost.Remaining(r.expectedDuration, now.Sub(r.startedAt))
		if work += left; first < 0 || left < first {
			first = left
		}
	}
	for i := range a.ordered.waiting {
		waiting += a.ordered.waiting[i].work
	}
	for _, s := range a.orgQueues {
		for _, j := range s.queue {
			waiting += a.expectedDuration(s, j.Class)
		}
	}
	a.work.perSlot.Store(int64((work + waiting) / time.Duration(max(a.slots, 1))))
	wait := waiting / time.Duration(max(a.slots, 1))
	if len(a.running) >= a.slots {
		wait += max(first, 0)
	}
	a.work.wait.Store(int64(wait))
}
