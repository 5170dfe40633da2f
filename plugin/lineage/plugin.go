// Package lineage relates the calls of a node's upstream to the requests that the upstream runs, so that
// calls made by the repeat of a request count as repeats too.
package lineage

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Lineage is the plug-in.
type Lineage struct {
	// hasRetryRoom reports whether the retry budget of a cluster permits further retries; nil if no plug-in
	// keeps budgets.
	hasRetryRoom func(cluster string, now time.Time) bool

	// mu guards the fields below. It is not held while hasRetryRoom is called.
	mu         *rank.Mutex
	executions executions
	parents    parents

	repeatedCalls, refusedParents, nestedCalls, unservedCalls *metrics.Counter
}

func newLineage(c *kernel.Context) *Lineage {
	return &Lineage{
		mu:             rank.NewMutex(rank.Lineage),
		repeatedCalls:  c.Metrics.NewCounter("celeryyard_lineage_repeated_calls_total"),
		nestedCalls:    c.Metrics.NewCounter("celeryyard_lineage_nested_calls_total"),
		unservedCalls:  c.Metrics.NewCounter("celeryyard_lineage_unserved_calls_total"),
		refusedParents: c.Metrics.NewCounter("celeryyard_lineage_refused_requests_total"),
	}
}

// Start implements kernel.Plugin.
func (*Lineage) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (*Lineage) Stop(context.Context) error { return nil }

// SetRetryRoom sets the function that reports whether the retry budget of a cluster permits further
// retries. It must be called before Start.
func (l *Lineage) SetRetryRoom(f func(cluster string, now time.Time) bool) { l.hasRetryRoom = f }

// Begin records that the upstream runs a request. isRepeat is set for a request that may have run before.
// The caller must pass the result to End.
func (l *Lineage) Begin(id string, isRepeat bool, p Parent, now time.Time) *Execution {
	e := &Execution{id: id, isRepeat: isRepeat, parent: p}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions.begin(e)
	if p.Class != "" {
		l.parents.begin(p.Class, now)
	}
	return e
}

// End records that the upstream does not run the request any more.
func (l *Lineage) End(e *Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions.end(e)
}

// HasCalled reports whether the request has made nested calls that were recorded for the statistics; false for nil.
func (l *Lineage) HasCalled(e *Execution) bool {
	if e == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(e.called) > 0
}

// RecordCall records a call to a cluster, and reports whether the upstream makes it for the repeat of a
// request.
func (l *Lineage) RecordCall(cluster, callID string, now time.Time) (isRepeat bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.executions.parent(callID)
	if e == nil {
		return false
	}
	l.executions.recordCall(cluster, now)
	if e.isRepeat {
		l.repeatedCalls.Inc()
	}
	return e.isRepeat
}

// BeginNested returns the running request for which the upstream makes a call to a cluster of a service, and records the
// call. It returns false if the call is not nested.
func (l *Lineage) BeginNested(callID, cluster, service string, now time.Time) (Parent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.executions.nestedParent(callID, service)
	if e == nil {
		return Parent{}, false
	}
	if e.parent.Class != "" {
		l.parents.call(e.parent.Class, cluster, e.call(cluster), now)
	}
	return e.parent, true
}

// EndNested records the end of a nested call to a cluster. answered is false if it was refused or failed before a
// response of the upstream.
func (l *Lineage) EndNested(cluster string, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nestedCalls.Inc()
	if !answered {
		l.unservedCalls.Inc()
	}
	l.parents.recordEnd(cluster, answered, now)
}

// AdmitParent reports whether a request of the class may run: its nested calls are likely to be served. Otherwise
// isLocal reports whether the cause is probably at this node, so that another endpoint may run the request.
func (l *Lineage) AdmitParent(class string, now time.Time) (ok, isLocal bool) {
	draw := rand.Float64()
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, isLocal = l.parents.admit(class, draw, now)
	if !ok {
		l.refusedParents.Inc()
	}
	return ok, isLocal
}

// MayRepeat reports whether the upstream may run the repeat of a request: the retry budgets of all clusters
// that it calls permit the calls that the repeat makes.
func (l *Lineage) MayRepeat(now time.Time) bool {
	if l.hasRetryRoom == nil {
		return true
	}
	l.mu.Lock()
	called := l.executions.called(now)
	l.mu.Unlock()
	for _, cluster := range called {
		if !l.hasRetryRoom(cluster, now) {
			return false
		}
	}
	return true
}
