package inbound

import (
	"math"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// meanCallsTimeConstant is the time constant of the exponentially weighted mean number of calls.
	meanCallsTimeConstant = time.Second
	// maxAveragedCalls is the number of calls after which the mean duration of a class becomes a
	// moving average, in which a new call has a weight of 1/maxAveragedCalls.
	maxAveragedCalls = 24
	// maxReportedClasses bounds the number of classes in a report. If there are more, an arbitrary
	// selection is reported.
	maxReportedClasses = 8
)

// usage tracks the number of calls at the upstream, their durations and failures. It is safe
// for concurrent use.
type usage struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu sync.Mutex
	// activeCalls is the number of calls in flight, which run at the upstream or wait for a slot.
	activeCalls int
	// meanCalls is the exponentially weighted mean of activeCalls, as of updatedAt.
	meanCalls float64
	updatedAt time.Time
	// running holds the calls that the upstream runs.
	running map[*call]runningCall
	// classes holds the mean durations by class.
	classes map[string]*meanDuration
	// failureRate is the moving average of the fraction of calls that failed, as of
	// failureUpdatedAt.
	failureRate      float64
	failureUpdatedAt time.Time
}

// Parameters of the failure rate.
const (
	// failureWeight is the weight of one call in the failure rate.
	failureWeight = 1.0 / 16
	// failureHalfLife is the time after which the failure rate has halved if there were no calls. The
	// rate decays so that other nodes try an upstream again that they avoid because of it.
	failureHalfLife = 3 * time.Second
)

// failureRateAt returns the failure rate at the time now; mu must be held.
func (u *usage) failureRateAt(now time.Time) float64 {
	return u.failureRate * math.Exp2(-now.Sub(u.failureUpdatedAt).Seconds()/failureHalfLife.Seconds())
}

// outcome is how a call at the upstream ended.
type outcome int

const (
	// outcomeSuccess is an answer with a status below 500.
	outcomeSuccess outcome = iota
	// outcomeFailure is an answer with a status of 500 or above, a rejection by the upstream, or a
	// dispatch without a valid answer.
	outcomeFailure
	// outcomeIgnored is a dispatch that failed because the caller gave up or its request body could
	// not be read. It says nothing about the upstream and is not counted.
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

// advance brings meanCalls, the moving average of the calls in flight, up to date as of now. The
// caller must hold mu.
func (u *usage) advance(now time.Time) {
	decay := math.Exp(-now.Sub(u.updatedAt).Seconds() / meanCallsTimeConstant.Seconds())
	u.meanCalls = float64(u.activeCalls) + (u.meanCalls-float64(u.activeCalls))*decay
	u.updatedAt = now
}

// callArrived counts a call as in flight, callLeft ends that count.
func (u *usage) callArrived(now time.Time) { u.addCalls(1, now) }
func (u *usage) callLeft(now time.Time)    { u.addCalls(-1, now) }

func (u *usage) addCalls(delta int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	u.activeCalls += delta
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

// callEnded records how a call ended and how long it took. Durations of failed calls are not
// recorded, since a call may fail at once.
func (u *usage) callEnded(c *call, result outcome, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.running[c]
	delete(u.running, c)
	if !ok || result == outcomeIgnored {
		return
	}
	failureSample := 0.0
	if result == outcomeFailure {
		failureSample = 1
	}
	u.failureRate = u.failureRateAt(now)
	u.failureRate += failureWeight * (failureSample - u.failureRate)
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

// meanDuration returns the mean duration of the calls of a class; 0 if unknown.
func (u *usage) meanDuration(class string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if d := u.classes[class]; d != nil {
		return time.Duration(d.mean * float64(time.Second))
	}
	return 0
}

// report returns the load, failure rate and durations of the upstream for other nodes. A
// running call that already takes longer than the mean of its class counts with the time that it
// has run so far. Other nodes thus notice an upstream that has become slow or hangs before its
// calls end.
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

// classRetention is how long the duration of a class is reported after the last call of the class
// was answered.
const classRetention = 30 * time.Second
