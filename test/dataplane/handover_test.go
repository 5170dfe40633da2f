package dataplane

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop of the primary holder that discards a stored answer because the
// backup does not reply to one message in time. The backup would still hold the claim as "running"
// when the primary returns with an empty table, and a repeat of the call would get "may have run".
func TestAnswerReachesTemporarilyUnreachableHolder(t *testing.T) {
	const pause = 1500 * time.Millisecond // longer than the message timeout of 1 s
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 4)
	var backup *node
	var resume func()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if resume == nil { // the claim is recorded, but the answer is not copied yet
			resume = backup.relay.pause()
		}
		executions.ServeHTTP(w, r)
	})
	f.addNode("n0", "z1", handler)
	f.addNode("n1", "z2", handler)
	caller := f.addNode("caller", "z1", nil)
	var primary *node
	primary, backup, _ = f.selectHolders("north", "key")
	post := func() answer { return caller.call("POST", "north", "/key", "b", "idempotency-key", "key") }
	first := post()
	if first.status != 200 || first.claim != "" {
		t.Fatalf("first call: %+v", first)
	}
	time.AfterFunc(pause, resume)
	f.restartGracefully(primary)
	waitForClaim(t, primary, "key")
	if repeat := post(); repeat.claim != "replayed" || repeat.body != first.body {
		t.Errorf("repeat after the planned stop: %+v", repeat)
	}
	if n := executions.count("key"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}
