package raft

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Propose appends an entry and returns its index and term, which identify it: if an entry of a
// different term is committed at the index, the proposal will never be applied.
func (c *Core) Propose(now Instant, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.state != Leader || c.leaderState.transferTarget != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.leaderState.uncommittedBytes > 0 && c.leaderState.uncommittedBytes+len(data) > c.opts.MaxUncommittedBytes {
		return 0, 0, ErrOverloaded
	}
	if c.log.unsavedBytes > 0 && c.log.unsavedBytes+len(data) > c.opts.MaxUnsavedBytes {
		return 0, 0, ErrOverloaded // others may have committed the entries, but the disk of this member hangs
	}
	index = c.append(replog.Entry{Kind: replog.KindData, Data: data})
	return index, c.term, nil
}

// ProposeConfig appends a configuration. The configuration may add or remove at most one voter,
// and both the previous change and an entry of the current term must be committed; otherwise two
// majorities might not overlap.
func (c *Core) ProposeConfig(now Instant, config replog.Config) error {
	c.now = now
	switch {
	case c.state != Leader || c.leaderState.transferTarget != 0:
		return ErrNotLeader
	case c.HasPendingConfig() || !c.hasCommittedInTerm():
		return ErrConfigPending
	case countVoterChanges(c.log.config(), &config) > 1:
		return ErrMultipleVoterChanges
	}
	c.append(replog.Entry{Kind: replog.KindConfig, Config: &config})
	c.syncProgress()
	c.broadcastAppend()
	return nil
}

func (c *Core) hasCommittedInTerm() bool { return c.log.matches(c.log.commit, c.term) }

func countVoterChanges(a, b *replog.Config) int {
	n := 0
	for _, id := range a.VoterIDs() {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.VoterIDs() {
		if !a.IsVoter(id) {
			n++
		}
	}
	return n
}

func (c *Core) append(e replog.Entry) uint64 {
	e.Index, e.Term = c.log.lastIndex()+1, c.term
	c.log.push(e)
	c.leaderState.uncommittedBytes += e.Size()
	return e.Index
}

// tickLeader sends heartbeats that are due and ends a leadership transfer that has timed out. It
// steps down if no majority has responded within the minimum election timeout.
func (c *Core) tickLeader() {
	if c.leaderState.transferTarget != 0 && c.now >= c.leaderState.transferDeadline {
		c.leaderState.transferTarget = 0
	}
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.now >= c.leaderState.nextHeartbeat {
		c.startHeartbeatRound()
	}
}

// hasActiveQuorum reports whether a majority, including this member, has responded within the
// minimum election timeout. A new leader has this time to reach the others.
func (c *Core) hasActiveQuorum() bool {
	if c.now-c.leaderState.electedAt < c.opts.ElectionTimeout {
		return true
	}
	oldest := c.quorumValue(uint64(c.now), func(p *progress) uint64 { return uint64(p.lastContact) })
	return c.now-Instant(oldest) < c.opts.ElectionTimeout
}

// startHeartbeatRound sends a heartbeat to the voters, and also to the learners if the interval
// of their heartbeats has elapsed.
func (c *Core) startHeartbeatRound() {
	c.leaderState.round++
	c.leaderState.unconfirmedRounds = append(c.leaderState.unconfirmedRounds, heartbeatRound{c.leaderState.round, c.now})
	c.leaderState.nextHeartbeat = c.now + c.opts.HeartbeatInterval
	c.assignQueuedReads()
	includeLearners := c.now >= c.leaderState.nextLearnerHeartbeat
	if includeLearners {
		c.leaderState.nextLearnerHeartbeat = c.now + c.opts.LearnerHeartbeatInterval
	}
	for _, m := range c.log.config().Members {
		if m.ID != c.opts.ID && (m.Voter || includeLearners) {
			c.sendHeartbeat(m.ID, c.leaderState.progress[m.ID])
		}
	}
	c.confirmRounds()
}

func (c *Core) sendHeartbeat(id replog.MemberID, p *progress) {
	m := Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, c.log.commit), Round: c.leaderState.round}
	if m.Commit == c.log.commit {
		m.Echo = p.echo
		p.sentCommit = m.Commit
	}
	c.send(m)
}

// broadcastAppend sends new entries and the commit index to all members. It then tries to advance
// the commit index, because in a group of one voter no response would do that.
func (c *Core) broadcastAppend() {
	for _, m := range c.log.config().Members {
		if m.ID != c.opts.ID {
			c.sendAppend(m.ID, c.leaderState.progress[m.ID])
		}
	}
	c.maybeCommit()
}

// sendAppend sends as many entries as flow control allows, or a snapshot if the entries are
// compacted. Without entries to send, it sends an empty append if the current commit index has not
// been sent to the member or the member is being probed.
func (c *Core) sendAppend(id replog.MemberID, p *progress) {
	for p.state != progressSnapshot && !p.paused {
		term, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendSnapshot(id, p)
			return
		}
		var entries []replog.Entry
		if len(p.inflight) < c.opts.MaxInflightAppends && p.inflightBytes < c.opts.MaxInflightBytes {
			entries = c.log.slice(p.next, c.log.lastIndex(), c.opts.MaxBatchBytes)
		}
		probing := p.state == progressProbe
		if len(entries) == 0 && p.sentCommit >= c.log.commit && !probing {
			return
		}
		m := Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.log.commit, Round: c.leaderState.round, Echo: p.echo}
		p.sentCommit = c.log.commit
		c.send(m)
		if probing {
			p.paused = true
			return
		}
		if len(entries) == 0 {
			return
		}
		p.next += uint64(len(entries))
		size := 0
		for i := range entries {
			size += entries[i].Size()
		}
		p.inflight = append(p.inflight, sentAppend{p.next - 1, size})
		p.inflightBytes += size
	}
}

func (c *Core) sendSnapshot(id replog.MemberID, p *progress) {
	if !p.hasResponded || c.now-p.lastContact >= c.opts.ElectionTimeout {
		p.paused = true // until the member responds, because it may be down
		return
	}
	s := c.log.snapshot
	p.state, p.pendingSnapshot = progressSnapshot, s.Index
	c.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s, Round: c.leaderState.round})
}

// ReportReachable records that the connection to a member has been re-established. Messages that
// were in flight on the old connection are assumed to be lost.
func (c *Core) ReportReachable(now Instant, id replog.MemberID) {
	c.now = now
	p := c.leaderState.progress[id]
	if c.state != Leader || p == nil || p.state == progressSnapshot {
		return
	}
	p.becomeProbe()
	c.sendAppend(id, p)
}

// TransferLeadership starts a transfer of leadership to the active voter with the most complete
// log. That voter starts an election once it has the whole log. Proposals are rejected until the
// transfer ends, for at most one minimum election timeout. TransferLeadership returns false if
// this member is not the leader or no other voter is active. It does nothing while a transfer is in progress.
func (c *Core) TransferLeadership(now Instant) bool {
	c.now = now
	if c.state != Leader {
		return false
	}
	if c.leaderState.transferTarget != 0 {
		return true
	}
	var best replog.MemberID
	for _, id := range c.log.config().VoterIDs() {
		p := c.leaderState.progress[id]
		if p == nil || p.blocked || !p.hasResponded || c.now-p.lastContact >= c.opts.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > c.leaderState.progress[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	c.leaderState.transferTarget, c.leaderState.transferDeadline = best, now+c.opts.ElectionTimeout
	c.tryTransfer()
	return true
}

func (c *Core) tryTransfer() {
	p := c.leaderState.progress[c.leaderState.transferTarget]
	if p != nil && p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: c.leaderState.transferTarget})
	}
}

// maybeCommit advances the commit index to the highest entry of the current term that a majority
// has saved, and sends the new index to the members immediately.
func (c *Core) maybeCommit() {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit || !c.log.matches(index, c.term) {
		return
	}
	c.commitTo(index)
	c.maybeStartReadRound()
	for _, m := range c.log.config().Members {
		if m.ID != c.opts.ID {
			c.sendAppend(m.ID, c.leaderState.progress[m.ID])
		}
	}
	// A leader that is no longer a voter steps down once its removal is committed.
	if !c.HasPendingConfig() && !slices.Contains(c.log.config().VoterIDs(), c.opts.ID) {
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) commitTo(index uint64) {
	for _, e := range c.log.slice(c.log.commit+1, index, 1<<62) {
		c.leaderState.uncommittedBytes -= e.Size()
	}
	c.leaderState.uncommittedBytes = max(c.leaderState.uncommittedBytes, 0)
	c.log.commit = index
}
