package outbound

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
)

// Pattern: a planned stop in calm, with requests until its end. Guards against calls that are accepted
// so late in the stop that they are cut off while they run, and against refusals of calls that end in
// time.
func TestCallsThatCannotEndInThePlannedStopAreRefused(t *testing.T) {
	const timeout = 5 * time.Second
	start := time.Unix(1000, 0)
	stop := kernel.StopSchedule{DrainEnd: start.Add(3 * time.Second), Deadline: start.Add(6 * time.Second)}
	for _, tc := range []struct {
		at, mean, timeout time.Duration
		accepted          bool
	}{
		{0, 0, timeout, true},
		{2 * time.Second, 0, timeout, false}, // the call may take 5 s
		{2 * time.Second, 300 * time.Millisecond, timeout, true},
		{2 * time.Second, 1200 * time.Millisecond, timeout, true},
		{2 * time.Second, 1600 * time.Millisecond, timeout, false},
		{3 * time.Second, 1200 * time.Millisecond, timeout, false},
		// After the drain time the mean does not count: some calls take much longer.
		{4 * time.Second, 300 * time.Millisecond, timeout, false},
		{5 * time.Second, 400 * time.Millisecond, timeout, false},
		{5 * time.Second, 20 * time.Millisecond, timeout, false},
		{4 * time.Second, 300 * time.Millisecond, 1500 * time.Millisecond, true},
		{4500 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, false},
		{4500 * time.Millisecond, 0, 1200 * time.Millisecond, true},
		{7 * time.Second, time.Millisecond, timeout, false},
	} {
		now := start.Add(tc.at)
		if got := mayBegin(now, now.Add(tc.timeout), stop, tc.mean); got != tc.accepted {
			t.Errorf("after %v with a mean duration of %v and a timeout of %v: accepted %v", tc.at, tc.mean, tc.timeout, got)
		}
	}
}

// Pattern: calls that wait for a slot while their node stops. Guards against waits that outlast the process, before the
// signal and after it, and against limits for calls that end in time anyway.
func TestCallsWaitOnlyUntilTheirNodeStops(t *testing.T) {
	const window = 5700 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		stopping       bool
		at             time.Duration // since the start of the stop
		deadline, mean time.Duration
		wait           time.Duration
		hasTarget      bool
		maxWait, stay  time.Duration
	}{
		"short wait":                       {false, 0, 10 * time.Second, 30 * time.Millisecond, 4 * time.Second, true, 4 * time.Second, 0},
		"short deadline":                   {false, 0, 3 * time.Second, 30 * time.Millisecond, 0, false, 0, 0},
		"long wait":                        {false, 0, 25 * time.Second, 40 * time.Millisecond, 12 * time.Second, true, 12 * time.Second, 5400 * time.Millisecond},
		"no limit but the deadline":        {false, 0, 25 * time.Second, 40 * time.Millisecond, 12 * time.Second, false, 0, 5400 * time.Millisecond},
		"long calls":                       {false, 0, 25 * time.Second, 3 * time.Second, 12 * time.Second, true, 12 * time.Second, 2650 * time.Millisecond},
		"calls of unknown duration":        {false, 0, 25 * time.Second, 0, 12 * time.Second, true, 12 * time.Second, 2650 * time.Millisecond},
		"stopping, short wait":             {true, time.Second, 10 * time.Second, 40 * time.Millisecond, 2 * time.Second, true, 2 * time.Second, 0},
		"stopping, long wait":              {true, time.Second, 10 * time.Second, 40 * time.Millisecond, 5 * time.Second, true, 4400 * time.Millisecond, 4400 * time.Millisecond},
		"stopping, no limit":               {true, time.Second, 25 * time.Second, 40 * time.Millisecond, 12 * time.Second, false, 4400 * time.Millisecond, 4400 * time.Millisecond},
		"stopping, the deadline fits":      {true, time.Second, 4 * time.Second, 40 * time.Millisecond, 2 * time.Second, false, 0, 0},
		"stopping, just before the latest": {true, 5390 * time.Millisecond, 10 * time.Second, 40 * time.Millisecond, 5 * time.Second, true, minMaxStay, minMaxStay},
	} {
		now := start.Add(tc.at)
		stop := kernel.StopSchedule{Start: start, DrainEnd: start.Add(3 * time.Second), Deadline: start.Add(window)}
		deadline := now.Add(tc.deadline)
		maxWait, stay := queueLimits(now, deadline, stop.LatestStart(deadline, tc.mean), tc.wait, tc.hasTarget, tc.stopping)
		if maxWait != tc.maxWait || stay != tc.stay {
			t.Errorf("%s: may wait %v and stay %v, want %v and %v", name, maxWait, stay, tc.maxWait, tc.stay)
		}
	}
}
