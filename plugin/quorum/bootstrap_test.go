package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Guards against an instance that forms a group although one exists, although the instance is
// not the first initial voter, or before it knows all initial voters.
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
		state := newBootstrapState(replog.Member{ID: 1, Name: tc.self}, true, voters)
		got := bootstrapWait
		for _, name := range []string{"a", "b", "c", "d"} {
			if resp, ok := tc.answers[name]; ok {
				got, _ = state.handleResponse(0, name, resp)
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
		MaxUncommittedBytes: 1 << 20, MaxUnsavedBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
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
	if resp := none.newResponse(core, 1, "b", 2); resp.Exists || resp.Config != nil {
		t.Errorf("before the configuration is saved: %+v", resp)
	}
	ready := core.Ready()
	core.ReportSaved(ready.Save)
	if resp := none.newResponse(core, 1, "b", 2); !resp.Exists || !resp.Included || resp.Config == nil {
		t.Errorf("after the configuration was saved: %+v", resp)
	}
}

// Guards against a second group: the first voter loses its disk after it has composed a
// configuration and sends requests with its new member ID; then a response from before
// the loss arrives at another voter.
func TestResponseOfAnEarlierRoundIsIgnored(t *testing.T) {
	state := newBootstrapState(replog.Member{ID: 2, Name: "b"}, true, []string{"a", "b", "c"})
	core := newEmptyCore(2)
	state.newResponse(core, 2, "a", 1)
	earlierRound := state.round
	earlier := bootstrapResponse{ID: 1, Exists: true, Included: true, Config: &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}}
	if resp := state.newResponse(core, 2, "a", 4); !resp.Bootstrap {
		t.Fatalf("response to the new member ID: %+v", resp)
	}
	if step, _ := state.handleResponse(earlierRound, "a", earlier); step != bootstrapWait {
		t.Errorf("response of the earlier round: step %d", step)
	}
	if step, _ := state.handleResponse(state.round, "a", earlier); step != bootstrapForm {
		t.Errorf("response of the current round: step %d", step)
	}
}
