package raft

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Guards against a voter that loses its vote because it is cut off, a lost one that
// keeps counting for majorities, and a wiped disk that waits for a timeout.
func TestOpenMembership(t *testing.T) {
	voter := func(id replog.MemberID, name string) replog.Member {
		return replog.Member{ID: id, Name: name, Voter: true}
	}
	learner := func(id replog.MemberID, name string) replog.Member { return replog.Member{ID: id, Name: name} }
	three := []replog.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	with := func(m ...replog.Member) replog.Config {
		return replog.Config{Members: append(append([]replog.Member{}, three...), m...)}
	}
	alive := MemberProgress{Match: 10, Active: true}
	silent := func(d time.Duration) MemberProgress { return MemberProgress{Match: 10, Silent: Instant(d)} }
	for _, tc := range []struct {
		name     string
		config   replog.Config
		joins    []replog.Member
		progress map[replog.MemberID]MemberProgress
		what     string
		member   replog.MemberID
	}{
		{"nothing to do", with(), nil, map[replog.MemberID]MemberProgress{2: alive, 3: alive}, "", 0},
		{"cut off, nobody ready", with(), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Hour)}, "", 0},
		{"join", with(), []replog.Member{learner(9, "d")}, map[replog.MemberID]MemberProgress{2: alive, 3: alive}, "add learner", 9},
		{"spare waits", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: alive, 9: alive}, "", 0},
		{"spare waits for the timeout", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Second), 9: alive}, "", 0},
		{"lost voter", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(3 * time.Second), 9: alive}, "remove voter", 3},
		{"spare is behind", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Hour), 9: {Match: 9, Active: true}}, "", 0},
		{"lost spare", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: alive, 9: silent(2 * time.Hour)}, "remove learner", 9},
		{"silent spare", with(learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: alive, 9: silent(time.Hour)}, "", 0},
		{"lost spare after the lost voter", with(learner(8, "e"), learner(9, "d")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Hour), 8: alive, 9: silent(2 * time.Hour)}, "remove voter", 3},
		{"wiped disk", with(learner(9, "c")), nil, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Second), 9: alive}, "remove voter", 3},
		{"wiped disk before another silent one", with(learner(9, "c")), nil, map[replog.MemberID]MemberProgress{2: silent(time.Hour), 3: silent(time.Second), 9: alive}, "remove voter", 3},
		{"room for a voter", replog.Config{Members: []replog.Member{three[0], three[1], learner(9, "d")}}, nil, map[replog.MemberID]MemberProgress{2: alive, 9: alive}, "promote learner", 9},
		{"second wipe", with(learner(8, "c")), []replog.Member{learner(9, "c")}, map[replog.MemberID]MemberProgress{2: alive, 3: silent(time.Second)}, "add learner", 9},
	} {
		c, ok := NextOpenChange(tc.config, OpenGroup{3, Instant(2 * time.Second), Instant(2 * time.Hour)}, tc.joins, 10, tc.progress)
		if ok != (tc.what != "") || c.What != tc.what || c.Member.ID != tc.member {
			t.Errorf("%s: %q of %v", tc.name, c.What, c.Member.ID)
		}
		if _, stays := c.Config.Find(8); tc.name == "second wipe" && stays {
			t.Errorf("%s: the learner of the first wipe stays", tc.name)
		}
	}
}
