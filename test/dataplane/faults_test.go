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

// Guards against a planned stop that cuts or loses calls: every node leaves and
// comes back in turn under load, and no call fails.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Run("callers know", func(t *testing.T) { plannedStop(t, false) })
	t.Run("callers have not heard", func(t *testing.T) { plannedStop(t, true) })
}

func plannedStop(t *testing.T, deaf bool) {
	f := newFleet(t, 9)
	f.clust.RetryBudgetPercent = 100 // the budget is not what is tested
	var runs atomic.Int64
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	})
	for i := range 3 {
		f.add(fmt.Sprintf("n%d", i), "z1", h)
	}
	caller := f.add("caller", "z1", nil)
	caller.deaf = deaf
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
			f.leave(n)
		}
	}
	close(stop)
	wg.Wait()
	if failed.Load() > 0 || calls.Load() != runs.Load() || calls.Load() < 100 {
		t.Fatalf("%d calls, %d failed, %d executions", calls.Load(), failed.Load(), runs.Load())
	}
}

// Guards against retries that multiply along a chain of calls: in a chain 18 deep
// whose end fails, only the layer next to the end retries.
func TestDeepChainDoesNotMultiply(t *testing.T) {
	for _, fault := range []string{"lost", "gone"} {
		f := newFleet(t, 64)
		f.clust.RetryBudgetPercent = 100
		var depth [19]atomic.Int64
		var n *node
		f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			depth[d].Add(1)
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
		n = f.add("b", "z1", nil)
		if fault == "gone" { // calls of south end at a node without an upstream
			dead := *f.nodes[0]
			f.nodes[1].view.set(southAt(f.nodes[1].view.Current(), kerneltestAddress(t), dead.endpoint))
		}
		got := n.call("GET", "north", "/1", "")
		if got.status != 502 && got.status != 503 {
			t.Fatalf("%s: %+v", fault, got)
		}
		for d := 1; d <= 17; d++ {
			if c := depth[d].Load(); c != 1 {
				t.Fatalf("%s: depth %d ran %d times", fault, d, c)
			}
		}
		if c := depth[18].Load(); c > 3 || fault == "lost" && c != 3 {
			t.Fatalf("%s: the end ran %d times, want 3 attempts", fault, c)
		}
	}
}

// southAt returns the snapshot with south's cluster at a service whose only
// endpoint refuses connections.
func southAt(s *resource.Snapshot, address string, e resource.Endpoint) *resource.Snapshot {
	n := *s
	c := *n.Clusters["south/c"]
	c.Service = "dead"
	e.Service, e.Address, e.Node = "dead", address, "dead"
	n.Clusters = map[string]*resource.Cluster{"north/c": n.Clusters["north/c"], "south/c": &c}
	n.Sets = map[string]*resource.EndpointSet{"svc": n.Sets["svc"], "dead": {Service: "dead", Endpoints: []resource.Endpoint{e}}}
	return &n
}

func kerneltestAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a dead upstream that costs calls: the node beside it proves
// that they did not run, and they run elsewhere.
func TestDeadUpstreamIsLeftAlone(t *testing.T) {
	f := newFleet(t, 4)
	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
	for i := range 3 {
		f.add(fmt.Sprintf("n%d", i), "z1", ok)
	}
	caller := f.add("caller", "z1", nil)
	f.nodes[0].upstream.Close()
	for i := range 100 {
		if got := caller.call("POST", "north", "/", "x"); got.status != 200 {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
	for _, n := range f.nodes[1:3] {
		n.upstream.Close()
	}
	// A call that may have run at one endpoint is not told "not run" because another
	// one refused its retry.
	var runs atomic.Int64
	f.add("cuts", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	for i := range 20 {
		before := runs.Load()
		if got := caller.call("GET", "north", "/", ""); runs.Load() > before && got.verdict != "may-have-run" {
			t.Fatalf("call %d ran: %+v", i, got)
		}
	}
	f.setState(f.nodes[4], resource.StateGone)
	if got := caller.call("POST", "north", "/", "x"); got.status != 503 || got.verdict != "not-run" {
		t.Fatalf("no upstream is alive: %+v", got)
	}
}

// Guards against a flood of one organisation that costs the other one calls.
func TestFloodCostsTheOtherNothing(t *testing.T) {
	f := newFleet(t, 4)
	f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(10 * time.Millisecond) }))
	b := f.add("b", "z1", nil)
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
				if got := b.call("POST", "north", "/", "x"); got.verdict == "not-run" {
					refused.Add(1)
				}
			}
		}()
	}
	for i := range 100 {
		if got := b.call("POST", "south", "/", "x"); got.status != 200 {
			t.Errorf("call %d of the other organisation: %+v", i, got)
		}
	}
	close(stop)
	wg.Wait()
	if refused.Load() == 0 {
		t.Error("the flood was not refused, so nothing was tested")
	}
}

// keyedFleet has four nodes in two zones and counts executions by path.
func keyedFleet(t *testing.T) (*fleet, *ledger) {
	l := &ledger{runs: map[string]int{}}
	f := newFleet(t, 4)
	for i, zone := range []string{"z1", "z1", "z2", "z2"} {
		f.add(fmt.Sprintf("n%d", i), zone, l)
	}
	return f, l
}

func (f *fleet) holders(org, key string) (primary, backup, other *node) {
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
	return n.kernel.Service("idempotency").(*idempotency.Idempotency).HasClaim(httpcall.ClaimID(org, "svc", key))
}

// Guards against a key that runs twice after its holders failed one after the
// other, and against a planned stop that forgets kept answers.
func TestKeySurvivesItsHolders(t *testing.T) {
	f, l := keyedFleet(t)
	for i := range 6 {
		key := fmt.Sprintf("key%d", i)
		post := func(n *node) answer {
			return n.call("POST", "north", "/"+key, "b", "idempotency-key", key)
		}
		primary, backup, other := f.holders("north", key)
		first := post(other)
		if first.status != 200 || first.claim != "" {
			t.Fatalf("first: %+v", first)
		}
		for _, n := range []*node{primary, backup} {
			waitClaim(t, n, key)
			if i%2 == 0 {
				f.crash(n, 20*time.Millisecond)
			} else {
				f.leave(n)
			}
			// Both holders of the new set have the claim before the next one goes.
			p, b, _ := f.holders("north", key)
			waitClaim(t, p, key)
			waitClaim(t, b, key)
			again := post(other)
			if again.claim == "" || i%2 == 1 && (again.claim != "replayed" || again.body != first.body) {
				t.Fatalf("key %d after the loss of %s: %+v", i, n.name, again)
			}
		}
		if n := l.count(key); n != 1 {
			t.Fatalf("key %d ran %d times", i, n)
		}
	}
}

func waitClaim(t *testing.T, n *node, key string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.hasClaim("north", key) {
			return
		}
	}
	t.Fatalf("node %s never got the claim of %s", n.name, key)
}

// Guards against keys of two organisations or two requests that are mixed up,
// and against a backup that is left out.
func TestKeysAreKeptApart(t *testing.T) {
	f, l := keyedFleet(t)
	n := f.nodes[0]
	a := n.call("POST", "north", "/x", "b", "idempotency-key", "k")
	b := n.call("POST", "south", "/x", "b", "idempotency-key", "k")
	if a.status != 200 || b.status != 200 || b.claim != "" || l.count("x") != 2 {
		t.Fatalf("two organisations: %+v, %+v, %d runs", a, b, l.count("x"))
	}
	c := n.call("POST", "north", "/x", "other", "idempotency-key", "k")
	if c.status != 422 || c.verdict != "not-run" || l.count("x") != 2 {
		t.Fatalf("another request: %+v", c)
	}
	if d := n.call("POST", "north", "/y", strings.Repeat("b", httpcall.MaxKeptBytes+1), "idempotency-key", "k2"); d.status != 413 || d.verdict != "not-run" {
		t.Fatalf("too large: %+v", d)
	}
	_, backup, other := f.holders("north", "k3")
	backup.relay.kill()
	if e := other.call("POST", "north", "/z", "b", "idempotency-key", "k3"); e.status != 503 || e.verdict != "not-run" || l.count("z") != 0 {
		t.Fatalf("backup unreachable: %+v, %d runs", e, l.count("z"))
	}
	primary, _, other := f.holders("north", "k4")
	primary.relay.kill()
	if e := other.call("POST", "north", "/w", "b", "idempotency-key", "k4"); e.status != 503 || e.verdict != "not-run" || l.count("w") != 0 {
		t.Fatalf("primary unreachable: %+v, %d runs", e, l.count("w"))
	}
}

// Guards against calls that come with too little time, such as the second attempt of a
// caller, and take slots from those that can still be answered.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 9)
	var runs atomic.Int64
	f.add("n0", "z1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	caller := f.add("caller", "z1", nil)
	get := func(wait string) answer {
		return caller.call("GET", "north", "/", "", httpcall.HeaderTimeout, wait)
	}
	for range 5 {
		if got := get("2000"); got.status != 200 {
			t.Fatalf("call %+v", got)
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
