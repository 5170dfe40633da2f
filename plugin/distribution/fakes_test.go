package distribution

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/announce"
	_ "github.com/celeryyard/celeryyard/plugin/capacity" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/closures" // registers itself
	"github.com/celeryyard/celeryyard/plugin/discovery"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/view"

	nodesession "github.com/celeryyard/celeryyard/plugin/session"
	_ "github.com/celeryyard/celeryyard/plugin/trace" // registers itself
)

func init() {
	kernel.Register(kernel.Registration{Name: "quorum", New: func(c *kernel.Context) (kernel.Plugin, error) {
		return &fakeLog{c: c}, nil
	}})
	kernel.Register(kernel.Registration{Name: "probe", Needs: []string{"view"}, New: newServeRecorder})
	kernel.Register(kernel.Registration{Name: "catalog", New: func(c *kernel.Context) (kernel.Plugin, error) {
		return &fakeCatalog{c: c, resources: map[resource.Key]resource.Resource{}, removals: map[resource.Key]removal{}}, nil
	}})
}

// serveRecorder records when a node starts to serve each version.
type serveRecorder struct {
	noLife
	mu     sync.Mutex
	served map[resource.Version]time.Time
}

func newServeRecorder(c *kernel.Context) (kernel.Plugin, error) {
	p := &serveRecorder{served: map[resource.Version]time.Time{}}
	kernel.MustFind[api.View](c, "view").Watch(func(s *resource.Snapshot) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if _, ok := p.served[s.Version]; !ok {
			p.served[s.Version] = time.Now()
		}
	})
	return p, nil
}

func (p *serveRecorder) servedAt(v resource.Version) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.served[v]
	return t, ok
}

// noLife implements Start and Stop of a plug-in that needs neither.
type noLife struct{}

func (noLife) Start(context.Context) error { return nil }
func (noLife) Stop(context.Context) error  { return nil }

// fakeLog replaces the replicated log. Linearizable reads fail while partitioned is set.
type fakeLog struct {
	noLife
	c               *kernel.Context
	mu              sync.Mutex
	releasedVersion resource.Version
	partitioned     bool
	barrierCount    int // number of linearizable reads
	// confirmedAt is the time of the last status call outside a partition.
	confirmedAt time.Time
	// writeTime is the time that each write to the disk takes.
	writeTime time.Duration
	// unapplied is the number of committed entries that are not applied.
	unapplied uint64
}

func (l *fakeLog) SetStateMachine(api.StateMachine) {}

// AddStateMachine applies the entries of the machine on this instance only, outside a partition.
func (l *fakeLog) AddStateMachine(_ string, sm api.StateMachine) api.ProposeFunc {
	index := uint64(0)
	return func(data []byte, timeout time.Duration, done func(any, error)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.partitioned {
			l.c.RunAfter(timeout, "fake", func() { done(nil, errors.New("no quorum")) })
			return
		}
		l.c.RunAfter(time.Millisecond, "fake", func() {
			index++
			done(sm.Apply(index, data), nil)
		})
	}
}

func (l *fakeLog) Propose(_ []byte, _ time.Duration, done func(any, error)) {
	done(nil, errors.New("fake log accepts no proposals"))
}

func (l *fakeLog) Barrier(timeout time.Duration, done func(error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barrierCount++
	if l.partitioned {
		l.c.RunAfter(timeout, "fake", func() { done(errors.New("no quorum")) })
		return
	}
	l.c.RunAfter(time.Millisecond, "fake", func() { done(nil) })
}

func (l *fakeLog) Status() api.QuorumStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.partitioned {
		l.confirmedAt = l.c.Clock.Now()
	}
	return api.QuorumStatus{Role: "follower", Confirmed: l.confirmedAt, WriteTime: l.writeTime, Commit: l.unapplied}
}

func (l *fakeLog) SyncReleasedVersion(v resource.Version, done func(error)) {
	l.mu.Lock()
	delay := l.writeTime
	l.mu.Unlock()
	l.c.RunAfter(delay, "fake", func() {
		l.mu.Lock()
		l.releasedVersion = max(l.releasedVersion, v)
		l.mu.Unlock()
		done(nil)
	})
}

func (l *fakeLog) setWriteTime(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeTime = d
}

func (l *fakeLog) setUnapplied(entries uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unapplied = entries
}

func (l *fakeLog) setPartitioned(partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = partitioned
}

func (l *fakeLog) ReleasedVersion() resource.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releasedVersion
}

// removal is the version at which a resource was removed, with the service of the resource.
type removal struct {
	version resource.Version
	service string
}

// fakeCatalog replaces the plug-in that holds the accepted configuration.
type fakeCatalog struct {
	noLife
	c         *kernel.Context
	mu        sync.Mutex
	version   resource.Version
	horizon   resource.Version
	resources map[resource.Key]resource.Resource
	removals  map[resource.Key]removal
	watchers  []func(resource.Version)
}

func (f *fakeCatalog) Version() resource.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fakeCatalog) Watch(w func(resource.Version)) { f.watchers = append(f.watchers, w) }

func (f *fakeCatalog) Delta(from resource.Version, services map[string]bool) resource.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.version || from < f.horizon {
		from = 0
	}
	d := resource.Delta{From: from, To: f.version}
	for _, r := range f.resources {
		if r.Changed > from && (services == nil || services[f.service(r)]) {
			d.Upserts = append(d.Upserts, r)
		}
	}
	for k, g := range f.removals {
		if from > 0 && g.version > from && (services == nil || services[g.service]) {
			d.Removes = append(d.Removes, k)
		}
	}
	return d
}

func (f *fakeCatalog) service(r resource.Resource) string {
	if r.Cluster != nil {
		return r.Cluster.Service
	}
	return f.resources[resource.Key{Kind: resource.KindCluster, Name: r.Route.Cluster}].Cluster.Service
}

// put adds or changes a cluster with one route and returns the new version.
func (f *fakeCatalog) put(team, service string, timeout int) resource.Version {
	return f.change(func(v resource.Version) {
		name := team + "/" + service
		c := &resource.Cluster{Name: name, Organisation: "tacto-norte", Team: team, Service: service, RetryBudgetPercent: 20, SlowStartMillis: 5000, EjectAfter: 5}
		r := &resource.Route{Name: name, Organisation: "tacto-norte", Team: team, Match: resource.Match{Host: team + ".example", PathPrefix: "/" + service}, Cluster: name, TimeoutMillis: timeout, MaxAttempts: 3}
		ck, rk := resource.Key{Kind: resource.KindCluster, Name: name}, resource.Key{Kind: resource.KindRoute, Name: name}
		if _, ok := f.resources[ck]; !ok {
			f.resources[ck] = resource.Resource{Changed: v, Cluster: c}
		}
		f.resources[rk] = resource.Resource{Changed: v, Route: r}
		delete(f.removals, ck)
		delete(f.removals, rk)
	})
}

func (f *fakeCatalog) remove(team, service string) resource.Version {
	return f.change(func(v resource.Version) {
		for _, kind := range []resource.Kind{resource.KindCluster, resource.KindRoute} {
			k := resource.Key{Kind: kind, Name: team + "/" + service}
			delete(f.resources, k)
			f.removals[k] = removal{v, service}
		}
	})
}

func (f *fakeCatalog) change(apply func(v resource.Version)) resource.Version {
	f.mu.Lock()
	f.version++
	v := f.version
	apply(v)
	f.mu.Unlock()
	for _, w := range f.watchers {
		f.c.Go("fake/watch", func() { w(v) })
	}
	return v
}

// fleet starts control instances and nodes in this process.
type fleet struct {
	t         testing.TB
	keyFile   string
	members   []peer.Member
	nodeCount int
	// leaveDelay is the value of the setting announce/leave_delay of the nodes.
	leaveDelay string
	// settleTimeout is the value of the setting discovery/settle_timeout of control instances that are started.
	settleTimeout time.Duration
	// clockOffset is added to the time of control instances that are started.
	clockOffset time.Duration
}

// offsetClock is the system clock with an offset.
type offsetClock struct {
	clock.System
	offset time.Duration
}

func (c offsetClock) Now() time.Time { return time.Now().Add(c.offset) }

func newFleet(t testing.TB, zones ...string) *fleet {
	f := &fleet{t: t, keyFile: kerneltest.WriteFleetKeyFile(t), leaveDelay: "0s", settleTimeout: 300 * time.Millisecond}
	for i, z := range zones {
		f.members = append(f.members, peer.Member{Name: fmt.Sprintf("control-%d", i), Address: kerneltest.FreeAddress(t), AvailabilityZone: z})
	}
	return f
}

func (f *fleet) instancesJSON() string {
	text := ""
	for i, m := range f.members {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name": %q, "address": %q, "availability_zone": %q}`, m.Name, m.Address, m.AvailabilityZone)
	}
	return "[" + text + "]"
}

// controlInstance is a running control instance of a fleet.
type controlInstance struct {
	*kernel.Kernel
	catalog      *fakeCatalog
	log          *fakeLog
	discovery    *discovery.Discovery
	distribution *Distribution
	stop         func()
}

func (f *fleet) startControl(i int, extra string) *controlInstance {
	m := f.members[i]
	text := fmt.Sprintf(`{"instance": {"name": %q, "availability_zone": %q, "fleet_key_file": %q, "seed": %d, "data_folder": %q},
		"peer": {"listen": %q, "instances": %s}, "discovery": {"settle_timeout": %q}%s}`, m.Name, m.AvailabilityZone, f.keyFile, i+1, f.t.TempDir(), m.Address, f.instancesJSON(), f.settleTimeout, extra)
	// Wait for the listener: a node that starts before the instance listens would attach to
	// another one.
	defer kerneltest.WaitUntil(f.t, waitTimeout, "listener of the instance", func() bool {
		c, err := net.Dial("tcp", m.Address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
	k, stop := kerneltest.StartWithClock(f.t, []string{"trace", "peer", "quorum", "catalog", "closures", "discovery", "capacity", "distribution"}, text, false, offsetClock{offset: f.clockOffset})
	return &controlInstance{
		Kernel: k, catalog: k.Plugin("catalog").(*fakeCatalog), log: k.Plugin("quorum").(*fakeLog),
		discovery: k.Plugin("discovery").(*discovery.Discovery), distribution: k.Plugin("distribution").(*Distribution), stop: stop,
	}
}

// node is a running node of a fleet.
type node struct {
	*kernel.Kernel
	name     string
	view     *view.View
	announce *announce.Announce
	session  *nodesession.Session
	peer     *peer.Peer
	recorder *serveRecorder
	stop     func()
}

// startNode starts a node. service is that of its upstream; empty for a node without one.
func (f *fleet) startNode(name, zone, service, services, extra string) *node {
	f.nodeCount++
	upstream := ""
	if service != "" {
		upstream = fmt.Sprintf(`, "announce": {"address": "127.0.0.1:%d", "linger": "50ms", "leave_delay": %q, "upstream": {"service": %q, "address": "127.0.0.1:9", "slots": 9}}`, 20000+f.nodeCount, f.leaveDelay, service)
	}
	text := fmt.Sprintf(`{"instance": {"name": %q, "availability_zone": %q, "region": "cantabrico", "fleet_key_file": %q, "workers": 1, "queue_jobs": 256, "seed": %d},
		"peer": {"instances": %s}, "session": {"services": %s%s}%s}`, name, zone, f.keyFile, 100+f.nodeCount, f.instancesJSON(), services, extra, upstream)
	k, stop := kerneltest.Start(f.t, []string{"peer", "view", "probe", "session", "announce"}, text, false)
	return &node{
		Kernel: k, name: name, view: k.Plugin("view").(*view.View), announce: k.Plugin("announce").(*announce.Announce), session: k.Plugin("session").(*nodesession.Session),
		peer: k.Plugin("peer").(*peer.Peer), recorder: k.Plugin("probe").(*serveRecorder), stop: stop,
	}
}

func (n *node) version() resource.Version {
	if s := n.view.Current(); s != nil {
		return s.Version
	}
	return 0
}

// endpoints returns the number of endpoints in the node's set of a service, or -1 when it does
// not hold the set.
func (n *node) endpoints(service string) int {
	if s := n.view.Current(); s != nil && s.Sets[service] != nil {
		return len(s.Sets[service].Endpoints)
	}
	return -1
}

const allServices = `["*"]`
