// Package view holds what a node serves: one immutable snapshot of
// configuration and endpoint sets, replaced as a whole.
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
	evFirst    = event.Declare(650, zerolog.InfoLevel, "first snapshot is in force")
	evRejected = event.Declare(651, zerolog.ErrorLevel, "update rejected; the snapshot is unchanged")
)

// View is the plug-in. It implements api.View.
type View struct {
	c       *kernel.Context
	current atomic.Pointer[resource.Snapshot]

	// mu guards the replacement of current and the queue of watch calls.
	mu *rank.Mutex
	// queue holds the snapshots that the watchers have not been told of.
	queue    []*resource.Snapshot
	draining bool
	watchers []func(s *resource.Snapshot)

	updates  *metrics.Counter
	rejected *metrics.Counter
}

var _ api.View = (*View)(nil)

func newView(c *kernel.Context) *View {
	v := &View{
		c: c, mu: rank.New(rank.View),
		updates:  c.Metrics.NewCounter("celeryyard_view_updates_total"),
		rejected: c.Metrics.NewCounter("celeryyard_view_rejected_updates_total"),
	}
	gauge := func(name string, f func(s *resource.Snapshot) int) {
		c.Metrics.NewGauge(name, func() float64 {
			if s := v.Current(); s != nil {
				return float64(f(s))
			}
			return 0
		})
	}
	gauge("celeryyard_view_version", func(s *resource.Snapshot) int { return int(s.Version) })
	gauge("celeryyard_view_routes", func(s *resource.Snapshot) int { return len(s.Routes) })
	gauge("celeryyard_view_clusters", func(s *resource.Snapshot) int { return len(s.Clusters) })
	gauge("celeryyard_view_endpoint_sets", func(s *resource.Snapshot) int { return len(s.Sets) })
	return v
}

// Current implements api.View.
func (v *View) Current() *resource.Snapshot { return v.current.Load() }

// Watch implements api.View.
func (v *View) Watch(f func(s *resource.Snapshot)) { v.watchers = append(v.watchers, f) }

// Apply implements api.View. Watchers run on the goroutine of the caller or of
// a concurrent caller, one snapshot at a time.
func (v *View) Apply(u resource.Update) error {
	held, err := v.swap(u)
	if err != nil {
		v.rejected.Inc()
		v.c.Log.Log(evRejected).Uint("held_version", uint64(version(held))).Err(err).Send()
		return err
	}
	v.updates.Inc()
	if held == nil {
		v.c.Log.Log(evFirst).Uint("version", uint64(v.Current().Version)).Send()
	}
	v.notify()
	return nil
}

// swap replaces the snapshot and returns the one before it.
func (v *View) swap(u resource.Update) (held *resource.Snapshot, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	held = v.current.Load()
	next, err := held.Apply(u)
	if err != nil {
		return held, err
	}
	v.current.Store(next)
	v.queue = append(v.queue, next)
	return held, nil
}

// notify calls the watchers with each queued snapshot, in order and without the
// lock. Only one goroutine does so at a time.
func (v *View) notify() {
	for {
		s := v.next()
		if s == nil {
			return
		}
		for _, f := range v.watchers {
			f(s)
		}
		v.mu.Lock()
		v.draining = false
		v.mu.Unlock()
	}
}

func (v *View) next() *resource.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining || len(v.queue) == 0 {
		return nil
	}
	s := v.queue[0]
	v.queue, v.draining = v.queue[1:], true
	return s
}

func version(s *resource.Snapshot) resource.Version {
	if s == nil {
		return 0
	}
	return s.Version
}

// Start implements kernel.Plugin.
func (v *View) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (v *View) Stop(context.Context) error { return nil }
