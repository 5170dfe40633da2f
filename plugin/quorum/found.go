package quorum

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// foundation is what a bootstrapping instance has learned from the others.
type foundation struct {
	self   replog.Member
	listed []string
	ids    map[string]replog.MemberID
	// composer is the identity with which the first listed voter asked last, round the
	// number of such identities. An answer that was asked for in an earlier round may
	// tell a configuration of the disk that the first voter has lost since.
	composer replog.MemberID
	round    uint64
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
// configuration even when an instance loses its disk meanwhile. round is that in which
// the answer was asked for.
func (f *foundation) hear(round uint64, name string, a foundAnswer) (foundingStep, replog.Config) {
	switch {
	case round != f.round:
		return foundWait, replog.Config{}
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

// answer tells another member what this one knows of a group. f is nil once the member
// no longer bootstraps.
func (f *foundation) answer(core *raft.Core, self replog.MemberID, asker string, id replog.MemberID) foundAnswer {
	if f != nil && asker == f.listed[0] && id != f.composer {
		f.composer = id
		f.round++
	}
	config, first := core.Founding()
	_, included := config.Find(id)
	return foundAnswer{ID: self, Bootstrap: f != nil, Exists: len(config.Members) > 0, Included: included, Config: first}
}
