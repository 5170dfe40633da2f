package dataplane

import (
	"strings"
	"testing"
)

// Guards against refusals of the product's own interface that cannot be found in the log
// by the name that the caller gave the request, and against names of any length.
func TestRefusalsNameTheRequest(t *testing.T) {
	l := &ledger{runs: map[string]int{}}
	f := newFleet(t, 2)
	n := f.add("n0", "z1", l)
	for id, want := range map[string]string{"req-17": "req-17", strings.Repeat("x", 200): ""} {
		if got := n.call("GET", "north", "/a", "", "x-request-id", id); got.status != 200 {
			t.Errorf("call %.10s: %+v", id, got)
		}
		got := n.call("GET", "nobody", "/a", "", "x-request-id", id)
		if got.status != 404 || got.header.Get("X-Request-Id") != want {
			t.Errorf("refusal of %.10s names %q, status %d", id, got.header.Get("X-Request-Id"), got.status)
		}
	}
}
