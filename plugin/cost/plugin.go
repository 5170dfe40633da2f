// Package cost learns the expected work of calls from their durations, for the choice of endpoints and the order of
// service.
package cost

import (
	"context"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Cost is the plug-in. Its methods are safe for concurrent use.
type Cost struct {
	s *Settings

	// mu guards the field below.
	mu        *rank.Mutex
	estimates estimates
}

func newCost(c *kernel.Context) *Cost {
	p := &Cost{s: c.Settings.(*Settings), mu: rank.NewMutex(rank.Cost)}
	c.Metrics.NewGauge("celeryyard_cost_kinds", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(p.estimates.byKind))
	})
	return p
}

// Start implements kernel.Plugin.
func (*Cost) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (*Cost) Stop(context.Context) error { return nil }

// IsOn reports whether endpoints are chosen by cost. auto is what applies to a service with the setting auto. The method
// may be called on nil, which stands for a process without the plug-in.
func (p *Cost) IsOn(auto bool) bool { return p != nil && p.s.Routing.IsOn(auto) }

// Observe records the work of a call: the time that it took without waiting, relative to the speed of its endpoint. name
// is the kind of the call at the service, and bytes the length of its body.
func (p *Cost) Observe(service, name string, bytes int64, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimates.observe(service, name, bytes, work)
}

// Expect returns the expected work of a call.
func (p *Cost) Expect(service, name string, bytes int64) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimates.expect(service, name, bytes)
}
