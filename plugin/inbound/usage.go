package inbound

import (
	"math"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// meanCallsTimeConstant is the time constant of the mean number of calls.
	meanCallsTimeConstant = time.Second
	// maxAveragedCalls bounds the number of calls over which a duration is averaged.
	maxAveragedCalls = 24
	// maxReportedClasses bounds the number of classes in a report; which ones are left out is not
	// defined.
	maxReportedClasses = 8
)

// usage tracks the number of calls at the upstream, their durations and failures. It is safe
// for concurrent use.
type usage struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu sync.Mutex
	// calls is the number of calls at the upstream, running and waiting; meanCalls is its
	// exponentially weighted mean with the time constant meanCallsTimeConstant, as of updatedAt.
	calls     int
	meanCalls float64
	updatedAt time.Time
	// running holds the calls that the upstream runs.
	running map[*call]runningCall
	classes map[string]*meanDuration
	// failureRate is the moving average of the fraction of calls that failed, as of
	// failureUpdatedAt.
	failureRate      float64
	failureUpdatedAt time.Time
}

// Constants of the failure rate.
const (
	// failureWeight is the weight of one call in the failure rate.
	failureWeight = 1.0 / 16
	// failureHalfLife is the time in which the failure rate halves if there are no calls, so that
	// an upstream that other nodes avoid is tried again.
	failureHalfLife = 3 * time.Second
)

// failureRateAt returns the failure rate at the time now; mu must be held.
func (u *usage) failureRateAt(now time.Time) float64 {
	return u.failureRate * math.Exp2(-now.Sub(u.failureUpdatedAt).Seconds()/failureHalfLife.Seconds())
}

// outcome is how a call at the upstream ended.
type outcome int

const (
	// outcomeSuccess is an answer that does not report a failure of the upstream.
	outcomeSuccess outcome = iota
	// outcomeFailure is a rejection, a failure or no answer.
	outcomeFailure
	// outcomeIgnored is not counted: the caller gave up or its request body was cut off.
	outcomeIgnored
)

// runningCall is a call that the upstream runs.
type runningCall struct {
	class     string
	startedAt time.Time
}

// meanDuration is the mean duration of the calls of one class.
type meanDuration struct {
	mean      float64 // seconds
	count     float64 // number of calls in the mean, at most maxAveragedCalls
	updatedAt time.Time
}

// add adds one duration to the mean.
func (d *meanDuration) add(seconds float64) {
	d.count = min(d.count+1, maxAveragedCalls)
	d.mean += (seconds - d.mean) / d.count
}

// advance updates the mean number of calls to the time now; mu must be held.
func (u *usage) advance(now time.Time) {
	decay := math.Exp(-now.Sub(u.updatedAt).Seconds() / meanCallsTimeConstant.Seconds())
	u.meanCalls = float64(u.calls) + (u.meanCalls-float64(u.calls))*decay
	u.updatedAt = now
}

// callArrived and callLeft count the calls at the upstream.
func (u *usage) callArrived(now time.Time) { u.addCalls(1, now) }
func (u *usage) callLeft(now time.Time)    { u.addCalls(-1, now) }

func (u *usage) addCalls(by int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	u.calls += by
}

// callStarted records that the upstream runs a call.
func (u *usage) callStarted(c *call, class string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running == nil {
		u.running, u.classes = map[*call]runningCall{}, map[string]*meanDuration{}
	}
	u.running[c] = runningCall{class, now}
}

// callEnded records how a call ended and how long it took. Only answers count in the durations,
// since a failure may come at once.
func (u *usage) callEnded(c *call, result outcome, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.running[c]
	delete(u.running, c)
	if !ok || result == outcomeIgnored {
		return
	}
	failed := 0.0
	if result == outcomeFailure {
		failed = 1
	}
	u.failureRate = u.failureRateAt(now)
	u.failureRate += failureWeight * (failed - u.failureRate)
	u.failureUpdatedAt = now
	if result == outcomeSuccess {
		u.recordDuration(r.class, now.Sub(r.startedAt).Seconds(), now)
	}
}

// recordDuration records the duration of an answered call; mu must be held.
func (u *usage) recordDuration(class string, seconds float64, now time.Time) {
	d := u.classes[class]
	if d == nil {
		if len(u.classes) >= maxClasses {
			clear(u.classes)
		}
		d = &meanDuration{}
		u.classes[class] = d
	}
	d.add(seconds)
	d.updatedAt = now
}

// report returns the load, failure rate and durations of the upstream for other nodes. A
// running call that already takes longer than the mean of its class counts with its age, so
// that an upstream that has become slow or hangs is noticed before its calls end.
func (u *usage) report(slots int, now time.Time) *peerapi.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	r := &peerapi.LoadReport{
		LoadPercent: int(100 * u.meanCalls / float64(max(slots, 1))), FailurePercent: int(100 * u.failureRateAt(now)), DurationsMillis: map[string]int{},
	}
	overdue := map[string]meanDuration{}
	for _, c := range u.running {
		d := u.classes[c.class]
		if age := now.Sub(c.startedAt).Seconds(); d != nil && age > d.mean {
			current, ok := overdue[c.class]
			if !ok {
				current = *d
			}
			current.add(age)
			overdue[c.class] = current
		}
	}
	for class, d := range u.classes {
		if len(r.DurationsMillis) == maxReportedClasses {
			break
		}
		current, ok := overdue[class]
		if !ok {
			current = *d
		}
		if now.Sub(d.updatedAt) < classRetention || ok {
			r.DurationsMillis[class] = int(math.Ceil(1000 * current.mean))
		}
	}
	return r
}

// classRetention is how long a class is reported after its last call.
const classRetention = 30 * time.Second
