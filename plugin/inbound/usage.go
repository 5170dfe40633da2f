package inbound

import (
	"math"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// usageTime is the time constant of the mean number of calls.
	usageTime = time.Second
	// usageWeight bounds the number of calls over which a duration is averaged.
	usageWeight = 24
	// maxReported bounds the classes of a report; those used least lately are left out.
	maxReported = 8
)

// usage follows how many calls are at the upstream and how long it runs them. It is
// safe for concurrent use.
type usage struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu sync.Mutex
	// level is the number of calls at the upstream, running and waiting; mean is its
	// mean over usageTime as of at.
	level int
	mean  float64
	at    time.Time
	// running holds the calls that the upstream runs.
	running map[*call]runningCall
	classes map[string]*durations
	// failing is the smoothed share of calls that failed, as of failedAt.
	failing  float64
	failedAt time.Time
}

// Constants of the share of calls that fail.
const (
	// failingWeight is the part of one call in the share.
	failingWeight = 1.0 / 16
	// failingHalf is the time in which the share halves without calls, so that an
	// upstream that others avoid is tried again.
	failingHalf = 3 * time.Second
)

// failingAt is the share of failed calls at a time; mu is held.
func (u *usage) failingAt(now time.Time) float64 {
	return u.failing * math.Exp2(-now.Sub(u.failedAt).Seconds()/failingHalf.Seconds())
}

// ended is how a call at the upstream ended.
type ended int

const (
	// endedWell is an answer that is no failure of the upstream.
	endedWell ended = iota
	// endedBadly is a rejection, a failure or no answer.
	endedBadly
	// endedEarly tells nothing: the caller gave up.
	endedEarly
)

// runningCall is a call that the upstream runs.
type runningCall struct {
	class string
	at    time.Time
}

// durations is the mean duration of the calls of one class.
type durations struct {
	mean  float64 // seconds
	count float64 // calls that the mean stands for, up to usageWeight
	last  time.Time
}

// take adds one duration to the mean.
func (d *durations) take(seconds float64) {
	d.count = min(d.count+1, usageWeight)
	d.mean += (seconds - d.mean) / d.count
}

// advance brings the mean number of calls up to now; mu is held.
func (u *usage) advance(now time.Time) {
	keep := math.Exp(-now.Sub(u.at).Seconds() / usageTime.Seconds())
	u.mean = float64(u.level) + (u.mean-float64(u.level))*keep
	u.at = now
}

// enter and exit count the calls at the upstream.
func (u *usage) enter(now time.Time) { u.change(1, now) }
func (u *usage) exit(now time.Time)  { u.change(-1, now) }

func (u *usage) change(by int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	u.level += by
}

// begin notes that the upstream runs a call.
func (u *usage) begin(c *call, class string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running == nil {
		u.running, u.classes = map[*call]runningCall{}, map[string]*durations{}
	}
	u.running[c] = runningCall{class, now}
}

// end takes how a call ended and how long it took. Only answers tell of the
// upstream's speed: a failure may come at once.
func (u *usage) end(c *call, how ended, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.running[c]
	delete(u.running, c)
	if !ok || how == endedEarly {
		return
	}
	bad := 0.0
	if how == endedBadly {
		bad = 1
	}
	u.failing = u.failingAt(now)
	u.failing += failingWeight * (bad - u.failing)
	u.failedAt = now
	if how == endedWell {
		u.took(r.class, now.Sub(r.at).Seconds(), now)
	}
}

// took enters the duration of an answered call; mu is held.
func (u *usage) took(class string, seconds float64, now time.Time) {
	d := u.classes[class]
	if d == nil {
		if len(u.classes) >= maxClasses {
			clear(u.classes)
		}
		d = &durations{}
		u.classes[class] = d
	}
	d.take(seconds)
	d.last = now
}

// report tells other nodes how busy and how fast the upstream is. A running call
// that already takes longer than its class counts with its age, so that an upstream
// that has become slow or hangs is noticed before its calls end.
func (u *usage) report(slots int, now time.Time) *peerapi.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	r := &peerapi.LoadReport{
		Load: int(100 * u.mean / float64(max(slots, 1))), Failing: int(100 * u.failingAt(now)), Durations: map[string]int{},
	}
	late := map[string]durations{}
	for _, c := range u.running {
		d := u.classes[c.class]
		if age := now.Sub(c.at).Seconds(); d != nil && age > d.mean {
			l, ok := late[c.class]
			if !ok {
				l = *d
			}
			l.take(age)
			late[c.class] = l
		}
	}
	for class, d := range u.classes {
		if len(r.Durations) == maxReported {
			break
		}
		l, ok := late[class]
		if !ok {
			l = *d
		}
		if now.Sub(d.last) < usageKept || ok {
			r.Durations[class] = int(math.Ceil(1000 * l.mean))
		}
	}
	return r
}

// usageKept is how long a class counts after its last call.
const usageKept = 30 * time.Second
