package outbound

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// besideTable has twelve endpoints of one zone; that of node "n3" is beside the node,
// and calls spend the given time on the way to others.
func besideTable(way time.Duration) (*table, *set) {
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": endpoints(12, nil)}}
	tb := newTable("z1", "n3", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(5, 5)))
	s := tb.set("svc", start)
	for range 200 {
		tb.travelled(s.list[0], way)
		tb.travelled(s.list[3], 0)
	}
	return tb, s
}

// firstOffers counts the first offers of 120 calls that go to the node's own endpoint.
func firstOffers(tb *table, s *set) (own int) {
	for range 120 {
		c := &call{
			o:       &Outbound{table: tb, s: &Settings{WaitShare: 0.25}, classes: classes{means: map[string]usage{"r": {seconds: 0.3}}}},
			route:   &resource.Route{Name: "r", TargetMillis: 500, TimeoutMillis: 1200},
			cluster: &resource.Cluster{Service: "svc"}, begin: time.Now(), deadline: time.Now().Add(time.Second),
		}
		e, _ := c.choose(nil)
		if e == s.list[3] {
			own++
		}
		e.inflight--
	}
	return own
}

// Guards against calls that cross narrow links although an endpoint beside their node
// could run them, and against an endpoint that all calls of its node go to when the
// links are fast, or when it is slow, failing, full or leaves.
func TestCallsStayBesideTheNodeWhenTheWayIsLong(t *testing.T) {
	for name, tc := range map[string]struct {
		way    time.Duration
		change func(e *endpoint)
		most   int
		all    bool
	}{
		"long way":                {60 * time.Millisecond, func(*endpoint) {}, 120, true},
		"short way":               {2 * time.Millisecond, func(*endpoint) {}, 30, false},
		"somewhat slow":           {60 * time.Millisecond, func(e *endpoint) { e.slowness, e.reported, e.slow = 1.3, time.Now(), 1.3 }, 120, true},
		"too slow for the target": {60 * time.Millisecond, func(e *endpoint) { e.slowness, e.reported, e.slow = 1.5, time.Now(), 1.5 }, 30, false},
		"slow": {60 * time.Millisecond, func(e *endpoint) {
			e.slowness, e.reported, e.slow = 4, time.Now(), 4
		}, 10, false},
		"failing":  {60 * time.Millisecond, func(e *endpoint) { e.reportedFailing, e.reported = 0.4, time.Now() }, 20, false},
		"full":     {60 * time.Millisecond, func(e *endpoint) { e.rejected("", 0, "z1", time.Now().Add(time.Minute)) }, 0, false},
		"draining": {60 * time.Millisecond, func(e *endpoint) { e.State = resource.StateDraining }, 0, false},
		"ejected":  {60 * time.Millisecond, func(e *endpoint) { e.ejected = time.Now().Add(time.Minute) }, 0, false},
	} {
		tb, s := besideTable(tc.way)
		tc.change(s.list[3])
		got := firstOffers(tb, s)
		if got > tc.most || tc.all && got < tc.most {
			t.Errorf("%s: %d of 120 calls go to the endpoint beside the node", name, got)
		}
	}
}

// Guards against offers that are refused at a busy endpoint and sent on over a way that
// takes longer than the wait for a slot.
func TestOffersWaitAsLongAsTheWayTakes(t *testing.T) {
	tb, s := besideTable(25 * time.Millisecond)
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.25}}, route: &resource.Route{TargetMillis: 800, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, begin: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	near := func(got, want time.Duration) bool { return got > want*9/10 && got < want*11/10 }
	if got := c.patience(s.list[0]); !near(got, 50*time.Millisecond) {
		t.Errorf("an offer to another node waits %v", got)
	}
	if got := c.patience(s.list[3]); !near(got, 125*time.Millisecond) {
		t.Errorf("an offer to the endpoint beside the node waits %v", got)
	}
	c.route.TargetMillis = 100 // no call waits beyond the share of its target
	if got := c.patience(s.list[3]); got > 25*time.Millisecond {
		t.Errorf("an offer of a call with a short target waits %v", got)
	}
}

// Guards against the time that a call runs being taken for time on the way.
func TestTimeAtTheNodeIsNotTheWay(t *testing.T) {
	sent := httpcall.NodeLoad{Busy: 0.78, Spent: 312 * time.Millisecond}
	got, ok := httpcall.ParseLoad(sent.Encode())
	if !ok || got != sent {
		t.Errorf("%q is read as %+v, %v", sent.Encode(), got, ok)
	}
	for _, bad := range []string{"", "x", "-1", "NaN", "0.5;", "0.5;-3", "0.5;x", "101;3", "0.5;3;4"} {
		if l, ok := httpcall.ParseLoad(bad); ok {
			t.Errorf("%q is read as %+v", bad, l)
		}
	}
	if l, ok := httpcall.ParseLoad("0.5"); !ok || l.Busy != 0.5 || l.Spent != 0 {
		t.Errorf("a load alone is read as %+v, %v", l, ok)
	}
}
