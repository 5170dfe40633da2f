package dataplane

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a path from caller to upstream that loses parts of a call, and
// against headers of the system that callers or upstreams smuggle through.
func TestCallThroughTwoNodes(t *testing.T) {
	f := newFleet(t, 4)
	f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		for name := range r.Header {
			if strings.HasPrefix(name, "Celeryyard-") && name != "Celeryyard-Timeout-Ms" {
				t.Errorf("upstream got header %s", name)
			}
		}
		w.Header().Set("Celeryyard-Rejected", "full;00")
		w.Header().Set("Celeryyard-Verdict", "not-run")
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(r.Host + ":" + string(b)))
	}))
	b := f.add("b", "z2", nil)
	got := b.call("POST", "north", "/x%2Fy?q=1", "hello", "Celeryyard-Call", "1;1;a;b", "Celeryyard-Rejected", "x;y")
	if got.err != nil || got.status != 503 || got.body != "north:hello" || got.verdict != "" || got.header.Get("X-Path") != "/x%2Fy?q=1" {
		t.Fatalf("got %+v", got)
	}
	if got := b.call("GET", "nobody", "/", ""); got.status != 404 || got.verdict != "not-run" {
		t.Fatalf("no route: %+v", got)
	}
	s := b.view.snapshot.Swap(nil)
	if got := b.call("GET", "north", "/", ""); got.status != 503 || got.verdict != "not-run" {
		t.Fatalf("no configuration: %+v", got)
	}
	b.view.snapshot.Store(s)
	big := strings.Repeat("0123456789", 100_000)
	if got := b.call("POST", "south", "/", big); got.err != nil || got.body != "south:"+big {
		t.Fatalf("large body: status %d, %d bytes, error %v", got.status, len(got.body), got.err)
	}
}
