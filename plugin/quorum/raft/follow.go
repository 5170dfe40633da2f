package raft

import "github.com/celeryyard/celeryyard/core/replog"

// handleAppend checks that the log matches the leader's log at the position before the new
// entries and merges these. The response is sent once the entries are saved.
func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.commit {
		c.acknowledgeAppend(m, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, hintTerm := c.log.findConflictByTerm(max(m.Index, 1)-1, m.LogTerm)
		c.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: hint, HintTerm: hintTerm, Round: m.Round, Timestamp: c.now})
		return
	}
	if c.diskBlocked && c.log.unsavedBytes > c.opts.MaxUnsavedBytes {
		m.Entries = nil
	}
	c.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.recordEcho(m)
	c.acknowledgeAppend(m, last)
}

func (c *Core) acknowledgeAppend(m Message, match uint64) {
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: match, Round: m.Round, Timestamp: c.now})
}

func (c *Core) handleHeartbeat(m Message) {
	// The leader's commit index in a heartbeat is at most the index that this member has
	// acknowledged, so the logs match up to that index.
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.lastIndex()))
	c.recordEcho(m)
	resp := Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Timestamp: c.now}
	if c.diskBlocked {
		resp.Reject, resp.Hint, resp.HintTerm = true, c.log.lastIndex(), c.log.lastTerm()
		if c.log.unsavedBytes > c.opts.MaxUnsavedBytes {
			resp.Hint, resp.HintTerm = 0, 0 // accepts no entries
		}
	}
	c.send(resp)
}

// recordEcho records that this member's commit index was current at the echoed instant of this
// member's clock. That holds only if the member has reached the commit index in the message.
func (c *Core) recordEcho(m Message) {
	if m.Echo != 0 && c.log.commit >= m.Commit {
		c.MarkCommitCurrent(m.Echo)
	}
}

// handleSnapshot replaces the log unless it already contains the last entry of the snapshot.
func (c *Core) handleSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case s == nil:
		return
	case s.Index <= c.log.commit:
		c.acknowledgeAppend(m, c.log.commit)
		return
	case c.log.matches(s.Index, s.Term):
		c.log.commit = s.Index
		c.acknowledgeAppend(m, s.Index)
		return
	}
	c.unsavedSnapshot, c.unappliedSnapshot = s, nil
	c.log.restore(*s)
	c.acknowledgeAppend(m, s.Index)
}

// recordContact records a response of a member and returns the progress of that member. It
// returns nil if this member is not the leader or does not track the sender.
func (c *Core) recordContact(m Message) *progress {
	if c.state != Leader {
		return nil
	}
	p := c.leaderState.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastContact, p.hasResponded = c.now, true
	p.ackedRound = max(p.ackedRound, min(m.Round, c.leaderState.round))
	if p.timestampRound == 0 {
		p.timestamp, p.timestampRound = m.Timestamp, c.leaderState.round+1
	}
	c.confirmRounds()
	return p
}

func (c *Core) handleAppendResp(m Message) {
	p := c.recordContact(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return // no member has more entries than the leader of its term
	}
	advanced := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	switch {
	case p.state == progressProbe:
		p.becomeReplicate()
	case p.state == progressSnapshot && p.match >= p.pendingSnapshot:
		p.becomeReplicate()
	default:
		p.releaseInflight(p.match)
	}
	if advanced {
		c.maybeCommit()
	}
	if c.state != Leader {
		return
	}
	c.sendAppend(m.From, p)
	if c.leaderState.transferTarget == m.From {
		c.tryTransfer()
	}
}

// handleReject moves the next index back to follow the last position that may match, and sends
// another append there.
func (c *Core) handleReject(m Message, p *progress) {
	switch p.state {
	case progressSnapshot:
		return
	case progressReplicate:
		if m.Index <= p.match {
			return // outdated response
		}
		p.becomeProbe()
	case progressProbe:
		if m.Index != p.next-1 {
			return // outdated response
		}
		hint, _ := c.log.findConflictByTerm(m.Hint, m.HintTerm)
		if m.Hint < c.log.base {
			hint = m.Hint // the entry is compacted: a snapshot is needed
		}
		p.next = max(min(hint, m.Index-1), p.match) + 1
	}
	p.paused = false
	c.sendAppend(m.From, p)
}

// handleHeartbeatResp resumes sending to the member. If appends to it are still unanswered, they may
// have been lost. The leader then sends an empty append for the position after them: a rejection
// reveals the gap.
func (c *Core) handleHeartbeatResp(m Message) {
	p := c.recordContact(m)
	if p == nil || p.state == progressSnapshot || c.state != Leader {
		return
	}
	p.paused = false
	p.setBlocked(m.Reject, c.now)
	if p.blocked && m.Hint == 0 {
		p.paused = true // the member has no room in memory either
		return
	}
	if p.blocked && c.log.matches(m.Hint, m.HintTerm) {
		// The member acknowledges nothing, but holds the entries up to the hint in memory.
		p.becomeProbe()
		p.next = max(p.next, m.Hint+1)
	}
	if p.state == progressReplicate && p.match < p.next-1 {
		if term, ok := c.log.term(p.next - 1); ok {
			c.send(Message{Type: MsgAppend, To: m.From, Index: p.next - 1, LogTerm: term, Commit: c.log.commit, Round: c.leaderState.round})
			return
		}
		p.becomeProbe() // the entry has been compacted: a snapshot follows
	}
	if p.match < c.log.lastIndex() || p.sentCommit < c.log.commit {
		c.sendAppend(m.From, p)
	}
}

// ReportSnapshotSent records whether the snapshot for a member was sent in full. Replication resumes
// with the member's response to the snapshot or to the next heartbeat.
func (c *Core) ReportSnapshotSent(id replog.MemberID, ok bool) {
	p := c.leaderState.progress[id]
	if c.state != Leader || p == nil || p.state != progressSnapshot {
		return
	}
	if ok {
		p.next = max(p.pendingSnapshot, p.match) + 1
		p.state, p.inflight, p.inflightBytes = progressProbe, nil, 0
	} else {
		p.becomeProbe()
	}
	p.paused = true
}

// Bootstrap makes this member one of the initial members of a new group. All of them start with
// the same configuration at index 1 in term 1. It does nothing and returns false if the member
// already belongs to a group or is not a voter of the configuration.
func (c *Core) Bootstrap(now Instant, config replog.Config) bool {
	c.now = now
	if c.log.lastIndex() > 0 || c.unsavedSnapshot != nil || !config.IsVoter(c.opts.ID) {
		return false
	}
	s := &replog.Snapshot{Index: 1, Term: 1, Config: config}
	c.term = max(c.term, 1)
	c.unsavedSnapshot = s
	c.log.restore(*s)
	c.resetElectionDeadline()
	return true
}

// DurableConfig returns the newest configuration and the first one of the group. first is nil
// once a later snapshot has replaced it. Both are empty while the first configuration or a
// received snapshot is not yet saved: others must not learn a configuration that a crash may
// undo, because this member could then choose a different one.
func (c *Core) DurableConfig() (config replog.Config, first *replog.Config) {
	if c.unsavedSnapshot != nil {
		return replog.Config{}, nil
	}
	if c.log.snapshot.Index == 1 {
		config := c.log.snapshot.Config
		first = &config
	}
	return c.Config(), first
}
