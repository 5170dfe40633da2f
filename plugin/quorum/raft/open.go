package raft

import "github.com/celeryyard/celeryyard/core/replog"

// NextOpenGroupChange returns the next membership change of an open group, whose members are not
// listed, and false if there is none. It returns one change at a time. Instances that ask to join
// become learners. A learner that has caught up becomes a voter while the group has fewer voters than
// its target; otherwise it replaces a silent voter: the voter is removed first, then the learner
// is promoted.
//
// A voter is removed only if a learner is ready to replace it, so a voter that is merely cut off
// keeps its vote while there is no replacement. A learner with the name of a silent voter is the
// same instance after the loss of its disk. That voter is therefore replaced before others and
// without waiting for ReplaceVoterAfter.
//
// A learner that stays silent is removed. Otherwise the leader would forever send heartbeats to
// instances that were replaced by others with new names. A removed learner that returns asks to
// join again.
func NextOpenGroupChange(config replog.Config, o OpenGroupOptions, joins []replog.Member, commit uint64, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	if c, ok := addLearner(config, joins); ok {
		return c, true
	}
	if ready, ok := findCaughtUpLearner(config, commit, progress); ok {
		if len(config.VoterIDs()) < o.TargetVoters {
			ready.Voter = true
			return Change{config.With(ready), "promote learner", ready}, true
		}
		if silent, ok := findReplaceableVoter(config, ready.Name, o.ReplaceVoterAfter, progress); ok {
			return Change{config.Without(silent.ID), "remove voter", silent}, true
		}
	}
	if silent, ok := findSilentLearner(config, o.RemoveLearnerAfter, progress); ok {
		return Change{config.Without(silent.ID), "remove learner", silent}, true
	}
	return Change{}, false
}

// OpenGroupOptions configures the membership of an open group, whose members are not listed.
type OpenGroupOptions struct {
	// TargetVoters is the number of voters up to which learners are promoted.
	TargetVoters int
	// ReplaceVoterAfter is the time without a message from a voter after which a learner may
	// replace that voter.
	ReplaceVoterAfter Instant
	// RemoveLearnerAfter is the time without a message from a learner after which the learner
	// is removed.
	RemoveLearnerAfter Instant
}

// MayNeedOpenGroupChange is a cheap check that reports whether NextOpenGroupChange could return a change.
func MayNeedOpenGroupChange(config *replog.Config, joinCount int) bool {
	return joinCount > 0 || len(config.VoterIDs()) < len(config.Members)
}

// addLearner returns the change that adds the first instance in joins that is not yet a member. The
// change also removes older learners of the same name.
func addLearner(config replog.Config, joins []replog.Member) (Change, bool) {
	for _, j := range joins {
		if _, ok := config.Find(j.ID); ok {
			continue
		}
		out := config
		for _, m := range config.Members {
			if m.Name == j.Name && !m.Voter {
				out = out.Without(m.ID)
			}
		}
		j.Voter = false
		return Change{out.With(j), "add learner", j}, true
	}
	return Change{}, false
}

// findCaughtUpLearner returns an active learner that has all committed entries.
func findCaughtUpLearner(config replog.Config, commit uint64, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	for _, m := range config.Members {
		if p := progress[m.ID]; !m.Voter && p.Active && p.Match >= commit {
			return m, true
		}
	}
	return replog.Member{}, false
}

// findReplaceableVoter returns the silent voter that a learner of the given name may replace: the
// voter of the same name, else the voter that has been silent the longest, if that time is at least
// replaceAfter. The leader has no progress of its own and is never removed.
func findReplaceableVoter(config replog.Config, name string, replaceAfter Instant, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	var out replog.Member
	longest := replaceAfter
	for _, m := range config.Members {
		p, tracked := progress[m.ID]
		if !m.Voter || !tracked || p.Active {
			continue
		}
		if m.Name == name {
			return m, true
		}
		if p.SilentFor >= longest {
			out, longest = m, p.SilentFor
		}
	}
	return out, out.ID != 0
}

// findSilentLearner returns the learner that has been silent the longest, if that time is at least
// removeAfter.
func findSilentLearner(config replog.Config, removeAfter Instant, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	var out replog.Member
	longest := removeAfter
	for _, m := range config.Members {
		if p, tracked := progress[m.ID]; !m.Voter && tracked && !p.Active && p.SilentFor >= longest {
			out, longest = m, p.SilentFor
		}
	}
	return out, out.ID != 0
}
