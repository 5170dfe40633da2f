package operator

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a log that is filled by one undecided change, which an operator sends 15 times a
// second, and against a table of such changes that grows without bound.
func TestUndecidedChangeIsLoggedOncePerSecond(t *testing.T) {
	var r repeats
	now := time.Unix(1000, 0)
	lines, counted := 0, 0
	for range 150 {
		if suppressed, ok := r.allow("c1", "isolated", now); ok {
			lines++
			counted += suppressed
		}
		now = now.Add(time.Second / 15)
	}
	if lines != 10 || lines+counted < 140 {
		t.Fatalf("%d lines that tell of %d more for 150 attempts in 10 s", lines, counted)
	}
	if _, ok := r.allow("c1", "timeout", now); !ok {
		t.Fatal("another cause is not logged")
	}
	for i := range 10 * maxRepeats {
		r.allow(fmt.Sprint(i), "isolated", now)
	}
	if len(r.entries) > maxRepeats {
		t.Fatalf("%d entries", len(r.entries))
	}
}
