// Package catalog holds the replicated configuration. It decides on the changes of
// operators in the order of the log and computes the deltas for nodes.
package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
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

	// mu guards the replicated state and the queue.
	mu    *rank.RWMutex
	state *state
	queue configurationQueue

	// notificationQueued is set while a notification is queued and not yet running. It is not
	// guarded by mu, so that a long Snapshot does not delay notifications.
	notificationQueued atomic.Bool
}

func newCatalog(c *kernel.Context) *Catalog {
	cat := &Catalog{
		c: c, log: kernel.MustFind[api.Log](c, "quorum"), trace: trace.Find(c), mu: rank.NewRWMutex(rank.Catalog), state: newState(),
		accepted: c.Metrics.NewCounter("celeryyard_catalog_accepted_total"),
		refused:  c.Metrics.NewCounter("celeryyard_catalog_refused_total"),
	}
	c.Metrics.NewGauge("celeryyard_catalog_version", func() float64 { return float64(cat.Version()) })
	c.Metrics.NewGauge("celeryyard_catalog_resources", func() float64 {
		cat.mu.RLock()
		defer cat.mu.RUnlock()
		return float64(len(cat.state.resources))
	})
	cat.log.SetStateMachine(cat)
	return cat
}

// Start implements kernel.Plugin.
func (cat *Catalog) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (cat *Catalog) Stop(context.Context) error { return nil }

// Apply implements api.StateMachine. The result is a change.Outcome.
func (cat *Catalog) Apply(index uint64, data []byte) any {
	e, err := decodeEntry(data)
	if cat.trace != nil {
		cat.trace.Record("catalog", "entry", cat.c.Clock.Now(), "", redactEntry(data, e))
	}
	if err != nil {
		cat.c.Log.Log(evMalformed).Uint("index", index).Err(err).Send()
		return change.Outcome{State: change.StateRefused, Reason: change.ReasonMalformed, Text: err.Error()}
	}
	out, versionRaised, hasSubmissions := cat.applyEntry(e)
	ev, counter := evAccepted, cat.accepted
	if out.State == change.StateRefused {
		ev, counter = evRefused, cat.refused
	}
	counter.Inc()
	cat.c.Log.Log(ev).Str("change", out.ID).Str("operator", e.Change.Operator).Uint("version", uint64(out.Version)).
		Str("reason", string(out.Reason)).Str("text", out.Text).Send()
	if versionRaised {
		cat.notify()
	}
	if versionRaised && hasSubmissions {
		cat.scheduleConfigurations()
	}
	return out
}

func (cat *Catalog) applyEntry(e entry) (out change.Outcome, versionRaised, hasSubmissions bool) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	before := cat.state.version
	out = cat.state.apply(e.Change, e.Time)
	return out, cat.state.version > before, !cat.queue.isEmpty()
}

// Snapshot implements api.StateMachine.
func (cat *Catalog) Snapshot() ([]byte, error) {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	return cat.state.encode()
}

// Restore implements api.StateMachine.
func (cat *Catalog) Restore(snapshot []byte) error {
	s, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	cat.replaceState(s)
	cat.scheduleConfigurations()
	cat.c.Log.Log(evRestored).Uint("version", uint64(s.version)).Int("resources", len(s.resources)).Send()
	cat.notify()
	return nil
}

func (cat *Catalog) replaceState(s *state) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	cat.state = s
}

// Version implements api.Catalog.
func (cat *Catalog) Version() resource.Version {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	return cat.state.version
}

// Delta implements api.Catalog. It removes only resources that a node with the same
// services held at version from; a node whose services changed requests a full set.
func (cat *Catalog) Delta(from resource.Version, services map[string]bool) resource.Delta {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	return cat.state.delta(from, services)
}

// Watch implements api.Catalog.
func (cat *Catalog) Watch(f func(v resource.Version)) { cat.watchers = append(cat.watchers, f) }

// notify queues a notification of the watchers unless one is already queued.
func (cat *Catalog) notify() {
	if cat.notificationQueued.Swap(true) {
		return
	}
	if err := cat.c.TryGo(watchKey, cat.callWatchers); errors.Is(err, pool.ErrFull) {
		cat.c.RunAfter(notifyRetryDelay, watchKey, cat.callWatchers)
	}
}

func (cat *Catalog) callWatchers() {
	cat.notificationQueued.Store(false) // before reading the version, so that no later version is missed
	v := cat.Version()
	for _, f := range cat.watchers {
		f(v)
	}
}

// Submit proposes a change that passes Change.Decode. done is called once, in a job, with
// the decision or with an error that carries a verdict. The verdict applies to this attempt
// only: an earlier attempt with the same ID may still be decided.
func (cat *Catalog) Submit(c *change.Change, timeout time.Duration, done func(change.Outcome, error)) {
	data, err := encodeEntry(entry{Time: cat.c.Clock.Now().UnixMilli(), Change: c})
	if err != nil {
		done(change.Outcome{}, verdict.Wrap(verdict.NotRun, err))
		return
	}
	cat.log.Propose(data, timeout, func(result any, err error) {
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
