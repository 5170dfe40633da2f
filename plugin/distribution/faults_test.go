package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/announce"
)

// rawNode is a node whose messages, acknowledgements included, are sent by the test.
type rawNode struct {
	t       testing.TB
	name    string
	conn    *rpc.Conn
	mu      sync.Mutex
	updates []peerapi.Update
}

func (f *fleet) dialRawNode(i int, name string) *rawNode {
	var nc net.Conn
	var err error
	kerneltest.WaitUntil(f.t, waitTimeout, "listener", func() bool {
		nc, err = net.Dial("tcp", f.members[i].Address)
		return err == nil
	})
	r := &rawNode{t: f.t, name: name}
	r.conn, err = rpc.Open(nc, rpc.NewKey([]byte(kerneltest.FleetKey)), name, true, rpc.MaxHandshakeTime, func(_ *rpc.Conn, q *rpc.Request) {
		var u peerapi.Update
		if err := json.Unmarshal(q.Params, &u); err != nil {
			f.t.Error(err)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updates = append(r.updates, u)
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.conn.Close)
	return r
}

func (r *rawNode) call(method string, params, result any) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := r.conn.Call(ctx, method, params, result); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rawNode) received() []peerapi.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]peerapi.Update{}, r.updates...)
}

// Guards against a slow node that delays other nodes, and against updates that queue up for it.
func TestSlowNodeDoesNotDelayOthers(t *testing.T) {
	f := newFleet(t, "cant-a")
	c := f.startControl(0, "")
	c.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "first snapshot", func() bool { return n.version() == 1 })
	slow := f.dialRawNode(0, "slow")
	slow.call(peerapi.NodeHello, &peerapi.Hello{Node: "slow", Services: []string{"*"}}, &peerapi.HelloReply{})
	kerneltest.WaitUntil(t, waitTimeout, "first update of the slow node", func() bool { return len(slow.received()) == 1 })
	var v resource.Version
	for i := range 20 {
		v = c.catalog.put("lectura", "catalogo", 2000+i)
	}
	kerneltest.WaitUntil(t, time.Second, "newest version at the other node", func() bool { return n.version() == v })
	first := slow.received()
	if len(first) != 1 {
		t.Fatalf("slow node was sent %d updates without an acknowledgement", len(first))
	}
	if err := slow.conn.Notify(peerapi.NodeAck, &peerapi.Ack{ID: first[0].ID, Version: first[0].Delta.To}); err != nil {
		t.Fatal(err)
	}
	kerneltest.WaitUntil(t, waitTimeout, "combined update at the slow node", func() bool { return len(slow.received()) == 2 })
	if d := slow.received()[1].Delta; d.From != 1 || d.To != v || len(d.Upserts) != 1 {
		t.Fatalf("combined delta: %+v", d)
	}
}

// Guards against nodes that do not reconnect, or that overload the remaining instance, after an
// instance fails.
func TestMassReconnectIsRateLimited(t *testing.T) {
	const n = 40
	f := newFleet(t, "cant-a", "cant-b")
	a, b := f.startControl(0, ""), f.startControl(1, `, "distribution": {"resume_rate": 20, "resume_burst": 5}`)
	a.catalog.put("lectura", "catalogo", 1000)
	b.catalog.put("lectura", "catalogo", 1000)
	var nodes []*node
	for i := range n {
		nodes = append(nodes, f.startNode(fmt.Sprint("n", i), "cant-a", "catalogo", allServices, ""))
	}
	allServe := func(v resource.Version) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.version() != v || n.endpoints("catalogo") != len(nodes) {
					return false
				}
			}
			return true
		}
	}
	kerneltest.WaitUntil(t, waitTimeout, "all nodes attached", allServe(1))
	before := trafficBytes(nodes)
	a.stop()
	v := b.catalog.put("lectura", "catalogo", 2000)
	began := time.Now()
	kerneltest.WaitUntil(t, waitTimeout, "all nodes resumed", allServe(v))
	if took := time.Since(began); took < time.Second {
		t.Errorf("%d sessions resumed in %v although 20 a second were allowed", n, took)
	}
	time.Sleep(100 * time.Millisecond)
	if bytesPerNode := (trafficBytes(nodes) - before) / n; bytesPerNode > 1500 {
		t.Errorf("a resumed session transferred %.0f bytes", bytesPerNode)
	}
}

// Guards against a restarted node that a stale, partitioned instance sends an older version, and
// against a node that is not admitted after the partition.
func TestRestartedNodeWaitsForCurrentInstance(t *testing.T) {
	f := newFleet(t, "cant-a")
	c := f.startControl(0, `, "distribution": {"barrier_timeout": "50ms", "barrier_retry": "50ms", "isolated_after": "1h"}`)
	c.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "first snapshot", func() bool { return n.version() == 1 })
	c.log.setPartitioned(true)
	holder := f.dialRawNode(0, "holder") // a node of the zone that got version 3 from another instance
	holder.call(peerapi.NodeHello, &peerapi.Hello{Node: "holder", AvailabilityZone: "cant-a", Services: []string{"*"}, Version: 3, Digests: map[string]uint64{"catalogo": 0}}, &peerapi.HelloReply{})
	n.stop()
	n = f.startNode("n1", "cant-a", "", allServices, "")
	time.Sleep(400 * time.Millisecond)
	if n.version() != 0 {
		t.Fatalf("restarted node was sent version %d below 3", n.version())
	}
	if len(holder.received()) > 0 {
		t.Fatalf("holder of version 3 was sent %+v", holder.received())
	}
	c.catalog.put("lectura", "catalogo", 2000)
	v := c.catalog.put("lectura", "catalogo", 3000)
	c.log.setPartitioned(false)
	kerneltest.WaitUntil(t, waitTimeout, "admission after the partition", func() bool { return n.version() == v })
}

// Guards against a node that stays with an instance that does not answer, that never returns to
// its own zone, or that leaves it without cause.
func TestNodeLeavesFrozenInstanceAndReturns(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	l, err := net.Listen("tcp", f.members[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // answers the hello and no message after it
				_, _ = rpc.Open(nc, rpc.NewKey([]byte(kerneltest.FleetKey)), "control-0", false, rpc.MaxHandshakeTime, func(_ *rpc.Conn, r *rpc.Request) {
					if r.Method == peerapi.NodeHello {
						r.Reply(&peerapi.HelloReply{Instance: "control-0"})
					}
				})
			}()
		}
	}()
	b := f.startControl(1, "")
	b.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "catalogo", allServices, `, "home_retry": "300ms", "ping_timeout": "500ms", "ping_interval": "300ms"`)
	kerneltest.WaitUntil(t, waitTimeout, "attachment elsewhere", func() bool { return n.version() == 1 && n.endpoints("catalogo") == 1 })
	l.Close()
	a := f.startControl(0, `, "distribution": {"isolated_after": "300ms"}`)
	a.catalog.put("lectura", "catalogo", 1000)
	kerneltest.WaitUntil(t, waitTimeout, "return to the own zone", func() bool { return a.distribution.localStatus().Nodes == 1 && b.distribution.localStatus().Nodes == 0 })
	a.log.setPartitioned(true)
	kerneltest.WaitUntil(t, waitTimeout, "departure from the isolated instance", func() bool { return b.distribution.localStatus().Nodes == 1 })
	time.Sleep(time.Second)
	if b.distribution.localStatus().Nodes != 1 {
		t.Fatal("node returned to the isolated instance")
	}
	if n.endpoints("catalogo") != 1 {
		t.Fatalf("node holds %d endpoints, want 1", n.endpoints("catalogo"))
	}
	kerneltest.WaitUntil(t, waitTimeout, "status of both instances", func() bool {
		s := fleetStatus(t, b)
		return len(s) == 2 && s[0].Reachable && s[0].Version == 1 && s[1].Nodes == 1
	})
}

// Guards against nodes that look for another instance without pause while all instances are
// isolated.
func TestIsolatedFleetIsNotFlooded(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	extra := `, "distribution": {"isolated_after": "100ms"}`
	a, b := f.startControl(0, extra), f.startControl(1, extra)
	a.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "", allServices, `, "ping_interval": "100ms", "home_retry": "10s"`)
	kerneltest.WaitUntil(t, waitTimeout, "first snapshot", func() bool { return n.version() == 1 })
	a.log.setPartitioned(true)
	b.log.setPartitioned(true)
	time.Sleep(2 * time.Second)
	requests := b.Metrics().GetOrCreateCounter("celeryyard_peer_requests_total").Get()
	if requests > 20 || a.distribution.localStatus().Nodes != 1 {
		t.Fatalf("the other isolated instance got %d requests; %d nodes are attached", requests, a.distribution.localStatus().Nodes)
	}
}

// Guards against a status that omits the nodes of an unreachable instance, or that counts nodes
// as unseen although they have attached to another instance.
func TestStatusCountsUnseenNodesOfUnreachableInstance(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	a, b := f.startControl(0, ""), f.startControl(1, "")
	e := resource.Endpoint{Service: "catalogo", Incarnation: 1, Address: "127.0.0.1:1", Slots: 9, State: resource.StateReady}
	announce := func(instance int, node string) {
		r := f.dialRawNode(instance, node)
		r.call(peerapi.NodeHello, &peerapi.Hello{Node: node, Services: []string{"*"}}, &peerapi.HelloReply{})
		e.Node = node
		r.call(peerapi.NodeAnnounce, &resource.Announcement{Endpoint: e}, &peerapi.AnnounceReply{})
	}
	announce(0, "n1")
	announce(0, "n2")
	kerneltest.WaitUntil(t, waitTimeout, "records at the other instance", func() bool { return len(b.discovery.EndpointSet("catalogo").Endpoints) == 2 })
	a.stop()
	kerneltest.WaitUntil(t, waitTimeout, "unreachable instance", func() bool { return !fleetStatus(t, b)[0].Reachable })
	if s := fleetStatus(t, b)[0]; s.Unseen != 2 {
		t.Fatalf("status %+v, want 2 unseen nodes", s)
	}
	e.Incarnation = 2
	announce(1, "n1")
	if s := fleetStatus(t, b)[0]; s.Unseen != 1 || s.UnseenNodes[0] != "n2" {
		t.Fatalf("status %+v, want n2 unseen", s)
	}
}

// Guards against a node that holds a version of another quorum group and is counted as serving
// the configuration that the quorum group of its own instance accepted.
func TestStatusCountsNodesAheadOfTheirInstance(t *testing.T) {
	f := newFleet(t, "cant-a")
	a := f.startControl(0, "")
	r := f.dialRawNode(0, "n1")
	r.call(peerapi.NodeHello, &peerapi.Hello{Node: "n1", Services: []string{"*"}, Version: 9}, &peerapi.HelloReply{})
	if s := fleetStatus(t, a)[0]; s.Ahead != 1 || s.Nodes != 1 {
		t.Fatalf("status %+v, want 1 node ahead", s)
	}
}

func fleetStatus(t *testing.T, c *controlInstance) []api.InstanceStatus {
	got := make(chan []api.InstanceStatus, 1)
	c.distribution.Status(time.Second, func(s []api.InstanceStatus) { got <- s })
	select {
	case s := <-got:
		return s
	case <-time.After(waitTimeout):
		t.Fatal("status call did not finish")
		return nil
	}
}

// Guards against a draining announcement that is answered before it has reached the nodes of
// other instances.
func TestDrainingIsAcknowledgedAfterPropagation(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	a, b := f.startControl(0, ""), f.startControl(1, "")
	a.catalog.put("lectura", "catalogo", 1000)
	b.catalog.put("lectura", "catalogo", 1000)
	m := f.startNode("n2", "cant-b", "", allServices, "")
	r := f.dialRawNode(0, "n1")
	r.call(peerapi.NodeHello, &peerapi.Hello{Node: "n1", Services: []string{"*"}}, &peerapi.HelloReply{})
	e := resource.Endpoint{Node: "n1", Service: "catalogo", Incarnation: 1, Address: "127.0.0.1:1", Slots: 9, State: resource.StateReady}
	for i := range 5 {
		e.Revision, e.State = e.Revision+1, resource.StateReady
		r.call(peerapi.NodeAnnounce, &resource.Announcement{Endpoint: e}, &peerapi.AnnounceReply{})
		kerneltest.WaitUntil(t, waitTimeout, "ready endpoint", func() bool {
			return m.endpoints("catalogo") == 1 && m.view.Current().Sets["catalogo"].Endpoints[0].State == resource.StateReady
		})
		e.Revision, e.State = e.Revision+1, resource.StateDraining
		r.call(peerapi.NodeAnnounce, &resource.Announcement{Endpoint: e}, &peerapi.AnnounceReply{})
		if s := b.discovery.EndpointSet("catalogo").Endpoints[0].State; s != resource.StateDraining {
			t.Fatalf("round %d: answered while the other instance shows %q", i, s)
		}
		kerneltest.WaitUntil(t, time.Second, "draining endpoint at a node of the other instance", func() bool {
			return m.view.Current().Sets["catalogo"].Endpoints[0].State == resource.StateDraining
		})
	}
}

// Guards against an upstream that cannot announce or withdraw itself, and against a planned stop
// that ends before the linger time has passed.
func TestUpstreamAnnouncesItselfOverHTTP(t *testing.T) {
	f := newFleet(t, "cant-a")
	c := f.startControl(0, "")
	c.catalog.put("lectura", "catalogo", 1000)
	listen := kerneltest.FreeAddress(t)
	n := f.startNode("n1", "cant-a", "", allServices, fmt.Sprintf(`}, "announce": {"listen": %q, "address": "127.0.0.1:7", "linger": "200ms"`, listen))
	kerneltest.WaitUntil(t, waitTimeout, "first snapshot", func() bool { return n.version() == 1 })
	request := func(method, body string) int {
		req, err := http.NewRequest(method, "http://"+listen+"/v1/upstream", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if code := request("PUT", `{"service": "catalogo", "address": "nowhere", "slots": 9}`); code != http.StatusBadRequest {
		t.Fatalf("malformed description: status %d", code)
	}
	for range 2 { // the upstream restarts after a planned stop
		if code := request("PUT", `{"service": "catalogo", "address": "127.0.0.1:9", "slots": 9}`); code != http.StatusNoContent {
			t.Fatalf("announcement: status %d", code)
		}
		kerneltest.WaitUntil(t, waitTimeout, "endpoint", func() bool { return n.endpoints("catalogo") == 1 })
		began := time.Now()
		if code := request("DELETE", ""); code != http.StatusNoContent || time.Since(began) < 200*time.Millisecond {
			t.Fatalf("planned stop: status %d after %v", code, time.Since(began))
		}
		kerneltest.WaitUntil(t, waitTimeout, "withdrawal", func() bool { return n.endpoints("catalogo") == 0 })
	}
}

// Guards against a restart of all instances after which every node leaves its instance at once,
// because no instance has reached the quorum yet, and waits for its configuration again.
func TestStartedInstanceIsNotIsolatedAtOnce(t *testing.T) {
	f := newFleet(t, "cant-a")
	a := f.startControl(0, `, "distribution": {"isolated_after": "700ms"}`)
	a.log.setPartitioned(true)
	a.log.mu.Lock()
	a.log.confirmedAt = time.Time{}
	a.log.mu.Unlock()
	r := f.dialRawNode(0, "n1")
	isolated := func() bool {
		var reply peerapi.HelloReply
		r.call(peerapi.NodeHello, &peerapi.Hello{Node: "n1", Services: []string{"*"}, Probe: true}, &reply)
		return reply.Isolated
	}
	if time.Since(a.distribution.startedAt) < 500*time.Millisecond && isolated() {
		t.Fatal("the instance reports isolation immediately after its start")
	}
	kerneltest.WaitUntil(t, waitTimeout, "isolated instance", isolated)
	if d := time.Since(a.distribution.startedAt); d < 700*time.Millisecond {
		t.Fatalf("the instance reports isolation after %v", d)
	}
}

// Guards against an upstream that gets no more calls as soon as its node is asked to stop,
// although the node still serves its own callers for some seconds.
func TestStoppingNodeTakesCallsUntilItsCallersHaveLeft(t *testing.T) {
	f := newFleet(t, "cant-a")
	f.leaveDelay = "600ms"
	a := f.startControl(0, "")
	a.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "catalogo", allServices, "")
	state := func() resource.EndpointState {
		if set := a.discovery.EndpointSet("catalogo"); len(set.Endpoints) == 1 {
			return set.Endpoints[0].State
		}
		return ""
	}
	kerneltest.WaitUntil(t, waitTimeout, "ready endpoint", func() bool { return state() == resource.StateReady })
	began := time.Now()
	n.announce.Drain()
	time.Sleep(200 * time.Millisecond)
	if s := state(); s != resource.StateReady && time.Since(began) < 500*time.Millisecond {
		t.Fatalf("the endpoint is already %q", s)
	}
	kerneltest.WaitUntil(t, waitTimeout, "withdrawn endpoint", func() bool { return state() != resource.StateReady })
	if d := time.Since(began); d < 600*time.Millisecond {
		t.Fatalf("the endpoint was withdrawn after %v", d)
	}
}

// Guards against the end of an upstream that is acknowledged although nobody keeps it: a node that was restarted knows of no
// upstream, and its control instance, which has just started, does not know the records of the others yet.
func TestEndIsNotRecordedByAnInstanceWithoutRecords(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	f.settleTimeout = time.Minute
	started := f.startControl(0, "")
	n := f.startNode("n1", "cant-a", "", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "session", func() bool { return n.version() == 0 && n.session.Attached() })
	n.announce.HandleReport(announce.Report{ID: "i-1", StartedAtMillis: 1, Sequence: 9, Gone: true})
	recorded := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return n.announce.AwaitRecorded(ctx, announce.Report{ID: "i-1", StartedAtMillis: 1, Sequence: 9, Gone: true})
	}
	if err := recorded(500 * time.Millisecond); err == nil {
		t.Fatal("the end was acknowledged by an instance that has no records of the others")
	}
	// The other instance, which knows the node, connects.
	f.settleTimeout = 100 * time.Millisecond
	other := f.startControl(1, "")
	e := resource.Endpoint{Node: "n1", Service: "catalogo", Incarnation: 7, Address: "127.0.0.1:9", Slots: 4, State: resource.StateReady, AvailabilityZone: "cant-a"}
	other.discovery.Announce(resource.Announcement{Endpoint: e, Upstream: resource.UpstreamStart{ID: "i-1", StartedAtMillis: 1, Sequence: 5}})
	kerneltest.WaitUntil(t, waitTimeout, "records of the other instance", func() bool { return started.discovery.LastAnnouncement("n1") != nil })
	if err := recorded(waitTimeout); err != nil {
		t.Fatal(err)
	}
	isClosed := func(c *controlInstance) bool { return c.discovery.LastAnnouncement("n1").Closed.Final }
	if !isClosed(started) {
		t.Error("the instance of the node does not keep the end that was acknowledged")
	}
	// The connection from the started instance to the other one may still be down.
	kerneltest.WaitUntil(t, waitTimeout, "end at the other instance", func() bool { return isClosed(other) })
}

// Guards against a control instance whose records the others ignore, because its clock is behind that of its last start: the
// endpoints of its nodes are lost to the rest of the fleet.
func TestInstanceThatStartsWithAnEarlierClockIsFollowed(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	a, b := f.startControl(0, ""), f.startControl(1, "")
	first := f.startNode("n1", "cant-b", "catalogo", allServices, "")
	known := func(node string) func() bool { return func() bool { return a.discovery.LastAnnouncement(node) != nil } }
	kerneltest.WaitUntil(t, waitTimeout, "record of a node of the first start", known("n1"))
	first.stop()
	b.stop()
	f.clockOffset = -time.Hour
	f.startControl(1, "")
	f.startNode("n2", "cant-b", "catalogo", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "record of a node of the second start", known("n2"))
}
