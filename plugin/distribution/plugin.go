// Package distribution brings the accepted configuration and the endpoint sets
// to the nodes attached to a control instance.
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
	evAttached  = event.Declare(500, zerolog.DebugLevel, "node attached")
	evDetached  = event.Declare(501, zerolog.DebugLevel, "session of a node ended")
	evWaiting   = event.Declare(502, zerolog.WarnLevel, "nodes without state are not admitted")
	evRejected  = event.Declare(503, zerolog.ErrorLevel, "node rejected an update; it gets a full set")
	evFrozen    = event.Declare(504, zerolog.WarnLevel, "node is silent; its session is ended")
	evRelease   = event.Declare(505, zerolog.ErrorLevel, "released version could not be synced")
	evInvalid   = event.Declare(506, zerolog.WarnLevel, "message of a node refused")
	evUnacked   = event.Declare(507, zerolog.WarnLevel, "node does not acknowledge an update; its session is ended")
	evSendError = event.Declare(508, zerolog.WarnLevel, "update could not be queued; the session is ended")
)

// Discovery is what distribution uses of the plug-in "discovery".
type Discovery interface {
	api.Discovery
	// ServedBy returns the nodes that the named instance was the last to serve.
	ServedBy(instance string) []string
	// Settled reports whether the endpoint sets are complete.
	Settled() bool
	// Spread calls done once announcements made so far have reached the watchers
	// and the other instances.
	Spread(done func())
	// Versions connects the released versions of the instances.
	Versions(released func() resource.Version, reported func(v resource.Version))
	// Conn returns the connection to another instance, or nil.
	Conn(instance string) *rpc.Conn
}

// Capacity is what distribution uses of the plug-in "capacity".
type Capacity interface {
	// Report takes what a node attached to this instance says of its upstream.
	Report(node string, r peerapi.LoadReport)
	// Loads returns what is known of the endpoints of the named services.
	Loads(services []string) []peerapi.ServiceLoads
}

// entry is a session with its connection.
type entry struct {
	*session
	conn *rpc.Conn
	// group identifies the subscription; nodes of a group share updates.
	group string
	// heard is the time of the last message, in Unix nanoseconds.
	heard atomic.Int64
	// paced is false until the session's turn after a mass reconnect has come.
	paced bool
	// sent is when the unacknowledged update was sent.
	sent time.Time
}

// Distribution is the plug-in. It implements api.Fleet.
type Distribution struct {
	c         *kernel.Context
	s         *Settings
	peer      *peer.Peer
	log       api.Log
	catalog   api.Catalog
	discovery Discovery
	capacity  Capacity
	trace     *trace.Trace
	pace      *rate.Limiter
	started   time.Time

	// mu guards everything below. It is not held during calls into the catalog,
	// the log or discovery, whose ranks are lower.
	mu        *rank.Mutex
	sessions  map[uint64]*entry
	byNode    map[string]*entry
	admission admission
	index     *index
	sets      map[string]*setState
	settled   bool
	dirty     map[string]bool
	deltas    map[deltaKey]*resource.Delta
	encoded   map[string]*encoded
	lastID    uint64
	kicked    bool
	swept     time.Time
	// released versions may be sent; releasing is being synced.
	released, releasing resource.Version

	updates    *metrics.Counter
	updateSize *metrics.Counter
	encodings  *metrics.Counter
	rejections *metrics.Counter
}

var _ api.Fleet = (*Distribution)(nil)

func newDistribution(c *kernel.Context) *Distribution {
	s := c.Settings.(*Settings)
	d := &Distribution{
		c: c, s: s, peer: kernel.Use[*peer.Peer](c, "peer"), log: kernel.Use[api.Log](c, "quorum"),
		catalog: kernel.Use[api.Catalog](c, "catalog"), discovery: kernel.Use[Discovery](c, "discovery"),
		capacity: kernel.Use[Capacity](c, "capacity"), trace: trace.Of(c), started: c.Clock.Now(), pace: rate.NewLimiter(rate.Limit(s.ResumeRate), s.ResumeBurst),
		mu: rank.New(rank.Distribution), sessions: map[uint64]*entry{}, byNode: map[string]*entry{},
		index: newIndex(), sets: map[string]*setState{}, dirty: map[string]bool{},
		deltas: map[deltaKey]*resource.Delta{}, encoded: map[string]*encoded{},
		updates:    c.Metrics.NewCounter("celeryyard_distribution_updates_total"),
		updateSize: c.Metrics.NewCounter("celeryyard_distribution_update_plain_bytes_total"),
		encodings:  c.Metrics.NewCounter("celeryyard_distribution_encodings_total"),
		rejections: c.Metrics.NewCounter("celeryyard_distribution_rejected_updates_total"),
	}
	c.Metrics.NewGauge("celeryyard_distribution_sessions", func() float64 { return float64(d.own().Nodes) })
	c.Metrics.NewGauge("celeryyard_distribution_nodes_behind", func() float64 { return float64(d.own().Behind) })
	d.peer.Handle(peerapi.NodeHello, d.onHello)
	d.peer.Handle(peerapi.NodeAck, d.onAck)
	d.peer.Handle(peerapi.NodePing, d.onPing)
	d.peer.Handle(peerapi.NodeAnnounce, d.onAnnounce)
	d.peer.Handle(peerapi.DistributionStatus, d.onStatus)
	d.peer.OnClose(d.onClose)
	d.catalog.Watch(func(resource.Version) { d.release(d.catalog.Version()) })
	d.discovery.Watch(d.setsChanged)
	d.discovery.Versions(d.bound, d.reported)
	return d
}

// Start implements kernel.Plugin.
func (d *Distribution) Start(context.Context) error {
	synced := d.log.Released()
	d.mu.Lock()
	d.released, d.releasing = synced, synced
	d.admission.durable = synced > 0
	d.swept = d.c.Clock.Now()
	d.mu.Unlock()
	if v := d.catalog.Version(); v > synced {
		d.release(v)
	}
	d.c.Every("distribution/sweep", d.s.NodeTimeout.D()/4, d.sweep)
	return nil
}

// Stop implements kernel.Plugin.
func (d *Distribution) Stop(context.Context) error { return nil }

// bound is the version that this instance reports to others.
func (d *Distribution) bound() resource.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.released, d.admission.bound)
}

// reported takes the version that another instance reports.
func (d *Distribution) reported(v resource.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.report(v)
}

// release syncs v as released and then sends it to the nodes.
func (d *Distribution) release(v resource.Version) {
	d.mu.Lock()
	begin := v > d.releasing
	d.releasing = max(d.releasing, v)
	d.mu.Unlock()
	if !begin {
		return
	}
	d.log.Release(v, func(err error) {
		if err != nil {
			d.c.Log.Log(evRelease).Uint("version", uint64(v)).Err(err).Send()
			d.mu.Lock()
			d.releasing = d.released
			d.mu.Unlock()
			return
		}
		d.mu.Lock()
		d.released = max(d.released, v)
		for key, delta := range d.deltas {
			if delta.To < d.released {
				delete(d.deltas, key)
			}
		}
		clear(d.encoded)
		d.mu.Unlock()
		d.kick()
	})
}

// setsChanged is called by discovery.
func (d *Distribution) setsChanged(services []string) {
	d.mu.Lock()
	for _, s := range services {
		d.dirty[s] = true
	}
	d.mu.Unlock()
	if d.c.Next(pushKey, d.takeSets) != nil {
		d.kick()
	}
}

// takeSets reads the changed endpoint sets. When an endpoint leaves one, the
// nodes are told at once, whatever the setting for gathering changes.
func (d *Distribution) takeSets() {
	if d.refresh() {
		d.pushAll()
		return
	}
	d.kick()
}

// sweep ends the sessions of nodes that are silent or do not acknowledge.
func (d *Distribution) sweep() {
	now := d.c.Clock.Now()
	var silent, unacked []*entry
	refused := false
	d.mu.Lock()
	late := now.Sub(d.swept) > d.s.NodeTimeout.D()/2
	d.swept = now
	if late {
		d.mu.Unlock()
		return // this process stood still: messages of the nodes may be waiting to be read
	}
	for _, e := range d.sessions {
		if e.rejects > 0 && now.Sub(e.sent) > d.s.AckTimeout.D() {
			e.retry()
			refused = true
		}
		switch {
		case now.UnixNano()-e.heard.Load() > int64(d.s.NodeTimeout):
			silent = append(silent, e)
		case e.flight != nil && now.Sub(e.sent) > d.s.AckTimeout.D():
			unacked = append(unacked, e)
		}
	}
	d.mu.Unlock()
	for _, e := range silent {
		d.c.Log.Log(evFrozen).Str("node", e.node).Send()
		e.conn.Close()
	}
	for _, e := range unacked {
		d.c.Log.Log(evUnacked).Str("node", e.node).Send()
		e.conn.Close()
	}
	if refused {
		d.kick()
	}
}

func groupOf(s *session) string {
	if s.services == nil {
		return peerapi.AllServices
	}
	return strings.Join(s.services, ",")
}
