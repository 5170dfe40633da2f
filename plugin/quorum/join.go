package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// requestInterval is the minimum time between requests to join or to form a group.
const requestInterval = raft.Instant(500 * time.Millisecond)

// requestTimeout bounds the wait for the response to a request to join or to form a group.
const requestTimeout = 2 * time.Second

// fewVotersDelay is the time for which a group may have too few voters before that is logged. An
// instance that replaces a voter needs about ReplaceAfter.
const fewVotersDelay = raft.Instant(5 * time.Second)

// maintainMembership proposes membership changes on the leader; on other instances it
// sends the requests that form or join a group; mu is held.
func (q *Quorum) maintainMembership(now raft.Instant) {
	if q.core.State() == raft.Leader {
		q.proposeNextChange(now)
		return
	}
	q.pendingJoins = nil
	if q.lastRequest != 0 && now-q.lastRequest < requestInterval {
		return
	}
	q.lastRequest = now
	if q.bootstrap != nil && q.core.LastIndex() > 0 {
		q.bootstrap = nil // the group has added this instance
	}
	if q.bootstrap != nil {
		q.requestBootstrap()
	}
	if (q.bootstrap == nil || !q.bootstrap.founder) && q.shouldRequestJoin() {
		q.requestJoin()
	}
}

// shouldRequestJoin reports whether the instance should send requests to join: it is not a
// member, or it knows no leader. In the second case, the response may tell it that it has been
// removed from the group.
func (q *Quorum) shouldRequestJoin() bool {
	config := q.core.CommittedConfig()
	_, isMember := config.Find(q.memberID)
	return !isMember || q.core.Leader() == 0
}

// proposeNextChange proposes the next membership change, if any; mu is held.
func (q *Quorum) proposeNextChange(now raft.Instant) {
	config := q.core.Config()
	if q.core.HasPendingConfig() {
		return
	}
	q.observeVoters(now, len(config.VoterIDs()))
	next, ok := q.nextChange(config)
	if !ok {
		q.pendingJoins = nil
		return
	}
	if q.core.ProposeConfig(now, next.Config) != nil {
		return // retried at the next tick
	}
	q.pendingJoins = nil // instances that this change does not add request again
	q.afterUnlock(func() {
		q.c.Log.Log(evMembershipChange).Str("change", next.Action).Str("member", next.Member.ID.String()).Str("member_instance", next.Member.Name).Send()
	})
}

// observeVoters logs on the leader of an open group when the group has had too few voters for
// fewVotersDelay, and when it has enough again; mu is held.
func (q *Quorum) observeVoters(now raft.Instant, voters int) {
	switch {
	case voters >= q.s.targetVoters():
		if q.fewVotersLogged {
			q.afterUnlock(func() { q.c.Log.Log(evEnoughVoters).Int("voters", voters).Send() })
		}
		q.fewVotersSince, q.fewVotersLogged = 0, false
	case q.fewVotersSince == 0:
		q.fewVotersSince = now
	case !q.fewVotersLogged && now-q.fewVotersSince >= fewVotersDelay:
		q.fewVotersLogged = true
		q.afterUnlock(func() {
			q.c.Log.Log(evFewVoters).Int("voters", voters).Int("wanted", q.s.targetVoters()).Int("tolerated_now", (voters-1)/2).Send()
		})
	}
}

// nextChange returns the next membership change, if any; mu is held.
func (q *Quorum) nextChange(config replog.Config) (raft.Change, bool) {
	if q.s.OpenVoters > 0 {
		o := q.openGroupOptions()
		if !raft.MayNeedOpenGroupChange(&config, o.TargetVoters, len(q.pendingJoins)) {
			return raft.Change{}, false
		}
		return raft.NextOpenGroupChange(config, o, q.pendingJoins, q.core.CommitIndex(), q.core.Progress())
	}
	if !raft.MayNeedChange(&config, q.s.Voters, len(q.pendingJoins)) {
		return raft.Change{}, false
	}
	return raft.NextChange(config, q.s.Voters, q.pendingJoins, q.core.CommitIndex(), q.core.Progress())
}

func (q *Quorum) openGroupOptions() raft.OpenGroupOptions {
	return raft.OpenGroupOptions{
		TargetVoters: q.s.targetVoters(), ReplaceVoterAfter: raft.Instant(q.s.ReplaceAfter.AsDuration()),
		RemoveLearnerAfter: raft.Instant(q.s.ForgetAfter.AsDuration()), Zones: q.zones,
	}
}

// learnZone records the availability zone of an instance, by which the leader spreads the voters.
func (q *Quorum) learnZone(m peer.Member) {
	if m.AvailabilityZone != "" {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.zones[m.Name] = m.AvailabilityZone
	}
}

// requestAll sends a request to every connected instance; mu is held. onResponse is called
// with each response that is not an error, without mu.
func (q *Quorum) requestAll(method string, params any, onResponse func(name string, raw []byte)) {
	for name, link := range q.links {
		if link == nil {
			continue
		}
		q.afterUnlock(func() { q.requestFrom(link, name, method, params, onResponse) })
	}
}

func (q *Quorum) requestFrom(link *peer.Link, name, method string, params any, onResponse func(string, []byte)) {
	c := link.Conn()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	c.CallAsync(ctx, method, params, func(raw []byte, err error) {
		cancel()
		if err == nil {
			onResponse(name, raw)
		}
	})
}

func (q *Quorum) requestJoin() {
	config := q.core.CommittedConfig()
	_, isMember := config.Find(q.memberID)
	if !isMember && !q.joining { // logged once, although the request is repeated
		q.afterUnlock(func() { q.c.Log.Log(evJoinRequested).Str("member", q.memberID.String()).Send() })
	}
	q.joining = !isMember
	m := joinRequest{ID: q.memberID, Commit: q.core.CommitIndex(), Member: isMember, AvailabilityZone: q.c.Instance.AvailabilityZone}
	q.requestAll("quorum.join", m, func(_ string, raw []byte) {
		var resp joinResponse
		if json.Unmarshal(raw, &resp) != nil {
			return
		}
		for _, name := range resp.Instances {
			q.peer.LearnByName(name, "")
		}
		if resp.Removed {
			q.c.Log.Log(evMemberRemoved).Str("member", q.memberID.String()).Send()
			q.c.Fail(errors.Newf("member %s was removed from the group; start with an empty data folder", q.memberID))
		}
	})
}

// learnMembers connects this instance to every member of the newest configuration of an open group;
// mu is held. An instance learns of the others from its seeds only, and these may not be the ones
// that lead, vote or hold endpoint records.
func (q *Quorum) learnMembers() {
	config := q.core.Config()
	if !q.peer.IsOpenFleet() || slices.Equal(config.Members, q.learnedMembers) {
		return
	}
	q.learnedMembers = config.Members
	q.afterUnlock(func() {
		for _, m := range config.Members {
			q.peer.LearnByName(m.Name, "")
		}
	})
}

// onJoin handles a request to join. Only the leader accepts it. Any member of an open group answers
// with the instances that it knows, one of which may be the leader.
func (q *Quorum) onJoin(c *rpc.Conn, r *rpc.Request) {
	var m joinRequest
	if err := r.Decode(&m); err != nil || m.ID == 0 {
		r.ReplyError(rpc.CodeInvalidParams, errors.New("join request is malformed"))
		return
	}
	name := c.Peer
	q.submit(func(raft.Instant) {
		resp, err := q.registerJoin(m, name)
		if q.peer.IsOpenFleet() {
			resp.Instances = q.memberInstances()
			if errors.Is(err, raft.ErrNotLeader) && len(resp.Instances) > 0 {
				err = nil
			}
		}
		q.afterUnlock(func() {
			if err != nil {
				r.ReplyError(rpc.CodeNotLeader, err)
				return
			}
			r.Reply(resp)
		})
	})
}

// memberInstances returns the instance names of the members of the group; mu is held.
func (q *Quorum) memberInstances() []string {
	var names []string
	for _, m := range q.core.Config().Members {
		names = append(names, m.Name)
	}
	return names
}

// registerJoin queues an instance to be added to the group by a membership change, unless it
// is a member. A former member of a group with listed voters is not queued: the response
// reports that it was removed; mu is held.
func (q *Quorum) registerJoin(m joinRequest, name string) (joinResponse, error) {
	q.afterUnlock(func() { q.peer.LearnByName(name, m.AvailabilityZone) })
	if q.core.State() != raft.Leader {
		return joinResponse{}, raft.ErrNotLeader
	}
	if _, known := q.links[name]; !known && !q.peer.IsOpenFleet() {
		return joinResponse{}, errors.Newf("instance %q is not in the list of instances", name)
	}
	q.learnName(m.ID, name)
	config := q.core.Config()
	if _, ok := config.Find(m.ID); ok {
		return joinResponse{}, nil
	}
	committed := q.core.CommittedConfig()
	if _, ok := committed.Find(m.ID); q.s.OpenVoters == 0 && m.Member && !ok && m.Commit <= q.core.CommitIndex() {
		return joinResponse{Removed: true}, nil
	}
	q.pendingJoins = raft.AddJoinRequest(q.pendingJoins, replog.Member{ID: m.ID, Name: name})
	return joinResponse{}, nil
}

// requestBootstrap asks the other instances whether a group exists and whether their logs are
// empty; mu is held.
func (q *Quorum) requestBootstrap() {
	step, config := q.bootstrap.composeConfig() // a group of one voter needs no responses
	q.runBootstrapStep(q.now(), step, config)
	if q.bootstrap == nil {
		return
	}
	round := q.bootstrap.round
	q.requestAll("quorum.found", bootstrapRequest{ID: q.memberID}, func(name string, raw []byte) {
		var resp bootstrapResponse
		if json.Unmarshal(raw, &resp) != nil {
			return
		}
		q.submit(func(now raft.Instant) {
			if q.bootstrap != nil {
				step, config := q.bootstrap.handleResponse(round, name, resp)
				q.runBootstrapStep(now, step, config)
			}
		})
	})
}

// runBootstrapStep carries out a step of the bootstrap; mu is held.
func (q *Quorum) runBootstrapStep(now raft.Instant, step bootstrapStep, config replog.Config) {
	switch step {
	case bootstrapWait:
		return
	case bootstrapRefuse:
		if q.s.OpenVoters > 0 || !q.c.Bootstrap {
			break // the instance joins the existing group
		}
		q.afterUnlock(func() {
			q.c.Log.Log(evBootstrapRefused).Send()
			q.c.Fail(errors.New("a group exists that this member is not part of; start without --bootstrap"))
		})
	case bootstrapForm:
		if q.core.Bootstrap(now, config) {
			q.afterUnlock(func() { q.c.Log.Log(evGroupFormed).Int("voters", len(config.Members)).Send() })
		}
	case bootstrapFollow:
	}
	q.bootstrap = nil
}

// onBootstrap handles the request of a bootstrapping instance.
func (q *Quorum) onBootstrap(c *rpc.Conn, r *rpc.Request) {
	var m bootstrapRequest
	if err := r.Decode(&m); err != nil {
		r.ReplyError(rpc.CodeInvalidParams, err)
		return
	}
	q.submit(func(raft.Instant) {
		resp := q.bootstrap.newResponse(q.core, q.memberID, c.Peer, m.ID)
		q.afterUnlock(func() { r.Reply(resp) })
	})
}
