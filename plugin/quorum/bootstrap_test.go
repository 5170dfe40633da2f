package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Guards against forming a second group: although a group exists, by an instance other than
// the first initial voter, or before all initial voters are known.
func TestGroupBootstrap(t *testing.T) {
	voters := []string{"a", "b", "c"}
	config := &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}
	ready := func(id replog.MemberID) bootstrapResponse { return bootstrapResponse{ID: id, Bootstrap: true} }
	for _, tc := range []struct {
		name, self string
		answers    map[string]bootstrapResponse
		want       bootstrapStep
	}{
		{"group without this member", "a", map[string]bootstrapResponse{"b": {Exists: true}}, bootstrapRefuse},
		{"group with this member", "b", map[string]bootstrapResponse{"a": {Exists: true, Included: true, Config: config}}, bootstrapForm},
		{"older group with this member", "b", map[string]bootstrapResponse{"a": {Exists: true, Included: true}}, bootstrapFollow},
		{"one voter is missing", "a", map[string]bootstrapResponse{"b": ready(2)}, bootstrapWait},
		{"one voter does not bootstrap", "a", map[string]bootstrapResponse{"b": ready(2), "c": {ID: 3}}, bootstrapWait},
		{"a learner answers", "a", map[string]bootstrapResponse{"b": ready(2), "d": ready(4)}, bootstrapWait},
		{"first voter knows all voters", "a", map[string]bootstrapResponse{"b": ready(2), "c": ready(3)}, bootstrapForm},
		{"another voter knows all voters", "b", map[string]bootstrapResponse{"a": ready(2), "c": ready(3)}, bootstrapWait},
	} {
		f := &bootstrapState{self: replog.Member{ID: 1, Name: tc.self}, voters: voters, ids: map[string]replog.MemberID{}}
		got := bootstrapWait
		for _, name := range []string{"a", "b", "c", "d"} {
			if a, ok := tc.answers[name]; ok {
				got, _ = f.handleResponse(0, name, a)
			}
		}
		if got != tc.want {
			t.Errorf("%s: step %d, want %d", tc.name, got, tc.want)
		}
	}
}

// newEmptyCore returns the core of a member that was started with an empty disk.
func newEmptyCore(id replog.MemberID) *raft.Core {
	return raft.New(raft.Options{
		ID: id, ElectionTimeout: 900 * ms, HeartbeatInterval: 200 * ms, MaxBatchBytes: 200, MaxInflightAppends: 3, MaxInflightBytes: 400,
		MaxUncommittedBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}, raft.RecoveredState{}, 0)
}

// Guards against a second group: the first voter sends its configuration to others before
// the configuration is on disk, crashes, and composes a different one.
func TestConfigurationIsSentAfterItIsSaved(t *testing.T) {
	core := newEmptyCore(1)
	config := replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}, {ID: 2, Name: "b", Voter: true}}}
	if !core.Bootstrap(0, config) {
		t.Fatal("no group was formed")
	}
	var none *bootstrapState
	if a := none.newResponse(core, 1, "b", 2); a.Exists || a.Config != nil {
		t.Errorf("before the configuration is saved: %+v", a)
	}
	ready := core.Ready()
	core.ReportSaved(ready.Save)
	if a := none.newResponse(core, 1, "b", 2); !a.Exists || !a.Included || a.Config == nil {
		t.Errorf("after the configuration was saved: %+v", a)
	}
}

// Guards against a second group: the first voter loses its disk after it has composed a
// configuration and sends requests with its new member ID; then a response from before
// the loss arrives at another voter.
func TestResponseOfAnEarlierRoundIsIgnored(t *testing.T) {
	f := &bootstrapState{self: replog.Member{ID: 2, Name: "b"}, voters: []string{"a", "b", "c"}, ids: map[string]replog.MemberID{}}
	core := newEmptyCore(2)
	f.newResponse(core, 2, "a", 1)
	earlierRound := f.round
	earlier := bootstrapResponse{ID: 1, Exists: true, Included: true, Config: &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}}
	if a := f.newResponse(core, 2, "a", 4); !a.Bootstrap {
		t.Fatalf("response to the new member ID: %+v", a)
	}
	if step, _ := f.handleResponse(earlierRound, "a", earlier); step != bootstrapWait {
		t.Errorf("response of the earlier round: step %d", step)
	}
	if step, _ := f.handleResponse(f.round, "a", earlier); step != bootstrapForm {
		t.Errorf("response of the current round: step %d", step)
	}
}
