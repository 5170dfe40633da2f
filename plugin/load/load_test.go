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

// Guards against runs that differ for the same seed.
func TestPlansDependOnTheSeedAlone(t *testing.T) {
	draw := func(seed uint64) (list []Plan) {
		s := defaults()
		s.Seed, s.Nodes = seed, []string{"a", "b", "c"}
		s.Organisations = []Organisation{{Name: "x", Weight: 1}, {Name: "y", Weight: 2, Nodes: []int{1, 2}}}
		src := newSource(s, "r", 3)
		for p, ok := src.next(); ok; p, ok = src.next() {
			list = append(list, p)
		}
		return list
	}
	a, b, other := draw(7), draw(7), draw(8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, other) {
		t.Fatal("plans do not follow the seed")
	}
	if n := len(a); n < 200 || n > 300 {
		t.Errorf("%d calls of one of 4 callers at 100 calls/s in 10 s", n)
	}
	for _, p := range a {
		if p.Organisation == 1 && p.Nodes[0] == 0 {
			t.Fatal("an organisation used a node that is not its own")
		}
	}
}

// Guards against checks that pass although one of the promises is broken.
func TestChecksFindEachBrokenPromise(t *testing.T) {
	entry := func(id string, k Kind, outcome string, v verdict.Verdict) Entry {
		return Entry{Plan: Plan{ID: id, Kind: k}, Outcome: outcome, Verdict: v}
	}
	for _, tc := range []struct {
		name   string
		entry  Entry
		runs   int
		failed int // position of the check that must fail; -1 for none
	}{
		{"good", entry("a", KindPost, outcomeOK, verdict.Ran), 1, -1},
		{"repeated GET", entry("a", KindGet, outcomeOK, verdict.Ran), 2, -1},
		{"honest refusal", entry("a", KindPost, "status-503", verdict.NotRun), 0, -1},
		{"unknown", entry("a", KindPost, outcomeTimeout, verdict.MayHaveRun), 1, -1},
		{"foreign answer", entry("a", KindGet, outcomeWrong, verdict.Ran), 1, 0},
		{"executed twice", entry("a", KindPost, outcomeOK, verdict.Ran), 2, 1},
		{"keyed twice", entry("a", KindKeyed, outcomeTimeout, verdict.MayHaveRun), 2, 1},
		{"false refusal", entry("a", KindGet, "status-503", verdict.NotRun), 1, 2},
		{"answer from nowhere", entry("a", KindGet, outcomeOK, verdict.Ran), 0, 3},
	} {
		for i, c := range compare([]Entry{tc.entry}, map[string]int{"a": tc.runs}, true) {
			if c.OK == (i == tc.failed) {
				t.Errorf("%s: check %q gave %v", tc.name, c.Name, c.OK)
			}
		}
	}
}

// Guards against a verdict of a repeated call that forgets an attempt.
func TestVerdictOfRepeatsIsTheStrongest(t *testing.T) {
	for _, tc := range [][3]verdict.Verdict{
		{verdict.NotRun, verdict.NotRun, verdict.NotRun},
		{verdict.NotRun, verdict.MayHaveRun, verdict.MayHaveRun},
		{verdict.MayHaveRun, verdict.NotRun, verdict.MayHaveRun},
		{verdict.MayHaveRun, verdict.Ran, verdict.Ran},
	} {
		if got := merge(tc[0], tc[1]); got != tc[2] {
			t.Errorf("%v then %v gives %v", tc[0], tc[1], got)
		}
	}
}

// Guards against a run that misses executions: without the system between them,
// the stand-in executes each repeated call again, and the run must say so.
func TestRunFindsExecutionsOfRepeats(t *testing.T) {
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
		l := k.Service("load").(*Load)
		select {
		case <-l.Done():
		case <-time.After(20 * time.Second):
			t.Fatal("the run does not end")
		}
		r := l.Result()
		if r.OK != tc.ok || tc.ok != (len(r.Duplicates) == 0) || r.Succeeded != r.Calls {
			t.Errorf("drop %g: result %+v", tc.drop, r)
		}
	}
}
