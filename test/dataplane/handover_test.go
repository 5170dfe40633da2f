package dataplane

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop that gives a kept answer up because the other
// holder does not answer one message in time: that holder still says "running"
// once the primary is back without its table, and the repeat is answered with "may
// have run".
func TestAnswerReachesAHolderThatIsSilentForAWhile(t *testing.T) {
	const silence = 1500 * time.Millisecond // longer than the message timeout of 1 s
	l := &ledger{runs: map[string]int{}}
	f := newFleet(t, 4)
	var backup *node
	var speak func()
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if speak == nil { // the claim is recorded, its answer is not copied yet
			speak = backup.relay.silence()
		}
		l.ServeHTTP(w, r)
	})
	f.add("n0", "z1", h)
	f.add("n1", "z2", h)
	caller := f.add("caller", "z1", nil)
	var primary *node
	primary, backup, _ = f.holders("north", "key")
	post := func() answer { return caller.call("POST", "north", "/key", "b", "idempotency-key", "key") }
	first := post()
	if first.status != 200 || first.claim != "" {
		t.Fatalf("first: %+v", first)
	}
	time.AfterFunc(silence, speak)
	f.leave(primary)
	waitClaim(t, primary, "key")
	if again := post(); again.claim != "replayed" || again.body != first.body {
		t.Errorf("repeat after the planned stop: %+v", again)
	}
	if n := l.count("key"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
