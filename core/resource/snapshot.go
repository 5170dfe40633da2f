package resource

import (
	"maps"
	"sort"

	"github.com/cockroachdb/errors"
)

// Update is one change of a node's state: a configuration delta, endpoint sets, or both,
// applied as a unit.
type Update struct {
	// Delta is nil when only endpoint sets change.
	Delta *Delta `json:"d,omitempty"`
	// Sets holds endpoint sets, each of which replaces the set of its service.
	Sets []EndpointSet `json:"s,omitempty"`
	// Drop names services whose endpoint sets are removed, because no cluster refers to them
	// any more.
	Drop []string `json:"x,omitempty"`
}

// Errors of Snapshot.Apply.
var (
	// ErrVersionRegression means that the delta would lower the version.
	ErrVersionRegression = errors.New("delta would lower the version")
	// ErrVersionGap means that the delta does not start from the version of the snapshot.
	ErrVersionGap = errors.New("delta does not apply to the current version")
	// ErrDanglingReference means that a route would refer to a missing cluster, or a
	// cluster to a missing endpoint set.
	ErrDanglingReference = errors.New("snapshot would have a dangling reference")
)

// Snapshot is the whole state that a node serves. It is immutable.
//
// Invariant: there are no dangling references. The clusters of each route are in Clusters
// and the service of each cluster is in Sets.
type Snapshot struct {
	Version  Version
	Routes   map[string]*Route
	Clusters map[string]*Cluster
	Sets     map[string]*EndpointSet
	// Table finds the route that matches a request.
	Table *RouteTable
	// Callers holds the calling teams by name. If there are none, requests need no API key.
	Callers map[string]*Caller
	// CallersByKey finds the calling team that has an API key.
	CallersByKey map[KeyDigest]*Caller
}

// HasCallers reports whether the configuration has calling teams. s is nil before the first update.
func (s *Snapshot) HasCallers() bool { return s != nil && len(s.Callers) > 0 }

// Apply returns the snapshot that results from applying u to s, which is not modified. s is nil before
// the first update. The error is ErrVersionRegression, ErrVersionGap, ErrDanglingReference or ErrSharedKey.
func (s *Snapshot) Apply(u Update) (*Snapshot, error) {
	next, err := s.withDelta(u.Delta)
	if err != nil {
		return nil, err
	}
	if len(u.Sets) > 0 || len(u.Drop) > 0 {
		next.Sets = maps.Clone(next.Sets)
	}
	for i := range u.Sets {
		next.Sets[u.Sets[i].Service] = &u.Sets[i]
	}
	for _, service := range u.Drop {
		delete(next.Sets, service)
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	return next, nil
}

func (s *Snapshot) withDelta(d *Delta) (*Snapshot, error) {
	if s == nil {
		s = &Snapshot{Routes: map[string]*Route{}, Clusters: map[string]*Cluster{}, Sets: map[string]*EndpointSet{}, Table: NewRouteTable(nil)}
	}
	next := *s
	if d == nil {
		return &next, nil
	}
	if d.To < s.Version {
		return nil, errors.Wrapf(ErrVersionRegression, "from version %d to version %d", s.Version, d.To)
	}
	if d.From != 0 && d.From != s.Version {
		return nil, errors.Wrapf(ErrVersionGap, "current version %d, delta from version %d", s.Version, d.From)
	}
	next.Version = d.To
	routing, callers := d.scope()
	if d.From == 0 {
		next.Routes, next.Clusters, next.Callers = map[string]*Route{}, map[string]*Cluster{}, nil
	} else if routing {
		next.Routes, next.Clusters = maps.Clone(next.Routes), maps.Clone(next.Clusters)
	}
	if routing || d.From == 0 {
		next.applyDelta(d)
	}
	if !callers && d.From != 0 {
		return &next, nil
	}
	return &next, next.applyCallers(d)
}

// scope reports whether the delta has routes or clusters, and whether it has callers.
func (d *Delta) scope() (routing, callers bool) {
	for _, k := range d.Removes {
		routing, callers = routing || k.Kind != KindCaller, callers || k.Kind == KindCaller
	}
	for i := range d.Upserts {
		isCaller := d.Upserts[i].Caller != nil
		routing, callers = routing || !isCaller, callers || isCaller
	}
	return routing, callers
}

// applyCallers applies a delta to a copy of the callers of s and replaces the lookup table. The error is ErrSharedKey.
func (s *Snapshot) applyCallers(d *Delta) error {
	callers := maps.Clone(s.Callers)
	for _, k := range d.Removes {
		if k.Kind == KindCaller {
			delete(callers, k.Name)
		}
	}
	for i := range d.Upserts {
		c := d.Upserts[i].Caller
		if c == nil {
			continue
		}
		if callers == nil {
			callers = map[string]*Caller{}
		}
		callers[c.Name] = c
	}
	var err error
	s.Callers = callers
	s.CallersByKey, err = indexCallers(callers)
	return err
}

// applyDelta applies a delta to the routes and clusters of s and replaces the route table. No other
// snapshot may share the two maps, since they are modified.
func (s *Snapshot) applyDelta(d *Delta) {
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
		s.Table = s.Table.withChanges(removed, added)
	}
}

// checkReferences returns an error if the invariant of Snapshot is violated. The error names the
// alphabetically first route with a dangling reference, or else the first such cluster.
func (s *Snapshot) checkReferences() error {
	missingCluster := func(r *Route) string {
		if s.Clusters[r.Cluster] == nil {
			return r.Cluster
		}
		for _, weighted := range r.Split {
			if s.Clusters[weighted.Cluster] == nil {
				return weighted.Cluster
			}
		}
		return ""
	}
	if name := firstKeyWhere(s.Routes, func(r *Route) bool { return missingCluster(r) != "" }); name != "" {
		return errors.Wrapf(ErrDanglingReference, "route %q refers to cluster %q", name, missingCluster(s.Routes[name]))
	}
	if name := firstKeyWhere(s.Clusters, func(c *Cluster) bool { return s.Sets[c.Service] == nil }); name != "" {
		return errors.Wrapf(ErrDanglingReference, "cluster %q refers to endpoint set %q", name, s.Clusters[name].Service)
	}
	return nil
}

// firstKeyWhere returns the alphabetically first key of m whose value satisfies matches, or
// "" if there is none. It does not sort the keys, since that took most of the time of an
// update.
func firstKeyWhere[V any](m map[string]V, matches func(V) bool) string {
	first := ""
	for name, v := range m {
		if (first == "" || name < first) && matches(v) {
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
