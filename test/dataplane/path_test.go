package dataplane

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against nodes that lose or change parts of a call between caller and upstream, and against
// nodes that pass on reserved headers set by a caller or an upstream.
func TestCallThroughTwoNodes(t *testing.T) {
	f := newFleet(t, 4)
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for name := range r.Header {
			if strings.HasPrefix(name, "Celeryyard-") && name != "Celeryyard-Timeout-Ms" {
				t.Errorf("upstream got header %s", name)
			}
		}
		w.Header().Set("Celeryyard-Rejected", "full;00")
		w.Header().Set("Celeryyard-Verdict", "not-run")
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(r.Host + ":" + string(body)))
	}))
	caller := f.addNode("b", "z2", nil)
	got := caller.call("POST", "north", "/x%2Fy?q=1", "hello", "Celeryyard-Call", "1;1;a;b", "Celeryyard-Rejected", "x;y")
	if got.err != nil || got.status != 503 || got.body != "north:hello" || got.verdict != "" || got.header.Get("X-Path") != "/x%2Fy?q=1" {
		t.Fatalf("got %+v", got)
	}
	if got := caller.call("GET", "nobody", "/", ""); got.status != 404 || got.verdict != "not-run" {
		t.Fatalf("call without a route: %+v", got)
	}
	s := caller.view.snapshot.Swap(nil)
	if got := caller.call("GET", "north", "/", ""); got.status != 503 || got.verdict != "not-run" {
		t.Fatalf("call without a configuration: %+v", got)
	}
	caller.view.snapshot.Store(s)
	big := strings.Repeat("0123456789", 100_000)
	if got := caller.call("POST", "south", "/", big); got.err != nil || got.body != "south:"+big {
		t.Fatalf("large body: status %d, %d bytes, error %v", got.status, len(got.body), got.err)
	}
}
