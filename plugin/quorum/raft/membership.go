package raft

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Change is a membership change that the leader should propose.
type Change struct {
	Config replog.Config
	Action string // "add learner", "remove learner", "remove voter" or "promote learner"
	Member replog.Member
}

// NextChange returns the next membership change that the leader should propose, and false if
// there is none. It returns one change at a time:
//   - An instance that asked to join becomes a learner and replaces older learners of its name.
//   - A listed learner that has caught up replaces the silent voter of its name: the voter is
//     removed first, then the learner is promoted. It is promoted directly if there is none.
//   - A silent voter that is no longer listed is removed once all listed instances are active
//     voters.
func NextChange(config replog.Config, listed []string, joins []replog.Member, commit uint64, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	if c, ok := addLearner(config, joins); ok {
		return c, true
	}
	for _, m := range config.Members {
		p := progress[m.ID]
		if m.Voter || !slices.Contains(listed, m.Name) || !p.Active || p.Match < commit {
			continue
		}
		old, exists := findVoterByName(config, m.Name)
		switch {
		case !exists:
			m.Voter = true
			return Change{config.With(m), "promote learner", m}, true
		case !progress[old.ID].Active:
			return Change{config.Without(old.ID), "remove voter", old}, true
		}
	}
	return removeReplacedVoter(config, listed, progress)
}

// removeReplacedVoter returns the removal of a silent voter that is not listed. Otherwise an
// instance that was replaced by one with another name would count towards majorities for ever. The
// leader has no progress of its own and is never removed.
func removeReplacedVoter(config replog.Config, listed []string, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	for _, name := range listed {
		m, exists := findVoterByName(config, name)
		if p, tracked := progress[m.ID]; !exists || tracked && !p.Active {
			return Change{}, false
		}
	}
	for _, m := range config.Members {
		p, tracked := progress[m.ID]
		if m.Voter && tracked && !p.Active && !slices.Contains(listed, m.Name) {
			return Change{config.Without(m.ID), "remove voter", m}, true
		}
	}
	return Change{}, false
}

func findVoterByName(config replog.Config, name string) (replog.Member, bool) {
	for _, m := range config.Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return replog.Member{}, false
}

// MayNeedChange is a cheap check that reports whether NextChange could return a change.
func MayNeedChange(config *replog.Config, listed []string, joins int) bool {
	if joins > 0 {
		return true
	}
	for _, m := range config.Members {
		if m.Voter != slices.Contains(listed, m.Name) {
			return true
		}
	}
	return false
}

// AddJoinRequest adds a request to join. Only the newest request of an instance is kept: an older one
// comes from a member that has lost its disk.
func AddJoinRequest(joins []replog.Member, m replog.Member) []replog.Member {
	joins = slices.DeleteFunc(joins, func(j replog.Member) bool { return j.Name == m.Name })
	return append(joins, m)
}
