package distribution

import "github.com/celeryyard/celeryyard/core/resource"

// index knows which services the clusters of one version refer to. Callers
// serialise its methods.
type index struct {
	version  resource.Version
	clusters map[string]string
	refs     map[string]int
}

func newIndex() *index { return &index{clusters: map[string]string{}, refs: map[string]int{}} }

// apply follows a delta that starts at the index's version, or a full set.
func (x *index) apply(d *resource.Delta) {
	if d.From == 0 {
		x.clusters, x.refs = map[string]string{}, map[string]int{}
	}
	for _, k := range d.Removes {
		if k.Kind == resource.KindCluster {
			x.remove(k.Name)
		}
	}
	for i := range d.Upserts {
		if c := d.Upserts[i].Cluster; c != nil {
			x.remove(c.Name)
			x.clusters[c.Name] = c.Service
			x.refs[c.Service]++
		}
	}
	x.version = d.To
}

func (x *index) remove(cluster string) {
	service, ok := x.clusters[cluster]
	if !ok {
		return
	}
	delete(x.clusters, cluster)
	if x.refs[service]--; x.refs[service] == 0 {
		delete(x.refs, service)
	}
}

// services returns the services that clusters refer to, in order.
func (x *index) services() []string { return sortedKeys(x.refs) }
