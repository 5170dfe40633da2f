package capacity

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// maxReportAge is the age from which a report is no longer used. Reports arrive with the pings of
// nodes, every second or more often, and may be forwarded by another control instance.
const maxReportAge = 4 * time.Second

// maxDurationClasses is the maximum number of call classes in a report; a report with more classes is
// ignored.
const maxDurationClasses = 16

// report is the newest load report of a node.
type report struct {
	peerapi.LoadReport
	receivedAt time.Time
	// attached is set if the node sent the report to this instance, and not to another one.
	attached bool
}

// table holds the newest report of each node. It is not safe for concurrent use.
type table struct {
	reports map[string]report
}

// put stores a report; a malformed report is ignored. While a node has a usable report that it sent
// to this instance, its reports from other instances are ignored, because they may be older.
func (t *table) put(node string, r peerapi.LoadReport, attached bool, now time.Time) {
	if len(r.DurationsMillis) > maxDurationClasses || r.LoadPercent < 0 || r.FailurePercent < 0 || r.FailurePercent > 100 {
		return
	}
	if old, ok := t.reports[node]; ok && old.attached && !attached && now.Sub(old.receivedAt) < maxReportAge {
		return
	}
	t.reports[node] = report{r, now, attached}
}

// expire removes reports that are no longer used.
func (t *table) expire(now time.Time) {
	for node, r := range t.reports {
		if now.Sub(r.receivedAt) >= maxReportAge {
			delete(t.reports, node)
		}
	}
}

// attachedReports returns the usable reports of the nodes attached to this instance.
func (t *table) attachedReports(now time.Time) map[string]peerapi.LoadReport {
	out := map[string]peerapi.LoadReport{}
	for node, r := range t.reports {
		if r.attached && now.Sub(r.receivedAt) < maxReportAge {
			out[node] = r.LoadReport
		}
	}
	return out
}

// encodeEntries encodes the loads of the endpoints of a set, in the order of the set.
func (t *table) encodeEntries(set *resource.EndpointSet, now time.Time) []byte {
	medians := t.medians(set, now)
	var out []byte
	for i := range set.Endpoints {
		var l peerapi.EndpointLoad
		if r, ok := t.freshReport(set.Endpoints[i].Node, now); ok {
			l.Slowness, l.Load = meanSlowness(r.DurationsMillis, medians.durationsMillis), float64(r.LoadPercent)/100
			l.ExcessFailureRatio = max(float64(r.FailurePercent)-medians.failurePercent, 0) / 100
		}
		out = peerapi.AppendLoad(out, l)
	}
	if t.statesSlowdown(set, now) {
		out = peerapi.AppendSlowdownStated(out)
	}
	return out
}

// statesSlowdown reports whether an upstream of the set states its slowdown.
func (t *table) statesSlowdown(set *resource.EndpointSet, now time.Time) bool {
	for i := range set.Endpoints {
		if r, ok := t.freshReport(set.Endpoints[i].Node, now); ok && r.StatesSlowdown() {
			return true
		}
	}
	return false
}

// freshReport returns the report of a node. It returns false if the node has no report or if the
// report has expired.
func (t *table) freshReport(node string, now time.Time) (report, bool) {
	r, ok := t.reports[node]
	return r, ok && now.Sub(r.receivedAt) < maxReportAge
}

// serviceMedians holds the medians over the endpoints of a service. Unlike a mean, a median is not
// affected by a few endpoints that are very slow or fail.
type serviceMedians struct {
	durationsMillis map[string]float64 // of the durations of calls, by call class
	failurePercent  float64            // of the percentages of failed calls
}

// medians returns the medians over the usable reports for the endpoints of a set.
func (t *table) medians(set *resource.EndpointSet, now time.Time) serviceMedians {
	durations := map[string][]int{}
	var failurePercents []int
	for i := range set.Endpoints {
		r, ok := t.freshReport(set.Endpoints[i].Node, now)
		if !ok {
			continue
		}
		failurePercents = append(failurePercents, r.FailurePercent)
		for class, ms := range r.DurationsMillis {
			if peerapi.IsClass(class) {
				durations[class] = append(durations[class], ms)
			}
		}
	}
	m := serviceMedians{durationsMillis: make(map[string]float64, len(durations)), failurePercent: median(failurePercents)}
	for class, list := range durations {
		m.durationsMillis[class] = median(list)
	}
	return m
}

// median sorts values and returns their median; 0 if there are none. For an even number of values, the
// median is the upper of the two middle ones.
func median(values []int) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[len(values)/2])
}

// meanSlowness returns the mean ratio of the durations to the medians of their classes; 1 if no
// class can be compared.
func meanSlowness(durations map[string]int, medians map[string]float64) float64 {
	sum, n := 0.0, 0
	for class, ms := range durations {
		if m := medians[class]; m > 0 && ms > 0 {
			sum += float64(ms) / m
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
