package operator

import (
	"slices"
	"testing"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Guards against an explanation that lists endpoints of a split route twice: the route names its
// first cluster in both Cluster and Split, and several clusters may share a service.
func TestRouteServicesOfSplitRoute(t *testing.T) {
	clusters := map[string]*resource.Cluster{"a": {Service: "first"}, "b": {Service: "second"}, "c": {Service: "first"}}
	for _, c := range []struct {
		route resource.Route
		want  []string
	}{
		{resource.Route{Cluster: "a"}, []string{"first"}},
		{resource.Route{Cluster: "a", Split: []resource.WeightedCluster{{Cluster: "a"}, {Cluster: "b"}, {Cluster: "c"}}}, []string{"first", "second"}},
		{resource.Route{Cluster: "unknown"}, nil},
	} {
		if got := routeServices(&c.route, clusters); !slices.Equal(got, c.want) {
			t.Errorf("services of route %+v: got %v, want %v", c.route, got, c.want)
		}
	}
}
