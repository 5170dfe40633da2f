package raft

import (
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Guards against a replacement that removes an active voter, promotes a learner that lacks
// committed entries, or does not remove the old voter first.
func TestVoterReplacement(t *testing.T) {
	config := voterConfig(3)
	learner := replog.Member{ID: 9, Name: "b"}
	joined := config.With(learner)
	oldVoterRemoved := joined.Without(2)
	listed := []string{"a", "b", "c"}
	caughtUp := MemberProgress{Match: 10, Active: true}
	for _, tc := range []struct {
		name     string
		config   replog.Config
		joins    []replog.Member
		progress map[replog.MemberID]MemberProgress
		what     string
	}{
		{"nothing to do", config, nil, nil, ""},
		{"new member", config, []replog.Member{{ID: 9, Name: "b", Voter: true}}, nil, "add learner"},
		{"already a member", joined, []replog.Member{learner}, nil, ""},
		{"not caught up", joined, nil, map[replog.MemberID]MemberProgress{9: {Match: 9, Active: true}}, ""},
		{"silent learner", joined, nil, map[replog.MemberID]MemberProgress{9: {Match: 10}}, ""},
		{"old voter is active", joined, nil, map[replog.MemberID]MemberProgress{9: caughtUp, 2: {Active: true}}, ""},
		{"old voter is silent", joined, nil, map[replog.MemberID]MemberProgress{9: caughtUp}, "remove voter"},
		{"old voter is removed", oldVoterRemoved, nil, map[replog.MemberID]MemberProgress{9: caughtUp}, "promote learner"},
		{"not listed", config.With(replog.Member{ID: 8, Name: "x"}), nil, map[replog.MemberID]MemberProgress{8: caughtUp}, ""},
	} {
		c, _ := NextChange(tc.config, listed, tc.joins, 10, tc.progress)
		if c.Action != tc.what {
			t.Errorf("%s: %q, want %q", tc.name, c.Action, tc.what)
		}
		if c.Action == "add learner" && c.Config.IsVoter(9) {
			t.Errorf("%s: the new member joins as a voter", tc.name)
		}
		if c.Action != "" && countVoterChanges(&tc.config, &c.Config) > 1 {
			t.Errorf("%s: the change affects more than one voter", tc.name)
		}
	}
}

// Guards against a voter that keeps its vote after an instance with a different name has replaced
// it, and against the removal of a voter that is listed, active or the leader.
func TestSilentVoterThatIsNotListedIsRemoved(t *testing.T) {
	config := voterConfig(4)
	active, silent := MemberProgress{Match: 10, Active: true}, MemberProgress{Match: 10}
	for _, tc := range []struct {
		name    string
		listed  []string
		b, c, d MemberProgress
		want    replog.MemberID
	}{
		{"replaced and silent", []string{"a", "b", "d"}, active, silent, active, 3},
		{"replaced and alive", []string{"a", "b", "d"}, active, active, active, 0},
		{"listed voter is silent too", []string{"a", "b", "d"}, silent, silent, active, 0},
		{"listed voter has no vote yet", []string{"a", "b", "e"}, active, silent, active, 0},
		{"all are listed", []string{"a", "b", "c", "d"}, active, silent, active, 0},
		{"leader is not listed", []string{"b", "c", "d"}, active, active, active, 0},
	} {
		progress := map[replog.MemberID]MemberProgress{2: tc.b, 3: tc.c, 4: tc.d} // member 1 is the leader
		c, ok := NextChange(config, tc.listed, nil, 10, progress)
		if ok != (tc.want != 0) || c.Member.ID != tc.want {
			t.Errorf("%s: %+v, want the removal of member %d", tc.name, c, tc.want)
		}
		if ok && (!MayNeedChange(&config, tc.listed, 0) || countVoterChanges(&config, &c.Config) != 1) {
			t.Errorf("%s: %+v is not proposed, or changes more than one voter", tc.name, c)
		}
	}
}

// Guards against an instance that has lost its disk several times and never catches up, because
// its member IDs keep replacing each other as learners.
func TestOnlyNewestJoinOfInstanceIsKept(t *testing.T) {
	joins := AddJoinRequest(nil, replog.Member{ID: 8, Name: "b"})
	joins = AddJoinRequest(joins, replog.Member{ID: 9, Name: "b"})
	if len(joins) != 1 || joins[0].ID != 9 {
		t.Fatalf("joins %v, want only member 9", joins)
	}
}
