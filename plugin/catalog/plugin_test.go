package catalog

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/api/apitest"
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

func init() { apitest.RegisterQuorum() }

// wantOutcomes lists the outcomes of the recorded changes as the operators received them. Six
// operators raced to revise the same revision, and three of them sent their change again.
const wantOutcomes = `t1 accepted 1; t2 accepted 2; put-tacto-taller accepted 3; put-kranjc-workroom accepted 4;
	put-kranjc-partners accepted 5; put-tacto-catalogo accepted 6; put-tacto-partners accepted 7; put-kranjc-orders accepted 8;
	race1 accepted 9; race5 revision_mismatch 0; race3 revision_mismatch 0; race2 revision_mismatch 0;
	race6 revision_mismatch 0; race4 revision_mismatch 0; race1 accepted 9; race2 revision_mismatch 0; race3 revision_mismatch 0;
	race1 id_reused 0; intruder host_taken 0; inuse in_use 0; badtemplate expansion 0; goodtemplate accepted 10;
	norole forbidden 0; stalewithdraw revision_mismatch 0`

// Guards against outcomes that differ from those that operators received from a group of
// three instances, also if the state is restored from a snapshot before one of the changes.
func TestReplayOfRecordedChanges(t *testing.T) {
	text, err := os.ReadFile("testdata/changes.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines, err := trace.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(wantOutcomes, ";")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, %d outcomes", len(lines), len(want))
	}
	for restoreAt := range len(lines) {
		s := newState()
		for i, line := range lines {
			if i == restoreAt {
				if s, err = decodeState([]byte(s.mustEncode())); err != nil {
					t.Fatal(err)
				}
			}
			e, err := decodeEntry(*line.Message.(*jsontext.Value))
			if err != nil {
				t.Fatal(err)
			}
			out := s.apply(e.Change, e.Time)
			result := string(out.Reason)
			if out.State == change.StateAccepted {
				result = "accepted"
			}
			if got := fmt.Sprintf("%s %s %d", out.ID, result, out.Version); got != strings.TrimSpace(want[i]) {
				t.Fatalf("line %d with a restore at %d: %s, want %s", i+1, restoreAt, got, strings.TrimSpace(want[i]))
			}
		}
	}
}

// Guards against log entries that take effect although they contain no change, against
// watchers that miss the newest version, and against a failed restore that modifies the
// state.
func TestPluginAppliesAndNotifies(t *testing.T) {
	k, _ := kerneltest.Start(t, []string{"quorum", "catalog"}, `{"instance": {"name": "a"}}`, false)
	c := k.Plugin("catalog").(*Catalog)
	notified := make(chan resource.Version, 100)
	c.Watch(func(v resource.Version) { notified <- v })
	if out := c.Apply(1, []byte("no change")).(change.Outcome); out.State != change.StateRefused || c.Version() != 0 {
		t.Fatalf("entry without a change: %+v", out)
	}
	q := &change.Change{
		ID: "a", Operator: "op", Organisation: "kranjc", Roles: []string{change.RoleTemplate},
		Kind: change.KindTemplate, Action: change.ActionPut, Name: "std", Body: []byte(capacityTemplateBody),
	}
	done := make(chan change.Outcome, 1)
	c.Submit(q, time.Second, func(out change.Outcome, err error) {
		if err != nil {
			t.Error(err)
		}
		done <- out
	})
	if out := <-done; out.State != change.StateAccepted {
		t.Fatalf("submitted change: %+v", out)
	}
	select {
	case v := <-notified:
		if v != 1 {
			t.Fatalf("watcher was notified of version %d", v)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("watcher was not notified")
	}
	before, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if c.Restore(before[:len(before)/2]) == nil {
		t.Fatal("truncated snapshot was restored")
	}
	if after, err := c.Snapshot(); err != nil || string(after) != string(before) {
		t.Fatalf("failed restore changed the state: %v", err)
	}
}

// FuzzRestore guards against snapshots that crash the instance, or that restore a state
// whose own snapshot cannot be restored.
func FuzzRestore(f *testing.F) {
	s := newState()
	s.applyScript([]uint32{7, 27, 1007, 1000, 2041, 5003, 4009, 8})
	f.Add([]byte(s.mustEncode()))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState(data)
		if err != nil {
			return
		}
		again, err := decodeState([]byte(s.mustEncode()))
		if err != nil || again.mustEncode() != s.mustEncode() {
			t.Fatalf("restored state is not stable: %v", err)
		}
		for from := range min(s.version, 10) {
			s.delta(from, map[string]bool{"workroom": true})
		}
	})
}
