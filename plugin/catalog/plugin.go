// Package catalog holds the replicated configuration. It decides on the changes of
// operators in the order of the log and computes the deltas for nodes.
package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evAccepted  = event.Declare(400, zerolog.DebugLevel, "change accepted")
	evRefused   = event.Declare(401, zerolog.DebugLevel, "change refused")
	evRestored  = event.Declare(402, zerolog.InfoLevel, "catalog restored from a snapshot")
	evMalformed = event.Declare(403, zerolog.ErrorLevel, "log entry is not a change; it has no effect")
)

// watchKey is the job key that keeps the notifications of watchers in order.
const watchKey = "catalog/watch"

// notifyRetryDelay is the delay before a notification is queued again after the job queue was
// full.
const notifyRetryDelay = 10 * time.Millisecond

// Catalog is the plug-in. It implements api.StateMachine and api.Catalog.
type Catalog struct {
	c        *kernel.Context
	log      api.Log
	trace    *trace.Trace
	watchers []func(resource.Version)

	accepted, refused *metrics.Counter

	// mu guards the replicated state.
	mu    *rank.RWMutex
	state *state

	// notificationQueued is set while a notification is queued and not yet running. It is not
	// guarded by mu, so that a long Snapshot does not delay notifications.
	notificationQueued atomic.Bool
}

func newCatalog(c *kernel.Context) *Catalog {
	t := &Catalog{
		c: c, log: kernel.MustFind[api.Log](c, "quorum"), trace: trace.Find(c), mu: rank.NewRWMutex(rank.Catalog), state: newState(),
		accepted: c.Metrics.NewCounter("celeryyard_catalog_accepted_total"),
		refused:  c.Metrics.NewCounter("celeryyard_catalog_refused_total"),
	}
	c.Metrics.NewGauge("celeryyard_catalog_version", func() float64 { return float64(t.Version()) })
	c.Metrics.NewGauge("celeryyard_catalog_resources", func() float64 {
		t.mu.RLock()
		defer t.mu.RUnlock()
		return float64(len(t.state.resources))
	})
	t.log.SetStateMachine(t)
	return t
}

// Start implements kernel.Plugin.
func (t *Catalog) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (t *Catalog) Stop(context.Context) error { return nil }

// Apply implements api.StateMachine. The result is a change.Outcome.
func (t *Catalog) Apply(index uint64, data []byte) any {
	t.trace.Record("catalog", "entry", t.c.Clock.Now(), "", jsontext.Value(data))
	e, err := decodeEntry(data)
	if err != nil {
		t.c.Log.Log(evMalformed).Uint("index", index).Err(err).Send()
		return change.Outcome{State: change.StateRefused, Reason: change.ReasonMalformed, Text: err.Error()}
	}
	out, versionRaised := t.applyEntry(e)
	ev, counter := evAccepted, t.accepted
	if out.State == change.StateRefused {
		ev, counter = evRefused, t.refused
	}
	counter.Inc()
	t.c.Log.Log(ev).Str("change", out.ID).Str("operator", e.Change.Operator).Uint("version", uint64(out.Version)).
		Str("reason", string(out.Reason)).Str("text", out.Text).Send()
	if versionRaised {
		t.notify()
	}
	return out
}

func (t *Catalog) applyEntry(e entry) (out change.Outcome, versionRaised bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state.version
	out = t.state.apply(e.Change, e.Time)
	return out, t.state.version > before
}

// Snapshot implements api.StateMachine.
func (t *Catalog) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.encode()
}

// Restore implements api.StateMachine.
func (t *Catalog) Restore(snapshot []byte) error {
	s, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	t.replaceState(s)
	t.c.Log.Log(evRestored).Uint("version", uint64(s.version)).Int("resources", len(s.resources)).Send()
	t.notify()
	return nil
}

func (t *Catalog) replaceState(s *state) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
}

// Version implements api.Catalog.
func (t *Catalog) Version() resource.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.version
}

// Delta implements api.Catalog. It removes only resources that a node with the same
// services held at version from; a node whose services changed requests a full set.
func (t *Catalog) Delta(from resource.Version, services map[string]bool) resource.Delta {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.delta(from, services)
}

// Watch implements api.Catalog.
func (t *Catalog) Watch(f func(v resource.Version)) { t.watchers = append(t.watchers, f) }

// notify queues a notification of the watchers unless one is already queued.
func (t *Catalog) notify() {
	if t.notificationQueued.Swap(true) {
		return
	}
	if err := t.c.TryGo(watchKey, t.callWatchers); errors.Is(err, pool.ErrFull) {
		t.c.RunAfter(notifyRetryDelay, watchKey, t.callWatchers)
	}
}

func (t *Catalog) callWatchers() {
	t.notificationQueued.Store(false) // before reading the version, so that no later version is missed
	v := t.Version()
	for _, f := range t.watchers {
		f(v)
	}
}

// Submit proposes a change that passes Change.Decode. done is called once, in a job, with
// the decision or with an error that carries a verdict. The verdict applies to this attempt
// only: an earlier attempt with the same ID may still be decided.
func (t *Catalog) Submit(c *change.Change, timeout time.Duration, done func(change.Outcome, error)) {
	data, err := encodeEntry(entry{Time: t.c.Clock.Now().UnixMilli(), Change: c})
	if err != nil {
		done(change.Outcome{}, verdict.Wrap(verdict.NotRun, err))
		return
	}
	t.log.Propose(data, timeout, func(result any, err error) {
		if err != nil {
			done(change.Outcome{}, err)
			return
		}
		out, ok := result.(change.Outcome)
		if !ok {
			done(change.Outcome{}, errors.Newf("log returned %T instead of an outcome", result))
			return
		}
		done(out, nil)
	})
}
