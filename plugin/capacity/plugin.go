// Package capacity distributes the speed and load of endpoints to the nodes. A node cannot measure
// them itself, because it calls each of many endpoints too rarely. Instead, each node reports them
// for its own upstream with its pings, and control instances pass the reports on.
package capacity

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

var (
	evInvalid = event.Declare(570, zerolog.WarnLevel, "load reports of another control instance refused")
	evUnsent  = event.Declare(571, zerolog.DebugLevel, "load reports could not be sent")
)

// encodingCacheTTL is how long the encoded loads of a service are reused for other nodes. It is
// shorter than the interval of the reports, so that it adds little to their age.
const encodingCacheTTL = 200 * time.Millisecond

// Discovery is the interface of the plug-in "discovery" that capacity uses.
type Discovery interface {
	// EndpointSet returns the endpoint set of a service.
	EndpointSet(service string) resource.EndpointSet
	// Conns returns the connections to the other control instances.
	Conns() []*rpc.Conn
}

// cachedLoads holds the encoded loads of one service.
type cachedLoads struct {
	loads     peerapi.ServiceLoads
	encodedAt time.Time
}

// Capacity is the plug-in.
type Capacity struct {
	c         *kernel.Context
	s         *Settings
	discovery Discovery

	// mu guards the fields below. It must not be held during calls of Discovery, whose lock has a
	// lower rank.
	mu    *rank.Mutex
	table table
	cache map[string]cachedLoads

	reportsReceived *metrics.Counter
}

func newCapacity(c *kernel.Context) *Capacity {
	a := &Capacity{
		c: c, s: c.Settings.(*Settings), discovery: kernel.MustFind[Discovery](c, "discovery"), mu: rank.NewMutex(rank.Capacity),
		table: table{reports: map[string]report{}}, cache: map[string]cachedLoads{},
		reportsReceived: c.Metrics.NewCounter("celeryyard_capacity_reports_total"),
	}
	kernel.MustFind[*peer.Peer](c, "peer").Handle(peerapi.CapacityReports, a.onReports)
	return a
}

// Start implements kernel.Plugin.
func (a *Capacity) Start(context.Context) error {
	a.c.RunEvery("capacity/exchange", a.s.Exchange.AsDuration(), a.sendReports)
	return nil
}

// Stop implements kernel.Plugin.
func (a *Capacity) Stop(context.Context) error { return nil }

// Report stores the load report of a node that is attached to this instance.
func (a *Capacity) Report(node string, r peerapi.LoadReport) {
	a.reportsReceived.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.put(node, r, true, a.c.Clock.Now())
}

// Loads returns the loads of the endpoints of the named services.
func (a *Capacity) Loads(services []string) []peerapi.ServiceLoads {
	var out []peerapi.ServiceLoads
	for _, name := range services {
		out = append(out, a.serviceLoads(name))
	}
	return out
}

// MeanWork returns the time that a call of a class takes at the upstreams of a service, without the time in queues: the
// median over the endpoints of their recent means. It is 0 if no endpoint has reported the class lately.
func (a *Capacity) MeanWork(service, class string) time.Duration {
	set := a.discovery.EndpointSet(service)
	now := a.c.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.table.medians(&set, now).durationsMillis[class]) * time.Millisecond
}

// serviceLoads returns the loads of a service, from the cache if they are recent.
func (a *Capacity) serviceLoads(service string) peerapi.ServiceLoads {
	now := a.c.Clock.Now()
	a.mu.Lock()
	entry := a.cache[service]
	a.mu.Unlock()
	if now.Sub(entry.encodedAt) < encodingCacheTTL {
		return entry.loads
	}
	set := a.discovery.EndpointSet(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := peerapi.ServiceLoads{Service: service, Digest: peerapi.Digest(&set), Entries: a.table.encodeEntries(&set, now)}
	a.cache[service] = cachedLoads{loads, now}
	return loads
}

// sendReports removes expired reports and cached loads, and sends the reports of the attached nodes
// to the other control instances.
func (a *Capacity) sendReports() {
	now := a.c.Clock.Now()
	a.mu.Lock()
	a.table.expire(now)
	for service, c := range a.cache {
		if now.Sub(c.encodedAt) >= maxReportAge {
			delete(a.cache, service)
		}
	}
	reports := a.table.attachedReports(now)
	a.mu.Unlock()
	conns := a.discovery.Conns()
	if len(reports) == 0 || len(conns) == 0 {
		return
	}
	m, err := rpc.NewMessage(peerapi.CapacityReports, &peerapi.LoadReports{Nodes: reports})
	if err != nil {
		a.c.Log.Log(evUnsent).Err(err).Send()
		return
	}
	for _, c := range conns {
		if err := c.Send(m); err != nil {
			// The instance receives later reports once it is connected again.
			a.c.Log.Log(evUnsent).Str("process", c.Peer).Err(err).Send()
		}
	}
}

// onReports stores the reports received from another control instance.
func (a *Capacity) onReports(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.LoadReports{}
	if err := r.Decode(m); err != nil {
		a.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		return
	}
	now := a.c.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for node, l := range m.Nodes {
		a.table.put(node, l, false, now)
	}
}
