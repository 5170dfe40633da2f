package dataplane

import (
	"strings"
	"testing"
)

// Guards against nodes that refuse a call without returning the caller's request ID, by which the
// refusal is found in the log, and against nodes that accept request IDs of any length.
func TestRefusalsCarryRequestID(t *testing.T) {
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 2)
	n := f.addNode("n0", "z1", executions)
	for id, want := range map[string]string{"req-17": "req-17", strings.Repeat("x", 200): ""} {
		if got := n.call("GET", "north", "/a", "", "x-request-id", id); got.status != 200 {
			t.Errorf("call %.10s: %+v", id, got)
		}
		got := n.call("GET", "nobody", "/a", "", "x-request-id", id)
		if got.status != 404 || got.header.Get("X-Request-Id") != want {
			t.Errorf("refusal of request %.10s has request ID %q, status %d", id, got.header.Get("X-Request-Id"), got.status)
		}
	}
}
