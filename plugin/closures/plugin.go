// Package closures keeps, in the replicated log, which upstreams have stated that they take no more calls.
package closures

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evRecorded  = event.Declare(420, zerolog.InfoLevel, "closure of an upstream is in the replicated log")
	evMalformed = event.Declare(421, zerolog.ErrorLevel, "log entry is not a closure; it has no effect")
)

// machineName is the name of the state machine in the replicated log. It must never change.
const machineName = "closures"

// watchKey is the job key that keeps the notifications of watchers in order.
const watchKey = "closures/watch"

// notifyRetryDelay is the delay before a notification is queued again after the job queue was full.
const notifyRetryDelay = 10 * time.Millisecond

// Closures is the plug-in. It implements api.Closures and api.StateMachine.
type Closures struct {
	c        *kernel.Context
	propose  api.ProposeFunc
	watchers []func(nodes []string)

	// mu guards the fields below.
	mu    *rank.Mutex
	state *state
	// changedNodes holds the nodes of which the watchers have not been notified yet.
	changedNodes map[string]bool

	notificationQueued atomic.Bool
	recorded           *metrics.Counter
}

var (
	_ api.Closures     = (*Closures)(nil)
	_ api.StateMachine = (*Closures)(nil)
)

func newClosures(c *kernel.Context) *Closures {
	cl := &Closures{
		c: c, mu: rank.NewMutex(rank.Closures), state: newState(), changedNodes: map[string]bool{},
		recorded: c.Metrics.NewCounter("celeryyard_closures_recorded_total"),
	}
	c.Metrics.NewGauge("celeryyard_closures_nodes", func() float64 {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return float64(len(cl.state.nodes))
	})
	cl.propose = kernel.MustFind[api.Log](c, "quorum").AddStateMachine(machineName, cl)
	return cl
}

// Start implements kernel.Plugin.
func (cl *Closures) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (cl *Closures) Stop(context.Context) error { return nil }

// Watch implements api.Closures.
func (cl *Closures) Watch(f func(nodes []string)) { cl.watchers = append(cl.watchers, f) }

// Closures implements api.Closures.
func (cl *Closures) Closures(node string) []resource.Closure {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if n := cl.state.nodes[node]; n != nil {
		return n.List
	}
	return nil
}

// Record implements api.Closures.
func (cl *Closures) Record(node string, c resource.Closure, timeout time.Duration, done func(err error)) {
	e := entry{Node: node, Closure: c}
	data, err := json.Marshal(e)
	if err == nil {
		err = e.check()
	}
	if err != nil {
		done(verdict.Wrap(verdict.NotRun, err))
		return
	}
	cl.mu.Lock()
	known := cl.state.covers(e)
	cl.mu.Unlock()
	if known {
		done(nil)
		return
	}
	cl.propose(data, timeout, func(result any, err error) {
		if refusal, ok := result.(error); ok && err == nil {
			err = refusal
		}
		done(err)
	})
}

// Apply implements api.StateMachine. The result is nil, or an error if the entry is malformed.
func (cl *Closures) Apply(index uint64, data []byte) any {
	var e entry
	err := json.Unmarshal(data, &e)
	if err == nil {
		err = e.check()
	}
	if err != nil {
		cl.c.Log.Log(evMalformed).Uint("index", index).Err(err).Send()
		return errors.Wrap(err, "closure")
	}
	if cl.applyEntry(index, e) {
		cl.recorded.Inc()
		cl.c.Log.Log(evRecorded).Str("node", e.Node).Str("upstream", e.Closure.Start.ID).Uint("sequence", e.Closure.Start.Sequence).
			Str("state", string(e.Closure.State())).Uint("index", index).Send()
		cl.notify()
	}
	return nil
}

func (cl *Closures) applyEntry(index uint64, e entry) (changed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if changed = cl.state.apply(index, e); changed {
		cl.changedNodes[e.Node] = true
	}
	return changed
}

// Snapshot implements api.StateMachine.
func (cl *Closures) Snapshot() ([]byte, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.state.encode()
}

// Restore implements api.StateMachine.
func (cl *Closures) Restore(snapshot []byte) error {
	s, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	cl.mu.Lock()
	for _, nodes := range []map[string]*nodeClosures{cl.state.nodes, s.nodes} {
		for name := range nodes {
			cl.changedNodes[name] = true
		}
	}
	cl.state = s
	cl.mu.Unlock()
	cl.notify()
	return nil
}

// notify queues a notification of the watchers unless one is already queued.
func (cl *Closures) notify() {
	if cl.notificationQueued.Swap(true) {
		return
	}
	if err := cl.c.TryGo(watchKey, cl.callWatchers); errors.Is(err, pool.ErrFull) {
		cl.c.RunAfter(notifyRetryDelay, watchKey, cl.callWatchers)
	}
}

func (cl *Closures) callWatchers() {
	cl.notificationQueued.Store(false) // before the nodes are taken, so that no later one is missed
	cl.mu.Lock()
	nodes := make([]string, 0, len(cl.changedNodes))
	for name := range cl.changedNodes {
		nodes = append(nodes, name)
	}
	clear(cl.changedNodes)
	cl.mu.Unlock()
	if len(nodes) == 0 {
		return
	}
	for _, f := range cl.watchers {
		f(nodes)
	}
}
