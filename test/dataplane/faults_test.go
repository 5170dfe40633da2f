package dataplane

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
)

// Guards against a planned stop that interrupts or loses calls. The nodes are restarted one after
// another under load, and no call may fail.
func TestPlannedStopFailsNoCall(t *testing.T) {
	t.Run("callers have current endpoints", func(t *testing.T) { testPlannedStop(t, false) })
	t.Run("callers have stale endpoints", func(t *testing.T) { testPlannedStop(t, true) })
}

func testPlannedStop(t *testing.T, staleView bool) {
	f := newFleet(t, 9)
	f.cluster.RetryBudgetPercent = 100 // this test is not about the retry budget
	var runs atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	})
	for i := range 3 {
		f.addNode(fmt.Sprintf("n%d", i), "z1", handler)
	}
	caller := f.addNode("caller", "z1", nil)
	caller.staleView = staleView
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var calls, failed atomic.Int64
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf("%d-%d", i, k)
				got := caller.call("POST", "north", "/", body)
				calls.Add(1)
				if got.err != nil || got.status != 200 || got.body != body {
					failed.Add(1)
					t.Errorf("call %s: %+v", body, got)
				}
			}
		}()
	}
	for range 2 {
		for _, n := range f.nodes[:3] {
			f.restartGracefully(n)
		}
	}
	close(stop)
	wg.Wait()
	if failed.Load() > 0 || calls.Load() != runs.Load() || calls.Load() < 100 {
		t.Fatalf("%d calls, %d failed, %d executions", calls.Load(), failed.Load(), runs.Load())
	}
}

// Guards against retries that multiply along a chain of calls. In a chain of 18 calls the last call
// fails, and only its own caller may retry.
func TestRetriesDoNotMultiplyInDeepChain(t *testing.T) {
	for _, fault := range []string{"lost", "gone"} {
		f := newFleet(t, 64)
		f.cluster.RetryBudgetPercent = 100
		var runsAtDepth [19]atomic.Int64
		var n *node
		f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			runsAtDepth[d].Add(1)
			if d == 18 && fault == "lost" {
				panic(http.ErrAbortHandler)
			}
			org := "north"
			if d == 17 && fault == "gone" {
				org = "south"
			}
			got := n.call("GET", org, fmt.Sprintf("/%d", d+1), "", "Celeryyard-Timeout-Ms", r.Header.Get("Celeryyard-Timeout-Ms"))
			w.WriteHeader(got.status)
		}))
		n = f.addNode("b", "z1", nil)
		if fault == "gone" { // the only endpoint for calls of south refuses connections
			template := *f.nodes[0]
			f.nodes[1].view.setSnapshot(withDeadSouthCluster(f.nodes[1].view.Current(), unusedAddress(t), template.endpoint))
		}
		got := n.call("GET", "north", "/1", "")
		if got.status != 502 && got.status != 503 {
			t.Fatalf("%s: %+v", fault, got)
		}
		for d := 1; d <= 17; d++ {
			if c := runsAtDepth[d].Load(); c != 1 {
				t.Fatalf("%s: the call at depth %d ran %d times", fault, d, c)
			}
		}
		if c := runsAtDepth[18].Load(); c > 3 || fault == "lost" && c != 3 {
			t.Fatalf("%s: the last call ran %d times, want 3 attempts", fault, c)
		}
	}
}

// withDeadSouthCluster returns a copy of the snapshot in which the cluster of south uses the service
// "dead". The only endpoint of that service is a copy of e at the given address, which must refuse
// connections.
func withDeadSouthCluster(s *resource.Snapshot, address string, e resource.Endpoint) *resource.Snapshot {
	n := *s
	c := *n.Clusters["south/c"]
	c.Service = "dead"
	e.Service, e.Address, e.Node = "dead", address, "dead"
	n.Clusters = map[string]*resource.Cluster{"north/c": n.Clusters["north/c"], "south/c": &c}
	n.Sets = map[string]*resource.EndpointSet{"svc": n.Sets["svc"], "dead": {Service: "dead", Endpoints: []resource.Endpoint{e}}}
	return &n
}

// unusedAddress returns a loopback address that refuses connections.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against calls that fail because of a dead upstream. The node beside the upstream knows that
// the calls did not run, so that they can be retried at other endpoints.
func TestCallsAvoidDeadUpstream(t *testing.T) {
	f := newFleet(t, 4)
	okHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
	for i := range 3 {
		f.addNode(fmt.Sprintf("n%d", i), "z1", okHandler)
	}
	caller := f.addNode("caller", "z1", nil)
	f.nodes[0].upstream.Close()
	for i := range 100 {
		if got := caller.call("POST", "north", "/", "x"); got.status != 200 {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
	for _, n := range f.nodes[1:3] {
		n.upstream.Close()
	}
	// A call that may have run at one endpoint must not get the verdict "not run" because a different
	// endpoint refused its retry.
	var runs atomic.Int64
	f.addNode("cuts", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	for i := range 20 {
		before := runs.Load()
		if got := caller.call("GET", "north", "/", ""); runs.Load() > before && got.verdict != "may-have-run" {
			t.Fatalf("call %d ran: %+v", i, got)
		}
	}
	f.setEndpointState(f.nodes[4], resource.StateGone)
	if got := caller.call("POST", "north", "/", "x"); got.status != 503 || got.verdict != "not-run" {
		t.Fatalf("call without a live upstream: %+v", got)
	}
}

// Guards against a flood of calls of one organisation that makes calls of the other one fail.
func TestFloodDoesNotAffectOtherOrganisation(t *testing.T) {
	f := newFleet(t, 4)
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(10 * time.Millisecond) }))
	caller := f.addNode("b", "z1", nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var refused atomic.Int64
	for range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if got := caller.call("POST", "north", "/", "x"); got.verdict == "not-run" {
					refused.Add(1)
				}
			}
		}()
	}
	for i := range 100 {
		if got := caller.call("POST", "south", "/", "x"); got.status != 200 {
			t.Errorf("call %d of the other organisation: %+v", i, got)
		}
	}
	close(stop)
	wg.Wait()
	if refused.Load() == 0 {
		t.Error("the flood was not refused, so nothing was tested")
	}
}

// newCountingFleet returns a fleet of four nodes in two zones whose upstreams count executions
// by path.
func newCountingFleet(t *testing.T) (*fleet, *executionCounter) {
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 4)
	for i, zone := range []string{"z1", "z1", "z2", "z2"} {
		f.addNode(fmt.Sprintf("n%d", i), zone, executions)
	}
	return f, executions
}

// selectHolders returns the two nodes that must hold the claim of a key, and one of the other nodes.
func (f *fleet) selectHolders(org, key string) (primary, backup, other *node) {
	p, b := httpcall.SelectHolders(f.nodes[0].view.Current().Sets["svc"], httpcall.ClaimID(org, "svc", key))
	for _, n := range f.nodes {
		switch n.name {
		case p.Node:
			primary = n
		case b.Node:
			backup = n
		default:
			other = n
		}
	}
	return primary, backup, other
}

func (n *node) hasClaim(org, key string) bool {
	return n.kernel.Plugin("idempotency").(*idempotency.Idempotency).HasClaim(httpcall.ClaimID(org, "svc", key))
}

// Guards against a call with a key that runs again after both holders of its claim have failed one
// after the other, and against a planned stop that loses stored answers.
func TestKeySurvivesLossOfHolders(t *testing.T) {
	f, executions := newCountingFleet(t)
	for i := range 6 {
		key := fmt.Sprintf("key%d", i)
		post := func(n *node) answer {
			return n.call("POST", "north", "/"+key, "b", "idempotency-key", key)
		}
		primary, backup, other := f.selectHolders("north", key)
		first := post(other)
		if first.status != 200 || first.claim != "" {
			t.Fatalf("first call: %+v", first)
		}
		for _, n := range []*node{primary, backup} {
			waitForClaim(t, n, key)
			if i%2 == 0 {
				f.crash(n, 20*time.Millisecond)
			} else {
				f.restartGracefully(n)
			}
			// Wait until both holders in the new endpoint set have the claim: the next iteration stops
			// a node.
			p, b, _ := f.selectHolders("north", key)
			waitForClaim(t, p, key)
			waitForClaim(t, b, key)
			repeat := post(other)
			if repeat.claim == "" || i%2 == 1 && (repeat.claim != "replayed" || repeat.body != first.body) {
				t.Fatalf("key %d after the loss of %s: %+v", i, n.name, repeat)
			}
		}
		if n := executions.count(key); n != 1 {
			t.Fatalf("key %d ran %d times", i, n)
		}
	}
}

func waitForClaim(t *testing.T, n *node, key string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.hasClaim("north", key) {
			return
		}
	}
	t.Fatalf("node %s did not receive the claim of %s", n.name, key)
}

// Guards against treating two calls as the same because their keys are equal, although their
// organisations or requests differ, and against running a call whose claim is not recorded at both
// holders.
func TestKeysAreKeptApart(t *testing.T) {
	f, executions := newCountingFleet(t)
	n := f.nodes[0]
	a := n.call("POST", "north", "/x", "b", "idempotency-key", "k")
	b := n.call("POST", "south", "/x", "b", "idempotency-key", "k")
	if a.status != 200 || b.status != 200 || b.claim != "" || executions.count("x") != 2 {
		t.Fatalf("two organisations: %+v, %+v, %d runs", a, b, executions.count("x"))
	}
	c := n.call("POST", "north", "/x", "other", "idempotency-key", "k")
	if c.status != 422 || c.verdict != "not-run" || executions.count("x") != 2 {
		t.Fatalf("another request: %+v", c)
	}
	if d := n.call("POST", "north", "/y", strings.Repeat("b", httpcall.MaxKeptBytes+1), "idempotency-key", "k2"); d.status != 413 || d.verdict != "not-run" {
		t.Fatalf("too large: %+v", d)
	}
	_, backup, other := f.selectHolders("north", "k3")
	backup.relay.shutdown()
	if e := other.call("POST", "north", "/z", "b", "idempotency-key", "k3"); e.status != 503 || e.verdict != "not-run" || executions.count("z") != 0 {
		t.Fatalf("backup unreachable: %+v, %d runs", e, executions.count("z"))
	}
	primary, _, other := f.selectHolders("north", "k4")
	primary.relay.shutdown()
	if e := other.call("POST", "north", "/w", "b", "idempotency-key", "k4"); e.status != 503 || e.verdict != "not-run" || executions.count("w") != 0 {
		t.Fatalf("primary unreachable: %+v, %d runs", e, executions.count("w"))
	}
}

// Guards against a call that occupies a slot although the time left until its deadline, for example
// in a second attempt, is too short to execute it. Other calls could use the slot.
func TestCallWithTooLittleTimeIsRefused(t *testing.T) {
	f := newFleet(t, 9)
	var runs atomic.Int64
	f.addNode("n0", "z1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	caller := f.addNode("caller", "z1", nil)
	get := func(timeoutMillis string) answer {
		return caller.call("GET", "north", "/", "", httpcall.HeaderTimeout, timeoutMillis)
	}
	for range 5 {
		if got := get("2000"); got.status != 200 {
			t.Fatalf("call: %+v", got)
		}
	}
	runs.Store(0)
	if got := get("20"); got.status != http.StatusServiceUnavailable || got.verdict != "not-run" {
		t.Errorf("a call with 20 ms left is answered %+v", got)
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("a call with 20 ms left ran %d times", n)
	}
	if got := get("300"); got.status != 200 {
		t.Errorf("a call with 300 ms left is answered %+v", got)
	}
}
