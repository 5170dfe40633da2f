// Package discovery holds the table of endpoints on a control instance. The
// session of a node is the lease of its record; every instance passes the
// records of the nodes attached to it on to all other instances.
package discovery

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evLost     = event.Declare(550, zerolog.WarnLevel, "lease of an endpoint expired")
	evSilent   = event.Declare(551, zerolog.WarnLevel, "control instance is silent; its endpoints are stale")
	evResync   = event.Declare(552, zerolog.InfoLevel, "endpoint messages are missing; all records requested")
	evInvalid  = event.Declare(553, zerolog.WarnLevel, "endpoint message refused")
	evSettled  = event.Declare(554, zerolog.InfoLevel, "endpoint records of the other instances have arrived")
	evSpreadTO = event.Declare(555, zerolog.WarnLevel, "other instances did not confirm an endpoint change in time")
)

// flushKey orders the jobs that pass changes on.
const flushKey = "discovery/flush"

// Discovery is the plug-in. It implements api.Discovery. Watch and Versions are
// called before Start.
type Discovery struct {
	c        *kernel.Context
	s        *Settings
	peer     *peer.Peer
	trace    *trace.Trace
	epoch    uint64
	started  time.Time
	watchers []func(services []string)
	// released returns the highest version given to a node; reported is told of
	// the versions of other instances.
	released func() resource.Version
	reported func(v resource.Version)

	// mu guards everything below.
	mu      *rank.Mutex
	table   *table
	remotes map[string]*remote
	pending bool // a flush is scheduled
	// gen counts flushes with changes of own records; shown is the last one that
	// the watchers were told of.
	gen, shown uint64
	waiters    []*waiter
	settled    bool
	swept      time.Time

	announced *metrics.Counter
	losses    *metrics.Counter
	resyncs   *metrics.Counter
}

var _ api.Discovery = (*Discovery)(nil)

func newDiscovery(c *kernel.Context) *Discovery {
	d := &Discovery{
		c: c, s: c.Settings.(*Settings), peer: kernel.Use[*peer.Peer](c, "peer"), trace: trace.Of(c),
		started: c.Clock.Now(), mu: rank.New(rank.Discovery), remotes: map[string]*remote{},
		released: func() resource.Version { return 0 }, reported: func(resource.Version) {},
		announced: c.Metrics.NewCounter("celeryyard_discovery_announcements_total"),
		losses:    c.Metrics.NewCounter("celeryyard_discovery_lost_leases_total"),
		resyncs:   c.Metrics.NewCounter("celeryyard_discovery_resyncs_total"),
	}
	d.epoch = uint64(d.started.UnixNano())
	var others []string
	for _, m := range d.peer.Instances() {
		if m.Name != c.Instance.Name {
			others = append(others, m.Name)
		}
	}
	d.table = newTable(c.Instance.Name, others)
	c.Metrics.NewGauge("celeryyard_discovery_records", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.table.records))
	})
	d.peer.OnInstance(d.connect)
	d.peer.Handle(peerapi.DiscoveryDelta, d.onDelta)
	d.peer.Handle(peerapi.DiscoverySync, d.onSync)
	d.peer.OnClose(d.onClose)
	return d
}

// Versions connects the lower bound of released versions to the messages
// between instances.
func (d *Discovery) Versions(released func() resource.Version, reported func(v resource.Version)) {
	d.released, d.reported = released, reported
}

// Watch implements api.Discovery.
func (d *Discovery) Watch(f func(services []string)) { d.watchers = append(d.watchers, f) }

// Start implements kernel.Plugin.
func (d *Discovery) Start(context.Context) error {
	for _, m := range d.peer.Instances() {
		d.connect(m)
	}
	d.mu.Lock()
	d.swept = d.c.Clock.Now()
	d.mu.Unlock()
	d.c.Every("discovery/sweep", d.s.Heartbeat.D()/2, d.sweep)
	d.c.After(d.s.SettleTimeout.D(), flushKey, d.flush)
	d.schedule(true)
	return nil
}

// Stop implements kernel.Plugin.
func (d *Discovery) Stop(context.Context) error { return nil }

// Announce implements api.Discovery.
func (d *Discovery) Announce(e resource.Endpoint) (known uint64, ok bool) {
	now := d.c.Clock.Now()
	d.announced.Inc()
	d.mu.Lock()
	d.trace.Record("discovery", "announce", now, e.Node, e)
	known, ok = d.table.announce(e, now)
	d.mu.Unlock()
	if ok {
		d.schedule(e.State == resource.StateDraining || e.State == resource.StateGone)
	}
	return known, ok
}

// Detach implements api.Discovery.
func (d *Discovery) Detach(node string, incarnation uint64) {
	now := d.c.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Record("discovery", "detach", now, node, incarnation)
	d.table.detach(node, incarnation, now)
}

// Set implements api.Discovery.
func (d *Discovery) Set(service string) resource.EndpointSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.set(service)
}

// ServedBy returns the nodes whose newest record is held by the named control
// instance and was not withdrawn, in rising order. A node that has attached
// elsewhere since is not among them; one whose lease is lost is, until its record
// is forgotten.
func (d *Discovery) ServedBy(instance string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.servedBy(instance)
}

// Settled reports whether the sets are complete as far as this instance can
// learn. Before that, nodes are better off with the sets that they hold.
func (d *Discovery) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled
}

// schedule submits a flush: at once, or after the window that gathers changes.
func (d *Discovery) schedule(atOnce bool) {
	if atOnce && d.c.Next(flushKey, d.flush) == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pending {
		d.pending = true
		d.c.After(d.s.Window.D(), flushKey, d.flush)
	}
}

// flush passes gathered changes on to the watchers and the other instances.
func (d *Discovery) flush() {
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.pending = false
	d.settle(now)
	services := sortedNodes(d.table.dirty)
	clear(d.table.dirty)
	if len(d.table.changed) > 0 {
		d.gen++
		for _, m := range d.remotes {
			for node := range d.table.changed {
				m.dirty[node] = true
			}
		}
		clear(d.table.changed)
	}
	gen := d.gen
	d.mu.Unlock()
	if len(services) > 0 {
		for _, f := range d.watchers {
			f(services)
		}
	}
	d.mu.Lock()
	d.shown = max(d.shown, gen)
	d.mu.Unlock()
	d.sendAll(false)
	d.release()
}

// settle marks every set as changed once the table has become complete.
func (d *Discovery) settle(now time.Time) {
	if d.settled || !d.table.settled() && now.Sub(d.started) < d.s.SettleTimeout.D() {
		return
	}
	d.settled = true
	for service := range d.table.services {
		d.table.dirty[service] = true
	}
	d.table.dirty[""] = true // wakes the watchers of a table without records
	d.c.Log.Log(evSettled).Str("complete", boolText(d.table.settled())).Send()
}

// sweep ends leases and notices silent instances.
func (d *Discovery) sweep() {
	now := d.c.Clock.Now()
	d.mu.Lock()
	if late := now.Sub(d.swept) - d.s.Heartbeat.D(); late > 0 {
		d.trace.Record("discovery", "pause", now, "", settings.Duration(late))
		d.table.pause(late)
	}
	d.swept = now
	d.trace.Record("discovery", "sweep", now, "", d.s)
	lost := d.table.expire(now, d.s.Grace.D(), d.s.TombstoneTTL.D())
	silent := d.table.silence(now, d.s.PeerTimeout.D())
	dirty := len(d.table.dirty) > 0
	d.mu.Unlock()
	for _, node := range lost {
		d.losses.Inc()
		d.c.Log.Log(evLost).Str("node", node).Send()
	}
	for _, name := range silent {
		d.c.Log.Log(evSilent).Str("silent_instance", name).Send()
	}
	if dirty {
		d.schedule(false)
	}
	d.sendAll(true)
}

func boolText(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// instance reports whether a connection belongs to another control instance that
// is known.
func (d *Discovery) instance(c *rpc.Conn, name string) bool {
	if c.Peer != name || name == d.c.Instance.Name {
		return false
	}
	for _, m := range d.peer.Instances() {
		if m.Name == name {
			return true
		}
	}
	return false
}
