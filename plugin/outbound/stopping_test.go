package outbound

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Pattern: a planned stop in calm, with requests until its end. Guards against calls that are accepted
// so late in the stop that they are cut off while they run, and against refusals of calls that end in
// time.
func TestCallsThatCannotEndInThePlannedStopAreRefused(t *testing.T) {
	start := time.Unix(1000, 0)
	deadline := start.Add(6 * time.Second)
	route := &resource.Route{TimeoutMillis: 5000}
	for _, tc := range []struct {
		at, mean time.Duration
		accepted bool
	}{
		{0, 0, true},
		{2 * time.Second, 0, false}, // the call may take 5 s
		{2 * time.Second, 300 * time.Millisecond, true},
		{2 * time.Second, 1200 * time.Millisecond, true},
		{3 * time.Second, 1200 * time.Millisecond, false},
		{4 * time.Second, 300 * time.Millisecond, true},
		{5 * time.Second, 400 * time.Millisecond, false},
		{5 * time.Second, 20 * time.Millisecond, true},
		{7 * time.Second, time.Millisecond, false},
	} {
		if got := canEndBefore(start.Add(tc.at), deadline, route, tc.mean); got != tc.accepted {
			t.Errorf("after %v with a mean duration of %v: accepted %v", tc.at, tc.mean, got)
		}
	}
}
