// Package announce registers the upstream beside a node with the control instances, and withdraws
// the upstream when it leaves.
package announce

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evAnnounced   = event.Declare(700, zerolog.InfoLevel, "upstream announced")
	evFailed      = event.Declare(701, zerolog.WarnLevel, "announcement failed; it will be retried")
	evIncarnation = event.Declare(702, zerolog.InfoLevel, "a newer incarnation is known; announcing a higher one")
	evHealth      = event.Declare(703, zerolog.InfoLevel, "health of the upstream changed")
	evLeaving     = event.Declare(704, zerolog.InfoLevel, "planned stop of the upstream began")
	evUnconfirmed = event.Declare(705, zerolog.WarnLevel, "drain state not confirmed in time; continuing the planned stop")
	evReport      = event.Declare(707, zerolog.InfoLevel, "upstream reported a new state")
	evLateReport  = event.Declare(708, zerolog.InfoLevel, "heartbeat ignored: outdated, or of another upstream than the live one")
	evSilent      = event.Declare(709, zerolog.WarnLevel, "upstream stopped sending heartbeats")
	evLeft        = event.Declare(706, zerolog.InfoLevel, "planned stop of the upstream is complete")
	evReplaced    = event.Declare(712, zerolog.InfoLevel, "upstream replaced by another one or by a new start")
	evDisproved   = event.Declare(711, zerolog.WarnLevel, "another upstream answers at the address than the one that claimed it last")
	evKnownClosed = event.Declare(710, zerolog.InfoLevel, "upstream has closed before this node was restarted")
)

// jobKey is the job key of the plug-in: jobs with one key run in order, one at a time.
const jobKey = "announce"

// Announce is the plug-in. It implements api.Announcer.
type Announce struct {
	c       *kernel.Context
	s       *Settings
	session *session.Session
	view    api.View // nil without that plug-in
	server  *http.Server
	client  *http.Client
	ctx     context.Context
	onLeave func(done func())
	// onUpstreamChange is called without mu.
	onUpstreamChange func()

	// mu guards everything below.
	mu       *rank.Mutex
	upstream Upstream
	// generation is that of the current upstream; see api.Upstream.
	generation uint64
	announcer  announcer
	health     *health
	// probeGen increases with each change of the upstream; results of probes from an earlier
	// generation are ignored.
	probeGen uint64
	// stop is the planned stop; nil until one begins, and again after the upstream is announced again.
	stop       *plannedStop
	heartbeats heartbeats
	// known is the last announcement of the node that a control instance knew of when the node was attached or asked
	// for it; nil if none did. unknown is set if the last one that was asked has the records of the others and knows of none.
	known   *resource.Announcement
	unknown bool
	// recorded is closed, and replaced, when what the control instances have stored may have changed.
	recorded chan struct{}

	announcements *metrics.Counter
	probes        *metrics.Counter
}

var _ api.Announcer = (*Announce)(nil)

func newAnnounce(c *kernel.Context) *Announce {
	a := &Announce{
		c: c, s: c.Settings.(*Settings), session: kernel.MustFind[*session.Session](c, "session"), mu: rank.NewMutex(rank.Announce),
		onLeave: func(done func()) { done() }, onUpstreamChange: func() {}, recorded: make(chan struct{}),
		announcements: c.Metrics.NewCounter("celeryyard_announce_announcements_total"),
		probes:        c.Metrics.NewCounter("celeryyard_announce_probes_total"),
	}
	c.Metrics.NewGauge("celeryyard_announce_ready", func() float64 {
		if a.Endpoint().State == resource.StateReady {
			return 1
		}
		return 0
	})
	a.client = newProbeClient(a.s.ProbeTimeout.AsDuration())
	if v, ok := kernel.Find[api.View](c, "view"); ok {
		a.view = v
	}
	a.session.OnClosures(a.handleClosures)
	a.session.OnAttach(a.handleAttach)
	return a
}

// Endpoint returns the current record of the upstream, which may not have been announced yet. The field Node of the
// record is empty if the node has had no upstream yet.
func (a *Announce) Endpoint() resource.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcer.desiredRecord
}

// Upstream implements api.Announcer.
func (a *Announce) Upstream() api.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return api.Upstream{
		Generation: a.generation, ID: a.heartbeats.latestReport.ID, Service: a.upstream.Service, Address: a.upstream.Address,
		Slots: a.upstream.Slots, Closed: a.heartbeats.upstreamClosed,
	}
}

// OnUpstreamChange implements api.Announcer.
func (a *Announce) OnUpstreamChange(f func()) { a.onUpstreamChange = f }

// IsDraining implements api.Announcer.
func (a *Announce) IsDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop != nil
}

// OnLeave implements api.Announcer.
func (a *Announce) OnLeave(f func(done func())) { a.onLeave = f }

// Start implements kernel.Plugin.
func (a *Announce) Start(ctx context.Context) error {
	a.ctx = ctx
	if a.s.Upstream.Service != "" {
		a.setUpstream(a.s.Upstream)
	}
	if a.s.ReportTimeout > 0 {
		a.c.RunEvery(jobKey, a.s.ReportTimeout.AsDuration()/2, a.checkHeartbeats)
	}
	return a.listen()
}

// Stop implements kernel.Plugin. It runs the planned stop.
func (a *Announce) Stop(ctx context.Context) error {
	done := make(chan struct{})
	a.Leave(func() { close(done) })
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if a.server != nil {
		if closeErr := a.server.Shutdown(ctx); err == nil {
			err = closeErr
		}
	}
	return err
}

// setUpstream sets the upstream and announces it. A repeated call with the same description
// changes nothing, unless a planned stop has been completed in between; the call then announces the
// upstream again. While a planned stop is running, and once the node itself stops, setUpstream
// changes nothing and returns false: otherwise an upstream that announces itself repeatedly would
// attract new calls to a node that is about to exit.
func (a *Announce) setUpstream(u Upstream) bool {
	now := a.c.Clock.Now()
	a.mu.Lock()
	if a.stop != nil && a.stop.step != stepDone || a.c.IsStopping() {
		a.mu.Unlock()
		return false
	}
	if a.upstream == u && a.stop == nil {
		a.mu.Unlock()
		return true
	}
	if a.stop != nil || a.upstream.Service != u.Service || a.upstream.Address != u.Address {
		a.generation++
	}
	a.upstream, a.stop = u, nil
	a.probeGen++
	gen, previous := a.probeGen, a.announcer.desiredRecord
	a.announcer.desiredRecord = resource.Endpoint{
		Node: a.c.Instance.Name, Service: u.Service, Address: a.s.Address, Slots: u.Slots,
		Incarnation: max(previous.Incarnation, a.session.Incarnation()), Revision: previous.Revision,
		AvailabilityZone: a.c.Instance.AvailabilityZone, Region: a.c.Instance.Region, State: resource.StateStarting,
		Version: u.Version,
	}
	a.announcer.dirty = true
	a.health = newHealth(a.s.Rise, a.s.Fall, a.s.MaxUnready.AsDuration(), now)
	if u.HealthPath == "" {
		a.announcer.setState(resource.StateReady, now.UnixMilli())
	}
	a.mu.Unlock()
	a.onUpstreamChange()
	a.announce()
	if u.HealthPath != "" {
		a.startProbe(u, gen)
	}
	return true
}

// announce sends the record to the control instance if the record has changed or must be announced
// again.
func (a *Announce) announce() {
	a.mu.Lock()
	e, ok := a.announcer.nextAnnouncement()
	m := &resource.Announcement{Endpoint: e, Upstream: a.heartbeats.latestStart(), Closed: a.heartbeats.announcedClosure()}
	a.mu.Unlock()
	if !ok {
		return
	}
	a.announcements.Inc()
	a.session.Call(peerapi.NodeAnnounce, m, a.s.CallTimeout.AsDuration(), func(raw []byte, err error) {
		var r peerapi.AnnounceReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		a.handleReply(e, &r, err)
	})
}

// handleReply processes the reply r to the announcement of e, or its error err.
func (a *Announce) handleReply(e resource.Endpoint, r *peerapi.AnnounceReply, err error) {
	a.mu.Lock()
	if err == nil {
		a.announcer.handleReply(e.Revision, r.KnownIncarnation, r.OK)
		a.notifyRecorded()
	}
	confirmed, ps := a.announcer.confirmedRevision, a.stop
	a.mu.Unlock()
	switch {
	case err != nil && a.session.Attached():
		a.c.Log.Log(evFailed).Err(err).Send()
		a.c.RunAfter(a.s.RetryInterval.AsDuration(), jobKey, func() { a.retryAnnouncement(e.Revision) })
		return
	case err != nil:
		return // the next session announces the record again
	case r.OK:
		a.c.Log.Log(evAnnounced).Str("service", e.Service).Str("state", string(e.State)).Uint("revision", e.Revision).Send()
	default:
		a.c.Log.Log(evIncarnation).Uint("known", r.KnownIncarnation).Send()
	}
	if ps != nil {
		a.onConfirmed(ps, confirmed)
	}
	a.announce()
}

// retryAnnouncement announces the record again, unless a newer revision has been announced since.
func (a *Announce) retryAnnouncement(revision uint64) {
	a.mu.Lock()
	if a.announcer.inFlightRevision == revision {
		a.announcer.markDirty()
	}
	a.mu.Unlock()
	a.announce()
}

// handleProbeResult processes the result of a probe and schedules the next probe.
func (a *Announce) handleProbeResult(u Upstream, gen uint64, r probeResult, duration time.Duration) {
	now := a.c.Clock.Now()
	a.probes.Inc()
	a.mu.Lock()
	if a.probeGen != gen || a.stop != nil {
		a.mu.Unlock()
		return
	}
	changed := a.health.addResult(r, now)
	if changed && a.health.ready {
		a.announcer.setState(resource.StateReady, now.UnixMilli())
	} else if changed {
		a.announcer.setState(resource.StateStarting, 0)
	}
	state := a.announcer.desiredRecord.State
	a.mu.Unlock()
	if changed {
		a.c.Log.Log(evHealth).Str("state", string(state)).Float("seconds", duration.Seconds()).Send()
		a.announce()
	}
	a.c.RunAfter(a.s.ProbeInterval.AsDuration(), jobKey, func() { a.startProbe(u, gen) })
}
