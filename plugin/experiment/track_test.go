package experiment

import "testing"

// Guards against convergence times that ignore a node, and against version decreases that are not
// counted.
func TestTrackerWaitsForEveryNode(t *testing.T) {
	tr := newTracker(2, 2)
	tr.recordAccepted(1, 7)
	tr.recordAccepted(0, 7)
	tr.recordServed(0, 7)
	if _, ok := tr.convergenceTime(7); ok {
		t.Fatal("version 7 has converged although a node does not serve it")
	}
	tr.recordServed(1, 9)
	if d, ok := tr.convergenceTime(7); !ok || d < 0 {
		t.Fatalf("convergence time is %v, %v", d, ok)
	}
	if _, ok := tr.convergenceTime(8); ok {
		t.Fatal("version 8, which no control instance accepted, has converged")
	}
	tr.recordServed(1, 9)
	if tr.versionDecreases != 0 {
		t.Fatal("a repeated version counts as a decrease")
	}
	tr.recordServed(1, 8)
	if tr.versionDecreases != 1 {
		t.Fatal("a version decrease was not counted")
	}
}
