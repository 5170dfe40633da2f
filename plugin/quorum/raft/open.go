package raft

import "github.com/celeryyard/celeryyard/core/replog"

// NextOpenChange decides the next membership change of a group whose members are
// not listed, one at a time. Instances that ask to join become learners. A learner
// that has caught up becomes a voter while there are fewer than target; otherwise
// it takes the place of a silent voter, by its removal and then the promotion.
//
// A voter is only ever removed for a learner that stands ready: a voter that is
// merely cut off keeps its vote while nobody could take its place. A member that
// returns under the name of a voter has lost its disk, so that voter goes first
// and without the wait of ReplaceAfter.
//
// A learner that stays silent is removed, because instances that are replaced under
// other names would otherwise be sent heartbeats for ever. One that returns asks to
// join again.
func NextOpenChange(config replog.Config, o OpenGroup, joins []replog.Member, commit uint64, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	if c, ok := addLearner(config, joins); ok {
		return c, true
	}
	if ready, ok := readyLearner(config, commit, progress); ok {
		if len(config.Voters()) < o.Voters {
			ready.Voter = true
			return Change{config.With(ready), "promote learner", ready}, true
		}
		if silent, ok := silentVoter(config, ready.Name, o.ReplaceAfter, progress); ok {
			return Change{config.Without(silent.ID), "remove voter", silent}, true
		}
	}
	if silent, ok := silentLearner(config, o.ForgetAfter, progress); ok {
		return Change{config.Without(silent.ID), "remove learner", silent}, true
	}
	return Change{}, false
}

// OpenGroup is how a group whose members are not listed keeps its membership.
type OpenGroup struct {
	// Voters is the number of voters that it aims at.
	Voters int
	// ReplaceAfter is the silence after which a voter gives its place to a learner.
	ReplaceAfter Instant
	// ForgetAfter is the silence after which a learner is removed.
	ForgetAfter Instant
}

// MayChangeOpen tells cheaply whether NextOpenChange could have something to do.
func MayChangeOpen(config *replog.Config, joins int) bool {
	return joins > 0 || len(config.Voters()) < len(config.Members)
}

// addLearner adds the first instance that asked to join, in place of older
// learners of the same name.
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

// readyLearner returns a learner that holds everything committed.
func readyLearner(config replog.Config, commit uint64, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	for _, m := range config.Members {
		if p := progress[m.ID]; !m.Voter && p.Active && p.Match >= commit {
			return m, true
		}
	}
	return replog.Member{}, false
}

// silentVoter returns the voter that a learner of the given name may replace: its
// own earlier self, or the one that has been silent for longest. The leader has no
// progress of its own and is never removed.
func silentVoter(config replog.Config, name string, replaceAfter Instant, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	var out replog.Member
	longest := replaceAfter
	for _, m := range config.Members {
		p, other := progress[m.ID]
		if !m.Voter || !other || p.Active {
			continue
		}
		if m.Name == name {
			return m, true
		}
		if p.Silent >= longest {
			out, longest = m, p.Silent
		}
	}
	return out, out.ID != 0
}

// silentLearner returns the learner that has been silent for longest.
func silentLearner(config replog.Config, forgetAfter Instant, progress map[replog.MemberID]MemberProgress) (replog.Member, bool) {
	var out replog.Member
	longest := forgetAfter
	for _, m := range config.Members {
		if p, other := progress[m.ID]; !m.Voter && other && !p.Active && p.Silent >= longest {
			out, longest = m, p.Silent
		}
	}
	return out, out.ID != 0
}
