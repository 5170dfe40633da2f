package announce

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Guards against late reports that make an upstream ready again although it has left or has been
// replaced, also where the node was restarted before it heard that, and against new starts that are mistaken for late reports.
func TestOnlyOutdatedReportsAreIgnored(t *testing.T) {
	now := time.Unix(1e9, 0)
	beforeNow, afterNow := now.UnixMilli()-5000, now.UnixMilli()+5000
	ready := func(id string, startedAtMillis int64, seq uint64) Report {
		return Report{ID: id, StartedAtMillis: startedAtMillis, Sequence: seq, Service: "s", Slots: 9}
	}
	draining := func(id string, startedAtMillis int64, seq uint64) Report {
		r := ready(id, startedAtMillis, seq)
		r.Draining = true
		return r
	}
	gone := func(id string, startedAtMillis int64) Report {
		return Report{ID: id, StartedAtMillis: startedAtMillis, Gone: true}
	}
	for _, tc := range []struct {
		name    string
		reports []Report
		counts  []bool
		closed  bool
	}{
		{"in order", []Report{ready("a", 1, 1), ready("a", 1, 2)}, []bool{true, true}, false},
		{"late report after a drain", []Report{ready("a", 1, 1), draining("a", 1, 3), ready("a", 1, 2)}, []bool{true, true, false}, true},
		{"late report after gone", []Report{ready("a", 1, 1), gone("a", 1), ready("a", 1, 2)}, []bool{true, true, false}, true},
		{"same identity, new start", []Report{ready("a", 1, 7), ready("a", 2, 1)}, []bool{true, true}, false},
		{"new start after gone", []Report{ready("a", 1, 7), gone("a", 1), ready("a", 2, 1)}, []bool{true, true, true}, false},
		{"late report of an earlier upstream", []Report{ready("b", 5, 1), ready("a", 1, 9)}, []bool{true, false}, false},
		{"gone from an earlier upstream", []Report{ready("b", 5, 1), gone("a", 1)}, []bool{true, false}, false},
		// The first thing that a node hears after its own restart is that the upstream has left.
		{"late report after gone, node restarted", []Report{gone("a", 0), ready("a", beforeNow, 3)}, []bool{true, false}, true},
		{"late report after gone with start time, node restarted", []Report{gone("a", 1), ready("a", 1, 3)}, []bool{true, false}, true},
		{"late drain after gone, node restarted", []Report{gone("a", 0), draining("a", beforeNow, 3)}, []bool{true, false}, true},
		{"repeated gone, node restarted", []Report{gone("a", 0), gone("a", 0), ready("a", beforeNow, 3)}, []bool{true, true, false}, true},
		{"new start after gone, node restarted", []Report{gone("a", 0), ready("a", afterNow, 1)}, []bool{true, true}, false},
		{"other upstream after gone, node restarted", []Report{gone("a", 0), ready("b", beforeNow, 1)}, []bool{true, true}, false},
		{"stranger that leaves", []Report{ready("a", 1, 1), draining("b", 9, 1), ready("a", 1, 2)}, []bool{true, false, true}, false},
		{"same identity, new start that leaves", []Report{ready("a", 1, 7), draining("a", 2, 1)}, []bool{true, true}, true},
		{"replacement that leaves", []Report{ready("a", 1, 1), draining("a", 1, 2), draining("b", 9, 1)}, []bool{true, true, true}, true},
		{"late report of a stranger that has left", []Report{ready("a", 1, 1), draining("b", 9, 2), ready("b", 9, 1)}, []bool{true, false, false}, false},
		{"report of another writer after a drain", []Report{draining("a", 1, 1), ready("a", 1, 99)}, []bool{true, false}, true},
		{"drain after a report of another writer", []Report{ready("a", 1, 99), draining("a", 1, 2), ready("a", 1, 100)}, []bool{true, true, false}, true},
		{"new start after a drain", []Report{draining("a", 1, 5), ready("a", 2, 1)}, []bool{true, true}, false},
	} {
		var h heartbeats
		for i, r := range tc.reports {
			if got := h.accept(r, now); got != tc.counts[i] {
				t.Errorf("%s: report %d accepted: %v", tc.name, i, got)
			}
		}
		if h.upstreamClosed != tc.closed {
			t.Errorf("%s: closed is %v", tc.name, h.upstreamClosed)
		}
	}
}

// Guards against an upstream that stops without a final report and stays among the endpoints.
func TestSilentUpstreamIsDetected(t *testing.T) {
	now := time.Unix(1e9, 0)
	var h heartbeats
	if h.isSilent(now, time.Second) {
		t.Fatal("an upstream that never sent a heartbeat is silent")
	}
	h.accept(Report{ID: "a", Sequence: 1}, now)
	if h.isSilent(now.Add(time.Second), time.Second) || !h.isSilent(now.Add(2*time.Second), time.Second) {
		t.Fatal("silence is not detected at the timeout")
	}
}

// Guards against a node that, after a restart, takes late reports of an upstream that had closed before
// it, refuses those of a live one, or tells the control instances of a closure that is not that of the
// upstream that they know.
func TestKnownClosureIsRestored(t *testing.T) {
	now := time.Unix(1e9, 0)
	report := func(id string, at int64, seq uint64) Report {
		return Report{ID: id, StartedAtMillis: at, Sequence: seq, Service: "s", Slots: 9}
	}
	start := func(id string, at int64, seq uint64) resource.UpstreamStart {
		return resource.UpstreamStart{ID: id, StartedAtMillis: at, Sequence: seq}
	}
	left, draining := resource.Closure{Start: start("a", 5, 4), Final: true}, resource.Closure{Start: start("a", 5, 4)}
	for _, tc := range []struct {
		name          string
		before, after []Report // reports before and after the node is attached
		closed        resource.Closure
		accepted      []bool // of the reports in after
		upstreamClose bool
		announced     resource.Closure
	}{
		{name: "late report", closed: left, after: []Report{report("a", 5, 3)}, accepted: []bool{false}, announced: left},
		{name: "late report before the attachment", before: []Report{report("a", 5, 3)}, closed: left, upstreamClose: true, announced: left},
		{name: "late report after a drain", closed: draining, after: []Report{report("a", 5, 3), report("a", 5, 5), report("a", 6, 1)}, accepted: []bool{false, false, true}, announced: draining},
		{name: "live upstream", after: []Report{report("a", 5, 5)}, accepted: []bool{true}},
		{name: "new start", before: []Report{report("a", 6, 1)}, closed: left, after: []Report{report("a", 6, 2)}, accepted: []bool{true}, announced: left},
		{name: "end of the known upstream", after: []Report{{ID: "a", Gone: true}, report("a", 5, 3)}, accepted: []bool{true, false}, upstreamClose: true, announced: left},
		{name: "end of an unknown upstream", after: []Report{{ID: "b", Gone: true}}, accepted: []bool{true}, upstreamClose: true},
	} {
		var h heartbeats
		for _, r := range tc.before {
			h.accept(r, now)
		}
		h.restore(&resource.Announcement{Upstream: start("a", 5, 4), Closed: tc.closed})
		for i, r := range tc.after {
			if got := h.accept(r, now); got != tc.accepted[i] {
				t.Errorf("%s: report %d accepted: %v", tc.name, i, got)
			}
		}
		if h.upstreamClosed != tc.upstreamClose || h.announcedClosure() != tc.announced {
			t.Errorf("%s: closed %v, announced closure %+v", tc.name, h.upstreamClosed, h.announcedClosure())
		}
	}
}

// Guards against an upstream that is out of service because another writer has sent one heartbeat, or many, with
// its address.
func TestAddressBelongsToTheUpstreamThatAnswers(t *testing.T) {
	now := time.Unix(1e9, 0)
	report := func(id string, at int64, seq uint64) Report {
		return Report{ID: id, StartedAtMillis: at, Sequence: seq, Service: "s", Slots: 9}
	}
	var h heartbeats
	h.accept(report("real", 1, 1), now)
	if h.disprove("real", now) {
		t.Error("the only upstream that claims the address loses it")
	}
	if !h.accept(report("stranger", 9, 1), now) {
		t.Error("a later start does not get the address until it is disproved")
	}
	if h.disprove("real", now) || h.latestReport.ID != "stranger" {
		t.Error("a late answer about the upstream before takes the address away")
	}
	if !h.disprove("stranger", now) || h.latestReport.ID != "real" {
		t.Fatalf("address belongs to %q, want the upstream that answers", h.latestReport.ID)
	}
	for seq := range uint64(5) {
		if h.accept(report("stranger", 9, 2+seq), now) {
			t.Fatal("the disproved claim counts again")
		}
		if !h.accept(report("real", 1, 2+seq), now) {
			t.Fatal("heartbeat of the real upstream is ignored")
		}
	}
	if !h.accept(report("stranger", 10, 1), now) {
		t.Error("a later start of the disproved upstream never gets the address")
	}
	for name, leaving := range map[string]Report{
		"drains":   {ID: "real", StartedAtMillis: 1, Sequence: 2, Draining: true},
		"has left": {ID: "real", StartedAtMillis: 1, Gone: true},
	} {
		h = heartbeats{}
		h.accept(report("real", 1, 1), now)
		h.accept(report("stranger", 9, 1), now)
		h.accept(leaving, now)
		if h.disprove("stranger", now) {
			t.Errorf("an upstream that %s gets the address back", name)
		}
	}
	h = heartbeats{}
	h.accept(report("old", 1, 1), now)
	h.accept(Report{ID: "old", StartedAtMillis: 1, Gone: true}, now)
	h.accept(report("new", 9, 1), now)
	if h.disprove("new", now) {
		t.Error("the address goes back to an upstream that has left")
	}
}

// fakeView holds a fixed snapshot.
type fakeView struct {
	api.View
	snapshot *resource.Snapshot
}

func (v *fakeView) Current() *resource.Snapshot { return v.snapshot }

// Guards against a live upstream that loses its address to a heartbeat for a service that does not exist.
// No call would ever reach the address then, and nothing would disprove the claim.
func TestUnknownServiceClaimsNoAddress(t *testing.T) {
	view := &fakeView{}
	a := &Announce{view: view}
	if a.isUnknownService("s") {
		t.Error("a service is unknown before the node holds a configuration")
	}
	view.snapshot = &resource.Snapshot{Clusters: map[string]*resource.Cluster{"c": {Service: "s"}}}
	if a.isUnknownService("s") || !a.isUnknownService("other") {
		t.Error("services are not those of the clusters")
	}
}

// Guards against late reports of an upstream whose closure is in the replicated log, against live ones that are taken for such,
// and against a drain that is recorded for each of its heartbeats.
func TestRecordedClosures(t *testing.T) {
	now := time.Unix(1e9, 0)
	ready := func(id string, at int64, n uint64) Report {
		return Report{ID: id, StartedAtMillis: at, Sequence: n, Service: "s", Slots: 9}
	}
	final := resource.Closure{Start: resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 4}, Final: true}
	drain := resource.Closure{Start: final.Start}
	var h heartbeats
	if !h.accept(ready("a", 5, 3), now) || !h.addRecorded([]resource.Closure{final}) || !h.upstreamClosed || h.recordedState() != resource.StateGone {
		t.Fatal("an end that was learned after the report did not close the upstream")
	}
	for _, tc := range []struct {
		r    Report
		want bool
	}{{ready("a", 5, 9), false}, {ready("a", 4, 9), false}, {ready("a", 6, 1), true}, {ready("b", 7, 1), true}} {
		if got := h.accept(tc.r, now); got != tc.want {
			t.Errorf("%+v: accepted %v", tc.r, got)
		}
	}
	if h.needsRecord(final) || !h.needsRecord(resource.Closure{Start: resource.UpstreamStart{ID: "a", StartedAtMillis: 6, Sequence: 2}, Final: true}) {
		t.Error("an end that is recorded is recorded again, or one of a later start is not")
	}
	h = heartbeats{}
	h.accept(ready("a", 5, 3), now)
	if !h.needsRecord(drain) {
		t.Error("a drain is not recorded")
	}
	h.addRecorded([]resource.Closure{drain})
	again := resource.Closure{Start: resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 6}}
	if h.needsRecord(again) || !h.needsRecord(final) {
		t.Error("a repeated drain is recorded again, or the end after it is not")
	}
	for i := range 3 * maxClosures {
		h.addRecorded([]resource.Closure{{Start: resource.UpstreamStart{ID: string(rune('A' + i))}, Final: true}})
	}
	if len(h.recorded) > maxClosures {
		t.Errorf("%d closures are kept", len(h.recorded))
	}
}
