package dataplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	_ "github.com/celeryyard/celeryyard/plugin/idempotency" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/inbound"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/outbound"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/peer"        // registers itself
)

// node is one node of a test fleet with the upstream beside it.
type node struct {
	t        testing.TB
	name     string
	zone     string
	kernel   *kernel.Kernel
	stop     func()
	view     *fakeView
	announce *fakeAnnounce
	outbound string
	inbound  string
	relay    *relay
	upstream *httptest.Server
	endpoint resource.Endpoint
	// deaf keeps the node from hearing that endpoints drain or are gone.
	deaf bool
}

// fleet is a set of nodes with one service "svc" and a route for each of the
// organisations "north" and "south" by host.
type fleet struct {
	t     testing.TB
	key   string
	slots int
	// plain leaves the relays out, which figures must not contain.
	plain bool
	// copying is the time in which claims are copied to new holders.
	copying time.Duration
	// buffer is the length up to which nodes read an answer before they pass it on.
	buffer int
	route  resource.Route
	clust  resource.Cluster
	mu     sync.Mutex
	nodes  []*node
}

func newFleet(t testing.TB, slots int) *fleet {
	return &fleet{
		t: t, key: kerneltest.KeyFile(t), slots: slots, copying: 10 * time.Second,
		route: resource.Route{TimeoutMillis: 2000, MaxAttempts: 3},
		clust: resource.Cluster{Service: "svc", RetryBudgetPercent: 20, EjectAfter: 3},
	}
}

// add starts a node; a nil handler gives a node without an upstream.
func (f *fleet) add(name, zone string, h http.Handler) *node {
	f.t.Helper()
	n := &node{t: f.t, name: name, zone: zone, outbound: kerneltest.FreeAddress(f.t), inbound: kerneltest.FreeAddress(f.t)}
	if h != nil {
		n.upstream = httptest.NewServer(h)
		f.t.Cleanup(n.upstream.Close)
	}
	n.relay = newRelay(f.t, kerneltest.FreeAddress(f.t), n.inbound)
	f.start(n)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.publish()
	f.listening(n)
	return n
}

// listening waits until the node's listeners are open.
func (f *fleet) listening(n *node) {
	f.t.Helper()
	kerneltest.Wait(f.t, 5*time.Second, "listener", func() bool {
		resp, err := http.Get("http://" + n.outbound + "/none")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	kerneltest.Wait(f.t, 5*time.Second, "listener for nodes", func() bool {
		c, err := net.Dial("tcp", n.inbound)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

// start runs the node's process, again after a stop.
func (f *fleet) start(n *node) {
	text := fmt.Sprintf(`{"instance": {"name": %q, "availability_zone": %q, "fleet_key_file": %q},
		"outbound": {"listen": %q, "buffer_bytes": %d}, "inbound": {"listen": %q, "buffer_bytes": %d},
		"idempotency": {"message_timeout": %q, "copy_timeout": %q}}`, n.name, n.zone, f.key, n.outbound, f.buffer, n.inbound, f.buffer, min(time.Second, f.copying), f.copying)
	n.kernel, n.stop = kerneltest.Start(f.t, []string{"peer", "view", "announce", "idempotency", "outbound", "inbound"}, text, false)
	// At the end of the test the other nodes hand no claims to this one, which stops first.
	f.t.Cleanup(n.relay.kill)
	n.view = n.kernel.Service("view").(*fakeView)
	n.announce = n.kernel.Service("announce").(*fakeAnnounce)
	if n.upstream != nil {
		f.attach(n)
	}
}

// adopt starts an upstream beside a node that has none. It is not ready yet.
func (f *fleet) adopt(n *node, h http.Handler) {
	n.upstream = httptest.NewServer(h)
	f.t.Cleanup(n.upstream.Close)
	f.attach(n)
	n.endpoint.State = resource.StateStarting
	f.publish()
}

// attach announces the node's upstream as ready.
func (f *fleet) attach(n *node) {
	n.endpoint = resource.Endpoint{
		Node: n.name, Service: "svc", Incarnation: uint64(time.Now().UnixNano()), Address: n.relay.address,
		AvailabilityZone: n.zone, Slots: f.slots, State: resource.StateReady, ReadySince: 1,
	}
	if f.plain {
		n.endpoint.Address = n.inbound
	}
	n.announce.mu.Lock()
	n.announce.endpoint, n.announce.upstream = n.endpoint, strings.TrimPrefix(n.upstream.URL, "http://")
	n.announce.onDrain = func() { f.setState(n, resource.StateDraining) }
	n.announce.onGone = func() { f.setState(n, resource.StateGone) }
	n.announce.grace = 50 * time.Millisecond
	n.announce.mu.Unlock()
}

func (f *fleet) setState(n *node, s resource.EndpointState) {
	f.mu.Lock()
	n.endpoint.State = s
	f.mu.Unlock()
	f.publish()
}

// crash makes a node look dead at once and starts it again without its state.
func (f *fleet) crash(n *node, down time.Duration) {
	n.relay.kill()
	n.announce.mu.Lock()
	n.announce.onDrain, n.announce.onGone, n.announce.grace = nil, nil, 0
	n.announce.mu.Unlock()
	f.setState(n, resource.StateGone)
	time.Sleep(down)
	f.restart(n)
}

// leave runs a planned stop and starts the node again.
func (f *fleet) leave(n *node) {
	f.restart(n)
}

func (f *fleet) restart(n *node) {
	n.stop()
	f.mu.Lock()
	f.start(n)
	f.mu.Unlock()
	if n.relay.l == nil {
		n.relay.open()
	}
	f.listening(n)
	f.publish()
}

// publish gives every node the current configuration and endpoints.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := &resource.EndpointSet{Service: "svc"}
	for _, n := range f.nodes {
		if n.upstream != nil && n.endpoint.State != resource.StateGone {
			set.Endpoints = append(set.Endpoints, n.endpoint)
		}
	}
	s := &resource.Snapshot{
		Version: 1, Routes: map[string]*resource.Route{}, Clusters: map[string]*resource.Cluster{},
		Sets: map[string]*resource.EndpointSet{"svc": set},
	}
	for _, org := range []string{"north", "south"} {
		r, c := f.route, f.clust
		r.Name, r.Organisation, r.Cluster, r.Match.Host = org+"/r", org, org+"/c", org
		c.Name, c.Organisation = org+"/c", org
		s.Routes[r.Name], s.Clusters[c.Name] = &r, &c
	}
	s.Table = resource.NewRouteTable(s.Routes)
	for _, n := range f.nodes {
		if !n.deaf || n.view.Current() == nil {
			n.view.set(s)
		}
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	verdict string
	claim   string
	body    string
	header  http.Header
	err     error
}

var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// call makes one call through the node's outbound listener.
func (n *node) call(method, org, path, body string, header ...string) answer {
	return n.callContext(context.Background(), method, org, path, body, header...)
}

func (n *node) callContext(ctx context.Context, method, org, path, body string, header ...string) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	if body == "" {
		r.Body, r.ContentLength = nil, 0
	}
	r.Host = org
	for i := 0; i+1 < len(header); i += 2 {
		// The test's transport sends requests with a key again by itself; under
		// another spelling of the name it does not.
		r.Header[header[i]] = append(r.Header[header[i]], header[i+1])
	}
	resp, err := testClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, verdict: resp.Header.Get("Celeryyard-Verdict"), claim: resp.Header.Get("Celeryyard-Claim"),
		body: string(b), header: resp.Header, err: err,
	}
}
