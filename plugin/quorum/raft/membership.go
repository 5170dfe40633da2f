package raft

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Change is a membership change that the leader should propose.
type Change struct {
	Config replog.Config // the configuration after the change
	Action string        // "add learner", "remove learner", "remove voter", "promote learner" or "demote voter"
	Member replog.Member // the member to which Action applies
}

// NextChange returns the next membership change that the leader should propose, and false if
// there is none. listed holds the names of the instances that should vote, and commit is the
// leader's commit index. A member is silent if it is not active according to progress. The changes
// are made one at a time:
//   - An instance that asked to join becomes a learner and replaces older learners of its name.
//   - A listed learner that has caught up replaces a silent voter of the same name: the voter is
//     removed first, then the learner is promoted. Without such a voter, the learner is promoted
//     directly.
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
	return removeUnlistedVoter(config, listed, progress)
}

// removeUnlistedVoter returns the removal of a silent voter that is not listed, once all listed
// instances are active voters. Without the removal, an instance that was replaced by one with a
// different name would count towards majorities forever. The leader has no progress of its own and
// is never removed.
func removeUnlistedVoter(config replog.Config, listed []string, progress map[replog.MemberID]MemberProgress) (Change, bool) {
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
func MayNeedChange(config *replog.Config, listed []string, joinCount int) bool {
	if joinCount > 0 {
		return true
	}
	for _, m := range config.Members {
		if m.Voter != slices.Contains(listed, m.Name) {
			return true
		}
	}
	return false
}

// AddJoinRequest adds a request to join. Only the newest request of an instance is kept: an older
// one is of a member ID that the instance lost with its disk.
func AddJoinRequest(joins []replog.Member, m replog.Member) []replog.Member {
	joins = slices.DeleteFunc(joins, func(j replog.Member) bool { return j.Name == m.Name })
	return append(joins, m)
}
