package resource

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"reflect"
	"strings"
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
		before := append([]tableRoute{}, held...)
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

// Guards against a route that is accepted and serves no request, because its prefix or host is compared in another form than
// the path and the host of requests. The paths are those that begin with the prefix as it is written.
func TestEveryReachableRouteServesRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(49, 1))
	pieces := []string{"a", "B", "/", "//", ".", "..", "%20", "%C5%BE", "%c5%be", "%2F", "%2f", "%61", "%00", "%25", "%3F", "%zz", "%", "?", "#", ";", "+", "~", "é", "\x7f", " ", "%e2%82"}
	hosts := []string{"h.example", "H.example", "h.example:8080", "10.0.0.1"}
	served, refused := 0, 0
	for range 6000 {
		c := &Configuration{Number: 1, Services: []ConfiguredService{{Name: "s"}}}
		for i := range 1 + rng.IntN(4) {
			prefix := "/"
			for range rng.IntN(5) {
				prefix += pieces[rng.IntN(len(pieces))]
			}
			c.Routes = append(c.Routes, ConfiguredRoute{Name: fmt.Sprint(i), Host: hosts[rng.IntN(len(hosts))], PathPrefix: strings.TrimSuffix(prefix, "/") + "/", TimeoutMillis: 1, Service: "s"})
		}
		if c.Validate() != nil || c.CheckReachable() != nil {
			refused++
			continue
		}
		routes := map[string]*Route{}
		for _, r := range c.Expand().Routes {
			routes[r.Name] = r
		}
		table := NewRouteTable(routes)
		for i := range c.Routes {
			r := &c.Routes[i]
			u, err := url.ParseRequestURI(r.PathPrefix)
			if err != nil {
				t.Fatalf("prefix %q is accepted: %v", r.PathPrefix, err)
			}
			if got := table.Find("GET", r.Host, RoutingPath(u)); got == nil || got.Name != r.Key().Name {
				t.Fatalf("request for %q %q is served by %+v", r.Host, r.PathPrefix, got)
			}
			served++
		}
	}
	t.Logf("%d routes serve a request, %d configurations were refused", served, refused)
	if served < 3000 {
		t.Errorf("only %d routes were accepted", served)
	}
}

// Guards against orders that are accepted although a route can never serve a request, and against ones that are refused without
// the field.
func TestUnreachableRoutesAreRefused(t *testing.T) {
	for name, r := range map[string]ConfiguredRoute{
		"query": {PathPrefix: "/a?b/"}, "fragment": {PathPrefix: "/a#b/"}, "broken escape": {PathPrefix: "/a%zz/"}, "negative priority": {PathPrefix: "/a/", Priority: -1},
		"same paths": {PathPrefix: "/%6B/"},
	} {
		r.Host, r.TimeoutMillis, r.Service = "h", 1, "s"
		c := &Configuration{Number: 1, Services: []ConfiguredService{{Name: "s"}}, Routes: []ConfiguredRoute{{Host: "h", PathPrefix: "/k/", TimeoutMillis: 1, Service: "s"}, r}}
		if err := c.Validate(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := c.CheckReachable(); err == nil || !strings.Contains(err.Error(), "routes/1") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
