package announce

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// outcome is what becomes of a report.
type outcome string

const (
	refused  outcome = "refused"  // an error, nothing changes
	ignored  outcome = "ignored"  // acknowledged, the upstream beside the node stays as it is
	accepted outcome = "accepted" // it is the latest report
)

// Guards against a report of another writer, or a late one, that changes what the node knows of its upstream, undoes a drain or an
// end, or keeps one from being heard. It goes over every combination of what the node knows with the ID, start, service,
// sequence and state of the report; docs/design.md 4.5 has the table.
func TestEveryReport(t *testing.T) {
	now := time.Unix(1e9, 0)
	report := func(id string, at int64, service string, n uint64, state string) Report {
		return Report{ID: id, StartedAtMillis: at, Sequence: n, Service: service, Address: "127.0.0.1:1", Slots: 9, Draining: state == "draining", Gone: state == "gone"}
	}
	const own, other, unknown = "own", "other", "unknown"
	live := report("a", 10, own, 5, "ready")
	known := map[string][]Report{
		"nothing": nil, "ready": {live}, "draining": {live, report("a", 10, own, 6, "draining")}, "gone": {live, report("a", 10, own, 6, "gone")},
	}
	count := 0
	for state, before := range known {
		for _, id := range []string{"a", "b"} {
			for _, at := range []int64{5, 10, 20} {
				for _, service := range []string{own, other, unknown} {
					for _, n := range []uint64{3, 5, 9} {
						for _, reported := range []string{"ready", "draining", "gone"} {
							count++
							var h heartbeats
							for _, r := range before {
								h.accept(r, now)
							}
							r := report(id, at, service, n, reported)
							name := fmt.Sprintf("%s is %s, then %s %s at %d of service %s, number %d", "a", state, id, reported, at, service, n)
							had := h
							got := ignored
							if h.check(r, service == unknown) != nil {
								got = refused
							} else if h.accept(r, now) {
								got = accepted
							}
							if want := wantOutcome(state, r, service == unknown, service == own); got != want {
								t.Errorf("%s: %s, want %s", name, got, want)
							}
							checkReportEffect(t, name, &had, &h, r, got)
						}
					}
				}
			}
		}
	}
	t.Logf("%d reports", count)
}

// wantOutcome is the table of docs/design.md 4.5 for a report where the latest one of "a" has the start 10 and the number 5.
func wantOutcome(state string, r Report, unknownService, sameService bool) outcome {
	sameID, sameStart := r.ID == "a", r.StartedAtMillis == 10
	if state == "nothing" {
		return accepted
	}
	closed := state != "ready"
	if r.Gone {
		if !sameID || r.StartedAtMillis < 10 {
			return ignored
		}
		return accepted
	}
	switch {
	case sameID && sameStart && !sameService:
		return refused
	case unknownService && (sameID || !closed):
		return refused
	case r.StartedAtMillis < 10:
		return ignored
	case sameID && sameStart && closed:
		return ignored
	case sameID && sameStart && !r.Draining && r.Sequence <= 5:
		return ignored
	case !sameID && !closed && r.Draining:
		return ignored
	}
	return accepted
}

// checkReportEffect checks what a report must not change, and that the drain of the live upstream is heard after it.
func checkReportEffect(t *testing.T, name string, had, h *heartbeats, r Report, got outcome) {
	t.Helper()
	if got == refused && !reflect.DeepEqual(had, h) {
		t.Errorf("%s: refused, but changed %+v to %+v", name, had, h)
	}
	if got == ignored && (had.latestReport != h.latestReport || had.upstreamClosed != h.upstreamClosed || had.lastReceivedAt != h.lastReceivedAt) {
		t.Errorf("%s: ignored, but changed the upstream", name)
	}
	if had.upstreamClosed && !h.upstreamClosed && r.ID == "a" && r.StartedAtMillis <= 10 {
		t.Errorf("%s: the upstream takes calls again", name)
	}
	if had.latestReport.ID == "a" && h.latestReport.start().ID == "a" && h.latestReport.StartedAtMillis == 10 {
		drain := Report{ID: "a", StartedAtMillis: 10, Sequence: 6, Service: "own", Slots: 9, Draining: true}
		if h.check(drain, false) != nil {
			t.Errorf("%s: the drain of the upstream is refused", name)
		}
		h.accept(drain, time.Unix(1e9, 0))
		if !h.upstreamClosed {
			t.Errorf("%s: the drain of the upstream has no effect", name)
		}
		late := Report{ID: "a", StartedAtMillis: 10, Sequence: 1 << 40, Service: "own", Slots: 9}
		if h.accept(late, time.Unix(1e9, 0)) || !h.upstreamClosed {
			t.Errorf("%s: a report with a higher number undoes the drain", name)
		}
		// The same after a restart of the node, which learns of the closures from the replicated log.
		var restarted heartbeats
		restarted.accept(late, time.Unix(1e9, 0))
		if restarted.addRecorded([]resource.Closure{{Start: drain.start()}}); !restarted.upstreamClosed {
			t.Errorf("%s: the drain is forgotten with the process", name)
		}
	}
}
