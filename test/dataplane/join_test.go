package dataplane

import (
	"fmt"
	"testing"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joinedTogether has a node that held all claims and two that became ready at
// the same moment. The first one has not heard of them, so it copies nothing.
func joinedTogether(t *testing.T) (f *fleet, l *ledger, caller *node) {
	l = &ledger{runs: map[string]int{}}
	f = newFleet(t, 4)
	f.add("n0", "z1", l)
	caller = f.add("caller", "z1", nil)
	for _, zone := range []string{"z1", "z2"} {
		f.adopt(f.add("n-"+zone, zone, nil), l)
	}
	return f, l, caller
}

// Guards against a key that runs again at endpoints that joined together, before
// its claim was copied to one of them.
func TestKeyIsKnownToEndpointsThatJoinTogether(t *testing.T) {
	f, l, caller := joinedTogether(t)
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
		p, b := httpcall.Holders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", key))
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
	f, l, caller := joinedTogether(t)
	first, joined := f.nodes[0], f.nodes[2:]
	first.deaf = true
	for _, n := range joined {
		n.endpoint.State = resource.StateReady
	}
	f.publish()
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprintf("key%d", i)
		p, b := httpcall.Holders(caller.view.Current().Sets["svc"], httpcall.ClaimID("north", "svc", k))
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
