package capacity

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// trust is the age at which a report is no longer used. Reports come with the pings of
// nodes, each second or more often, and may pass another control instance.
const trust = 4 * time.Second

// maxClasses bounds the durations of one report.
const maxClasses = 16

// report is the newest report of a node.
type report struct {
	peerapi.LoadReport
	at time.Time
	// own tells that the node is attached to this instance.
	own bool
}

// table holds the newest report of each node. It is not safe for concurrent use.
type table struct {
	reports map[string]report
}

// take enters a report. Those of own nodes go before what other instances pass on,
// which may be older.
func (t *table) take(node string, r peerapi.LoadReport, own bool, now time.Time) {
	if len(r.Durations) > maxClasses || r.Load < 0 || r.Failing < 0 || r.Failing > 100 {
		return
	}
	if old, ok := t.reports[node]; ok && old.own && !own && now.Sub(old.at) < trust {
		return
	}
	t.reports[node] = report{r, now, own}
}

// expire forgets reports that are no longer used.
func (t *table) expire(now time.Time) {
	for node, r := range t.reports {
		if now.Sub(r.at) >= trust {
			delete(t.reports, node)
		}
	}
}

// owned returns the fresh reports of the nodes attached to this instance.
func (t *table) owned(now time.Time) map[string]peerapi.LoadReport {
	out := map[string]peerapi.LoadReport{}
	for node, r := range t.reports {
		if r.own && now.Sub(r.at) < trust {
			out[node] = r.LoadReport
		}
	}
	return out
}

// entries encodes what is known of the endpoints of a set, in its order.
func (t *table) entries(set *resource.EndpointSet, now time.Time) []byte {
	usual := t.usual(set, now)
	var out []byte
	for i := range set.Endpoints {
		var l peerapi.EndpointLoad
		if r, ok := t.fresh(set.Endpoints[i].Node, now); ok {
			l.Slowness, l.Load = slowness(r.Durations, usual.durations), float64(r.Load)/100
			l.Failing = max(float64(r.Failing)-usual.failing, 0) / 100
		}
		out = peerapi.AppendLoad(out, l)
	}
	return out
}

// fresh returns the report of a node if it is still used.
func (t *table) fresh(node string, now time.Time) (report, bool) {
	r, ok := t.reports[node]
	return r, ok && now.Sub(r.at) < trust
}

// figures are the medians over the endpoints of a service. A median is not moved by a
// few endpoints that are very slow or fail.
type figures struct {
	durations map[string]float64 // by class, in milliseconds
	failing   float64            // hundredths
}

func (t *table) usual(set *resource.EndpointSet, now time.Time) figures {
	all := map[string][]int{}
	var failing []int
	for i := range set.Endpoints {
		r, ok := t.fresh(set.Endpoints[i].Node, now)
		if !ok {
			continue
		}
		failing = append(failing, r.Failing)
		for class, ms := range r.Durations {
			all[class] = append(all[class], ms)
		}
	}
	f := figures{durations: make(map[string]float64, len(all)), failing: median(failing)}
	for class, list := range all {
		f.durations[class] = median(list)
	}
	return f
}

// median returns the middle value of a list, which it sorts; 0 for an empty one.
func median(list []int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[len(list)/2])
}

// slowness is the mean ratio of the durations to the usual ones; 1 when none can be
// compared.
func slowness(durations map[string]int, usual map[string]float64) float64 {
	sum, n := 0.0, 0
	for class, ms := range durations {
		if u := usual[class]; u > 0 && ms > 0 {
			sum += float64(ms) / u
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
