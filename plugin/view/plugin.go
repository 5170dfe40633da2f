// Package view holds the current snapshot of a node: the configuration and the endpoint sets. The
// snapshot is immutable and is replaced as a whole.
package view

import (
	"context"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evFirstSnapshot = event.Declare(650, zerolog.InfoLevel, "first snapshot is in force")
	evRejected      = event.Declare(651, zerolog.ErrorLevel, "update rejected; the snapshot is unchanged")
)

// View is the plug-in. It implements api.View.
type View struct {
	c       *kernel.Context
	current atomic.Pointer[resource.Snapshot]

	// mu serializes replacements of current and guards pendingSnapshots and notifying.
	mu *rank.Mutex
	// pendingSnapshots holds the snapshots that the watchers have not been called with yet.
	// notifying is set while a goroutine calls the watchers.
	pendingSnapshots []*resource.Snapshot
	notifying        bool
	watchers         []func(s *resource.Snapshot)

	updates  *metrics.Counter
	rejected *metrics.Counter
}

var _ api.View = (*View)(nil)

func newView(c *kernel.Context) *View {
	v := &View{
		c: c, mu: rank.NewMutex(rank.View),
		updates:  c.Metrics.NewCounter("celeryyard_view_updates_total"),
		rejected: c.Metrics.NewCounter("celeryyard_view_rejected_updates_total"),
	}
	addGauge := func(name string, f func(s *resource.Snapshot) int) {
		c.Metrics.NewGauge(name, func() float64 {
			if s := v.Current(); s != nil {
				return float64(f(s))
			}
			return 0
		})
	}
	addGauge("celeryyard_view_version", func(s *resource.Snapshot) int { return int(s.Version) })
	addGauge("celeryyard_view_routes", func(s *resource.Snapshot) int { return len(s.Routes) })
	addGauge("celeryyard_view_clusters", func(s *resource.Snapshot) int { return len(s.Clusters) })
	addGauge("celeryyard_view_endpoint_sets", func(s *resource.Snapshot) int { return len(s.Sets) })
	return v
}

// Current implements api.View.
func (v *View) Current() *resource.Snapshot { return v.current.Load() }

// Watch implements api.View.
func (v *View) Watch(f func(s *resource.Snapshot)) { v.watchers = append(v.watchers, f) }

// Apply implements api.View. The watchers are called with one snapshot at a time. If a concurrent
// call of Apply is calling them, it also calls them with the snapshot of this call, which then
// returns earlier.
func (v *View) Apply(u resource.Update) error {
	previous, err := v.swap(u)
	if err != nil {
		v.rejected.Inc()
		v.c.Log.Log(evRejected).Uint("held_version", uint64(versionOf(previous))).Err(err).Send()
		return err
	}
	v.updates.Inc()
	if previous == nil {
		v.c.Log.Log(evFirstSnapshot).Uint("version", uint64(v.Current().Version)).Send()
	}
	v.notifyWatchers()
	return nil
}

// swap replaces the snapshot and returns the previous one.
func (v *View) swap(u resource.Update) (previous *resource.Snapshot, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous = v.current.Load()
	next, err := previous.Apply(u)
	if err != nil {
		return previous, err
	}
	v.current.Store(next)
	v.pendingSnapshots = append(v.pendingSnapshots, next)
	return previous, nil
}

// notifyWatchers calls the watchers with each pending snapshot, in order and without the lock. Only
// one goroutine at a time calls them.
func (v *View) notifyWatchers() {
	for {
		s := v.dequeue()
		if s == nil {
			return
		}
		for _, f := range v.watchers {
			f(s)
		}
		v.mu.Lock()
		v.notifying = false
		v.mu.Unlock()
	}
}

// dequeue returns the next pending snapshot and sets notifying; nil if there is none or another
// goroutine is calling the watchers.
func (v *View) dequeue() *resource.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.notifying || len(v.pendingSnapshots) == 0 {
		return nil
	}
	s := v.pendingSnapshots[0]
	v.pendingSnapshots, v.notifying = v.pendingSnapshots[1:], true
	return s
}

// versionOf returns the version of a snapshot; 0 for nil.
func versionOf(s *resource.Snapshot) resource.Version {
	if s == nil {
		return 0
	}
	return s.Version
}

// Start implements kernel.Plugin.
func (v *View) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (v *View) Stop(context.Context) error { return nil }
