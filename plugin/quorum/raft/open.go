package raft

import "github.com/celeryyard/celeryyard/core/replog"

// NextOpenGroupChange returns the next membership change of an open group, whose members are not
// listed, and false if there is none. It returns one change at a time. Instances that ask to join
// become learners. A learner that has caught up becomes a voter while the group has fewer voters than
// its target; otherwise it replaces a silent voter: the voter is removed first, then the learner
// is promoted. Voters are spread over the availability zones: a learner of a zone with few voters is
// promoted in place of a voter of the zone with the most.
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
	if len(config.VoterIDs()) > o.TargetVoters {
		if c, ok := demoteVoter(config, o, progress); ok {
			return c, true
		}
	}
	if ready := findCaughtUpLearners(config, commit, progress); len(ready) > 0 {
		if c, ok := useLearner(config, o, ready, progress); ok {
			return c, true
		}
	}
	if silent, ok := findSilentLearner(config, o.RemoveLearnerAfter, progress); ok {
		return Change{config.Without(silent.ID), "remove learner", silent}, true
	}
	return Change{}, false
}

// useLearner returns the change that promotes one of the ready learners, or that makes room for it.
func useLearner(config replog.Config, o OpenGroupOptions, ready []replog.Member, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	best := ready[0]
	for _, m := range ready[1:] {
		if o.votersInZone(config, m) < o.votersInZone(config, best) {
			best = m
		}
	}
	promote := best
	promote.Voter = true
	if len(config.VoterIDs()) < o.TargetVoters {
		return Change{config.With(promote), "promote learner", promote}, true
	}
	for _, m := range ready {
		if silent, ok := findReplaceableVoter(config, m.Name, o.ReplaceVoterAfter, progress); ok {
			return Change{config.Without(silent.ID), "remove voter", silent}, true
		}
	}
	if len(config.VoterIDs()) == o.TargetVoters && o.isCrowded(config, best, progress) {
		return Change{config.With(promote), "promote learner", promote}, true
	}
	return Change{}, false
}

// isCrowded reports whether all voters are active and a zone has at least two voters more than that
// of the learner, so that the learner should vote in place of one of them.
func (o *OpenGroupOptions) isCrowded(config replog.Config, learner replog.Member, progress map[replog.MemberID]MemberProgress) bool {
	most := 0
	for _, m := range config.Members {
		if !m.Voter {
			continue
		}
		if p, tracked := progress[m.ID]; tracked && !p.Active {
			return false
		}
		if o.Zones[m.Name] != "" {
			most = max(most, o.votersInZone(config, m))
		}
	}
	return o.Zones[learner.Name] != "" && most >= o.votersInZone(config, learner)+2
}

// votersInZone returns the number of voters in the availability zone of a member.
func (o *OpenGroupOptions) votersInZone(config replog.Config, member replog.Member) int {
	n := 0
	for _, m := range config.Members {
		if m.Voter && o.Zones[m.Name] == o.Zones[member.Name] {
			n++
		}
	}
	return n
}

// demoteVoter returns the change that takes the vote from a silent voter, else from one in the zone
// with the most voters. The leader, which has no progress of its own, keeps its vote.
func demoteVoter(config replog.Config, o OpenGroupOptions, progress map[replog.MemberID]MemberProgress) (Change, bool) {
	var out replog.Member
	for _, m := range config.Members {
		p, tracked := progress[m.ID]
		if !m.Voter || !tracked {
			continue
		}
		if !p.Active {
			out = m
			break
		}
		if out.ID == 0 || o.votersInZone(config, m) > o.votersInZone(config, out) {
			out = m
		}
	}
	if out.ID == 0 {
		return Change{}, false
	}
	out.Voter = false
	return Change{config.With(out), "demote voter", out}, true
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
	// Zones holds the availability zones of the instances, by instance name. Members without a
	// zone there are not moved.
	Zones map[string]string
}

// MayNeedOpenGroupChange is a cheap check that reports whether NextOpenGroupChange could return a change.
func MayNeedOpenGroupChange(config *replog.Config, targetVoters, joinCount int) bool {
	voters := len(config.VoterIDs())
	return joinCount > 0 || voters < len(config.Members) || voters > targetVoters
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

// findCaughtUpLearners returns the active learners that have all committed entries.
func findCaughtUpLearners(config replog.Config, commit uint64, progress map[replog.MemberID]MemberProgress) []replog.Member {
	var out []replog.Member
	for _, m := range config.Members {
		if p := progress[m.ID]; !m.Voter && p.Active && p.Match >= commit {
			out = append(out, m)
		}
	}
	return out
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
