package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

var start = time.Unix(1700000000, 0)

func newSet(nodes ...string) *resource.EndpointSet {
	s := &resource.EndpointSet{Service: "svc"}
	for _, n := range nodes {
		s.Endpoints = append(s.Endpoints, resource.Endpoint{Node: n, Service: "svc"})
	}
	return s
}

// Guards against an endpoint that fails its calls immediately and is mistaken for a fast one. Also
// guards against callers that avoid all endpoints because all of them fail, for example when a
// service that they call is down.
func TestOnlyFailuresAboveMedianCount(t *testing.T) {
	tb := table{reports: map[string]report{}}
	for i, failing := range []int{5, 5, 80, 5, 0} {
		tb.put(fmt.Sprint(i), peerapi.LoadReport{FailurePercent: failing, DurationsMillis: newDurations(100)}, true, start)
	}
	s := peerapi.ServiceLoads{Entries: tb.encodeEntries(newSet("0", "1", "2", "3", "4"), start)}
	for at, want := range []float64{0, 0, 0.75, 0, 0} {
		if l, _ := s.Entry(at); l.ExcessFailureRatio != want {
			t.Errorf("endpoint %d: failing %v, want %v", at, l.ExcessFailureRatio, want)
		}
	}
}

func newDurations(classes ...int) map[string]int {
	d := map[string]int{}
	for i, ms := range classes {
		d[fmt.Sprintf("%d/500", i)] = ms
	}
	return d
}

// Guards against nodes that mistake a slow endpoint for a fast one because it receives only calls
// of a shorter class.
func TestSlownessComparesCallsOfSameClass(t *testing.T) {
	tb := table{reports: map[string]report{}}
	tb.put("a", peerapi.LoadReport{LoadPercent: 50, DurationsMillis: newDurations(100, 900)}, true, start)
	tb.put("b", peerapi.LoadReport{LoadPercent: 50, DurationsMillis: newDurations(100, 900)}, false, start)
	tb.put("c", peerapi.LoadReport{LoadPercent: 150, DurationsMillis: newDurations(200)}, true, start)
	set := newSet("a", "b", "c", "unheard")
	s := peerapi.ServiceLoads{Entries: tb.encodeEntries(set, start)}
	for at, want := range map[int]peerapi.EndpointLoad{0: {Slowness: 1, Load: 0.5}, 1: {Slowness: 1, Load: 0.5}, 2: {Slowness: 2, Load: 1.5}} {
		if l, ok := s.Entry(at); !ok || l != want {
			t.Errorf("entry %d: %+v %v, want %+v", at, l, ok, want)
		}
	}
	if _, ok := s.Entry(3); ok {
		t.Error("an endpoint without a report has an entry")
	}
	if _, ok := s.Entry(4); ok {
		t.Error("an entry exists beyond the end of the set")
	}
}

// Guards against a few hanging endpoints that hide the differences between all others: compared
// with a mean, the others would all look fast.
func TestMedianDurationIgnoresOutliers(t *testing.T) {
	tb := table{reports: map[string]report{}}
	for i, ms := range []int{100, 100, 200, 100, 9000} {
		tb.put(fmt.Sprint(i), peerapi.LoadReport{DurationsMillis: newDurations(ms)}, true, start)
	}
	s := peerapi.ServiceLoads{Entries: tb.encodeEntries(newSet("0", "1", "2", "3", "4"), start)}
	if l, _ := s.Entry(2); l.Slowness != 2 {
		t.Errorf("slowness %v, want 2", l.Slowness)
	}
	if l, ok := s.Entry(4); !ok || l.Slowness < 7 {
		t.Errorf("slowness of the outlier is %v, want at least 7", l.Slowness)
	}
}

// Guards against reports that are used after their node is gone, and against an older copy of a
// report that replaces a newer one because it arrives later from another instance.
func TestOutdatedReportsAreNotUsed(t *testing.T) {
	tb := table{reports: map[string]report{}}
	tb.put("a", peerapi.LoadReport{LoadPercent: 10}, true, start)
	tb.put("a", peerapi.LoadReport{LoadPercent: 90}, false, start.Add(time.Second))
	if got := tb.attachedReports(start.Add(time.Second))["a"].LoadPercent; got != 10 {
		t.Errorf("load %d, want that reported by the attached node", got)
	}
	late := start.Add(maxReportAge)
	if s := (&peerapi.ServiceLoads{Entries: tb.encodeEntries(newSet("a"), late)}); s.Entries[0] != 0 {
		t.Error("an expired report is used")
	}
	if len(tb.attachedReports(late)) != 0 {
		t.Error("an expired report is passed on")
	}
	tb.expire(late)
	if len(tb.reports) != 0 {
		t.Error("an expired report is kept")
	}
}

// Guards against malformed reports whose values reach all callers.
func TestMalformedReportsAreIgnored(t *testing.T) {
	tb := table{reports: map[string]report{}}
	many := map[string]int{}
	for i := range maxDurationClasses + 1 {
		many[fmt.Sprint(i)] = 1
	}
	tb.put("a", peerapi.LoadReport{LoadPercent: -1}, true, start)
	tb.put("b", peerapi.LoadReport{DurationsMillis: many}, true, start)
	if len(tb.reports) != 0 {
		t.Errorf("%d malformed reports are stored", len(tb.reports))
	}
	tb.put("c", peerapi.LoadReport{LoadPercent: 1 << 40, DurationsMillis: newDurations(-5)}, true, start)
	s := peerapi.ServiceLoads{Entries: tb.encodeEntries(newSet("c"), start)}
	if l, ok := s.Entry(0); !ok || l.Slowness != 1 || l.Load != 255.0/50 {
		t.Errorf("entry %+v %v", l, ok)
	}
}
