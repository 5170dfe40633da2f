package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Guards against a second group: formed beside an existing one, by an instance
// other than the first listed voter, or before every listed voter is known.
func TestFoundingOfAGroup(t *testing.T) {
	listed := []string{"a", "b", "c"}
	config := &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}
	ready := func(id replog.MemberID) foundAnswer { return foundAnswer{ID: id, Bootstrap: true} }
	for _, tc := range []struct {
		name, self string
		answers    map[string]foundAnswer
		want       foundingStep
	}{
		{"group without this member", "a", map[string]foundAnswer{"b": {Exists: true}}, foundRefuse},
		{"group with this member", "b", map[string]foundAnswer{"a": {Exists: true, Included: true, Config: config}}, foundForm},
		{"older group with this member", "b", map[string]foundAnswer{"a": {Exists: true, Included: true}}, foundFollow},
		{"one voter is missing", "a", map[string]foundAnswer{"b": ready(2)}, foundWait},
		{"one voter does not bootstrap", "a", map[string]foundAnswer{"b": ready(2), "c": {ID: 3}}, foundWait},
		{"a learner answers", "a", map[string]foundAnswer{"b": ready(2), "d": ready(4)}, foundWait},
		{"all voters at the first one", "a", map[string]foundAnswer{"b": ready(2), "c": ready(3)}, foundForm},
		{"all voters at another one", "b", map[string]foundAnswer{"a": ready(2), "c": ready(3)}, foundWait},
	} {
		f := &foundation{self: replog.Member{ID: 1, Name: tc.self}, listed: listed, ids: map[string]replog.MemberID{}}
		got := foundWait
		for _, name := range []string{"a", "b", "c", "d"} {
			if a, ok := tc.answers[name]; ok {
				got, _ = f.hear(0, name, a)
			}
		}
		if got != tc.want {
			t.Errorf("%s: step %d, want %d", tc.name, got, tc.want)
		}
	}
}

// founder is a member that was started with an empty disk.
func founder(id replog.MemberID) *raft.Core {
	return raft.New(raft.Options{
		ID: id, Election: 900 * ms, Heartbeat: 200 * ms, MaxBatchBytes: 200, MaxInflight: 3, MaxInflightBytes: 400,
		MaxUncommitted: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}, raft.Recovered{}, 0)
}

// Guards against a second group: the first voter tells its configuration before it is
// on its disk, crashes, and composes another one.
func TestConfigurationIsToldOnceItIsSaved(t *testing.T) {
	core := founder(1)
	config := replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}, {ID: 2, Name: "b", Voter: true}}}
	if !core.Found(0, config) {
		t.Fatal("no group was formed")
	}
	var over *foundation
	if a := over.answer(core, 1, "b", 2); a.Exists || a.Config != nil {
		t.Errorf("before the configuration is saved: %+v", a)
	}
	ready := core.Ready()
	core.Saved(ready.Save)
	if a := over.answer(core, 1, "b", 2); !a.Exists || !a.Included || a.Config == nil {
		t.Errorf("after the configuration was saved: %+v", a)
	}
}

// Guards against a second group: the first voter loses its disk after it has composed a
// configuration, asks again under its new identity, and an answer of its former life
// arrives after that.
func TestAnswerOfAFormerLifeIsIgnored(t *testing.T) {
	f := &foundation{self: replog.Member{ID: 2, Name: "b"}, listed: []string{"a", "b", "c"}, ids: map[string]replog.MemberID{}}
	core := founder(2)
	f.answer(core, 2, "a", 1)
	asked := f.round
	former := foundAnswer{ID: 1, Exists: true, Included: true, Config: &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}}
	if a := f.answer(core, 2, "a", 4); !a.Bootstrap {
		t.Fatalf("answer to the new identity: %+v", a)
	}
	if step, _ := f.hear(asked, "a", former); step != foundWait {
		t.Errorf("answer of the former life: step %d", step)
	}
	if step, _ := f.hear(f.round, "a", former); step != foundForm {
		t.Errorf("answer of this round: step %d", step)
	}
}
