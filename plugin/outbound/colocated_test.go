package outbound

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// newColocatedTable returns a table with twelve endpoints of one zone, of which that of node "n3"
// is colocated, and the given round-trip time to the others.
func newColocatedTable(rtt time.Duration) (*table, *balancer) {
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": newEndpointSet(12, nil)}}
	tb := newTable("z1", "n3", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(5, 5)))
	s := tb.balancerFor("svc", start)
	for range 200 {
		tb.observeRTT(s.endpoints[0], rtt)
		tb.observeRTT(s.endpoints[3], 0)
	}
	return tb, s
}

// countFirstOffers returns how many of 120 calls are first offered to the colocated endpoint.
func countFirstOffers(tb *table, s *balancer) (colocated int) {
	for range 120 {
		c := &call{
			o:       &Outbound{table: tb, s: &Settings{WaitShare: 0.25}, routeStats: routeStats{byRoute: map[string]routeMeans{"r": {seconds: 0.3}}}},
			route:   &resource.Route{Name: "r", TargetMillis: 500, TimeoutMillis: 1200},
			cluster: &resource.Cluster{Service: "svc"}, startedAt: time.Now(), deadline: time.Now().Add(time.Second),
		}
		e, _ := c.chooseEndpoint(nil)
		if e == s.endpoints[3] {
			colocated++
		}
		e.inflight--
	}
	return colocated
}

// Guards against calls that cross slow links although the colocated endpoint could run them,
// and against calls that all go to the colocated endpoint although the links are fast or the
// endpoint is slow, failing, full or draining.
func TestCallsPreferColocatedEndpointOnSlowNetwork(t *testing.T) {
	for name, tc := range map[string]struct {
		rtt     time.Duration
		change  func(e *endpoint)
		most    int
		wantAll bool
	}{
		"slow network":            {60 * time.Millisecond, func(*endpoint) {}, 120, true},
		"fast network":            {2 * time.Millisecond, func(*endpoint) {}, 30, false},
		"somewhat slow":           {60 * time.Millisecond, func(e *endpoint) { e.reportedSlowness, e.reportedAt, e.ownSlowness = 1.3, time.Now(), 1.3 }, 120, true},
		"too slow for the target": {60 * time.Millisecond, func(e *endpoint) { e.reportedSlowness, e.reportedAt, e.ownSlowness = 1.5, time.Now(), 1.5 }, 30, false},
		"slow": {60 * time.Millisecond, func(e *endpoint) {
			e.reportedSlowness, e.reportedAt, e.ownSlowness = 4, time.Now(), 4
		}, 10, false},
		"failing":  {60 * time.Millisecond, func(e *endpoint) { e.reportedFailureRate, e.reportedAt = 0.4, time.Now() }, 20, false},
		"full":     {60 * time.Millisecond, func(e *endpoint) { e.markFull("", 0, "z1", time.Now().Add(time.Minute)) }, 0, false},
		"draining": {60 * time.Millisecond, func(e *endpoint) { e.State = resource.StateDraining }, 0, false},
		"ejected":  {60 * time.Millisecond, func(e *endpoint) { e.ejectedUntil = time.Now().Add(time.Minute) }, 0, false},
	} {
		tb, s := newColocatedTable(tc.rtt)
		tc.change(s.endpoints[3])
		got := countFirstOffers(tb, s)
		if got > tc.most || tc.wantAll && got < tc.most {
			t.Errorf("%s: %d of 120 calls go to the colocated endpoint", name, got)
		}
	}
}

// Guards against offers that a busy endpoint rejects and that are then sent over a network
// whose round trip takes longer than the wait for a slot.
func TestOfferWaitGrowsWithRTT(t *testing.T) {
	tb, s := newColocatedTable(25 * time.Millisecond)
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.25}}, route: &resource.Route{TargetMillis: 800, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, startedAt: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	near := func(got, want time.Duration) bool { return got > want*9/10 && got < want*11/10 }
	if got := c.maxQueueWait(s.endpoints[0]); !near(got, 50*time.Millisecond) {
		t.Errorf("an offer to another node waits %v", got)
	}
	if got := c.maxQueueWait(s.endpoints[3]); !near(got, 125*time.Millisecond) {
		t.Errorf("an offer to the colocated endpoint waits %v", got)
	}
	c.route.TargetMillis = 100 // no call waits longer than the fraction of its target
	if got := c.maxQueueWait(s.endpoints[3]); got > 25*time.Millisecond {
		t.Errorf("an offer of a call with a short target waits %v", got)
	}
}

// Guards against a node's processing time being counted as network time, and against
// malformed load headers being accepted.
func TestParseLoad(t *testing.T) {
	sent := httpcall.NodeLoad{Load: 0.78, TimeAtNode: 312 * time.Millisecond}
	got, ok := httpcall.ParseNodeLoad(sent.Encode())
	if !ok || got != sent {
		t.Errorf("%q is parsed as %+v, %v", sent.Encode(), got, ok)
	}
	for _, bad := range []string{"", "x", "-1", "NaN", "0.5;", "0.5;-3", "0.5;x", "101;3", "0.5;3;4"} {
		if l, ok := httpcall.ParseNodeLoad(bad); ok {
			t.Errorf("%q is parsed as %+v", bad, l)
		}
	}
	if l, ok := httpcall.ParseNodeLoad("0.5"); !ok || l.Load != 0.5 || l.TimeAtNode != 0 {
		t.Errorf("a load without a time is parsed as %+v, %v", l, ok)
	}
}
