package httpcall

import (
	"testing"
	"time"
)

// Guards against a call of a route with a target latency of more than a day that the next node refuses.
func TestCallWithALongTargetLatencyIsAccepted(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, maxTimeout, maxTimeout + time.Millisecond, 90_000 * time.Second, 1<<63 - 1} {
		c := Call{Remaining: time.Second, Service: "s", Organisation: "o", ID: "i", TargetLatency: d, RemainingWait: d}
		got, err := ParseCall(c.Encode())
		if want := min(d, maxTimeout).Truncate(time.Millisecond); err != nil || got.TargetLatency != want || got.RemainingWait != want {
			t.Errorf("%v: %+v, error %v", d, got, err)
		}
	}
}
