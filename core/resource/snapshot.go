package resource

import (
	"maps"
	"sort"

	"github.com/cockroachdb/errors"
)

// Update is one step of a node's state: a configuration delta, endpoint sets,
// or both, applied as one unit.
type Update struct {
	// Delta is nil when only endpoint sets change.
	Delta *Delta `json:"d,omitempty"`
	// Sets replaces the endpoint sets of these services.
	Sets []EndpointSet `json:"s,omitempty"`
	// Drop removes the endpoint sets of services that no cluster refers to any more.
	Drop []string `json:"x,omitempty"`
}

// Errors of Snapshot.Apply.
var (
	// ErrBackwards means that the delta would lower the version.
	ErrBackwards = errors.New("delta lowers the version")
	// ErrGap means that the delta starts at another version than the snapshot's.
	ErrGap = errors.New("delta does not start at the held version")
	// ErrOpen means that a route or cluster would refer to something not held.
	ErrOpen = errors.New("snapshot would not be closed")
)

// Snapshot is the whole state that a node serves. It is immutable.
//
// Invariant: it is closed, that is, each route's cluster is in Clusters and
// each cluster's service is in Sets.
type Snapshot struct {
	Version  Version
	Routes   map[string]*Route
	Clusters map[string]*Cluster
	Sets     map[string]*EndpointSet
	// Table finds the route of a request.
	Table *RouteTable
}

// Apply returns the snapshot that results from u. s is nil before the first
// update and is never modified. The errors are ErrBackwards, ErrGap, ErrOpen.
func (s *Snapshot) Apply(u Update) (*Snapshot, error) {
	n, err := s.withDelta(u.Delta)
	if err != nil {
		return nil, err
	}
	if len(u.Sets) > 0 || len(u.Drop) > 0 {
		n.Sets = maps.Clone(n.Sets)
	}
	for i := range u.Sets {
		n.Sets[u.Sets[i].Service] = &u.Sets[i]
	}
	for _, service := range u.Drop {
		delete(n.Sets, service)
	}
	if err := n.closed(); err != nil {
		return nil, err
	}
	return n, nil
}

func (s *Snapshot) withDelta(d *Delta) (*Snapshot, error) {
	if s == nil {
		s = &Snapshot{Routes: map[string]*Route{}, Clusters: map[string]*Cluster{}, Sets: map[string]*EndpointSet{}, Table: NewRouteTable(nil)}
	}
	n := *s
	if d == nil {
		return &n, nil
	}
	if d.To < s.Version {
		return nil, errors.Wrapf(ErrBackwards, "from %d to %d", s.Version, d.To)
	}
	if d.From != 0 && d.From != s.Version {
		return nil, errors.Wrapf(ErrGap, "held %d, delta from %d", s.Version, d.From)
	}
	n.Version = d.To
	if d.From == 0 {
		n.Routes, n.Clusters = map[string]*Route{}, map[string]*Cluster{}
	} else if len(d.Upserts) > 0 || len(d.Removes) > 0 {
		n.Routes, n.Clusters = maps.Clone(n.Routes), maps.Clone(n.Clusters)
	}
	n.change(d)
	return &n, nil
}

// change enters a delta into the maps, which are not shared.
func (s *Snapshot) change(d *Delta) {
	var removed, added []*Route
	for _, k := range d.Removes {
		switch k.Kind {
		case KindRoute:
			if r := s.Routes[k.Name]; r != nil {
				removed = append(removed, r)
			}
			delete(s.Routes, k.Name)
		case KindCluster:
			delete(s.Clusters, k.Name)
		}
	}
	for i := range d.Upserts {
		r := &d.Upserts[i]
		if r.Route != nil {
			if old := s.Routes[r.Route.Name]; old != nil {
				removed = append(removed, old)
			}
			added = append(added, r.Route)
			s.Routes[r.Route.Name] = r.Route
		}
		if r.Cluster != nil {
			s.Clusters[r.Cluster.Name] = r.Cluster
		}
	}
	switch {
	case d.From == 0:
		s.Table = NewRouteTable(s.Routes)
	case len(removed) > 0 || len(added) > 0:
		s.Table = s.Table.with(removed, added)
	}
}

// closed checks the invariant and names the first reference that is not held.
func (s *Snapshot) closed() error {
	open := func(r *Route) string {
		if s.Clusters[r.Cluster] == nil {
			return r.Cluster
		}
		for _, part := range r.Split {
			if s.Clusters[part.Cluster] == nil {
				return part.Cluster
			}
		}
		return ""
	}
	if name := firstOf(s.Routes, func(r *Route) bool { return open(r) != "" }); name != "" {
		return errors.Wrapf(ErrOpen, "route %q refers to cluster %q", name, open(s.Routes[name]))
	}
	if name := firstOf(s.Clusters, func(c *Cluster) bool { return s.Sets[c.Service] == nil }); name != "" {
		return errors.Wrapf(ErrOpen, "cluster %q refers to endpoint set %q", name, s.Clusters[name].Service)
	}
	return nil
}

// firstOf returns the first name of m, in alphabetical order, whose value is bad;
// empty when there is none. Sorting all names took most of the time of an update.
func firstOf[V any](m map[string]V, bad func(V) bool) string {
	first := ""
	for name, v := range m {
		if (first == "" || name < first) && bad(v) {
			first = name
		}
	}
	return first
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
