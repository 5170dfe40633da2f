package outbound

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// learned returns a table with n endpoints, of which every third is reported to be
// twice as slow as the others.
func learned(t *testing.T, n int) (*table, *set) {
	t.Helper()
	from := endpoints(n, nil)
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": from}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(3, 3)))
	s := tb.set("svc", start)
	var entries []byte
	for i := range n {
		l := peerapi.EndpointLoad{Slowness: 1, Load: 0.4}
		if i%3 == 0 {
			l.Slowness = 2
		}
		entries = peerapi.AppendLoad(entries, l)
	}
	tb.learn([]peerapi.ServiceLoads{{Service: "svc", Digest: peerapi.Digest(from), Entries: entries}}, start)
	return tb, s
}

// share counts how many of 1,000 calls go to endpoints of a kind.
func share(tb *table, kind func(*endpoint) bool) int {
	n := 0
	for range 1000 {
		e, _ := tb.pick(&resource.Cluster{Service: "svc"}, wish{spillAt: fullZone}, start)
		if kind(e) {
			n++
		}
		e.inflight--
	}
	return n
}

// Guards against a node that calls each of many endpoints too seldom to learn which
// ones are slow and spreads its calls over all of them alike.
func TestReportedSlownessDecidesBeforeOwnCalls(t *testing.T) {
	tb, s := learned(t, 48)
	slow := share(tb, func(e *endpoint) bool { return e.slowness == 2 })
	if slow > 200 {
		t.Errorf("%d of 1000 calls went to the slow third", slow)
	}
	if got := tb.called(start); len(got) != 1 || got[0] != "svc" {
		t.Errorf("called services %v", got)
	}
	if got := tb.called(start.Add(calledFor)); len(got) != 0 {
		t.Errorf("services %v are asked for after the last call", got)
	}
	if e := s.list[0]; e.slowFactor(start) != 2 || e.slowFactor(start.Add(reportTrust)) != 1 {
		t.Errorf("slow factor %v, %v after the report has aged", e.slowFactor(start), e.slowFactor(start.Add(reportTrust)))
	}
}

// Guards against entries that are taken for those of other endpoints because the set
// has changed meanwhile.
func TestReportsOfAnotherSetAreIgnored(t *testing.T) {
	tb, s := learned(t, 3)
	other := endpoints(4, nil)
	var entries []byte
	for range 4 {
		entries = peerapi.AppendLoad(entries, peerapi.EndpointLoad{Slowness: 5, Load: 3})
	}
	tb.learn([]peerapi.ServiceLoads{
		{Service: "svc", Digest: peerapi.Digest(other), Entries: entries},
		{Service: "unknown", Entries: entries},
	}, start.Add(time.Second))
	if s.list[1].slowness != 1 {
		t.Errorf("slowness %v, want that of the set held", s.list[1].slowness)
	}
}

// Guards against a fault that only some callers see, such as a bad path to one
// endpoint: the report of the node beside it says nothing of it.
func TestOwnCallsCountWhenMuchSlower(t *testing.T) {
	_, s := learned(t, 3)
	e := s.list[1]
	e.slow = 2.5
	if got := e.slowFactor(start); got != 1 {
		t.Errorf("slow factor %v, want that of the report", got)
	}
	e.slow = 4
	if got := e.slowFactor(start); got != 4 {
		t.Errorf("slow factor %v, want that of the own calls", got)
	}
}

// Guards against calls that wait at a busy endpoint while another one is idle.
func TestFirstOffersDoNotWait(t *testing.T) {
	tb, s := learned(t, 3)
	route := &resource.Route{TargetMillis: 600, TimeoutMillis: 2000}
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: route,
		cluster: &resource.Cluster{Service: "svc"}, begin: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	if got := c.patience(s.list[0]); got > 30*time.Millisecond {
		t.Errorf("the first offer may wait %v", got)
	}
	c.stage = stageWait
	if got := c.patience(s.list[0]); got < 250*time.Millisecond {
		t.Errorf("a later offer may wait %v only", got)
	}
	// The endpoint that was least busy when it was asked is asked again, to wait there.
	tb.measured(s.list[0], 3, start)
	tb.measured(s.list[1], 1.5, start)
	if e, _ := tb.leastLoaded(s.list[:2], start); e != s.list[1] {
		t.Errorf("the call waits at %v", e)
	}
}

// Guards against a zone with more callers than its endpoints serve in time while those
// of other zones are idle, and against calls that cross zones without need.
func TestCallsLeaveABusyZone(t *testing.T) {
	s := &set{zone: "z1"}
	s.update(endpoints(24, func(i int, e *resource.Endpoint) { e.AvailabilityZone = []string{"z1", "z2"}[i%2] }), start)
	r := rand.New(rand.NewPCG(5, 5))
	remote := func(local, other, bytes float64) int {
		for i, e := range s.list {
			e.learn(peerapi.EndpointLoad{Slowness: 1, Load: []float64{local, other}[i%2]}, start)
		}
		s.observe(start)
		n := 0
		for range 1000 {
			if e := s.pick(start, wish{spillAt: fullZone, bytes: bytes}, r.IntN); e.AvailabilityZone != "z1" {
				n++
			}
		}
		return n
	}
	if n := remote(0.7, 0.1, 1); n != 0 {
		t.Errorf("%d of 1000 calls leave a zone with free slots", n)
	}
	if n := remote(1.4, 1.4, 1); n != 0 {
		t.Errorf("%d of 1000 calls leave for zones that are as busy", n)
	}
	usual, large := remote(1.2, 0.6, 1), remote(1.2, 0.6, 2)
	if usual < 200 || usual > 400 {
		t.Errorf("%d of 1000 calls leave, want the part that is too much", usual)
	}
	if large > usual*2/3 {
		t.Errorf("%d calls with many bytes leave, %d of the usual ones", large, usual)
	}
}

// Guards against nodes that all take the endpoint that looks best at the moment.
func TestLargeSetsAreSpread(t *testing.T) {
	tb, s := learned(t, 48)
	s.list[1].learn(peerapi.EndpointLoad{Slowness: 0.9, Load: 0.3}, start)
	taken := share(tb, func(e *endpoint) bool { return e == s.list[1] })
	if taken > 80 {
		t.Errorf("one of 48 endpoints, which is a little faster, got %d of 1000 calls", taken)
	}
}

// Guards against an endpoint that fails the calls of all nodes while each node alone
// sees too few failures to avoid it.
func TestReportedFailuresDecideBeforeOwnOnes(t *testing.T) {
	tb, s := learned(t, 48)
	s.list[1].learn(peerapi.EndpointLoad{Slowness: 0.4, Load: 0, Failing: 1}, start)
	taken := share(tb, func(e *endpoint) bool { return e == s.list[1] })
	if taken > 10 {
		t.Errorf("the failing endpoint got %d of 1000 calls", taken)
	}
}

// Guards against calls that pay for bytes between zones since one endpoint of their
// zone has no free slot for a moment.
func TestSecondOfferStaysInTheZone(t *testing.T) {
	from := endpoints(4, func(i int, e *resource.Endpoint) { e.AvailabilityZone = []string{"z1", "z2"}[i/2] })
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": from}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(3, 3)))
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: &resource.Route{TargetMillis: 600, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, begin: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	busy := &httpcall.Failure{Reason: httpcall.ReasonWait, HasLoad: true, Load: 1.5}
	var tried []*endpoint
	for _, zone := range []string{"z1", "z1", "z1", "z2"} {
		e, _ := c.choose(tried)
		if e == nil || e.AvailabilityZone != zone {
			t.Fatalf("after %d offers the call is offered to %+v, want zone %s", len(tried), e, zone)
		}
		c.noRoom(e, busy)
		tried = append(tried, e)
	}
}
