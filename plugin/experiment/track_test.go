package experiment

import "testing"

// Guards against convergence times that leave out a node, and against a return
// to an older version that is not counted.
func TestTrackerCountsEveryNode(t *testing.T) {
	tr := newTracker(2, 2)
	tr.accepted(1, 7)
	tr.accepted(0, 7)
	tr.served(0, 7)
	if _, ok := tr.convergence(7); ok {
		t.Fatal("converged although one node is missing")
	}
	tr.served(1, 9)
	if d, ok := tr.convergence(7); !ok || d < 0 {
		t.Fatalf("convergence %v, %v", d, ok)
	}
	if _, ok := tr.convergence(8); ok {
		t.Fatal("a version that no instance accepted has converged")
	}
	tr.served(1, 9)
	if tr.backwards != 0 {
		t.Fatal("the same version counts as a step back")
	}
	tr.served(1, 8)
	if tr.backwards != 1 {
		t.Fatal("a step back is not counted")
	}
}
