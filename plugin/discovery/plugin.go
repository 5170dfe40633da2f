// Package discovery holds the table of endpoints on a control instance. The session of a node
// is the lease of its record. Every instance sends the records of its attached nodes to all
// other instances.
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
	"github.com/celeryyard/celeryyard/plugin/rollouts"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evLost          = event.Declare(550, zerolog.WarnLevel, "lease of an endpoint expired")
	evSilent        = event.Declare(551, zerolog.WarnLevel, "control instance is silent; its endpoints are stale")
	evResync        = event.Declare(552, zerolog.InfoLevel, "endpoint messages are missing; all records requested")
	evInvalid       = event.Declare(553, zerolog.WarnLevel, "endpoint message refused")
	evSettled       = event.Declare(554, zerolog.InfoLevel, "wait for the endpoint records of the other instances has ended")
	evSkipped       = event.Declare(556, zerolog.WarnLevel, "endpoint records left out: no endpoint can have them")
	evEpoch         = event.Declare(557, zerolog.WarnLevel, "other instances know a later start of this one; its clock was set back")
	evSpreadTimeout = event.Declare(555, zerolog.WarnLevel, "other instances did not confirm an endpoint change in time")
)

// flushKey is the job key of flushes: jobs with one key run in order, one at a time.
const flushKey = "discovery/flush"

// Discovery is the plug-in. It implements api.Discovery. Watch and SetVersionCallbacks must be
// called before Start.
type Discovery struct {
	c        *kernel.Context
	s        *Settings
	peer     *peer.Peer
	closures api.Closures // nil without that plug-in
	// showsVersions reports whether nodes get the versions of a service's endpoints.
	showsVersions func(service string) bool
	trace         *trace.Trace
	started       time.Time
	watchers      []func(services []string)
	// ownVersion returns the version that this instance reports to the other instances.
	ownVersion func() resource.Version
	// onPeerVersion is called with each version that another instance reports.
	onPeerVersion func(v resource.Version)

	// mu guards everything below.
	mu *rank.Mutex
	// epoch identifies this start in messages to other instances; see peerapi.Records.
	epoch          uint64
	table          *table
	remotes        map[string]*remote
	flushScheduled bool // a delayed flush is scheduled
	// flushGen counts the flushes that carry record changes for other instances. notifiedGen is
	// the number of the newest flush that the watchers have been notified of.
	flushGen, notifiedGen uint64
	waiters               []*waiter
	// settled is set once the table is complete or SettleTimeout has passed.
	settled   bool
	lastSweep time.Time
	// skippedFrom holds the senders whose invalid records were logged.
	skippedFrom map[string]bool

	announcements *metrics.Counter
	lostLeases    *metrics.Counter
	resyncs       *metrics.Counter
}

var _ api.Discovery = (*Discovery)(nil)

func newDiscovery(c *kernel.Context) *Discovery {
	d := &Discovery{
		c: c, s: c.Settings.(*Settings), peer: kernel.MustFind[*peer.Peer](c, "peer"), trace: trace.Find(c),
		started: c.Clock.Now(), showsVersions: func(string) bool { return false }, mu: rank.NewMutex(rank.Discovery), remotes: map[string]*remote{}, skippedFrom: map[string]bool{},
		ownVersion: func() resource.Version { return 0 }, onPeerVersion: func(resource.Version) {},
		announcements: c.Metrics.NewCounter("celeryyard_discovery_announcements_total"),
		lostLeases:    c.Metrics.NewCounter("celeryyard_discovery_lost_leases_total"),
		resyncs:       c.Metrics.NewCounter("celeryyard_discovery_resyncs_total"),
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
	if cl, ok := kernel.Find[api.Closures](c, "closures"); ok {
		d.closures = cl
		cl.Watch(d.applyClosures)
	}
	if r, ok := kernel.Find[*rollouts.Rollouts](c, "rollouts"); ok {
		d.showsVersions = r.ShowsVersions
		r.SetDiscovery(d)
		r.Watch(d.markChanged)
	}
	d.peer.OnInstanceUpdate(d.connect)
	d.peer.Handle(peerapi.DiscoveryDelta, d.onDelta)
	d.peer.Handle(peerapi.DiscoverySync, d.onSync)
	d.peer.OnClose(d.onClose)
	return d
}

// SetVersionCallbacks sets the callbacks for configuration versions: ownVersion returns the version
// that this instance reports to the others, and onPeerVersion is called with each version that
// another instance reports. It must be called before Start.
func (d *Discovery) SetVersionCallbacks(ownVersion func() resource.Version, onPeerVersion func(v resource.Version)) {
	d.ownVersion, d.onPeerVersion = ownVersion, onPeerVersion
}

// Watch implements api.Discovery.
func (d *Discovery) Watch(f func(services []string)) { d.watchers = append(d.watchers, f) }

// Start implements kernel.Plugin.
func (d *Discovery) Start(context.Context) error {
	for _, m := range d.peer.Instances() {
		d.connect(m)
	}
	d.mu.Lock()
	d.lastSweep = d.c.Clock.Now()
	d.mu.Unlock()
	d.c.RunEvery("discovery/sweep", d.s.Heartbeat.AsDuration()/2, d.sweep)
	d.c.RunAfter(d.s.SettleTimeout.AsDuration(), flushKey, d.flush)
	d.scheduleFlush(true)
	return nil
}

// Stop implements kernel.Plugin.
func (d *Discovery) Stop(context.Context) error { return nil }

// Announce implements api.Discovery.
func (d *Discovery) Announce(a resource.Announcement) (knownIncarnation uint64, ok bool) {
	now := d.c.Clock.Now()
	d.announcements.Inc()
	d.mu.Lock()
	d.trace.Record("discovery", "announce", now, a.Endpoint.Node, a)
	knownIncarnation, ok = d.table.announce(a, now)
	d.mu.Unlock()
	if ok {
		s := a.Endpoint.State
		d.scheduleFlush(s == resource.StateDraining || s == resource.StateGone)
	}
	return knownIncarnation, ok
}

// LastAnnouncement implements api.Discovery.
func (d *Discovery) LastAnnouncement(node string) *resource.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.table.records[node]
	if r == nil {
		return nil
	}
	a := r.Announcement()
	return &a
}

// applyClosures reads the closures of nodes that have changed in the replicated log.
func (d *Discovery) applyClosures(nodes []string) {
	now := d.c.Clock.Now()
	changed := make(map[string][]resource.Closure, len(nodes))
	for _, node := range nodes {
		changed[node] = d.closures.Closures(node)
	}
	d.mu.Lock()
	d.trace.Record("discovery", "closures", now, "", changed)
	for node, list := range changed {
		d.table.setClosures(node, list, now)
	}
	dirty := len(d.table.dirtyServices) > 0
	d.mu.Unlock()
	if dirty {
		d.scheduleFlush(true)
	}
}

// Detach implements api.Discovery.
func (d *Discovery) Detach(node string, incarnation uint64) {
	now := d.c.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Record("discovery", "detach", now, node, incarnation)
	d.table.detach(node, incarnation, now)
}

// EndpointSet implements api.Discovery. The endpoints have versions only if the service has a rule of a roll-out, so that all
// other sets are sent to nodes as they were before versions existed.
func (d *Discovery) EndpointSet(service string) resource.EndpointSet {
	set := d.VersionedSet(service)
	if !d.showsVersions(service) {
		for i := range set.Endpoints {
			set.Endpoints[i].Version = ""
		}
	}
	return set
}

// VersionedSet returns the endpoint set of a service with the versions of the endpoints.
func (d *Discovery) VersionedSet(service string) resource.EndpointSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.endpointSet(service)
}

// markChanged notifies the watchers of services whose rules have changed.
func (d *Discovery) markChanged(services []string) {
	d.mu.Lock()
	for _, s := range services {
		d.table.dirtyServices[s] = true
	}
	d.mu.Unlock()
	d.scheduleFlush(true)
}

// NodesServedBy returns, in ascending order, the nodes whose newest record is owned by the named
// control instance and was not withdrawn. It excludes a node that has since attached to another
// instance, and includes a node whose lease is lost until its record is removed.
func (d *Discovery) NodesServedBy(instance string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.nodesServedBy(instance)
}

// IsSettled reports whether the endpoint sets are as complete as this instance can make them.
// Until then, nodes should keep the sets that they hold.
func (d *Discovery) IsSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled
}

// scheduleFlush submits a flush immediately, or after Window, so that changes are collected. If the
// worker pool is full, an immediate flush is delayed by Window too.
func (d *Discovery) scheduleFlush(immediate bool) {
	if immediate && d.c.TryGo(flushKey, d.flush) == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.flushScheduled {
		d.flushScheduled = true
		d.c.RunAfter(d.s.Window.AsDuration(), flushKey, d.flush)
	}
}

// flush passes the collected changes to the watchers and the other instances.
func (d *Discovery) flush() {
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.flushScheduled = false
	d.checkSettled(now)
	services := sortedKeys(d.table.dirtyServices)
	clear(d.table.dirtyServices)
	if len(d.table.changedNodes) > 0 {
		d.flushGen++
		for _, m := range d.remotes {
			for node := range d.table.changedNodes {
				m.unsentNodes[node] = true
			}
		}
		clear(d.table.changedNodes)
	}
	gen := d.flushGen
	d.mu.Unlock()
	if len(services) > 0 {
		for _, f := range d.watchers {
			f(services)
		}
	}
	d.mu.Lock()
	d.notifiedGen = max(d.notifiedGen, gen)
	d.mu.Unlock()
	d.sendAll(false)
	d.releaseWaiters()
}

// checkSettled sets settled once the table is complete or SettleTimeout has passed, and then marks
// every endpoint set as dirty. It does nothing if settled is already set. The caller holds mu.
func (d *Discovery) checkSettled(now time.Time) {
	if d.settled || !d.table.isSettled() && now.Sub(d.started) < d.s.SettleTimeout.AsDuration() {
		return
	}
	d.settled = true
	for service := range d.table.services {
		d.table.dirtyServices[service] = true
	}
	d.table.dirtyServices[""] = true // notifies the watchers even if the table has no records
	d.c.Log.Log(evSettled).Str("complete", yesNo(d.table.isSettled())).Send()
}

// sweep expires leases and detects silent instances. If it runs late because the process was paused,
// it first moves the timers forward by the delay.
func (d *Discovery) sweep() {
	now := d.c.Clock.Now()
	d.mu.Lock()
	if late := now.Sub(d.lastSweep) - d.s.Heartbeat.AsDuration(); late > 0 {
		d.trace.Record("discovery", "pause", now, "", settings.Duration(late))
		d.table.shiftTimers(late)
	}
	d.lastSweep = now
	d.trace.Record("discovery", "sweep", now, "", d.s)
	lost := d.table.expireRecords(now, d.s.Grace.AsDuration(), d.s.TombstoneTTL.AsDuration())
	silent := d.table.markSilent(now, d.s.PeerTimeout.AsDuration())
	dirty := len(d.table.dirtyServices) > 0
	d.mu.Unlock()
	for _, node := range lost {
		d.lostLeases.Inc()
		d.c.Log.Log(evLost).Str("node", node).Send()
	}
	for _, name := range silent {
		d.c.Log.Log(evSilent).Str("silent_instance", name).Send()
	}
	if dirty {
		d.scheduleFlush(false)
	}
	d.sendAll(true)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// isKnownInstance reports whether the peer of the connection has the given name and is a known
// control instance other than this one.
func (d *Discovery) isKnownInstance(c *rpc.Conn, name string) bool {
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
