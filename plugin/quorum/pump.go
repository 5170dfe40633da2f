package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// submit queues an input for the core and makes sure that the pump runs. It may
// be called from any goroutine without mu held. A full pool delays the input to
// the next tick.
func (q *Quorum) submit(f func(now raft.Instant)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.in = append(q.in, f)
	q.wake()
}

// wake schedules the pump; mu is held.
func (q *Quorum) wake() {
	if !q.scheduled && q.started && !q.stopping {
		q.scheduled = q.c.Next(pumpKey, q.pump) == nil
	}
}

// pump hands all inputs to the core and carries out what it decides. It runs as
// a job of one key.
func (q *Quorum) pump() {
	q.mu.Lock()
	if q.stopping {
		q.mu.Unlock()
		return
	}
	q.scheduled = false
	in := q.in
	q.in = nil
	now := q.now()
	for _, f := range in {
		f(now)
	}
	q.core.Tick(now)
	q.route(now)
	q.startBarriers(now)
	q.maintain(now)
	q.core.Flush(now)
	out := q.collect(now)
	q.mu.Unlock()
	q.sendAll(out)
	run(q.lockedCalls())
}

// collect takes the core's effects; mu is held.
func (q *Quorum) collect(now raft.Instant) map[string]*stepMessage {
	rd := q.core.Ready()
	if rd.Save != nil {
		q.disk.save = rd.Save
	}
	q.wakeDisk()
	if rd.CanApply {
		q.wakeApply()
	}
	q.readsDone(rd.Reads)
	q.expire(now)
	q.observe()
	return q.address(rd.Messages)
}

// observe logs changes of the leader; mu is held.
func (q *Quorum) observe() {
	v := leaderView{leader: q.core.Leader(), term: q.core.Term(), state: q.core.State(), lost: q.view.lost}
	if v == q.view {
		return
	}
	old := q.view
	if v.state == raft.Leader && old.state != raft.Leader {
		v.lost = make(chan struct{})
	}
	if v.state != raft.Leader && old.state == raft.Leader {
		close(v.lost)
		v.lost = nil
	}
	q.view = v
	if v.leader == old.leader && v.term == old.term {
		return
	}
	name, ev := q.nameOf(v.leader), evFollows
	switch {
	case v.leader == q.member:
		ev = evLeads
	case v.leader == 0 && old.leader != 0:
		ev = evNoLeader
	case v.leader == 0:
		return
	}
	if v.leader != 0 {
		q.metrics.elections.Inc()
	}
	q.call(func() { q.c.Log.Log(ev).Uint("term", v.term).Str("leader", name).Send() })
}

// call queues a function to be called without mu; mu is held.
func (q *Quorum) call(f func()) { q.calls = append(q.calls, f) }

func (q *Quorum) takeCalls() []func() {
	calls := q.calls
	q.calls = nil
	return calls
}

func (q *Quorum) lockedCalls() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.takeCalls()
}

func run(calls []func()) {
	for _, f := range calls {
		f()
	}
}

// address groups messages by the instance that they go to; mu is held.
func (q *Quorum) address(messages []raft.Message) map[string]*stepMessage {
	if len(messages) == 0 {
		return nil
	}
	out := map[string]*stepMessage{}
	for i := range messages {
		m := &messages[i]
		name := q.nameOf(m.To)
		if m.Type == raft.MsgSnapshot {
			q.startSnapshot(name, *m)
			continue
		}
		// Messages of one member to one instance; a replaced member has another ID.
		key := name + "/" + m.To.String()
		s := out[key]
		if s == nil {
			s = &stepMessage{From: q.member, To: m.To, name: name}
			out[key] = s
		}
		s.Messages = append(s.Messages, toWire(m))
		for j := range m.Entries {
			s.bytes += m.Entries[j].Size()
		}
	}
	return out
}

// largeMessage is the size in bytes from which a message is encoded in a job of
// its own, so that heartbeats do not wait for it.
const largeMessage = 64 << 10

// sendAll queues messages on the connections; what cannot be sent is lost.
func (q *Quorum) sendAll(out map[string]*stepMessage) {
	for _, s := range out {
		if s.bytes < largeMessage {
			q.sendOne(s)
			continue
		}
		_ = q.c.Next(pumpKey+"/send/"+s.name, func() { q.sendOne(s) }) // a full pool loses the message
	}
}

func (q *Quorum) sendOne(s *stepMessage) {
	q.mu.Lock()
	l := q.links[s.name]
	q.mu.Unlock()
	if l != nil {
		if c := l.Conn(); c != nil {
			_ = c.Notify("quorum.step", s) // a broken connection is seen by its link
		}
	}
}

// learnName remembers which instance a member is; mu is held.
func (q *Quorum) learnName(id replog.MemberID, name string) {
	if len(q.names) > 1024 {
		clear(q.names) // members come and go; names are learned again
	}
	q.names[id] = name
}
