package outbound

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// newReportedTable returns a table with n endpoints, of which every third is reported to be twice
// as slow as the others.
func newReportedTable(t *testing.T, n int) (*table, *balancer) {
	t.Helper()
	from := newEndpointSet(n, nil)
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": from}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(3, 3)))
	s := tb.balancerFor("svc", start)
	var entries []byte
	for i := range n {
		l := peerapi.EndpointLoad{Slowness: 1, Load: 0.4}
		if i%3 == 0 {
			l.Slowness = 2
		}
		entries = peerapi.AppendLoad(entries, l)
	}
	tb.applyReports([]peerapi.ServiceLoads{{Service: "svc", Digest: peerapi.Digest(from), Entries: entries}}, start)
	return tb, s
}

// countPicks returns how many of 1,000 calls go to endpoints that satisfy match.
func countPicks(tb *table, match func(*endpoint) bool) int {
	n := 0
	for range 1000 {
		e, _ := tb.pick(&resource.Cluster{Service: "svc"}, pickOptions{spillLoad: testSpillLoad}, start)
		if match(e) {
			n++
		}
		e.inflight--
	}
	return n
}

// Guards against a node that calls each of many endpoints too rarely to measure which ones
// are slow, and therefore spreads its calls evenly over all of them.
func TestReportedSlownessDecidesBeforeOwnCalls(t *testing.T) {
	tb, s := newReportedTable(t, 48)
	slow := countPicks(tb, func(e *endpoint) bool { return e.reportedSlowness == 2 })
	if slow > 200 {
		t.Errorf("%d of 1000 calls went to the slow third", slow)
	}
	if got := tb.recentServices(start); len(got) != 1 || got[0] != "svc" {
		t.Errorf("recently called services %v", got)
	}
	if got := tb.recentServices(start.Add(recentCallWindow)); len(got) != 0 {
		t.Errorf("loads of services %v are requested long after the last call", got)
	}
	if e := s.endpoints[0]; e.slowdown(start) != 2 || e.slowdown(start.Add(reportMaxAge)) != 1 {
		t.Errorf("slowdown %v, %v after the report has expired", e.slowdown(start), e.slowdown(start.Add(reportMaxAge)))
	}
}

// Guards against a report being applied to the wrong endpoints because its sender has a different
// endpoint set.
func TestReportsOfAnotherSetAreIgnored(t *testing.T) {
	tb, s := newReportedTable(t, 3)
	other := newEndpointSet(4, nil)
	var entries []byte
	for range 4 {
		entries = peerapi.AppendLoad(entries, peerapi.EndpointLoad{Slowness: 5, Load: 3})
	}
	tb.applyReports([]peerapi.ServiceLoads{
		{Service: "svc", Digest: peerapi.Digest(other), Entries: entries},
		{Service: "unknown", Entries: entries},
	}, start.Add(time.Second))
	if s.endpoints[1].reportedSlowness != 1 {
		t.Errorf("slowness %v, want that of the current set", s.endpoints[1].reportedSlowness)
	}
}

// Guards against ignoring a fault that only some callers see, such as a bad network path to
// one endpoint: the report of the endpoint's node does not show it.
func TestOwnCallsCountWhenMuchSlower(t *testing.T) {
	_, s := newReportedTable(t, 3)
	e := s.endpoints[1]
	e.ownSlowness = 2.5
	if got := e.slowdown(start); got != 1 {
		t.Errorf("slowdown %v, want that of the report", got)
	}
	e.ownSlowness = 4
	if got := e.slowdown(start); got != 4 {
		t.Errorf("slowdown %v, want that measured by this node", got)
	}
}

// Guards against calls that wait at a busy endpoint while another endpoint is idle.
func TestFirstOffersDoNotWait(t *testing.T) {
	tb, s := newReportedTable(t, 3)
	route := &resource.Route{TargetMillis: 600, TimeoutMillis: 2000}
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: route,
		cluster: &resource.Cluster{Service: "svc"}, startedAt: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	if got := c.maxQueueWait(s.endpoints[0]); got > 30*time.Millisecond {
		t.Errorf("the first offer may wait %v", got)
	}
	c.stage = stageWait
	if got := c.maxQueueWait(s.endpoints[0]); got < 250*time.Millisecond {
		t.Errorf("a later offer may wait only %v", got)
	}
	// The call waits at the endpoint that was least busy when it rejected the first offer.
	tb.setLoad(s.endpoints[0], 3, start)
	tb.setLoad(s.endpoints[1], 1.5, start)
	if e, _ := tb.pickLeastLoaded(s.endpoints[:2], start); e != s.endpoints[1] {
		t.Errorf("the call waits at %v", e)
	}
}

// Guards against a zone whose endpoints are overloaded while those of other zones are idle,
// and against calls that cross zones needlessly.
func TestCallsLeaveABusyZone(t *testing.T) {
	s := &balancer{zone: "z1"}
	s.updateEndpoints(newEndpointSet(24, func(i int, e *resource.Endpoint) { e.AvailabilityZone = []string{"z1", "z2"}[i%2] }), start)
	r := rand.New(rand.NewPCG(5, 5))
	remote := func(local, other, bytes float64) int {
		for i, e := range s.endpoints {
			e.applyReport(peerapi.EndpointLoad{Slowness: 1, Load: []float64{local, other}[i%2]}, start)
		}
		s.updateZoneLoads(start)
		n := 0
		for range 1000 {
			if e := s.pick(start, pickOptions{spillLoad: testSpillLoad, relativeBytes: bytes}, r.IntN); e.AvailabilityZone != "z1" {
				n++
			}
		}
		return n
	}
	if n := remote(0.7, 0.1, 1); n != 0 {
		t.Errorf("%d of 1000 calls leave a zone with free slots", n)
	}
	if n := remote(1.4, 1.4, 1); n != 0 {
		t.Errorf("%d of 1000 calls leave for zones that are just as busy", n)
	}
	usual, large := remote(1.2, 0.6, 1), remote(1.2, 0.6, 2)
	if usual < 200 || usual > 400 {
		t.Errorf("%d of 1000 calls leave, want only the excess", usual)
	}
	if large > usual*2/3 {
		t.Errorf("%d calls with many bytes leave, %d of the usual ones", large, usual)
	}
}

// Guards against an endpoint that is overloaded because all nodes send their calls to it while its
// reported slowness and load are the lowest.
func TestCallsAreSpreadOverLargeSet(t *testing.T) {
	tb, s := newReportedTable(t, 48)
	s.endpoints[1].applyReport(peerapi.EndpointLoad{Slowness: 0.9, Load: 0.3}, start)
	picks := countPicks(tb, func(e *endpoint) bool { return e == s.endpoints[1] })
	if picks > 80 {
		t.Errorf("one of 48 endpoints, which is a little faster, got %d of 1000 calls", picks)
	}
}

// Guards against calls to an endpoint that fails for all nodes while each node alone sees
// too few failures to avoid it.
func TestReportedFailuresDecideBeforeOwnOnes(t *testing.T) {
	tb, s := newReportedTable(t, 48)
	s.endpoints[1].applyReport(peerapi.EndpointLoad{Slowness: 0.4, Load: 0, ExcessFailureRatio: 1}, start)
	picks := countPicks(tb, func(e *endpoint) bool { return e == s.endpoints[1] })
	if picks > 10 {
		t.Errorf("the failing endpoint got %d of 1000 calls", picks)
	}
}

// Guards against costly traffic between zones just because one local endpoint has no free
// slot for a moment.
func TestSecondOfferStaysInTheZone(t *testing.T) {
	from := newEndpointSet(4, func(i int, e *resource.Endpoint) { e.AvailabilityZone = []string{"z1", "z2"}[i/2] })
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": from}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(3, 3)))
	c := &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: &resource.Route{TargetMillis: 600, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, startedAt: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	busy := &httpcall.Failure{Reason: httpcall.ReasonWaitTooLong, HasLoad: true, Load: 1.5}
	var tried []*endpoint
	for _, zone := range []string{"z1", "z1", "z1", "z2"} {
		e, _ := c.chooseEndpoint(tried)
		if e == nil || e.AvailabilityZone != zone {
			t.Fatalf("after %d offers the call is offered to %+v, want zone %s", len(tried), e, zone)
		}
		c.recordRejection(e, busy)
		tried = append(tried, e)
	}
}
