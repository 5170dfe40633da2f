package dataplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// newJoiningFleet returns a fleet of three kinds of nodes. The first node has the only ready
// endpoint, so that it holds all claims. The second node is caller, which has no upstream. The joining
// nodes, as many as joiningNodes and in two zones, have endpoints that are not ready yet.
func newJoiningFleet(t *testing.T, joiningNodes int) (f *fleet, executions *executionCounter, caller *node) {
	executions = &executionCounter{counts: map[string]int{}}
	f = newFleet(t, 4)
	f.addNode("n0", "z1", executions)
	caller = f.addNode("caller", "z1", nil)
	for i := range joiningNodes {
		f.addUpstream(f.addNode(fmt.Sprintf("joining%d", i), fmt.Sprintf("z%d", 1+i%2), nil), executions)
	}
	return f, executions, caller
}

// Guards against a call with a key that runs again because several endpoints become ready together
// and replace both holders of its claim before the claim is copied to any of them.
func TestKeyRunsOnceWhenEndpointsJoinTogether(t *testing.T) {
	t.Run("2", func(t *testing.T) { testJoinTogether(t, 2) })
	// With nine joining endpoints, keys ran twice when nodes queried at most four earlier holders.
	t.Run("9", func(t *testing.T) { testJoinTogether(t, 9) })
}

func testJoinTogether(t *testing.T, joiningNodes int) {
	f, executions, caller := newJoiningFleet(t, joiningNodes)
	first, joined := f.nodes[0], f.nodes[2:]
	post := func(key string) answer {
		return caller.call("POST", "north", "/"+key, "b", "idempotency-key", key)
	}
	var keys []string
	for i := range 40 {
		key := fmt.Sprintf("key%d", i)
		keys = append(keys, key)
		if got := post(key); got.status != 200 {
			t.Fatalf("first call of %s: %+v", key, got)
		}
	}
	first.staleView = true // so that this node copies no claims
	for _, n := range joined {
		n.endpoint.State = resource.StateReady
	}
	f.publish()
	moved := 0
	for _, key := range keys {
		p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", key))
		if p.Node == first.name || b.Node == first.name {
			continue
		}
		moved++
		if got := post(key); got.claim == "" {
			t.Errorf("repeat of %s at %s with %s: %+v", key, p.Node, b.Node, got)
		}
		if n := executions.count(key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if moved == 0 {
		t.Fatal("no key has two new holders, so this test checked nothing")
	}
}

// Guards against running a call with a key while an earlier holder of its claim is unreachable, and
// against a claim that remains after the call was refused, so that a later call with the key gets
// "may have run".
func TestKeyIsRefusedWhileEarlierHolderIsUnreachable(t *testing.T) {
	f, executions, caller := newJoiningFleet(t, 2)
	first, joined := f.nodes[0], f.nodes[2:]
	first.staleView = true // so that this node copies no claims
	for _, n := range joined {
		n.endpoint.State = resource.StateReady
	}
	f.publish()
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprintf("key%d", i)
		p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", k))
		if p.Node != first.name && b.Node != first.name {
			key = k
		}
	}
	post := func() answer { return caller.call("POST", "north", "/"+key, "b", "idempotency-key", key) }
	first.relay.shutdown()
	if got := post(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("call while the earlier holder is unreachable: %+v", got)
	}
	if n := executions.count(key); n != 0 {
		t.Errorf("ran %d times", n)
	}
	first.relay.open()
	if got := post(); got.status != 200 || got.claim != "" {
		t.Errorf("call after the earlier holder is reachable again: %+v", got)
	}
	if n := executions.count(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against a call with a key that runs again because the earlier primary holder of its claim is
// unreachable, and the next endpoint by hash, which never held the claim, is queried instead.
func TestUnreachableEarlierHolderIsNotSkipped(t *testing.T) {
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 4)
	f.copyTimeout = 500 * time.Millisecond
	earlierNodes := []*node{f.addNode("n0", "z1", executions), f.addNode("n1", "z1", executions), f.addNode("n2", "z2", executions)}
	caller := f.addNode("caller", "z1", nil)
	for i, zone := range []string{"z1", "z2"} {
		f.addUpstream(f.addNode(fmt.Sprintf("joining%d", i), zone, nil), executions)
	}
	joining := f.nodes[4:]
	earlierSet := caller.view.Current().Sets["svc"]
	for _, n := range joining {
		n.endpoint.State = resource.StateReady
	}
	f.publish()
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprintf("key%d", i)
		id := httpcall.ClaimID("north", "svc", k)
		p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], id)
		first, _ := httpcall.SelectHolders(earlierSet, id)
		second, _ := httpcall.SelectHolders(withoutNode(earlierSet, first.Node), id)
		if containsNode(joining, p.Node) && containsNode(joining, b.Node) && first.AvailabilityZone == "z1" && second.AvailabilityZone == "z1" {
			key = k
		}
	}
	for _, n := range joining {
		n.endpoint.State = resource.StateStarting
	}
	f.publish()
	time.Sleep(2 * f.copyTimeout) // wait until the endpoints in earlierSet no longer count as recently joined
	post := func() answer { return caller.call("POST", "north", "/"+key, "b", "idempotency-key", key) }
	primary, _, _ := f.selectHolders("north", key)
	if got := post(); got.status != 200 {
		t.Fatalf("first call: %+v", got)
	}
	for _, n := range earlierNodes {
		n.staleView = true // so that this node copies no claims
	}
	for _, n := range joining {
		n.endpoint.State, n.endpoint.ReadySince = resource.StateReady, 2
	}
	f.publish()
	primary.relay.shutdown()
	if got := post(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("repeat while the earlier holder is unreachable: %+v", got)
	}
	if n := executions.count(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against an endpoint that records a claim only because the holders of the claim have just
// joined, and that never receives the answer. Such an endpoint would copy the claim as "running" to
// later holders, which would then report that the call may have run.
func TestAllClaimRecordersReceiveTheAnswer(t *testing.T) {
	f, executions := newCountingFleet(t) // all endpoints joined recently, so all of them record the claim
	caller := f.addNode("caller", "z1", nil)
	post := func() answer { return caller.call("POST", "north", "/key", "b", "idempotency-key", "key") }
	first := post()
	if first.status != 200 || first.claim != "" {
		t.Fatalf("first call: %+v", first)
	}
	p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", "key"))
	for _, recorder := range f.nodes[:4] {
		if recorder.name == p.Node || recorder.name == b.Node {
			continue
		}
		waitForClaim(t, recorder, "key")
		for _, n := range f.nodes[:4] {
			n.staleView = true // so that this node copies no claims
			n.endpoint.State = resource.StateDraining
		}
		recorder.staleView, recorder.endpoint.State = false, resource.StateReady
		f.publish() // recorder is the only ready endpoint
		var repeat answer
		for end := time.Now().Add(2 * time.Second); repeat.claim != "replayed" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			repeat = post()
		}
		if repeat.claim != "replayed" || repeat.body != first.body {
			t.Errorf("repeat at %s, which recorded the claim: %+v", recorder.name, repeat)
		}
	}
	if n := executions.count("key"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func withoutNode(set *resource.EndpointSet, node string) *resource.EndpointSet {
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if e.Node != node {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

func containsNode(nodes []*node, name string) bool {
	for _, n := range nodes {
		if n.name == name {
			return true
		}
	}
	return false
}
