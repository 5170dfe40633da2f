// Package dataplane tests calls through the data plane of several nodes. The plug-ins "view" and
// "announce" are replaced by fakes, which the tests control.
package dataplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
)

func init() {
	kernel.Register(kernel.Registration{Name: "view", New: func(*kernel.Context) (kernel.Plugin, error) { return &fakeView{}, nil }})
	kernel.Register(kernel.Registration{Name: "announce", New: func(*kernel.Context) (kernel.Plugin, error) { return &fakeAnnounce{}, nil }})
}

// fakeView replaces the plug-in "view" and holds the snapshot that a test sets.
type fakeView struct {
	snapshot atomic.Pointer[resource.Snapshot]
	watchers []func(*resource.Snapshot)
}

func (v *fakeView) Start(context.Context) error      { return nil }
func (v *fakeView) Stop(context.Context) error       { return nil }
func (v *fakeView) Current() *resource.Snapshot      { return v.snapshot.Load() }
func (v *fakeView) Apply(resource.Update) error      { return nil }
func (v *fakeView) Watch(f func(*resource.Snapshot)) { v.watchers = append(v.watchers, f) }
func (v *fakeView) setSnapshot(s *resource.Snapshot) {
	v.snapshot.Store(s)
	for _, f := range v.watchers {
		f(s)
	}
}

// fakeAnnounce runs a planned stop as the plug-in "announce" does: it calls onDrain, waits for
// drainDelay, and runs the function that was registered with OnLeave. When that function is done, it
// calls onGone.
type fakeAnnounce struct {
	// mu guards endpoint, upstream, generation, draining, onDrain and onGone.
	mu         sync.Mutex
	endpoint   resource.Endpoint
	upstream   string
	generation uint64
	draining   bool
	drainDelay time.Duration
	onDrain    func()
	onGone     func()
	leaveFunc  func(done func())
	changeFunc func()
	leaveOnce  sync.Once
	leaveDone  chan struct{}
}

var _ api.Announcer = (*fakeAnnounce)(nil)

func (a *fakeAnnounce) Start(context.Context) error { return nil }
func (a *fakeAnnounce) Stop(context.Context) error  { return nil }

func (a *fakeAnnounce) Upstream() api.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return api.Upstream{Generation: a.generation, Service: a.endpoint.Service, Address: a.upstream, Slots: a.endpoint.Slots}
}

func (a *fakeAnnounce) OnUpstreamChange(f func()) { a.changeFunc = f }

// setUpstream replaces the upstream at the address.
func (a *fakeAnnounce) setUpstream(e resource.Endpoint, address string) {
	a.mu.Lock()
	a.endpoint, a.upstream = e, address
	a.generation++
	a.mu.Unlock()
	a.changeFunc()
}

func (a *fakeAnnounce) IsDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *fakeAnnounce) HandleMisdirected(string) {}

func (a *fakeAnnounce) OnLeave(f func(done func())) { a.leaveFunc = f }

func (a *fakeAnnounce) Leave(done func()) {
	a.leaveOnce.Do(func() {
		a.leaveDone = make(chan struct{})
		a.mu.Lock()
		a.draining = true
		drain, gone := a.onDrain, a.onGone
		a.mu.Unlock()
		go func() {
			if drain != nil {
				drain()
			}
			time.Sleep(a.drainDelay)
			a.leaveFunc(func() {
				if gone != nil {
					gone()
				}
				close(a.leaveDone)
			})
		}()
	})
	go func() {
		<-a.leaveDone
		done()
	}()
}
