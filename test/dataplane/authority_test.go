package dataplane

import (
	"io"
	"net/http"
	"testing"
)

// Guards against a caller who gets the answer to another caller's call because both have chosen the same key.
func TestCallersWithDifferentAuthorityShareNoAnswer(t *testing.T) {
	f := newFleet(t, 4)
	n := f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("Authorization")) }))
	key := []string{"Idempotency-Key", "k"}
	call := func(header ...string) answer { return n.call("POST", "north", "/", "b", append(header, key...)...) }
	if a := call("Authorization", "alice"); a.status != http.StatusOK || a.body != "alice" {
		t.Fatalf("first call: %+v", a)
	}
	if a := call("Authorization", "alice"); a.status != http.StatusOK || a.claim != "replayed" {
		t.Errorf("repeat: %+v", a)
	}
	for _, header := range [][]string{{"Authorization", "bob"}, {"Authorization", "alice", "Cookie", "c=1"}, {}} {
		if a := call(header...); a.status != http.StatusUnprocessableEntity || a.claim != "" {
			t.Errorf("call with the same key and %v: %+v", header, a)
		}
	}
}
