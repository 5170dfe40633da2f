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
}

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

// end takes the duration of a call. counts is false for one that tells nothing of
// the upstream's speed: it was rejected, or its caller gave up.
func (u *usage) end(c *call, counts bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.running[c]
	delete(u.running, c)
	if !ok || !counts {
		return
	}
	d := u.classes[r.class]
	if d == nil {
		if len(u.classes) >= maxClasses {
			clear(u.classes)
		}
		d = &durations{}
		u.classes[r.class] = d
	}
	d.take(now.Sub(r.at).Seconds())
	d.last = now
}

// report tells other nodes how busy and how fast the upstream is. A running call
// that already takes longer than its class counts with its age, so that an upstream
// that has become slow or hangs is noticed before its calls end.
func (u *usage) report(slots int, now time.Time) *peerapi.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	r := &peerapi.LoadReport{Load: int(100 * u.mean / float64(max(slots, 1))), Durations: map[string]int{}}
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
