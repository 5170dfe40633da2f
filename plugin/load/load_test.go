package load

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	_ "github.com/celeryyard/celeryyard/plugin/standin" // registers itself
)

// Guards against runs that plan different calls for the same seed.
func TestPlannedCallsDependOnlyOnTheSeed(t *testing.T) {
	draw := func(seed uint64) (list []PlannedCall) {
		s := defaultSettings()
		s.Seed, s.Nodes = seed, []string{"a", "b", "c"}
		s.Organisations = []Organisation{{Name: "x", Weight: 1}, {Name: "y", Weight: 2, Nodes: []int{1, 2}}}
		gen := newCallGenerator(s, "r", 3)
		for p, ok := gen.next(); ok; p, ok = gen.next() {
			list = append(list, p)
		}
		return list
	}
	a, b, other := draw(7), draw(7), draw(8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, other) {
		t.Fatal("planned calls do not depend on the seed alone")
	}
	if n := len(a); n < 200 || n > 300 {
		t.Errorf("%d calls of one of 4 callers at 100 calls/s in 10 s", n)
	}
	for _, p := range a {
		if p.Organisation == 1 && p.Nodes[0] == 0 {
			t.Fatal("an organisation calls a node outside its list of nodes")
		}
	}
}

// Guards against a check that passes although a call violates it.
func TestChecksDetectEachViolation(t *testing.T) {
	entry := func(id string, k Kind, outcome string, v verdict.Verdict) Entry {
		return Entry{Plan: PlannedCall{ID: id, Kind: k}, Outcome: outcome, Verdict: v}
	}
	for _, tc := range []struct {
		name   string
		entry  Entry
		runs   int
		failed int // position of the check that must fail; -1 for none
	}{
		{"good", entry("a", KindPost, outcomeOK, verdict.Ran), 1, -1},
		{"repeated GET", entry("a", KindGet, outcomeOK, verdict.Ran), 2, -1},
		{"refused and not executed", entry("a", KindPost, "status-503", verdict.NotRun), 0, -1},
		{"unknown", entry("a", KindPost, outcomeTimeout, verdict.MayHaveRun), 1, -1},
		{"answer to another call", entry("a", KindGet, outcomeWrongAnswer, verdict.Ran), 1, 0},
		{"executed twice", entry("a", KindPost, outcomeOK, verdict.Ran), 2, 1},
		{"keyed call executed twice", entry("a", KindKeyed, outcomeTimeout, verdict.MayHaveRun), 2, 1},
		{"reported as not run but executed", entry("a", KindGet, "status-503", verdict.NotRun), 1, 2},
		{"answered but not executed", entry("a", KindGet, outcomeOK, verdict.Ran), 0, 3},
	} {
		for i, c := range checkEntries([]Entry{tc.entry}, map[string]int{"a": tc.runs}, true) {
			if c.OK == (i == tc.failed) {
				t.Errorf("%s: check %q gave %v", tc.name, c.Name, c.OK)
			}
		}
	}
}

// Guards against a verdict of a retried call that ignores one of its attempts.
func TestMergedVerdictIsTheStrongest(t *testing.T) {
	for _, tc := range [][3]verdict.Verdict{
		{verdict.NotRun, verdict.NotRun, verdict.NotRun},
		{verdict.NotRun, verdict.MayHaveRun, verdict.MayHaveRun},
		{verdict.MayHaveRun, verdict.NotRun, verdict.MayHaveRun},
		{verdict.MayHaveRun, verdict.Ran, verdict.Ran},
	} {
		if got := mergeVerdicts(tc[0], tc[1]); got != tc[2] {
			t.Errorf("%v merged with %v gives %v", tc[0], tc[1], got)
		}
	}
}

// Guards against a run that does not report duplicate executions. The generator calls the stand-in
// without nodes in between, so the stand-in executes every retry of a call again.
func TestRunDetectsDuplicateExecutions(t *testing.T) {
	for _, tc := range []struct {
		drop float64
		ok   bool
	}{{0, true}, {100, false}} {
		listen, report := kerneltest.FreeAddress(t), kerneltest.FreeAddress(t)
		kerneltest.Start(t, []string{"standin"}, fmt.Sprintf(`{"instance": {"name": "u"}, "standin": {"service": "s",
			"listen": %q, "report": %q, "service_time": {"distribution": "constant", "mean": "30ms"}}}`, listen, report), false)
		k, _ := kerneltest.Start(t, []string{"load"}, fmt.Sprintf(`{"instance": {"name": "l"}, "load": {"nodes": [%q],
			"reports": [%q], "organisations": [{"name": "o", "host": "o", "path": "/", "weight": 1}], "rate": 100,
			"duration": "500ms", "settle": "50ms", "mix": {"get": 1, "post": 1, "keyed": 1}, "drop_percent": %g, "drop_within": "10ms"}}`,
			listen, report, tc.drop), false)
		l := k.Plugin("load").(*Load)
		select {
		case <-l.Done():
		case <-time.After(20 * time.Second):
			t.Fatal("the run did not finish")
		}
		r := l.Result()
		if r.OK != tc.ok || tc.ok != (len(r.Duplicates) == 0) || r.Succeeded != r.Calls {
			t.Errorf("drop %g: result %+v", tc.drop, r)
		}
	}
}
