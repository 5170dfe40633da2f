package outbound

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// recentCallWindow is how long this node continues to request the loads of a service's endpoints
	// after its last call to the service.
	recentCallWindow = 30 * time.Second
	// maxRecentServices bounds the number of services whose loads are requested.
	maxRecentServices = 16
)

// recentServices returns the services whose endpoint loads this node needs, most recently called
// first.
func (t *table) recentServices(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.balancers {
		if now.Sub(s.lastCall) < recentCallWindow && len(s.endpoints) > 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return t.balancers[b].lastCall.Compare(t.balancers[a].lastCall) })
	return names[:min(len(names), maxRecentServices)]
}

// applyReports applies the fleet's reports on endpoints. A report on an endpoint set that differs
// from the one in this node's snapshot is ignored, since its entries refer to endpoints by
// position. Reports match again once both sides have the same snapshot.
func (t *table) applyReports(reports []peerapi.ServiceLoads, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reports {
		b := t.balancers[reports[i].Service]
		if b == nil || b.source == nil {
			continue
		}
		if b.digest == 0 {
			b.digest = peerapi.Digest(b.source)
		}
		if b.digest != reports[i].Digest {
			continue
		}
		for at, e := range b.endpoints {
			if l, ok := reports[i].Entry(at); ok {
				e.applyReport(l, now)
			}
		}
		b.reportsSlowdown = reports[i].StatesSlowdown(len(b.endpoints))
		b.updateZoneLoads(now)
	}
}

// applyReport applies the report of the node that serves the endpoint.
func (e *endpoint) applyReport(l peerapi.EndpointLoad, now time.Time) {
	e.reportedSlowness, e.reportedLoad, e.reportedFailureRate, e.reportedAt = l.Slowness, l.Load, l.ExcessFailureRatio, now
	if now.Sub(e.loadAt) > freshLoadMaxAge {
		e.load, e.loadAt = l.Load, now
	}
}
