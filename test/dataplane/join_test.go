package dataplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joinedTogether has a node that held all claims and some in two zones that became
// ready at the same moment. The first one has not heard of them, so it copies nothing.
func joinedTogether(t *testing.T, joining int) (f *fleet, l *ledger, caller *node) {
	l = &ledger{runs: map[string]int{}}
	f = newFleet(t, 4)
	f.add("n0", "z1", l)
	caller = f.add("caller", "z1", nil)
	for i := range joining {
		f.adopt(f.add(fmt.Sprintf("joining%d", i), fmt.Sprintf("z%d", 1+i%2), nil), l)
	}
	return f, l, caller
}

// Guards against a key that runs again at endpoints that joined together, before
// its claim was copied to one of them.
func TestKeyIsKnownToEndpointsThatJoinTogether(t *testing.T) {
	t.Run("2", func(t *testing.T) { joinTogether(t, 2) })
	// More than a claim used to be asked for, so a key ran again.
	t.Run("9", func(t *testing.T) { joinTogether(t, 9) })
}

func joinTogether(t *testing.T, joining int) {
	f, l, caller := joinedTogether(t, joining)
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
	first.deaf = true
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
		if n := l.count(key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if moved == 0 {
		t.Fatal("no key has two new holders, so nothing was tested")
	}
}

// Guards against keys that are refused, or whose claim is left behind as "may have
// run", while an earlier holder does not answer.
func TestKeyIsNotRunWhileItsEarlierHolderIsSilent(t *testing.T) {
	f, l, caller := joinedTogether(t, 2)
	first, joined := f.nodes[0], f.nodes[2:]
	first.deaf = true
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
	first.relay.kill()
	if got := post(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("call while the earlier holder is silent: %+v", got)
	}
	if n := l.count(key); n != 0 {
		t.Errorf("ran %d times", n)
	}
	first.relay.open()
	if got := post(); got.status != 200 || got.claim != "" {
		t.Errorf("call once the earlier holder answers: %+v", got)
	}
	if n := l.count(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against a key that runs again because its earlier primary holder is silent
// and the next endpoint by the hash, which never held the claim, does not know it.
func TestSilentEarlierHolderIsNotPassedOver(t *testing.T) {
	l := &ledger{runs: map[string]int{}}
	f := newFleet(t, 4)
	f.copying = 500 * time.Millisecond
	old := []*node{f.add("n0", "z1", l), f.add("n1", "z1", l), f.add("n2", "z2", l)}
	caller := f.add("caller", "z1", nil)
	for i, zone := range []string{"z1", "z2"} {
		f.adopt(f.add(fmt.Sprintf("joining%d", i), zone, nil), l)
	}
	joining := f.nodes[4:]
	before := caller.view.Current().Sets["svc"]
	for _, n := range joining {
		n.endpoint.State = resource.StateReady
	}
	f.publish()
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprintf("key%d", i)
		id := httpcall.ClaimID("north", "svc", k)
		p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], id)
		first, _ := httpcall.SelectHolders(before, id)
		second, _ := httpcall.SelectHolders(without(before, first.Node), id)
		if isOneOf(joining, p.Node) && isOneOf(joining, b.Node) && first.AvailabilityZone == "z1" && second.AvailabilityZone == "z1" {
			key = k
		}
	}
	for _, n := range joining {
		n.endpoint.State = resource.StateStarting
	}
	f.publish()
	time.Sleep(2 * f.copying) // the endpoints of before are no longer recent
	post := func() answer { return caller.call("POST", "north", "/"+key, "b", "idempotency-key", key) }
	primary, _, _ := f.holders("north", key)
	if got := post(); got.status != 200 {
		t.Fatalf("first call: %+v", got)
	}
	for _, n := range old {
		n.deaf = true // copies nothing
	}
	for _, n := range joining {
		n.endpoint.State, n.endpoint.ReadySince = resource.StateReady, 2
	}
	f.publish()
	primary.relay.kill()
	if got := post(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("repeat while the earlier holder is silent: %+v", got)
	}
	if n := l.count(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against an endpoint that recorded a claim only because the holders had just
// joined and never learns the answer: it copies "running" to later holders, which then
// tell that the call may have run.
func TestAllThatWereAskedLearnTheAnswer(t *testing.T) {
	f, l := keyedFleet(t) // all endpoints are recent, so all are asked
	caller := f.add("caller", "z1", nil)
	post := func() answer { return caller.call("POST", "north", "/key", "b", "idempotency-key", "key") }
	first := post()
	if first.status != 200 || first.claim != "" {
		t.Fatalf("first: %+v", first)
	}
	p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", "key"))
	for _, asked := range f.nodes[:4] {
		if asked.name == p.Node || asked.name == b.Node {
			continue
		}
		waitClaim(t, asked, "key")
		for _, n := range f.nodes[:4] {
			n.deaf = true // copies nothing
			n.endpoint.State = resource.StateDraining
		}
		asked.deaf, asked.endpoint.State = false, resource.StateReady
		f.publish() // only the asked one is left
		var again answer
		for end := time.Now().Add(2 * time.Second); again.claim != "replayed" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			again = post()
		}
		if again.claim != "replayed" || again.body != first.body {
			t.Errorf("repeat at %s, which was asked: %+v", asked.name, again)
		}
	}
	if n := l.count("key"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func without(set *resource.EndpointSet, node string) *resource.EndpointSet {
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if e.Node != node {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

func isOneOf(nodes []*node, name string) bool {
	for _, n := range nodes {
		if n.name == name {
			return true
		}
	}
	return false
}
