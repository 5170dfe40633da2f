package session

import (
	"testing"
	"time"
)

// Guards against a process that takes what it knew before a pause for current, because of a statement that was made before
// the pause, and against calls that wait in a process that was not paused.
func TestOnlyAConfirmationAfterThePauseEndsIt(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := pauseWatch{maxGap: time.Second}
	waits := func() bool { return w.refreshed != nil }
	for _, ms := range []int{0, 500, 1500, 2400} {
		if w.observe(after(ms)) || waits() {
			t.Fatalf("a process that runs counts as paused at %d ms", ms)
		}
	}
	if !w.observe(after(7400)) || !waits() {
		t.Fatal("a pause of 5 s is not noticed")
	}
	first := w.refreshed
	w.confirm(after(2400)) // the answer to a ping that was sent before the pause
	if !waits() {
		t.Error("a statement from before the pause ends it")
	}
	if !w.observe(after(9000)) || w.refreshed != first {
		t.Error("calls that wait since the first pause are forgotten by the second one")
	}
	w.confirm(after(7300))
	if !waits() {
		t.Error("a statement from before the second pause ends it")
	}
	w.confirm(after(8900))
	if waits() {
		t.Error("calls wait although the configuration is confirmed")
	}
	select {
	case <-first:
	default:
		t.Error("the calls that wait were not woken")
	}
	w.end() // the end of maxRefreshWait
}
