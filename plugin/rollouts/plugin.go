// Package rollouts moves the traffic of a service to endpoints of another version, in stages that are judged, and back if the
// version is bad. Orders, stages and verdicts are in the replicated log; its leader decides.
package rollouts

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

var (
	evOrdered    = event.Declare(430, zerolog.InfoLevel, "roll-out ordered")
	evPhase      = event.Declare(431, zerolog.InfoLevel, "roll-out enters its next phase")
	evCompleted  = event.Declare(432, zerolog.InfoLevel, "roll-out is completed")
	evRolledBack = event.Declare(433, zerolog.WarnLevel, "roll-out is rolled back")
	evMalformed  = event.Declare(434, zerolog.ErrorLevel, "log entry is not one of a roll-out; it has no effect")
	evUnproposed = event.Declare(435, zerolog.WarnLevel, "step of a roll-out is not in the log yet; it will be tried again")
	evInvalid    = event.Declare(436, zerolog.WarnLevel, "report on roll-outs refused")
	evRefused    = event.Declare(437, zerolog.InfoLevel, "order of a roll-out refused or undecided")
)

// machineName is the name of the state machine in the replicated log. It must never change.
const machineName = "rollouts"

// watchKey is the job key that keeps the notifications of watchers in order.
const watchKey = "rollouts/watch"

// notifyRetryDelay is the delay before a notification is queued again after the job queue was full.
const notifyRetryDelay = 10 * time.Millisecond

// Discovery is the interface of the plug-in "discovery" that rollouts uses.
type Discovery interface {
	// VersionedSet returns the endpoint set of a service with the versions of the endpoints.
	VersionedSet(service string) resource.EndpointSet
	// Conn returns the connection to another control instance, or nil.
	Conn(instance string) *rpc.Conn
	// IsSettled reports whether the endpoint sets are complete.
	IsSettled() bool
}

// Nodes is the interface of the plug-in "distribution" that rollouts uses.
type Nodes interface {
	// NodesWithoutRules returns the number of attached nodes that have not confirmed rules of the given index.
	NodesWithoutRules(index uint64) int
}

// timing is what this instance knows of the time of a roll-out by its own monotonic clock.
type timing struct {
	deadline, phaseSince time.Time
}

// Rollouts is the plug-in. It implements api.StateMachine.
type Rollouts struct {
	c         *kernel.Context
	s         *Settings
	log       api.Log
	catalog   api.Catalog
	propose   api.ProposeFunc
	discovery Discovery // nil without that plug-in
	nodes     Nodes     // nil without that plug-in
	watchers  []func(services []string)

	// mu guards the fields below. It is not held during calls of the log, of discovery and of nodes.
	mu              *rank.Mutex
	state           *state
	timings         map[string]timing
	changedServices map[string]bool
	// accounts are those of the leader of the given term; empty on other instances.
	accounts    map[string]*account
	accountTerm uint64
	proposals   map[string]*proposal
	// lag is how long steps take to be in the log at present: the longest of the last ones, which fades.
	lag   time.Duration
	relay relay

	notificationQueued                     atomic.Bool
	ordered, completed, rolledBack, permit *metrics.Counter
}

var _ api.StateMachine = (*Rollouts)(nil)

func newRollouts(c *kernel.Context) *Rollouts {
	r := &Rollouts{
		c: c, s: c.Settings.(*Settings), log: kernel.MustFind[api.Log](c, "quorum"), catalog: kernel.MustFind[api.Catalog](c, "catalog"),
		mu: rank.NewMutex(rank.Rollouts), state: newState(), timings: map[string]timing{}, changedServices: map[string]bool{},
		accounts: map[string]*account{}, proposals: map[string]*proposal{}, relay: relay{nodes: map[string]*relayedNode{}},
		ordered:    c.Metrics.NewCounter("celeryyard_rollouts_ordered_total"),
		completed:  c.Metrics.NewCounter("celeryyard_rollouts_completed_total"),
		rolledBack: c.Metrics.NewCounter("celeryyard_rollouts_rolled_back_total"),
		permit:     c.Metrics.NewCounter("celeryyard_rollouts_permitted_requests_total"),
	}
	c.Metrics.NewGauge("celeryyard_rollouts_in_progress", func() float64 { return float64(len(r.inProgress())) })
	r.propose = r.log.AddStateMachine(machineName, r)
	kernel.MustFind[*peer.Peer](c, "peer").Handle(peerapi.RolloutsReport, r.onInstanceReport)
	return r
}

// SetDiscovery sets the plug-in that knows the endpoints. It must be called before Start.
func (r *Rollouts) SetDiscovery(d Discovery) { r.discovery = d }

// SetNodes sets the plug-in that knows the attached nodes. It must be called before Start.
func (r *Rollouts) SetNodes(n Nodes) { r.nodes = n }

// Start implements kernel.Plugin.
func (r *Rollouts) Start(context.Context) error {
	if r.discovery != nil && r.nodes != nil {
		r.c.RunEvery("rollouts/decide", decideInterval, r.decide)
		r.c.RunEvery("rollouts/report", reportInterval, r.sendReport)
	}
	return nil
}

// Stop implements kernel.Plugin.
func (r *Rollouts) Stop(context.Context) error { return nil }

// Watch registers f to be called in a job with the services whose rules have changed. It must be called before Start.
func (r *Rollouts) Watch(f func(services []string)) { r.watchers = append(r.watchers, f) }

// ShowsVersions reports whether nodes get the versions of the service's endpoints.
func (r *Rollouts) ShowsVersions(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.rollouts[service] != nil
}

// Rules returns the rules of all services. The result must not be changed.
func (r *Rollouts) Rules() *peerapi.Rollouts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.rules(r.s.ExposureShare)
}

// RulesIndex returns the index of the rules; 0 if there are none.
func (r *Rollouts) RulesIndex() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ruleIndex
}

// Status returns the last roll-out of a service as this instance knows it, and false if there is none.
func (r *Rollouts) Status(service string) (Rollout, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.state.rollouts[service]; last != nil {
		return *last, true
	}
	return Rollout{}, false
}

// inProgress returns the roll-outs in progress, by service.
func (r *Rollouts) inProgress() map[string]*Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]*Rollout{}
	for name, o := range r.state.rollouts {
		if !o.Phase.isFinal() {
			out[name] = o
		}
	}
	return out
}

// Apply implements api.StateMachine. The result is nil, or an error if the entry is refused or malformed.
func (r *Rollouts) Apply(index uint64, data []byte) any {
	var e entry
	err := json.Unmarshal(data, &e)
	if err == nil {
		err = e.check()
	}
	if err != nil {
		r.c.Log.Log(evMalformed).Uint("index", index).Err(err).Send()
		return errors.Wrap(err, "roll-out")
	}
	now := r.c.Clock.Now()
	r.mu.Lock()
	changed, err := r.state.apply(index, &e)
	o := r.state.rollouts[e.Service]
	if o != nil && (changed || err == nil) {
		r.updateTiming(o, changed, now)
	}
	if changed {
		r.changedServices[e.Service] = true
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		r.logPhase(o)
		r.notify()
	}
	return nil
}

// updateTiming reckons the deadline from the entry that was applied last. The caller holds mu.
func (r *Rollouts) updateTiming(o *Rollout, phaseChanged bool, now time.Time) {
	if o.Phase.isFinal() {
		delete(r.timings, o.Service)
		return
	}
	t := r.timings[o.Service]
	t.deadline = now.Add(remainingAt(now, o))
	if phaseChanged || t.phaseSince.IsZero() {
		t.phaseSince = now
	}
	r.timings[o.Service] = t
}

func (r *Rollouts) logPhase(o *Rollout) {
	ev := evPhase
	switch o.Phase {
	case PhaseCanary:
		ev = evOrdered
		r.ordered.Inc()
	case PhaseCompleted:
		ev = evCompleted
		r.completed.Inc()
	case PhaseRolledBack:
		ev = evRolledBack
		r.rolledBack.Inc()
	}
	r.c.Log.Log(ev).Str("service", o.Service).Str("version", o.Target).Int("phase", int(o.Phase)).Int("remaining_ms", int(o.RemainingMillis)).
		Uint("reserved", o.Reserved).Str("reason", o.Reason).Send()
}

// Snapshot implements api.StateMachine.
func (r *Rollouts) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.encode()
}

// Restore implements api.StateMachine.
func (r *Rollouts) Restore(snapshot []byte) error {
	s, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	now := r.c.Clock.Now()
	r.mu.Lock()
	for _, set := range []map[string]*Rollout{r.state.rollouts, s.rollouts} {
		for name := range set {
			r.changedServices[name] = true
		}
	}
	r.state, r.timings = s, map[string]timing{}
	for _, o := range s.rollouts {
		r.updateTiming(o, true, now)
	}
	r.mu.Unlock()
	r.notify()
	return nil
}

// notify queues a notification of the watchers unless one is already queued.
func (r *Rollouts) notify() {
	if r.notificationQueued.Swap(true) {
		return
	}
	if err := r.c.TryGo(watchKey, r.callWatchers); errors.Is(err, pool.ErrFull) {
		r.c.RunAfter(notifyRetryDelay, watchKey, r.callWatchers)
	}
}

func (r *Rollouts) callWatchers() {
	r.notificationQueued.Store(false) // before the services are taken, so that no later one is missed
	r.mu.Lock()
	services := make([]string, 0, len(r.changedServices))
	for name := range r.changedServices {
		services = append(services, name)
	}
	clear(r.changedServices)
	r.mu.Unlock()
	if len(services) == 0 {
		return
	}
	for _, f := range r.watchers {
		f(services)
	}
}
