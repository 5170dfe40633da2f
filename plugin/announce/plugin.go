// Package announce makes the upstream beside a node known to the fleet and
// withdraws it when it leaves.
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
	evFailed      = event.Declare(701, zerolog.WarnLevel, "announcement failed; it is repeated")
	evIncarnation = event.Declare(702, zerolog.InfoLevel, "a newer incarnation is known; announcing a higher one")
	evHealth      = event.Declare(703, zerolog.InfoLevel, "health of the upstream changed")
	evLeaving     = event.Declare(704, zerolog.InfoLevel, "planned stop of the upstream began")
	evUnconfirmed = event.Declare(705, zerolog.WarnLevel, "drain state not confirmed in time; continuing the planned stop")
	evReport      = event.Declare(707, zerolog.InfoLevel, "upstream reports another state")
	evLateReport  = event.Declare(708, zerolog.InfoLevel, "heartbeat of the upstream is older than what is known")
	evSilent      = event.Declare(709, zerolog.WarnLevel, "upstream misses its heartbeats")
	evLeft        = event.Declare(706, zerolog.InfoLevel, "planned stop of the upstream is complete")
)

// jobKey orders all jobs of the plug-in.
const jobKey = "announce"

// Announce is the plug-in. It implements api.Announcer.
type Announce struct {
	c       *kernel.Context
	s       *Settings
	session *session.Session
	server  *http.Server
	client  *http.Client
	ctx     context.Context
	last    func(done func())

	// mu guards everything below.
	mu       *rank.Mutex
	upstream Upstream
	record   announcer
	health   *health
	// probing counts up with each change of the upstream; probes of an earlier
	// one are ignored.
	probing uint64
	leave   *leave
	beats   heartbeats

	announced *metrics.Counter
	probes    *metrics.Counter
}

var _ api.Announcer = (*Announce)(nil)

func newAnnounce(c *kernel.Context) *Announce {
	a := &Announce{
		c: c, s: c.Settings.(*Settings), session: kernel.Use[*session.Session](c, "session"), mu: rank.New(rank.Announce),
		last:      func(done func()) { done() },
		announced: c.Metrics.NewCounter("celeryyard_announce_announcements_total"),
		probes:    c.Metrics.NewCounter("celeryyard_announce_probes_total"),
	}
	c.Metrics.NewGauge("celeryyard_announce_ready", func() float64 {
		if a.Endpoint().State == resource.StateReady {
			return 1
		}
		return 0
	})
	a.client = newClient(a.s.ProbeTimeout.D())
	a.session.OnAttach(func() {
		a.mu.Lock()
		a.record.renew()
		a.mu.Unlock()
		a.announce()
	})
	return a
}

// Endpoint implements api.Announcer.
func (a *Announce) Endpoint() resource.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.desired
}

// Upstream implements api.Announcer.
func (a *Announce) Upstream() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream.Address
}

// Draining implements api.Announcer.
func (a *Announce) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leave != nil
}

// OnLeave implements api.Announcer.
func (a *Announce) OnLeave(f func(done func())) { a.last = f }

// Start implements kernel.Plugin.
func (a *Announce) Start(ctx context.Context) error {
	a.ctx = ctx
	if a.s.Upstream.Service != "" {
		a.put(a.s.Upstream)
	}
	if a.s.ReportTimeout > 0 {
		a.c.Every(jobKey, a.s.ReportTimeout.D()/2, a.checkReports)
	}
	return a.listen()
}

// Stop implements kernel.Plugin. It runs the planned stop.
func (a *Announce) Stop(ctx context.Context) error {
	left := make(chan struct{})
	a.Leave(func() { close(left) })
	var err error
	select {
	case <-left:
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

// put sets the upstream. Calling it again with the same description changes
// nothing; after a planned stop of the upstream it begins a new life. It returns
// false, and nothing has changed, while a planned stop runs and once the node
// itself stops: an upstream that goes on announcing itself would otherwise get
// new calls sent to a node that is about to end.
func (a *Announce) put(u Upstream) bool {
	now := a.c.Clock.Now()
	a.mu.Lock()
	if a.leave != nil && a.leave.step != stepDone || a.c.Stopping() {
		a.mu.Unlock()
		return false
	}
	if a.upstream == u && a.leave == nil {
		a.mu.Unlock()
		return true
	}
	a.upstream, a.leave = u, nil
	a.probing++
	probing, old := a.probing, a.record.desired
	a.record.desired = resource.Endpoint{
		Node: a.c.Instance.Name, Service: u.Service, Address: a.s.Address, Slots: u.Slots,
		Incarnation: max(old.Incarnation, a.session.Incarnation()), Revision: old.Revision,
		AvailabilityZone: a.c.Instance.AvailabilityZone, Region: a.c.Instance.Region, State: resource.StateStarting,
	}
	a.record.dirty = true
	a.health = newHealth(a.s.Rise, a.s.Fall, a.s.MaxUnready.D(), now)
	if u.HealthPath == "" {
		a.record.set(resource.StateReady, now.UnixMilli())
	}
	a.mu.Unlock()
	a.announce()
	if u.HealthPath != "" {
		a.probe(u, probing)
	}
	return true
}

// announce sends the record when it has to be announced.
func (a *Announce) announce() {
	a.mu.Lock()
	e, ok := a.record.next()
	a.mu.Unlock()
	if !ok {
		return
	}
	a.announced.Inc()
	a.session.Call(peerapi.NodeAnnounce, &peerapi.Announce{Endpoint: e}, a.s.CallTimeout.D(), func(raw []byte, err error) {
		var r peerapi.AnnounceReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		a.answered(e, &r, err)
	})
}

func (a *Announce) answered(e resource.Endpoint, r *peerapi.AnnounceReply, err error) {
	a.mu.Lock()
	if err == nil {
		a.record.answered(e.Revision, r.Known, r.OK)
	}
	confirmed, l := a.record.confirmed, a.leave
	a.mu.Unlock()
	switch {
	case err != nil && a.session.Attached():
		a.c.Log.Log(evFailed).Err(err).Send()
		a.c.After(a.s.RetryInterval.D(), jobKey, func() { a.retry(e.Revision) })
		return
	case err != nil:
		return // the next session announces anew
	case r.OK:
		a.c.Log.Log(evAnnounced).Str("service", e.Service).Str("state", string(e.State)).Uint("revision", e.Revision).Send()
	default:
		a.c.Log.Log(evIncarnation).Uint("known", r.Known).Send()
	}
	if l != nil {
		a.confirmed(l, confirmed)
	}
	a.announce()
}

// retry announces anew unless something else was announced meanwhile.
func (a *Announce) retry(revision uint64) {
	a.mu.Lock()
	if a.record.flying == revision {
		a.record.renew()
	}
	a.mu.Unlock()
	a.announce()
}

// probed takes the result of one probe of the upstream.
func (a *Announce) probed(u Upstream, probing uint64, r result, took time.Duration) {
	now := a.c.Clock.Now()
	a.probes.Inc()
	a.mu.Lock()
	if a.probing != probing || a.leave != nil {
		a.mu.Unlock()
		return
	}
	changed := a.health.probe(r, now)
	if changed && a.health.ready {
		a.record.set(resource.StateReady, now.UnixMilli())
	} else if changed {
		a.record.set(resource.StateStarting, 0)
	}
	state := a.record.desired.State
	a.mu.Unlock()
	if changed {
		a.c.Log.Log(evHealth).Str("state", string(state)).Float("seconds", took.Seconds()).Send()
		a.announce()
	}
	a.c.After(a.s.ProbeInterval.D(), jobKey, func() { a.probe(u, probing) })
}
