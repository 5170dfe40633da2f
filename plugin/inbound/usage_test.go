package inbound

import (
	"testing"
	"time"
)

var usageStart = time.Unix(1700000000, 0)

// Guards against a report that follows single calls: other nodes act on it a second
// later, when the calls of that moment have long ended.
func TestUsageReportsTheMeanLoad(t *testing.T) {
	var u usage
	now := usageStart
	u.enter(now)
	for range 100 { // one call all the time, a second one half of the time
		u.enter(now)
		now = now.Add(20 * time.Millisecond)
		u.exit(now)
		now = now.Add(20 * time.Millisecond)
	}
	if got := u.report(2, now).Load; got < 70 || got > 80 {
		t.Errorf("load %d hundredths of two slots, want about 75", got)
	}
}

// Guards against an upstream that hangs and keeps its good name until its calls end.
func TestUsageCountsCallsThatTakeTooLong(t *testing.T) {
	var u usage
	now := usageStart
	for range 10 {
		c := &call{}
		u.begin(c, "0/500", now)
		now = now.Add(100 * time.Millisecond)
		u.end(c, endedWell, now)
	}
	if got := u.report(9, now).Durations["0/500"]; got != 100 {
		t.Fatalf("duration %d ms, want 100", got)
	}
	for range 5 {
		u.begin(&call{}, "0/500", now)
	}
	now = now.Add(2 * time.Second)
	if got := u.report(9, now).Durations["0/500"]; got < 500 {
		t.Errorf("duration %d ms while five calls hang for 2 s", got)
	}
}

// Guards against rejected calls, which end at once, passing for a fast upstream.
func TestUsageIgnoresCallsThatDidNotRun(t *testing.T) {
	var u usage
	c := &call{}
	u.begin(c, "0/500", usageStart)
	u.end(c, endedEarly, usageStart.Add(time.Millisecond))
	if r := u.report(9, usageStart); len(r.Durations) != 0 {
		t.Errorf("durations %v", r.Durations)
	}
}

// Guards against an upstream that fails its calls and passes for a fast one, and against
// one that is avoided for ever since it failed once.
func TestUsageReportsFailures(t *testing.T) {
	var u usage
	now := usageStart
	for i := range 100 {
		c := &call{}
		u.begin(c, "0/500", now)
		how := endedWell
		if i%2 == 0 {
			how = endedBadly
		}
		now = now.Add(time.Millisecond)
		u.end(c, how, now)
	}
	if got := u.report(9, now).Failing; got < 40 || got > 60 {
		t.Errorf("%d hundredths of the calls fail, want about 50", got)
	}
	if got := u.report(9, now.Add(5*failingHalf)).Failing; got > 3 {
		t.Errorf("%d hundredths after a time without calls", got)
	}
}
