package dataplane

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkCall measures sequential calls that go directly to the upstream, and calls that go through
// two nodes.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, 64)
	f.withoutRelays = true
	callee := f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }))
	caller := f.addNode("b", "z1", nil)
	for name, url := range map[string]string{"direct": callee.upstream.URL + "/", "nodes": "http://" + caller.callersAddress + "/"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest("GET", url, nil)
				r.Host = "north"
				resp, err := testClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
