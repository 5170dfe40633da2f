package raft

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Change is a membership change that the leader should propose.
type Change struct {
	Config replog.Config
	What   string // "add learner", "remove learner", "remove voter" or "promote learner"
	Member replog.Member
}

// NextChange decides the next membership change of the leader, one at a time:
// instances that asked to join become learners, in place of older learners of
// the same name; a learner of a listed voter that has caught up takes the place
// of the silent voter of the same name, by its removal and then the promotion. A
// silent voter that is not listed any more is removed once all listed ones vote.
func NextChange(config replog.Config, listed []string, joins []replog.Member, commit uint64, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	if c, ok := addLearner(config, joins); ok {
		return c, true
	}
	for _, m := range config.Members {
		p := progress[m.ID]
		if m.Voter || !slices.Contains(listed, m.Name) || !p.Active || p.Match < commit {
			continue
		}
		old, exists := voterNamed(config, m.Name)
		switch {
		case !exists:
			m.Voter = true
			return Change{config.With(m), "promote learner", m}, true
		case !progress[old.ID].Active:
			return Change{config.Without(old.ID), "remove voter", old}, true
		}
	}
	return replacedVoter(config, listed, progress)
}

// replacedVoter returns the removal of a silent voter that is not listed, so
// that an instance replaced by one of another name does not count for majorities
// for ever. The leader has no progress of its own and is never removed.
func replacedVoter(config replog.Config, listed []string, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	for _, name := range listed {
		m, exists := voterNamed(config, name)
		if p, other := progress[m.ID]; !exists || other && !p.Active {
			return Change{}, false
		}
	}
	for _, m := range config.Members {
		p, other := progress[m.ID]
		if m.Voter && other && !p.Active && !slices.Contains(listed, m.Name) {
			return Change{config.Without(m.ID), "remove voter", m}, true
		}
	}
	return Change{}, false
}

func voterNamed(config replog.Config, name string) (replog.Member, bool) {
	for _, m := range config.Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return replog.Member{}, false
}

// MayChange tells cheaply whether NextChange could have something to do.
func MayChange(config *replog.Config, listed []string, joins int) bool {
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

// AddJoin adds a request to join. Only the newest request of an instance counts:
// an older one is of a member whose disk is gone.
func AddJoin(joins []replog.Member, m replog.Member) []replog.Member {
	joins = slices.DeleteFunc(joins, func(j replog.Member) bool { return j.Name == m.Name })
	return append(joins, m)
}
