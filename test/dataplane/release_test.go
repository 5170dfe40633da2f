package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against a key that is refused to its caller although its call never ran: the claim was copied to a
// holder that became ready while the call waited for a slot, and was not released there.
func TestReleasedClaimIsFreeAtNewHolders(t *testing.T) {
	f := newFleet(t, 1)
	unblock := make(chan struct{})
	started := make(chan struct{}, 1)
	busy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			started <- struct{}{}
			<-unblock
		}
		_, _ = io.WriteString(w, "ok")
	})
	defer close(unblock)
	first := f.addNode("n0", "z1", busy)
	caller := f.addNode("caller", "z1", nil)
	joining := f.addNode("n1", "z2", nil)
	f.addUpstream(joining, busy)
	go caller.call("GET", "north", "/", "") // occupies the only slot of n0
	<-started

	// A key whose holders are n0 and, once it is ready, n1.
	const key = "key"
	claimID := httpcall.ClaimID("north", "svc", key)
	waiting := make(chan answer, 1)
	go func() {
		waiting <- caller.call("POST", "north", "/", "b", "idempotency-key", key, "Celeryyard-Timeout-Ms", "1500")
	}()
	kerneltest.WaitUntil(t, 5*time.Second, "claim of the waiting call", func() bool { return first.hasClaim("north", key) })
	f.setEndpointState(joining, resource.StateReady)
	if p, b := httpcall.SelectHolders(caller.view.Current().Sets["svc"], claimID); p == nil || b == nil {
		t.Fatal("the key has fewer than two holders")
	}
	waitForClaim(t, joining, key) // the copy
	if got := <-waiting; got.status != http.StatusServiceUnavailable && got.status != http.StatusGatewayTimeout || got.verdict != "not-run" {
		t.Fatalf("call that waited for the slot: %+v", got)
	}
	for _, n := range []*node{first, joining} {
		kerneltest.WaitUntil(t, 5*time.Second, fmt.Sprintf("release of the claim at %s", n.name), func() bool { return !n.hasClaim("north", key) })
	}
}

// Guards against a key that is refused to its caller for good although its call never ran: while the call waited for a slot,
// its key got a new primary holder, which learned of the claim from the earlier one and kept it as a call that may have
// run.
func TestKeyThatNeverRanIsFreeAtANewPrimary(t *testing.T) {
	f := newFleet(t, 1)
	unblock := make(chan struct{})
	started := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			started <- struct{}{}
			<-unblock
		}
		_, _ = io.WriteString(w, "ok")
	})
	defer close(unblock)
	first := f.addNode("n0", "z1", handler)
	caller := f.addNode("caller", "z1", nil)
	joining := f.addNode("n1", "z2", nil)
	f.addUpstream(joining, handler)
	go caller.call("GET", "north", "/", "") // occupies the only slot of n0
	<-started

	both := &resource.EndpointSet{Service: "svc", Endpoints: []resource.Endpoint{first.endpoint, joining.endpoint}}
	both.Endpoints[1].State = resource.StateReady
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprintf("key%d", i)
		if p, _ := httpcall.SelectHolders(both, httpcall.ClaimID("north", "svc", k)); p.Node == joining.name {
			key = k
		}
	}
	post := func(timeoutMillis string) answer {
		return caller.call("POST", "north", "/", "b", "idempotency-key", key, "Celeryyard-Timeout-Ms", timeoutMillis)
	}
	waiting := make(chan answer, 1)
	go func() { waiting <- post("1500") }()
	kerneltest.WaitUntil(t, 5*time.Second, "claim of the waiting call", func() bool { return first.hasClaim("north", key) })
	first.staleView = true // so that n0 does not copy the claim
	f.setEndpointState(joining, resource.StateReady)
	if got := post("1500"); got.status != http.StatusConflict || got.verdict != "may-have-run" {
		t.Errorf("repeat while the call waits: %+v", got)
	}
	if got := <-waiting; got.verdict != "not-run" {
		t.Fatalf("call that waited for the slot: %+v", got)
	}
	var got answer
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got = post("1500"); got.status == http.StatusOK {
			return
		}
	}
	t.Errorf("the key is still refused 3 s after its call was rejected: %+v", got)
}
