package session

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/settings"
)

// Guards against nodes that ask for another instance without pause while all instances are isolated, and
// against pauses that leave too little time for a change once another instance suits.
func TestPausesBetweenAttemptsToLeaveGrow(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		s := &Settings{PingInterval: settings.Duration(interval)}
		if got := s.meanLeavePause(0); got != interval/2 {
			t.Errorf("ping interval %v: first pause %v on average, want %v", interval, got, interval/2)
		}
		for failures := range 20 {
			previous, pause := s.meanLeavePause(failures), s.meanLeavePause(failures+1)
			if want := max(previous, min(2*previous, maxMeanLeavePause)); pause != want {
				t.Errorf("ping interval %v: pause %v after %d failed attempts, want %v", interval, pause, failures+1, want)
			}
		}
	}
}

// Guards against attempts to leave that ask the same instances again while others are never asked.
func TestAttemptsToLeaveGoThroughAllInstances(t *testing.T) {
	for count := 1; count <= 16; count++ {
		var candidates []instance
		for i := range count {
			candidates = append(candidates, instance{name: fmt.Sprint(i)})
		}
		asked := map[string]bool{}
		for failures := range (count + maxRefusalsPerMove - 1) / maxRefusalsPerMove {
			targets := leaveTargets(candidates, failures)
			if len(targets) != count {
				t.Fatalf("%d of %d instances are left for an attempt", len(targets), count)
			}
			for _, m := range targets[:min(maxRefusalsPerMove, count)] {
				asked[m.name] = true
			}
			for _, m := range candidates {
				if !slices.Contains(targets, m) {
					t.Fatalf("attempt %d of %d instances leaves out %s", failures, count, m.name)
				}
			}
		}
		if len(asked) != count {
			t.Errorf("%d of %d instances were asked", len(asked), count)
		}
	}
}
