// Package capacity tells nodes how fast and how busy the endpoints are. A node calls
// each of many endpoints too seldom to learn it by itself: the nodes beside the
// endpoints report it with their pings, and control instances pass it on.
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

// cacheTime is how long the encoding for a service is shared between nodes. It is
// below the interval of the reports, so that it adds little to their age.
const cacheTime = 200 * time.Millisecond

// Discovery is what capacity uses of the plug-in "discovery".
type Discovery interface {
	// Set returns the endpoint set of a service.
	Set(service string) resource.EndpointSet
	// Conns returns the connections to the other control instances.
	Conns() []*rpc.Conn
}

// cached is the encoding for one service.
type cached struct {
	loads peerapi.ServiceLoads
	at    time.Time
}

// Capacity is the plug-in.
type Capacity struct {
	c         *kernel.Context
	s         *Settings
	discovery Discovery

	// mu guards the fields below. Discovery, whose rank is lower, is not called under it.
	mu      *rank.Mutex
	table   table
	encoded map[string]cached

	received *metrics.Counter
}

func newCapacity(c *kernel.Context) *Capacity {
	a := &Capacity{
		c: c, s: c.Settings.(*Settings), discovery: kernel.Use[Discovery](c, "discovery"), mu: rank.New(rank.Capacity),
		table: table{reports: map[string]report{}}, encoded: map[string]cached{},
		received: c.Metrics.NewCounter("celeryyard_capacity_reports_total"),
	}
	kernel.Use[*peer.Peer](c, "peer").Handle(peerapi.CapacityReports, a.onReports)
	return a
}

// Start implements kernel.Plugin.
func (a *Capacity) Start(context.Context) error {
	a.c.Every("capacity/exchange", a.s.Exchange.D(), a.exchange)
	return nil
}

// Stop implements kernel.Plugin.
func (a *Capacity) Stop(context.Context) error { return nil }

// Report takes what a node attached to this instance says of its upstream.
func (a *Capacity) Report(node string, r peerapi.LoadReport) {
	a.received.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.take(node, r, true, a.c.Clock.Now())
}

// Loads returns what is known of the endpoints of the named services.
func (a *Capacity) Loads(services []string) []peerapi.ServiceLoads {
	var out []peerapi.ServiceLoads
	for _, name := range services {
		out = append(out, a.loads(name))
	}
	return out
}

func (a *Capacity) loads(service string) peerapi.ServiceLoads {
	now := a.c.Clock.Now()
	a.mu.Lock()
	known := a.encoded[service]
	a.mu.Unlock()
	if now.Sub(known.at) < cacheTime {
		return known.loads
	}
	set := a.discovery.Set(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := peerapi.ServiceLoads{Service: service, Digest: peerapi.Digest(&set), Entries: a.table.entries(&set, now)}
	a.encoded[service] = cached{loads, now}
	return loads
}

// exchange passes the reports of the own nodes on.
func (a *Capacity) exchange() {
	now := a.c.Clock.Now()
	a.mu.Lock()
	a.table.expire(now)
	for service, c := range a.encoded {
		if now.Sub(c.at) >= trust {
			delete(a.encoded, service)
		}
	}
	own := a.table.owned(now)
	a.mu.Unlock()
	conns := a.discovery.Conns()
	if len(own) == 0 || len(conns) == 0 {
		return
	}
	m, err := rpc.NewMessage(peerapi.CapacityReports, &peerapi.Reports{Nodes: own})
	if err != nil {
		a.c.Log.Log(evUnsent).Err(err).Send()
		return
	}
	for _, c := range conns {
		if err := c.Send(m); err != nil {
			// The instance gets the next reports once it is connected again.
			a.c.Log.Log(evUnsent).Str("process", c.Peer).Err(err).Send()
		}
	}
}

// onReports takes the reports that another control instance passes on.
func (a *Capacity) onReports(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.Reports{}
	if err := r.Decode(m); err != nil {
		a.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		return
	}
	now := a.c.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for node, l := range m.Nodes {
		a.table.take(node, l, false, now)
	}
}
