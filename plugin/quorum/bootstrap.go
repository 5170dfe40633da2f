package quorum

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// bootstrapState is what an instance with an empty log knows of the other instances. The first founder composes the
// first configuration of the group.
//
// An instance is a founder if its data folder was first used to form a group; its journal says so from the first write
// on, so that a restart continues where the instance was. The others never compose a configuration. They adopt the
// first one if it includes their member ID: the first founder then knew that their disks were empty.
type bootstrapState struct {
	self    replog.Member
	founder bool
	voters  []string                   // names of the initial voters, which are the founders
	ids     map[string]replog.MemberID // IDs of the other initial voters, by name
	// composerIDs holds the latest member ID received from each instance that may compose the configuration, by name.
	composerIDs map[string]replog.MemberID
	// round is incremented with each new member ID received from an instance that may compose the configuration. The
	// ID changes when that instance loses its disk, so responses to requests of an earlier round
	// are ignored: they may contain a configuration that was lost with the disk.
	round uint64
}

func newBootstrapState(self replog.Member, founder bool, voters []string) *bootstrapState {
	return &bootstrapState{self: self, founder: founder, voters: voters, ids: map[string]replog.MemberID{}, composerIDs: map[string]replog.MemberID{}}
}

// mayCompose reports whether the named instance may compose the configuration. An instance that is no founder does not
// know the first of them.
func (b *bootstrapState) mayCompose(name string) bool { return !b.founder || name == b.voters[0] }

// bootstrapStep is the next step of a bootstrapping instance.
type bootstrapStep uint8

const (
	// bootstrapWait waits for further responses.
	bootstrapWait bootstrapStep = iota
	// bootstrapForm forms the group with the returned configuration.
	bootstrapForm
	// bootstrapRefuse ends the process, because a group exists without this member.
	bootstrapRefuse
	// bootstrapFollow waits for the leader of an existing group that includes this member.
	bootstrapFollow
)

// handleResponse returns the next step after a response from the named instance to a
// request of the given round. Only the first initial voter composes the configuration, and
// the others copy it from a response, so that there is one configuration even if an
// instance loses its disk during the bootstrap.
func (b *bootstrapState) handleResponse(round uint64, name string, resp bootstrapResponse) (bootstrapStep, replog.Config) {
	switch {
	case round != b.round:
		return bootstrapWait, replog.Config{}
	case resp.Exists && !resp.Included:
		return bootstrapRefuse, replog.Config{}
	case resp.Exists && resp.Config != nil:
		return bootstrapForm, *resp.Config
	case resp.Exists:
		return bootstrapFollow, replog.Config{}
	}
	if (resp.Bootstrap || resp.Empty) && slices.Contains(b.voters, name) {
		b.ids[name] = resp.ID
	} else {
		delete(b.ids, name)
	}
	return b.composeConfig()
}

// composeConfig returns bootstrapForm and the first configuration if this instance is the first founder and knows the IDs
// of all initial voters, none of which is in a group. Otherwise it returns bootstrapWait.
func (b *bootstrapState) composeConfig() (bootstrapStep, replog.Config) {
	if !b.founder || b.voters[0] != b.self.Name {
		return bootstrapWait, replog.Config{}
	}
	var config replog.Config
	for _, name := range b.voters {
		id, ok := b.ids[name]
		if name == b.self.Name {
			id, ok = b.self.ID, true
		}
		if !ok {
			return bootstrapWait, replog.Config{}
		}
		config.Members = append(config.Members, replog.Member{ID: id, Name: name, Voter: true})
	}
	return bootstrapForm, config
}

// newResponse returns what this member knows of a group, as the response to another
// member's request. It starts a new round if the requester may compose the configuration and has a
// new member ID. b is nil once this member's log is no longer empty.
func (b *bootstrapState) newResponse(core *raft.Core, self replog.MemberID, requester string, id replog.MemberID) bootstrapResponse {
	if b != nil && b.mayCompose(requester) && id != b.composerIDs[requester] {
		b.composerIDs[requester] = id
		b.round++
	}
	config, first := core.DurableConfig()
	_, included := config.Find(id)
	return bootstrapResponse{ID: self, Bootstrap: b != nil && b.founder, Empty: b != nil, Exists: len(config.Members) > 0, Included: included, Config: first}
}
