package discovery

import (
	"os"
	"reflect"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

// replay applies the lines of a trace to a table.
func replay(t *testing.T, tab *table, lines []trace.Line) {
	decode := func(l trace.Line, into any) {
		if err := json.Unmarshal(*l.Message.(*jsontext.Value), into); err != nil {
			t.Fatalf("%s at %v: %v", l.Kind, l.At, err)
		}
	}
	for _, l := range lines {
		if l.Plugin != "discovery" {
			continue
		}
		switch l.Kind {
		case "announce":
			var a resource.Announcement
			decode(l, &a)
			tab.announce(a, l.At)
		case "detach":
			var incarnation uint64
			decode(l, &incarnation)
			tab.detach(l.From, incarnation, l.At)
		case "delta", "sync":
			var m peerapi.Records
			decode(l, &m)
			if l.Kind == "sync" {
				tab.applySync(&m, l.At)
			} else {
				tab.applyDelta(&m, l.At)
			}
		case "closures":
			var m map[string][]resource.Closure
			decode(l, &m)
			for node, list := range m {
				tab.setClosures(node, list, l.At)
			}
		case "pause":
			var d settings.Duration
			decode(l, &d)
			tab.shiftTimers(d.AsDuration())
		case "sweep":
			var s Settings
			decode(l, &s)
			tab.expireRecords(l.At, s.Grace.AsDuration(), s.TombstoneTTL.AsDuration())
			tab.markSilent(l.At, s.PeerTimeout.AsDuration())
		default:
			t.Fatalf("trace line has unknown kind %q", l.Kind)
		}
	}
}

// Guards against code changes that alter the outcome of a recorded run. The run has a withdrawal, a
// lost lease, a node that moves, an outdated announcement and an instance that becomes silent.
func TestTraceReplayMatchesOutcome(t *testing.T) {
	text, err := os.ReadFile("testdata/moves.trace.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines, err := trace.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	stated, err := os.ReadFile("testdata/moves.outcome.json")
	if err != nil {
		t.Fatal(err)
	}
	var outcome struct {
		Why string               `json:"why"`
		Set resource.EndpointSet `json:"set"`
	}
	if err := json.Unmarshal(stated, &outcome, json.RejectUnknownMembers(true)); err != nil {
		t.Fatal(err)
	}
	tab := newTable("control-0", []string{"control-1"})
	replay(t, tab, lines)
	if got := tab.endpointSet("catalogo"); !reflect.DeepEqual(got, outcome.Set) {
		t.Fatalf("the trace ends with %+v, want %+v", got, outcome.Set)
	}
}
