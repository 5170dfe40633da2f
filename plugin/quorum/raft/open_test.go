package raft

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Guards against a voter that loses its vote although no learner can replace it, against a failed
// voter that keeps counting towards majorities, and against an instance with a wiped disk that has
// to wait for the timeout.
func TestOpenMembership(t *testing.T) {
	voter := func(id replog.MemberID, name string) replog.Member {
		return replog.Member{ID: id, Name: name, Voter: true}
	}
	learner := func(id replog.MemberID, name string) replog.Member { return replog.Member{ID: id, Name: name} }
	voters := []replog.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	withMembers := func(m ...replog.Member) replog.Config {
		return replog.Config{Members: append(append([]replog.Member{}, voters...), m...)}
	}
	active := MemberProgress{Match: 10, Active: true}
	silent := func(d time.Duration) MemberProgress { return MemberProgress{Match: 10, SilentFor: Instant(d)} }
	for _, tc := range []struct {
		name     string
		config   replog.Config
		joins    []replog.Member
		progress map[replog.MemberID]MemberProgress
		what     string
		member   replog.MemberID
	}{
		{"nothing to do", withMembers(), nil, map[replog.MemberID]MemberProgress{2: active, 3: active}, "", 0},
		{"silent voter without a replacement", withMembers(), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Hour)}, "", 0},
		{"join", withMembers(), []replog.Member{learner(9, "d")}, map[replog.MemberID]MemberProgress{2: active, 3: active}, "add learner", 9},
		{"all voters are active", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: active, 9: active}, "", 0},
		{"voter silent for less than the timeout", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Second), 9: active}, "", 0},
		{"voter silent for the timeout", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(3 * time.Second), 9: active}, "remove voter", 3},
		{"learner is behind", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Hour), 9: {Match: 9, Active: true}}, "", 0},
		{"learner silent for the timeout", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: active, 9: silent(2 * time.Hour)}, "remove learner", 9},
		{"learner silent for less than the timeout", withMembers(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: active, 9: silent(time.Hour)}, "", 0},
		{"silent voter before silent learner", withMembers(learner(8, "e"), learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Hour), 8: active, 9: silent(2 * time.Hour)}, "remove voter", 3},
		{"wiped disk", withMembers(learner(9, "c")), nil, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Second), 9: active}, "remove voter", 3},
		{"wiped disk before a voter silent for longer", withMembers(learner(9, "c")), nil, map[replog.MemberID]MemberProgress{2: silent(time.Hour), 3: silent(time.Second), 9: active}, "remove voter", 3},
		{"fewer voters than the target", replog.Config{Members: []replog.Member{voters[0], voters[1], learner(9, "d")}}, nil, map[replog.MemberID]MemberProgress{2: active, 9: active}, "promote learner", 9},
		{"disk wiped twice", withMembers(learner(8, "c")), []replog.Member{learner(9, "c")}, map[replog.MemberID]MemberProgress{2: active, 3: silent(time.Second)}, "add learner", 9},
	} {
		c, ok := NextOpenGroupChange(tc.config, OpenGroupOptions{TargetVoters: 3, ReplaceVoterAfter: Instant(2 * time.Second), RemoveLearnerAfter: Instant(2 * time.Hour)}, tc.joins, 10, tc.progress)
		if ok != (tc.what != "") || c.Action != tc.what || c.Member.ID != tc.member {
			t.Errorf("%s: %q of member %v", tc.name, c.Action, c.Member.ID)
		}
		if _, stays := c.Config.Find(8); tc.name == "disk wiped twice" && stays {
			t.Errorf("%s: the learner from before the second wipe is still a member", tc.name)
		}
	}
}
