// Package dataplane tests calls through the data plane of several nodes. The
// plug-ins "view" and "announce" are replaced by fakes that the test controls.
package dataplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
)

func init() {
	kernel.Register(kernel.Registration{Name: "view", New: func(*kernel.Context) (kernel.Plugin, error) { return &fakeView{}, nil }})
	kernel.Register(kernel.Registration{Name: "announce", New: func(*kernel.Context) (kernel.Plugin, error) { return &fakeAnnounce{}, nil }})
}

type fakeView struct {
	snapshot atomic.Pointer[resource.Snapshot]
	watchers []func(*resource.Snapshot)
}

func (v *fakeView) Start(context.Context) error      { return nil }
func (v *fakeView) Stop(context.Context) error       { return nil }
func (v *fakeView) Current() *resource.Snapshot      { return v.snapshot.Load() }
func (v *fakeView) Apply(resource.Update) error      { return nil }
func (v *fakeView) Watch(f func(*resource.Snapshot)) { v.watchers = append(v.watchers, f) }
func (v *fakeView) set(s *resource.Snapshot) {
	v.snapshot.Store(s)
	for _, f := range v.watchers {
		f(s)
	}
}

// fakeAnnounce runs the planned stop as the plug-in "announce" does: it tells
// the test that the endpoint drains, waits, and runs the last step.
type fakeAnnounce struct {
	mu       sync.Mutex
	endpoint resource.Endpoint
	upstream string
	draining bool
	grace    time.Duration
	onDrain  func()
	onGone   func()
	last     func(done func())
	once     sync.Once
	left     chan struct{}
}

func (a *fakeAnnounce) Start(context.Context) error { return nil }
func (a *fakeAnnounce) Stop(context.Context) error  { return nil }

func (a *fakeAnnounce) Endpoint() resource.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endpoint
}

func (a *fakeAnnounce) Upstream() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream
}

func (a *fakeAnnounce) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *fakeAnnounce) UpstreamID() string { return "" }
func (a *fakeAnnounce) Closed() bool       { return false }

func (a *fakeAnnounce) OnLeave(f func(done func())) { a.last = f }

func (a *fakeAnnounce) Leave(done func()) {
	a.once.Do(func() {
		a.left = make(chan struct{})
		a.mu.Lock()
		a.draining = true
		drain, gone := a.onDrain, a.onGone
		a.mu.Unlock()
		go func() {
			if drain != nil {
				drain()
			}
			time.Sleep(a.grace)
			a.last(func() {
				if gone != nil {
					gone()
				}
				close(a.left)
			})
		}()
	})
	go func() {
		<-a.left
		done()
	}()
}
