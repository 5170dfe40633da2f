package raft

import "github.com/celeryyard/celeryyard/core/replog"

// handleAppend checks that the log matches the leader's before the new entries
// and merges them. The answer waits until they are saved.
func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.commit {
		c.answerAppend(m, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, hintTerm := c.log.lastNotAbove(max(m.Index, 1)-1, m.LogTerm)
		c.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: hint, HintTerm: hintTerm, Round: m.Round, Stamp: c.now})
		return
	}
	c.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.hearEcho(m)
	c.answerAppend(m, last)
}

func (c *Core) answerAppend(m Message, match uint64) {
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: match, Round: m.Round, Stamp: c.now})
}

func (c *Core) handleHeartbeat(m Message) {
	// The leader counts only positions this member has acknowledged, so they match.
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.last()))
	c.hearEcho(m)
	c.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Stamp: c.now})
}

// hearEcho records the proof that this member's commit index was current at the
// echoed instant of its own clock. It holds only when the member has the whole
// commit index that came with it.
func (c *Core) hearEcho(m Message) {
	if m.Echo != 0 && c.log.commit >= m.Commit {
		c.Confirm(m.Echo)
	}
}

// handleSnapshot replaces the log unless it already contains the snapshot.
func (c *Core) handleSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case s == nil:
		return
	case s.Index <= c.log.commit:
		c.answerAppend(m, c.log.commit)
		return
	case c.log.matches(s.Index, s.Term):
		c.log.commit = s.Index
		c.answerAppend(m, s.Index)
		return
	}
	c.install, c.restore = s, nil
	c.log.restore(*s)
	c.answerAppend(m, s.Index)
}

// hear records that a member is alive; it returns nil for messages that the
// leader does not expect.
func (c *Core) hear(m Message) *progress {
	if c.state != Leader {
		return nil
	}
	p := c.lead.progress[m.From]
	if p == nil {
		return nil
	}
	p.active, p.heard = c.now, true
	p.acked = max(p.acked, min(m.Round, c.lead.round))
	if p.stampRound == 0 {
		p.stamp, p.stampRound = m.Stamp, c.lead.round+1
	}
	c.confirmRounds()
	return p
}

func (c *Core) handleAppendResp(m Message) {
	p := c.hear(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	if m.Index > c.log.last() {
		return // no member can hold more than the leader of its term
	}
	moved := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	switch {
	case p.flow == probe:
		p.toReplicate()
	case p.flow == snapshot && p.match >= p.pendingSnapshot:
		p.toReplicate()
	default:
		p.freeTo(p.match)
	}
	if moved {
		c.maybeCommit()
	}
	if c.state != Leader {
		return
	}
	c.sendAppend(m.From, p)
	if c.lead.transfer == m.From {
		c.tryTransfer()
	}
}

// handleReject moves back to the last position that may match.
func (c *Core) handleReject(m Message, p *progress) {
	switch p.flow {
	case snapshot:
		return
	case replicate:
		if m.Index <= p.match {
			return // an old answer
		}
		p.toProbe()
	case probe:
		if m.Index != p.next-1 {
			return // an old answer
		}
		hint, _ := c.log.lastNotAbove(m.Hint, m.HintTerm)
		if m.Hint < c.log.base {
			hint = m.Hint // below the log: a snapshot is needed
		}
		p.next = max(min(hint, m.Index-1), p.match) + 1
	}
	p.waiting = false
	c.sendAppend(m.From, p)
}

// handleHeartbeatResp resumes sending. An append that was not answered since is
// probed, because it may be lost.
func (c *Core) handleHeartbeatResp(m Message) {
	p := c.hear(m)
	if p == nil || p.flow == snapshot || c.state != Leader {
		return
	}
	p.waiting = false
	if p.flow == replicate && p.match < p.next-1 {
		if term, ok := c.log.term(p.next - 1); ok {
			c.send(Message{Type: MsgAppend, To: m.From, Index: p.next - 1, LogTerm: term, Commit: c.log.commit, Round: c.lead.round})
			return
		}
		p.toProbe() // compacted meanwhile: a snapshot follows
	}
	if p.match < c.log.last() || p.told < c.log.commit {
		c.sendAppend(m.From, p)
	}
}

// SnapshotSent tells how the sending of a snapshot ended. The member's answer or
// its next answer to a heartbeat resumes the flow.
func (c *Core) SnapshotSent(id replog.MemberID, ok bool) {
	p := c.lead.progress[id]
	if c.state != Leader || p == nil || p.flow != snapshot {
		return
	}
	if ok {
		p.next = max(p.pendingSnapshot, p.match) + 1
		p.flow, p.inflight, p.bytes = probe, nil, 0
	} else {
		p.toProbe()
	}
	p.waiting = true
}

// Found makes this member one of the first members of a group. All of them start
// from the same configuration at index 1 in term 1. It does nothing and returns
// false when the member already belongs to a group.
func (c *Core) Found(now Instant, config replog.Config) bool {
	c.now = now
	if c.log.last() > 0 || c.install != nil || !config.IsVoter(c.o.ID) {
		return false
	}
	s := &replog.Snapshot{Index: 1, Term: 1, Config: config}
	c.term = max(c.term, 1)
	c.install = s
	c.log.restore(*s)
	c.resetDeadline()
	return true
}

// Founding returns the group's configuration as far as it survives a crash of this
// member, and the first one while no entry follows it in a snapshot. A configuration
// that is not saved yet must not be told: the member may compose another one after a
// crash.
func (c *Core) Founding() (config replog.Config, first *replog.Config) {
	if c.install != nil {
		return replog.Config{}, nil
	}
	if c.log.snapshot.Index == 1 {
		config := c.log.snapshot.Config
		first = &config
	}
	return c.Config(), first
}
