package peerapi

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/resource"
)

// heldSnapshot returns a small configuration with one endpoint set.
func heldSnapshot(t testing.TB) *resource.Snapshot {
	s, err := (*resource.Snapshot)(nil).Apply(resource.Update{
		Delta: &resource.Delta{To: 3, Upserts: []resource.Resource{
			{Cluster: &resource.Cluster{Name: "c", Organisation: "o", Service: "svc"}},
			{Route: &resource.Route{Name: "r", Organisation: "o", Match: resource.Match{Host: "h", PathPrefix: "/"}, Cluster: "c"}},
		}},
		Sets: []resource.EndpointSet{{Service: "svc", Endpoints: []resource.Endpoint{{Node: "n", Service: "svc", Address: "10.0.0.1:80", Slots: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// FuzzUpdate guards against an update with an odd entry that ends the nodes which receive it, and against one that is refused and
// changes the snapshot all the same.
func FuzzUpdate(f *testing.F) {
	route := &resource.Route{Name: "x", Cluster: "none"}
	for _, m := range []Update{
		{Delta: &resource.Delta{From: 3, To: 4, Upserts: []resource.Resource{{}}, Removes: []resource.Key{{}}}},
		{Delta: &resource.Delta{To: 4, Upserts: []resource.Resource{{Route: route}, {Route: route}}}},
		{Delta: &resource.Delta{From: 3, To: 2}},
		{Sets: []resource.EndpointSet{{Service: "svc", Endpoints: []resource.Endpoint{{Node: "n", Address: ":70000", Slots: -1}, {Node: "n"}}}, {Service: "svc"}}},
		{Changes: []SetChange{{Service: "svc", Upserts: []EndpointChange{{}}, Removes: []string{"n", "n"}}, {Service: "other"}}},
		{Drop: []string{"svc", "svc", ""}},
	} {
		b, err := json.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"i":1e400}`))
	f.Add([]byte(strings.Repeat(`{"d":`, 20_000)))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Update
		if json.Unmarshal(b, &m) != nil {
			return
		}
		for _, held := range []*resource.Snapshot{nil, heldSnapshot(t)} {
			version, digests := Digests(held)
			u, err := m.Resolve(held)
			if err == nil {
				_, err = held.Apply(u)
			}
			after, digestsAfter := Digests(held)
			if after != version || len(digests) != len(digestsAfter) || digests["svc"] != digestsAfter["svc"] {
				t.Fatalf("the held snapshot changed (error %v)", err)
			}
		}
	})
}
