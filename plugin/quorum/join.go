package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// askInterval is the pause between requests to join or to form a group.
const askInterval = raft.Instant(500 * time.Millisecond)

// askTimeout bounds the wait for an answer to such a request.
const askTimeout = 2 * time.Second

// maintain does what is neither replication nor reading: membership changes of
// the leader and the way of an instance into the group; mu is held.
func (q *Quorum) maintain(now raft.Instant) {
	if q.core.State() == raft.Leader {
		q.changeMembers(now)
		return
	}
	q.joins = nil
	if q.asked != 0 && now-q.asked < askInterval {
		return
	}
	q.asked = now
	switch {
	case q.found != nil:
		q.askFounding()
	case q.outside():
		q.askJoin()
	}
}

// outside reports whether the instance should ask the leader about its
// membership: it is no member, or no leader has spoken to it.
func (q *Quorum) outside() bool {
	config := q.core.CommittedConfig()
	_, member := config.Find(q.member)
	return !member || q.core.Leader() == 0
}

func (q *Quorum) changeMembers(now raft.Instant) {
	config := q.core.Config()
	if q.core.ConfigPending() {
		return
	}
	next, ok := q.nextChange(config)
	if !ok {
		q.joins = nil
		return
	}
	if q.core.ProposeConfig(now, next.Config) != nil {
		return // tried again at the next tick
	}
	q.joins = nil // whoever is not added by this change asks again
	q.call(func() {
		q.c.Log.Log(evMember).Str("change", next.What).Str("member", next.Member.ID.String()).Str("member_instance", next.Member.Name).Send()
	})
}

// nextChange decides the next membership change; mu is held.
func (q *Quorum) nextChange(config replog.Config) (raft.Change, bool) {
	if q.s.OpenVoters > 0 {
		if !raft.MayChangeOpen(&config, len(q.joins)) {
			return raft.Change{}, false
		}
		return raft.NextOpenChange(config, q.openGroup(), q.joins, q.core.Commit(), q.core.Progress())
	}
	if !raft.MayChange(&config, q.s.Voters, len(q.joins)) {
		return raft.Change{}, false
	}
	return raft.NextChange(config, q.s.Voters, q.joins, q.core.Commit(), q.core.Progress())
}

func (q *Quorum) openGroup() raft.OpenGroup {
	return raft.OpenGroup{
		Voters: q.s.OpenVoters, ReplaceAfter: raft.Instant(q.s.ReplaceAfter.D()), ForgetAfter: raft.Instant(q.s.ForgetAfter.D()),
	}
}

// ask calls every connected instance; mu is held. answer is called without it.
func (q *Quorum) ask(method string, params any, answer func(name string, raw []byte)) {
	for name, link := range q.links {
		if link == nil {
			continue
		}
		q.call(func() { q.askOne(link, name, method, params, answer) })
	}
}

func (q *Quorum) askOne(link *peer.Link, name, method string, params any, answer func(string, []byte)) {
	c := link.Conn()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	c.Go(ctx, method, params, func(raw []byte, err error) {
		cancel()
		if err == nil {
			answer(name, raw)
		}
	})
}

func (q *Quorum) askJoin() {
	config := q.core.CommittedConfig()
	_, member := config.Find(q.member)
	if !member && !q.joining { // logged once, the request is repeated
		q.call(func() { q.c.Log.Log(evJoining).Str("member", q.member.String()).Send() })
	}
	q.joining = !member
	m := joinMessage{ID: q.member, Commit: q.core.Commit(), Member: member, AvailabilityZone: q.c.Instance.AvailabilityZone}
	q.ask("quorum.join", m, func(_ string, raw []byte) {
		var a joinAnswer
		if json.Unmarshal(raw, &a) == nil && a.Removed {
			q.c.Log.Log(evRemoved).Str("member", q.member.String()).Send()
			q.c.Fail(errors.Newf("member %s was removed from the group; start with an empty data folder", q.member))
		}
	})
}

// onJoin handles a request to be added. Only the leader answers it.
func (q *Quorum) onJoin(c *rpc.Conn, r *rpc.Request) {
	var m joinMessage
	if err := r.Decode(&m); err != nil || m.ID == 0 {
		r.Fail(rpc.CodeMalformed, errors.New("request to join is malformed"))
		return
	}
	name := c.Peer
	q.submit(func(raft.Instant) {
		a, err := q.join(m, name)
		q.call(func() {
			if err != nil {
				r.Fail(rpc.CodeNotLeader, err)
				return
			}
			r.Reply(a)
		})
	})
}

func (q *Quorum) join(m joinMessage, name string) (joinAnswer, error) {
	if q.core.State() != raft.Leader {
		return joinAnswer{}, raft.ErrNotLeader
	}
	if _, known := q.links[name]; !known && !q.peer.Open() {
		return joinAnswer{}, errors.Newf("instance %q is not in the list of instances", name)
	}
	q.call(func() { q.peer.LearnName(name, m.AvailabilityZone) })
	q.learnName(m.ID, name)
	config := q.core.Config()
	if _, ok := config.Find(m.ID); ok {
		return joinAnswer{}, nil
	}
	committed := q.core.CommittedConfig()
	if _, ok := committed.Find(m.ID); q.s.OpenVoters == 0 && m.Member && !ok && m.Commit <= q.core.Commit() {
		return joinAnswer{Removed: true}, nil
	}
	q.joins = raft.AddJoin(q.joins, replog.Member{ID: m.ID, Name: name})
	return joinAnswer{}, nil
}

// askFounding asks the other instances whether a group exists and who forms one.
func (q *Quorum) askFounding() {
	step, config := q.found.compose() // a group of one asks nobody
	q.founding(q.now(), step, config)
	if q.found == nil {
		return
	}
	round := q.found.round
	q.ask("quorum.found", foundMessage{ID: q.member}, func(name string, raw []byte) {
		var a foundAnswer
		if json.Unmarshal(raw, &a) != nil {
			return
		}
		q.submit(func(now raft.Instant) {
			if q.found != nil {
				step, config := q.found.hear(round, name, a)
				q.founding(now, step, config)
			}
		})
	})
}

// founding carries out a step towards the group; mu is held.
func (q *Quorum) founding(now raft.Instant, step foundingStep, config replog.Config) {
	switch step {
	case foundWait:
		return
	case foundRefuse:
		if q.s.OpenVoters > 0 {
			break // the instance joins the group that exists
		}
		q.call(func() {
			q.c.Log.Log(evRefused).Send()
			q.c.Fail(errors.New("a group exists that this member is not part of; start without --bootstrap"))
		})
	case foundForm:
		if q.core.Found(now, config) {
			q.call(func() { q.c.Log.Log(evFounded).Int("voters", len(config.Members)).Send() })
		}
	case foundFollow:
	}
	q.found = nil
}

// onFound tells another instance what is known of a group.
func (q *Quorum) onFound(c *rpc.Conn, r *rpc.Request) {
	var m foundMessage
	if err := r.Decode(&m); err != nil {
		r.Fail(rpc.CodeMalformed, err)
		return
	}
	q.submit(func(raft.Instant) {
		a := q.found.answer(q.core, q.member, c.Peer, m.ID)
		q.call(func() { r.Reply(a) })
	})
}
