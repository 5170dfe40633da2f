package resource

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// newRouteResource returns a route; n determines its path prefix and which of three hosts it has.
func newRouteResource(n, timeout int) Resource {
	return Resource{Route: &Route{
		Name: fmt.Sprintf("r%d", n), Cluster: "c", TimeoutMillis: timeout,
		Match: Match{Host: fmt.Sprintf("H%d", n%3), PathPrefix: "/" + fmt.Sprint(n) + "/"},
	}}
}

func newBaseUpdate() Update {
	return Update{
		Delta: &Delta{To: 1, Upserts: []Resource{{Cluster: &Cluster{Name: "c", Service: "s"}}}},
		Sets:  []EndpointSet{{Service: "s"}},
	}
}

// Guards against an incrementally updated route table that differs from a table built from
// all routes: requests would be routed by an outdated configuration.
func TestUpdatedRouteTableEqualsRebuiltTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	s, err := (*Snapshot)(nil).Apply(newBaseUpdate())
	if err != nil {
		t.Fatal(err)
	}
	for v := Version(2); v < 300; v++ {
		d := &Delta{From: v - 1, To: v}
		for range rng.IntN(6) {
			n := rng.IntN(20)
			if rng.IntN(2) == 0 {
				d.Removes = append(d.Removes, Key{Kind: KindRoute, Name: fmt.Sprintf("r%d", n)})
			} else {
				d.Upserts = append(d.Upserts, newRouteResource(n, int(v))) // the same route may occur twice
			}
		}
		held := s.Table.byHost["h1"]
		before := append([]*Route{}, held...)
		next, err := s.Apply(Update{Delta: d})
		if err != nil {
			t.Fatal(err)
		}
		if want := NewRouteTable(next.Routes); !reflect.DeepEqual(next.Table.byHost, want.byHost) {
			t.Fatalf("version %d: the table differs after %+v", v, d)
		}
		for i := range before {
			if held[i] != before[i] {
				t.Fatalf("version %d: the table of the previous snapshot was modified", v)
			}
		}
		s = next
	}
}

// Guards against a snapshot with a route that refers to a missing cluster, or a cluster that
// refers to a missing endpoint set.
func TestDanglingReferencesAreRejected(t *testing.T) {
	s, err := (*Snapshot)(nil).Apply(newBaseUpdate())
	if err != nil {
		t.Fatal(err)
	}
	dangling := newRouteResource(1, 1)
	dangling.Route.Cluster = "other"
	split := newRouteResource(2, 1)
	split.Route.Split = []WeightedCluster{{Cluster: "c", Weight: 1}, {Cluster: "other", Weight: 1}}
	for name, u := range map[string]Update{
		"route":   {Delta: &Delta{From: 1, To: 2, Upserts: []Resource{dangling, newRouteResource(3, 1)}}},
		"split":   {Delta: &Delta{From: 1, To: 2, Upserts: []Resource{split}}},
		"cluster": {Delta: &Delta{From: 1, To: 2, Upserts: []Resource{{Cluster: &Cluster{Name: "d", Service: "none"}}}}},
		"set":     {Drop: []string{"s"}},
	} {
		if _, err := s.Apply(u); err == nil {
			t.Errorf("%s: a snapshot with a dangling reference was created", name)
		}
	}
}

// BenchmarkApply measures an update that changes one of 3,000 routes.
func BenchmarkApply(b *testing.B) {
	u := newBaseUpdate()
	for n := range 3000 {
		u.Delta.Upserts = append(u.Delta.Upserts, newRouteResource(n, 1))
	}
	s, err := (*Snapshot)(nil).Apply(u)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		if s, err = s.Apply(Update{Delta: &Delta{From: s.Version, To: s.Version + 1, Upserts: []Resource{newRouteResource(i%3000, 2)}}}); err != nil {
			b.Fatal(err)
		}
	}
}
