package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// submit queues a function that passes an input to the core, and schedules pump. It may be called
// from any goroutine that does not hold mu. If the pool is full, the input waits for the next tick.
func (q *Quorum) submit(f func(now raft.Instant)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingInputs = append(q.pendingInputs, f)
	q.schedulePump()
}

// schedulePump queues pump on the pool; mu is held.
func (q *Quorum) schedulePump() {
	if !q.pumpScheduled && q.started && !q.stopping {
		q.pumpScheduled = q.c.TryGo(pumpKey, q.pump) == nil
	}
}

// pump passes all inputs to the core and carries out the core's decisions. All its jobs have
// the same key, so they never run concurrently.
func (q *Quorum) pump() {
	q.mu.Lock()
	if q.stopping {
		q.mu.Unlock()
		return
	}
	q.pumpScheduled = false
	in := q.pendingInputs
	q.pendingInputs = nil
	now := q.now()
	for _, f := range in {
		f(now)
	}
	q.core.Tick(now)
	q.learnMembers()
	q.routeProposals(now)
	q.startBarriers(now)
	q.maintainMembership(now)
	q.leaveSlowDisk(now)
	q.core.Flush(now)
	out := q.handleReady(now)
	q.mu.Unlock()
	q.sendMessages(out)
	runCalls(q.lockAndTakeDeferred())
}

// leaveSlowDisk passes the leadership on if the disk of this instance falls behind those of a majority; mu is held. The group
// would otherwise wait for this disk once UnsavedBytes are reached, although the others can go on without it.
func (q *Quorum) leaveSlowDisk(now raft.Instant) {
	if q.core.State() == raft.Leader && q.core.UnsavedBytes() > q.s.UnsavedBytes/2 && q.core.CommittedUnsavedBytes() > q.s.UnsavedBytes/2 {
		q.core.TransferLeadership(now)
	}
}

// measureLog reads a measure of the log; 0 before the start.
func (q *Quorum) measureLog(read func(*raft.Core) int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core == nil {
		return 0
	}
	return read(q.core)
}

// handleReady carries out the core's decisions and returns the messages to send; mu is
// held.
func (q *Quorum) handleReady(now raft.Instant) map[string]*stepMessage {
	rd := q.core.Ready()
	if rd.Save != nil {
		q.disk.save = rd.Save
	}
	q.scheduleDisk()
	if rd.CanApply {
		q.scheduleApply()
	}
	q.handleReads(rd.Reads)
	q.expire(now)
	q.observeLeader()
	return q.groupMessages(rd.Messages)
}

// observeLeader logs and counts changes of the leader, and creates or closes
// leadershipLost; mu is held.
func (q *Quorum) observeLeader() {
	current := leaderState{leader: q.core.Leader(), term: q.core.Term(), state: q.core.State(), leadershipLost: q.leaderState.leadershipLost}
	if current == q.leaderState {
		return
	}
	old := q.leaderState
	if current.state == raft.Leader && old.state != raft.Leader {
		current.leadershipLost = make(chan struct{})
	}
	if current.state != raft.Leader && old.state == raft.Leader {
		close(current.leadershipLost)
		current.leadershipLost = nil
	}
	q.leaderState = current
	if current.leader == old.leader && current.term == old.term {
		return
	}
	name, ev := q.nameOf(current.leader), evFollower
	switch {
	case current.leader == q.memberID:
		ev = evLeader
	case current.leader == 0 && old.leader != 0:
		ev = evNoLeader
	case current.leader == 0:
		return
	}
	if current.leader != 0 {
		q.metrics.leaderChanges.Inc()
	}
	q.afterUnlock(func() { q.c.Log.Log(ev).Uint("term", current.term).Str("leader", name).Send() })
}

// afterUnlock queues a function to be called once mu is released; mu is held.
func (q *Quorum) afterUnlock(f func()) { q.deferredFuncs = append(q.deferredFuncs, f) }

// takeDeferred returns and clears the queued calls; mu is held.
func (q *Quorum) takeDeferred() []func() {
	calls := q.deferredFuncs
	q.deferredFuncs = nil
	return calls
}

// lockAndTakeDeferred is takeDeferred for callers that do not hold mu.
func (q *Quorum) lockAndTakeDeferred() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.takeDeferred()
}

func runCalls(calls []func()) {
	for _, f := range calls {
		f()
	}
}

// groupMessages groups messages by their receiver. For a snapshot it starts a separate
// transfer instead, so snapshots are not among the returned messages; mu is held.
func (q *Quorum) groupMessages(messages []raft.Message) map[string]*stepMessage {
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
		// A replaced member and its replacement may have the same instance name, but have
		// different IDs.
		key := name + "/" + m.To.String()
		s := out[key]
		if s == nil {
			s = &stepMessage{From: q.memberID, To: m.To, name: name}
			out[key] = s
		}
		bytes := 0
		for j := range m.Entries {
			bytes += m.Entries[j].Size()
		}
		s.add(toWire(m), bytes)
	}
	return out
}

// largeMessageBytes is the size of entries from which a message is encoded in a separate
// job, so that encoding it does not delay heartbeats.
const largeMessageBytes = 64 << 10

// sendMessages queues messages on the connections. Messages that cannot be sent are
// lost.
func (q *Quorum) sendMessages(out map[string]*stepMessage) {
	for _, s := range out {
		if s.bytes < largeMessageBytes {
			q.sendMessage(s)
			continue
		}
		_ = q.c.TryGo(pumpKey+"/send/"+s.name, func() { q.sendMessage(s) }) // the message is lost if the pool is full
	}
}

func (q *Quorum) sendMessage(s *stepMessage) {
	q.mu.Lock()
	link := q.links[s.name]
	q.mu.Unlock()
	if link == nil {
		return
	}
	for _, part := range s.split(largeMessageBytes) {
		c := link.Conn()
		if c == nil {
			return
		}
		m, err := rpc.NewMessage("quorum.step", part)
		if err != nil {
			q.c.Log.Log(evNotEncoded).Str("instance", s.name).Err(err).Send()
			continue
		}
		_ = c.Send(m) // the link detects a broken connection
	}
}

// learnName records the instance name of a member; mu is held.
func (q *Quorum) learnName(id replog.MemberID, name string) {
	if len(q.memberNames) > 1024 {
		clear(q.memberNames) // bounds the map; names in use are learned again
	}
	q.memberNames[id] = name
}
