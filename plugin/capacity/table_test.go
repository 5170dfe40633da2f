package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

var start = time.Unix(1700000000, 0)

func setOf(nodes ...string) *resource.EndpointSet {
	s := &resource.EndpointSet{Service: "svc"}
	for _, n := range nodes {
		s.Endpoints = append(s.Endpoints, resource.Endpoint{Node: n, Service: "svc"})
	}
	return s
}

// Guards against an endpoint that fails its calls at once and passes for a fast one,
// and against a fault of all endpoints, such as of a service that they call, that
// takes all of them out of use.
func TestFailuresCountBeyondTheUsualShare(t *testing.T) {
	tb := table{reports: map[string]report{}}
	for i, failing := range []int{5, 5, 80, 5, 0} {
		tb.take(fmt.Sprint(i), peerapi.LoadReport{Failing: failing, Durations: durations(100)}, true, start)
	}
	s := peerapi.ServiceLoads{Entries: tb.entries(setOf("0", "1", "2", "3", "4"), start)}
	for at, want := range []float64{0, 0, 0.75, 0, 0} {
		if l, _ := s.Entry(at); l.Failing != want {
			t.Errorf("endpoint %d fails %v, want %v", at, l.Failing, want)
		}
	}
}

func durations(classes ...int) map[string]int {
	d := map[string]int{}
	for i, ms := range classes {
		d[fmt.Sprintf("%d/500", i)] = ms
	}
	return d
}

// Guards against nodes that take a slow endpoint for a fast one since it happens to
// run the shorter class of calls.
func TestSlownessComparesLikeCalls(t *testing.T) {
	tb := table{reports: map[string]report{}}
	tb.take("a", peerapi.LoadReport{Load: 50, Durations: durations(100, 900)}, true, start)
	tb.take("b", peerapi.LoadReport{Load: 50, Durations: durations(100, 900)}, false, start)
	tb.take("c", peerapi.LoadReport{Load: 150, Durations: durations(200)}, true, start)
	set := setOf("a", "b", "c", "unheard")
	s := peerapi.ServiceLoads{Entries: tb.entries(set, start)}
	for at, want := range map[int]peerapi.EndpointLoad{0: {Slowness: 1, Load: 0.5}, 1: {Slowness: 1, Load: 0.5}, 2: {Slowness: 2, Load: 1.5}} {
		if l, ok := s.Entry(at); !ok || l != want {
			t.Errorf("entry %d: %+v %v, want %+v", at, l, ok, want)
		}
	}
	if _, ok := s.Entry(3); ok {
		t.Error("an endpoint without a report has an entry")
	}
	if _, ok := s.Entry(4); ok {
		t.Error("an entry beyond the set")
	}
}

// Guards against a few endpoints that hang: measured against a mean, all others
// would look fast and the differences between them vanish.
func TestUsualDurationIgnoresOutliers(t *testing.T) {
	tb := table{reports: map[string]report{}}
	for i, ms := range []int{100, 100, 200, 100, 9000} {
		tb.take(fmt.Sprint(i), peerapi.LoadReport{Durations: durations(ms)}, true, start)
	}
	s := peerapi.ServiceLoads{Entries: tb.entries(setOf("0", "1", "2", "3", "4"), start)}
	if l, _ := s.Entry(2); l.Slowness != 2 {
		t.Errorf("slowness %v, want 2", l.Slowness)
	}
	if l, ok := s.Entry(4); !ok || l.Slowness < 7 {
		t.Errorf("slowness of the outlier %v", l.Slowness)
	}
}

// Guards against reports that outlive their node, and against an older copy that
// comes by way of another instance.
func TestReportsAge(t *testing.T) {
	tb := table{reports: map[string]report{}}
	tb.take("a", peerapi.LoadReport{Load: 10}, true, start)
	tb.take("a", peerapi.LoadReport{Load: 90}, false, start.Add(time.Second))
	if got := tb.owned(start.Add(time.Second))["a"].Load; got != 10 {
		t.Errorf("load %d, want that of the own node", got)
	}
	late := start.Add(trust)
	if s := (&peerapi.ServiceLoads{Entries: tb.entries(setOf("a"), late)}); s.Entries[0] != 0 {
		t.Error("a report counts beyond its time")
	}
	if len(tb.owned(late)) != 0 {
		t.Error("a report beyond its time is passed on")
	}
	tb.expire(late)
	if len(tb.reports) != 0 {
		t.Error("a report beyond its time is kept")
	}
}

// Guards against a malformed report of a node, whose figures would reach all callers.
func TestMalformedReportsAreIgnored(t *testing.T) {
	tb := table{reports: map[string]report{}}
	many := map[string]int{}
	for i := range maxClasses + 1 {
		many[fmt.Sprint(i)] = 1
	}
	tb.take("a", peerapi.LoadReport{Load: -1}, true, start)
	tb.take("b", peerapi.LoadReport{Durations: many}, true, start)
	if len(tb.reports) != 0 {
		t.Errorf("%d malformed reports are held", len(tb.reports))
	}
	tb.take("c", peerapi.LoadReport{Load: 1 << 40, Durations: durations(-5)}, true, start)
	s := peerapi.ServiceLoads{Entries: tb.entries(setOf("c"), start)}
	if l, ok := s.Entry(0); !ok || l.Slowness != 1 || l.Load != 255.0/50 {
		t.Errorf("entry %+v %v", l, ok)
	}
}
