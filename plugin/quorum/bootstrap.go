package quorum

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// bootstrapState is what a bootstrapping instance knows of the other instances. The
// first initial voter composes the first configuration of the group.
type bootstrapState struct {
	self   replog.Member
	voters []string
	ids    map[string]replog.MemberID
	// firstVoterID is the member ID that the first initial voter sent last, and round counts
	// the IDs it has sent. The response to a request of an earlier round may hold a
	// configuration that the first voter has lost with its disk since.
	firstVoterID replog.MemberID
	round        uint64
}

// bootstrapStep is the next step of a bootstrapping instance.
type bootstrapStep uint8

const (
	bootstrapWait bootstrapStep = iota
	// bootstrapForm forms the group with the returned configuration.
	bootstrapForm
	// bootstrapRefuse ends the process, because a group exists without this member.
	bootstrapRefuse
	// bootstrapFollow waits for the leader of an existing group that includes this member.
	bootstrapFollow
)

// handleResponse returns the next step after a response of the named instance. Only the
// first initial voter composes the configuration and the others copy it from a response,
// so that there is one configuration even if an instance loses its disk during the
// bootstrap. round is the round in which the request was sent.
func (f *bootstrapState) handleResponse(round uint64, name string, a bootstrapResponse) (bootstrapStep, replog.Config) {
	switch {
	case round != f.round:
		return bootstrapWait, replog.Config{}
	case a.Exists && !a.Included:
		return bootstrapRefuse, replog.Config{}
	case a.Exists && a.Config != nil:
		return bootstrapForm, *a.Config
	case a.Exists:
		return bootstrapFollow, replog.Config{}
	}
	if a.Bootstrap && slices.Contains(f.voters, name) {
		f.ids[name] = a.ID
	} else {
		delete(f.ids, name)
	}
	return f.composeConfig()
}

// composeConfig returns the first configuration once the IDs of all initial voters are
// known.
func (f *bootstrapState) composeConfig() (bootstrapStep, replog.Config) {
	if f.voters[0] != f.self.Name {
		return bootstrapWait, replog.Config{}
	}
	var config replog.Config
	for _, name := range f.voters {
		id, ok := f.ids[name]
		if name == f.self.Name {
			id, ok = f.self.ID, true
		}
		if !ok {
			return bootstrapWait, replog.Config{}
		}
		config.Members = append(config.Members, replog.Member{ID: id, Name: name, Voter: true})
	}
	return bootstrapForm, config
}

// newResponse returns the response to a request of another member: what this member
// knows of a group. f is nil once this member no longer bootstraps.
func (f *bootstrapState) newResponse(core *raft.Core, self replog.MemberID, requester string, id replog.MemberID) bootstrapResponse {
	if f != nil && requester == f.voters[0] && id != f.firstVoterID {
		f.firstVoterID = id
		f.round++
	}
	config, first := core.DurableConfig()
	_, included := config.Find(id)
	return bootstrapResponse{ID: self, Bootstrap: f != nil, Exists: len(config.Members) > 0, Included: included, Config: first}
}
