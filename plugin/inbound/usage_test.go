package inbound

import (
	"testing"
	"time"
)

var usageStart = time.Unix(1700000000, 0)

// Guards against reporting the current number of calls instead of the mean. Other nodes act on a
// report about a second later, when these calls have long ended.
func TestUsageReportsTheMeanLoad(t *testing.T) {
	var u usage
	now := usageStart
	u.callArrived(now)
	for range 100 { // one call throughout, a second one half of the time
		u.callArrived(now)
		now = now.Add(20 * time.Millisecond)
		u.callLeft(now)
		now = now.Add(20 * time.Millisecond)
	}
	if got := u.report(2, now).LoadPercent; got < 70 || got > 80 {
		t.Errorf("load %d hundredths of two slots, want about 75", got)
	}
}

// Guards against an upstream that hangs and is still reported as fast until its calls end.
func TestUsageCountsCallsThatTakeTooLong(t *testing.T) {
	var u usage
	now := usageStart
	for range 10 {
		c := &call{}
		u.callStarted(c, "0/500", now)
		now = now.Add(100 * time.Millisecond)
		u.callEnded(c, outcomeSuccess, now)
	}
	if got := u.report(9, now).DurationsMillis["0/500"]; got != 100 {
		t.Fatalf("duration %d ms, want 100", got)
	}
	for range 5 {
		u.callStarted(&call{}, "0/500", now)
	}
	now = now.Add(2 * time.Second)
	if got := u.report(9, now).DurationsMillis["0/500"]; got < 500 {
		t.Errorf("duration %d ms while five calls hang for 2 s", got)
	}
}

// Guards against an upstream that is reported as fast because the durations of calls that did not
// run, and thus ended at once, are counted.
func TestUsageIgnoresCallsThatDidNotRun(t *testing.T) {
	var u usage
	c := &call{}
	u.callStarted(c, "0/500", usageStart)
	u.callEnded(c, outcomeIgnored, usageStart.Add(time.Millisecond))
	if r := u.report(9, usageStart); len(r.DurationsMillis) != 0 {
		t.Errorf("durations %v", r.DurationsMillis)
	}
}

// Guards against an upstream that fails its calls and is reported as healthy, and against one
// that is avoided forever because it failed once.
func TestUsageReportsFailures(t *testing.T) {
	var u usage
	now := usageStart
	for i := range 100 {
		c := &call{}
		u.callStarted(c, "0/500", now)
		result := outcomeSuccess
		if i%2 == 0 {
			result = outcomeFailure
		}
		now = now.Add(time.Millisecond)
		u.callEnded(c, result, now)
	}
	if got := u.report(9, now).FailurePercent; got < 40 || got > 60 {
		t.Errorf("%d hundredths of the calls fail, want about 50", got)
	}
	if got := u.report(9, now.Add(5*failureHalfLife)).FailurePercent; got > 3 {
		t.Errorf("%d hundredths after a time without calls", got)
	}
}
