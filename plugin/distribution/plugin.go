// Package distribution sends the accepted configuration and the endpoint sets to the nodes
// attached to a control instance.
package distribution

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evAttached       = event.Declare(500, zerolog.DebugLevel, "node attached")
	evDetached       = event.Declare(501, zerolog.DebugLevel, "node session ended")
	evNotAdmitted    = event.Declare(502, zerolog.WarnLevel, "nodes without state are not admitted")
	evUpdateRejected = event.Declare(503, zerolog.ErrorLevel, "node rejected an update; a full set is sent next")
	evSilent         = event.Declare(504, zerolog.WarnLevel, "no message from the node in time; its session is closed")
	evReleaseFailed  = event.Declare(505, zerolog.ErrorLevel, "failed to sync the released version to disk")
	evMessageRefused = event.Declare(506, zerolog.WarnLevel, "message from a node refused")
	evUnacked        = event.Declare(507, zerolog.WarnLevel, "node did not acknowledge an update in time; its session is closed")
	evSendError      = event.Declare(508, zerolog.WarnLevel, "failed to queue an update; the session is closed")
	evReleased       = event.Declare(509, zerolog.InfoLevel, "version released to nodes")
	evNotRecorded    = event.Declare(511, zerolog.WarnLevel, "closure of an upstream not recorded in time")
	evIsolated       = event.Declare(510, zerolog.InfoLevel, "isolation from the quorum changed")
)

// Discovery is the interface of the plug-in "discovery" that distribution uses.
type Discovery interface {
	api.Discovery
	// NodesServedBy returns the nodes whose most recent session was with the named instance.
	NodesServedBy(instance string) []string
	// IsSettled reports whether the endpoint sets are complete.
	IsSettled() bool
	// AwaitPropagation calls done once all announcements made before the call have reached the
	// watchers and the other instances.
	AwaitPropagation(done func())
	// SetVersionCallbacks sets the functions that exchange versions between instances: ownVersion
	// returns the version that this instance reports to the others, and onPeerVersion is called
	// with each version that another instance reports.
	SetVersionCallbacks(ownVersion func() resource.Version, onPeerVersion func(v resource.Version))
	// Conn returns the connection to another instance, or nil.
	Conn(instance string) *rpc.Conn
	// Unreachable returns, in ascending order, the other instances to which there has been no
	// connection for at least minTime.
	Unreachable(minTime time.Duration) []string
}

// Capacity is the interface of the plug-in "capacity" that distribution uses.
type Capacity interface {
	// Report stores the load report of a node attached to this instance.
	Report(node string, r peerapi.LoadReport)
	// Loads returns the known loads of the endpoints of the named services.
	Loads(services []string) []peerapi.ServiceLoads
}

// nodeSession is a session together with its connection.
type nodeSession struct {
	*session
	conn *rpc.Conn
	// group identifies the subscribed services; nodes of the same group share deltas and
	// encoded updates.
	group string
	// lastReceived is the time of the last message from the node, in Unix nanoseconds.
	lastReceived atomic.Int64
	// resumed is set once resumeLimiter permits the first update of the session.
	resumed bool
	// sentAt is the time at which the last update was sent.
	sentAt time.Time
	// sentUnreachable lists the unreachable instances that the node was last told of.
	sentUnreachable []string
}

// Distribution is the plug-in. It implements api.Fleet.
type Distribution struct {
	c             *kernel.Context
	s             *Settings
	peer          *peer.Peer
	log           api.Log
	catalog       api.Catalog
	discovery     Discovery
	capacity      Capacity
	closures      api.Closures
	trace         *trace.Trace
	resumeLimiter *rate.Limiter
	startedAt     time.Time
	// loggedIsolated is the state of the last event 510.
	loggedIsolated atomic.Bool

	// mu guards the fields below up to currency. It is not held during calls into the
	// catalog, the log or discovery, whose locks have lower ranks.
	mu             *rank.Mutex
	sessions       map[uint64]*nodeSession
	byNode         map[string]*nodeSession
	admission      admission
	index          *clusterIndex
	sets           map[string]*setHistory
	settled        bool
	dirtyServices  map[string]bool
	deltas         map[deltaKey]*resource.Delta
	encodedUpdates map[string]*encodedUpdate
	lastUpdateID   uint64
	pushScheduled  bool
	lastSweep      time.Time
	// releasedVersion is the highest version that nodes may be sent; it has been synced to disk.
	// syncingVersion is the version that is being synced; it equals releasedVersion while no sync is
	// running.
	releasedVersion, syncingVersion resource.Version
	// currency is how current the configuration of this instance is.
	currency currency

	updates     *metrics.Counter
	updateBytes *metrics.Counter
	encodings   *metrics.Counter
	rejections  *metrics.Counter
}

var _ api.Fleet = (*Distribution)(nil)

func newDistribution(c *kernel.Context) *Distribution {
	s := c.Settings.(*Settings)
	d := &Distribution{
		c: c, s: s, peer: kernel.MustFind[*peer.Peer](c, "peer"), log: kernel.MustFind[api.Log](c, "quorum"),
		catalog: kernel.MustFind[api.Catalog](c, "catalog"), discovery: kernel.MustFind[Discovery](c, "discovery"),
		capacity: kernel.MustFind[Capacity](c, "capacity"), closures: kernel.MustFind[api.Closures](c, "closures"), trace: trace.Find(c), startedAt: c.Clock.Now(), resumeLimiter: rate.NewLimiter(rate.Limit(s.ResumeRate), s.ResumeBurst),
		mu: rank.NewMutex(rank.Distribution), sessions: map[uint64]*nodeSession{}, byNode: map[string]*nodeSession{},
		index: newClusterIndex(), sets: map[string]*setHistory{}, dirtyServices: map[string]bool{},
		deltas: map[deltaKey]*resource.Delta{}, encodedUpdates: map[string]*encodedUpdate{},
		updates:     c.Metrics.NewCounter("celeryyard_distribution_updates_total"),
		updateBytes: c.Metrics.NewCounter("celeryyard_distribution_update_plain_bytes_total"),
		encodings:   c.Metrics.NewCounter("celeryyard_distribution_encodings_total"),
		rejections:  c.Metrics.NewCounter("celeryyard_distribution_rejected_updates_total"),
	}
	c.Metrics.NewGauge("celeryyard_distribution_sessions", func() float64 { return float64(d.localStatus().Nodes) })
	c.Metrics.NewGauge("celeryyard_distribution_nodes_behind", func() float64 { return float64(d.localStatus().Behind) })
	d.peer.Handle(peerapi.NodeHello, d.onHello)
	d.peer.Handle(peerapi.NodeAck, d.onAck)
	d.peer.Handle(peerapi.NodePing, d.onPing)
	d.peer.Handle(peerapi.NodeConfirm, d.onConfirm)
	d.peer.Handle(peerapi.NodeAnnounce, d.onAnnounce)
	d.peer.Handle(peerapi.NodeKnown, d.onKnown)
	d.peer.Handle(peerapi.NodeClose, d.onClosing)
	d.closures.Watch(d.sendClosures)
	d.peer.Handle(peerapi.DistributionStatus, d.onStatus)
	d.peer.OnClose(d.onClose)
	d.catalog.Watch(func(resource.Version) { d.release(d.catalog.Version()) })
	d.discovery.Watch(d.onSetsChanged)
	d.discovery.SetVersionCallbacks(d.highestKnownVersion, d.recordReportedVersion)
	return d
}

// Start implements kernel.Plugin.
func (d *Distribution) Start(context.Context) error {
	synced := d.log.ReleasedVersion()
	d.mu.Lock()
	d.releasedVersion, d.syncingVersion = synced, synced
	d.admission.releasedRecovered = synced > 0
	d.lastSweep = d.c.Clock.Now()
	d.mu.Unlock()
	if v := d.catalog.Version(); v > synced {
		d.release(v)
	}
	d.c.RunEvery("distribution/sweep", d.s.NodeTimeout.AsDuration()/4, d.endStaleSessions)
	return nil
}

// Stop implements kernel.Plugin.
func (d *Distribution) Stop(context.Context) error { return nil }

// highestKnownVersion returns the highest version that this instance has released or that a node
// of the zone or another instance has reported. It is reported to the other instances.
func (d *Distribution) highestKnownVersion() resource.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.releasedVersion, d.admission.highestReportedVersion)
}

// recordReportedVersion passes a version that another instance or a node of the zone reported to the
// admission.
func (d *Distribution) recordReportedVersion(v resource.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.recordReportedVersion(v)
}

// release syncs v to disk as the released version and then sends it to the nodes. It does nothing
// if v or a higher version has been released or is being synced.
func (d *Distribution) release(v resource.Version) {
	d.mu.Lock()
	isNewer := v > d.syncingVersion
	d.syncingVersion = max(d.syncingVersion, v)
	d.mu.Unlock()
	if !isNewer {
		return
	}
	d.log.SyncReleasedVersion(v, func(err error) {
		if err != nil {
			d.c.Log.Log(evReleaseFailed).Uint("version", uint64(v)).Err(err).Send()
			d.mu.Lock()
			d.syncingVersion = d.releasedVersion
			d.mu.Unlock()
			return
		}
		d.mu.Lock()
		d.releasedVersion = max(d.releasedVersion, v)
		nodes := len(d.sessions)
		for key, delta := range d.deltas {
			if delta.To < d.releasedVersion {
				delete(d.deltas, key)
			}
		}
		clear(d.encodedUpdates)
		d.mu.Unlock()
		d.c.Log.Log(evReleased).Uint("version", uint64(v)).Int("nodes", nodes).Send()
		d.schedulePush()
	})
}

// onSetsChanged is called by discovery with the services whose endpoint sets changed.
func (d *Distribution) onSetsChanged(services []string) {
	d.mu.Lock()
	for _, s := range services {
		d.dirtyServices[s] = true
	}
	d.mu.Unlock()
	if d.c.TryGo(pushJobKey, d.pushSetChanges) != nil {
		d.schedulePush()
	}
}

// pushSetChanges reads the changed endpoint sets and schedules a push. If a set has lost a ready
// endpoint, pushSetChanges pushes at once, regardless of the setting coalesce.
func (d *Distribution) pushSetChanges() {
	if d.refreshSets() {
		d.pushAll()
		return
	}
	d.schedulePush()
}

// endStaleSessions closes the connections of nodes that sent no message within NodeTimeout or
// did not acknowledge an update within AckTimeout. It also permits sending rejected full sets again
// after AckTimeout. It does nothing if this process was stalled for more than half of NodeTimeout.
func (d *Distribution) endStaleSessions() {
	now := d.c.Clock.Now()
	var silent, unacked []*nodeSession
	retrying := false
	d.mu.Lock()
	stalled := now.Sub(d.lastSweep) > d.s.NodeTimeout.AsDuration()/2
	d.lastSweep = now
	if stalled {
		d.mu.Unlock()
		return // this process was stalled: messages from the nodes may be waiting to be read
	}
	for _, e := range d.sessions {
		if e.consecutiveRejections > 0 && now.Sub(e.sentAt) > d.s.AckTimeout.AsDuration() {
			e.allowRetry()
			retrying = true
		}
		switch {
		case now.UnixNano()-e.lastReceived.Load() > int64(d.s.NodeTimeout):
			silent = append(silent, e)
		case e.inflight != nil && now.Sub(e.sentAt) > d.s.AckTimeout.AsDuration():
			unacked = append(unacked, e)
		}
	}
	d.mu.Unlock()
	for _, e := range silent {
		d.c.Log.Log(evSilent).Str("node", e.node).Send()
		e.conn.Close()
	}
	for _, e := range unacked {
		d.c.Log.Log(evUnacked).Str("node", e.node).Send()
		e.conn.Close()
	}
	if retrying {
		d.schedulePush()
	}
}

// subscriptionGroup returns the key of the services that the session subscribes to.
func subscriptionGroup(s *session) string {
	if s.services == nil {
		return peerapi.AllServices
	}
	return strings.Join(s.services, ",")
}
