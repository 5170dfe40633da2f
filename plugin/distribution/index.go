package distribution

import "github.com/celeryyard/celeryyard/core/resource"

// clusterIndex holds the services that the clusters of one version refer to. Its methods must
// not be called concurrently.
type clusterIndex struct {
	version resource.Version
	// serviceByCluster maps the name of each cluster to its service.
	serviceByCluster map[string]string
	// clusterCountByService holds the number of clusters that refer to each service.
	clusterCountByService map[string]int
}

func newClusterIndex() *clusterIndex {
	return &clusterIndex{serviceByCluster: map[string]string{}, clusterCountByService: map[string]int{}}
}

// apply updates the index by a delta that starts from the version of the index, or by a full set.
func (x *clusterIndex) apply(d *resource.Delta) {
	if d.From == 0 {
		x.serviceByCluster, x.clusterCountByService = map[string]string{}, map[string]int{}
	}
	for _, k := range d.Removes {
		if k.Kind == resource.KindCluster {
			x.remove(k.Name)
		}
	}
	for i := range d.Upserts {
		if c := d.Upserts[i].Cluster; c != nil {
			x.remove(c.Name)
			x.serviceByCluster[c.Name] = c.Service
			x.clusterCountByService[c.Service]++
		}
	}
	x.version = d.To
}

func (x *clusterIndex) remove(cluster string) {
	service, ok := x.serviceByCluster[cluster]
	if !ok {
		return
	}
	delete(x.serviceByCluster, cluster)
	if x.clusterCountByService[service]--; x.clusterCountByService[service] == 0 {
		delete(x.clusterCountByService, service)
	}
}

// services returns the services that the clusters refer to, in order.
func (x *clusterIndex) services() []string { return sortedKeys(x.clusterCountByService) }
