package quorum

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// change is a membership change that the leader should propose.
type change struct {
	Config replog.Config
	What   string // "add learner", "remove voter" or "promote learner"
	Member replog.Member
}

// nextChange decides the next membership change of the leader, one at a time:
// instances that asked to join become learners, in place of older learners of
// the same name; a learner of a listed voter that has caught up takes the place
// of the silent voter of the same name, by its removal and then the promotion.
func nextChange(config replog.Config, listed []string, joins []replog.Member, commit uint64, progress map[replog.MemberID]raft.MemberProgress) (change, bool) {
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
		return change{out.With(j), "add learner", j}, true
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
			return change{config.With(m), "promote learner", m}, true
		case !progress[old.ID].Active:
			return change{config.Without(old.ID), "remove voter", old}, true
		}
	}
	return change{}, false
}

func voterNamed(config replog.Config, name string) (replog.Member, bool) {
	for _, m := range config.Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return replog.Member{}, false
}

// mayChange tells cheaply whether nextChange could have something to do.
func mayChange(config *replog.Config, listed []string, joins int) bool {
	if joins > 0 {
		return true
	}
	for _, m := range config.Members {
		if !m.Voter && slices.Contains(listed, m.Name) {
			return true
		}
	}
	return false
}

// foundation is what a bootstrapping instance has learned from the others.
type foundation struct {
	self   replog.Member
	listed []string
	ids    map[string]replog.MemberID
}

// Outcomes of foundation.hear.
type foundingStep uint8

const (
	foundWait foundingStep = iota
	// foundForm forms the group with the returned configuration.
	foundForm
	// foundRefuse ends the process: a group exists without this member.
	foundRefuse
	// foundFollow waits for the leader of the group that includes this member.
	foundFollow
)

// hear decides on an answer of the named instance. Only the first listed voter
// composes the configuration; the others take it from an answer. So there is one
// configuration even when an instance loses its disk meanwhile.
func (f *foundation) hear(name string, a foundAnswer) (foundingStep, replog.Config) {
	switch {
	case a.Exists && !a.Included:
		return foundRefuse, replog.Config{}
	case a.Exists && a.Config != nil:
		return foundForm, *a.Config
	case a.Exists:
		return foundFollow, replog.Config{}
	}
	if a.Bootstrap && slices.Contains(f.listed, name) {
		f.ids[name] = a.ID
	} else {
		delete(f.ids, name)
	}
	return f.compose()
}

// compose returns the configuration once every listed voter is known.
func (f *foundation) compose() (foundingStep, replog.Config) {
	if f.listed[0] != f.self.Name {
		return foundWait, replog.Config{}
	}
	var config replog.Config
	for _, name := range f.listed {
		id, ok := f.ids[name]
		if name == f.self.Name {
			id, ok = f.self.ID, true
		}
		if !ok {
			return foundWait, replog.Config{}
		}
		config.Members = append(config.Members, replog.Member{ID: id, Name: name, Voter: true})
	}
	return foundForm, config
}
