package raft

import (
	"slices"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Propose appends an entry and returns its position. Only the entry at this
// index with this term is the proposal: once another term is committed at the
// index, the proposal can never be applied.
func (c *Core) Propose(now Instant, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.state != Leader || c.lead.transfer != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.lead.uncommitted > 0 && c.lead.uncommitted+len(data) > c.o.MaxUncommitted {
		return 0, 0, ErrOverloaded
	}
	index = c.append(replog.Entry{Kind: replog.KindData, Data: data})
	return index, c.term, nil
}

// ProposeConfig appends a configuration. At most one voter may be added, removed
// or changed at once, the change before must be committed, and so must an entry
// of this term; otherwise two majorities might not overlap.
func (c *Core) ProposeConfig(now Instant, config replog.Config) error {
	c.now = now
	switch {
	case c.state != Leader || c.lead.transfer != 0:
		return ErrNotLeader
	case c.ConfigPending() || !c.committedInTerm():
		return ErrBusy
	case votersChanged(c.log.config(), &config) > 1:
		return ErrTwoVoters
	}
	c.append(replog.Entry{Kind: replog.KindConfig, Config: &config})
	c.syncProgress()
	c.broadcastAppend()
	return nil
}

func (c *Core) committedInTerm() bool { return c.log.matches(c.log.commit, c.term) }

func votersChanged(a, b *replog.Config) int {
	n := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			n++
		}
	}
	return n
}

func (c *Core) append(e replog.Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.push(e)
	c.lead.uncommitted += e.Size()
	return e.Index
}

// tickLeader sends heartbeats that are due and gives up the lead when no
// majority has answered within the least election timeout.
func (c *Core) tickLeader() {
	if c.lead.transfer != 0 && c.now >= c.lead.transferUntil {
		c.lead.transfer = 0
	}
	if !c.quorumActive() {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.now >= c.lead.nextBeat {
		c.startRound()
	}
}

// quorumActive reports whether a majority, this member included, was heard
// within the least election timeout.
func (c *Core) quorumActive() bool {
	if c.now-c.lead.since < c.o.Election {
		return true
	}
	oldest := c.quorumValue(uint64(c.now), func(p *progress) uint64 { return uint64(p.active) })
	return c.now-Instant(oldest) < c.o.Election
}

// startRound sends a heartbeat to the voters, and to the learners when theirs is due.
func (c *Core) startRound() {
	c.lead.round++
	c.lead.rounds = append(c.lead.rounds, roundAt{c.lead.round, c.now})
	c.lead.nextBeat = c.now + c.o.Heartbeat
	c.askReads()
	learners := c.now >= c.lead.nextLearner
	if learners {
		c.lead.nextLearner = c.now + c.o.LearnerHeartbeat
	}
	for _, m := range c.log.config().Members {
		if m.ID != c.o.ID && (m.Voter || learners) {
			c.sendHeartbeat(m.ID, c.lead.progress[m.ID])
		}
	}
	c.confirmRounds()
}

func (c *Core) sendHeartbeat(id replog.MemberID, p *progress) {
	m := Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, c.log.commit), Round: c.lead.round}
	if m.Commit == c.log.commit {
		m.Echo = p.echo
		p.told = m.Commit
	}
	c.send(m)
}

// broadcastAppend sends new entries and a new commit index to all members.
func (c *Core) broadcastAppend() {
	for _, m := range c.log.config().Members {
		if m.ID != c.o.ID {
			c.sendAppend(m.ID, c.lead.progress[m.ID])
		}
	}
	c.maybeCommit()
}

// sendAppend sends as many entries as flow control allows, and the commit index
// when the member has not been told it.
func (c *Core) sendAppend(id replog.MemberID, p *progress) {
	for p.flow != snapshot && !p.waiting {
		term, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendSnapshot(id, p)
			return
		}
		var entries []replog.Entry
		if len(p.inflight) < c.o.MaxInflight && p.bytes < c.o.MaxInflightBytes {
			entries = c.log.slice(p.next, c.log.last(), c.o.MaxBatchBytes)
		}
		probing := p.flow == probe
		if len(entries) == 0 && p.told >= c.log.commit && !probing {
			return
		}
		m := Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.log.commit, Round: c.lead.round, Echo: p.echo}
		p.told = c.log.commit
		c.send(m)
		if probing {
			p.waiting = true
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
		p.bytes += size
	}
}

func (c *Core) sendSnapshot(id replog.MemberID, p *progress) {
	if !p.heard || c.now-p.active >= c.o.Election {
		p.waiting = true // until it is heard: it may be gone
		return
	}
	s := c.log.snapshot
	p.flow, p.pendingSnapshot = snapshot, s.Index
	c.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s, Round: c.lead.round})
}

// Reachable tells that the connection to a member was made again: what was on
// its way before is taken for lost.
func (c *Core) Reachable(now Instant, id replog.MemberID) {
	c.now = now
	p := c.lead.progress[id]
	if c.state != Leader || p == nil || p.flow == snapshot {
		return
	}
	p.toProbe()
	c.sendAppend(id, p)
}

// Transfer hands the lead to a voter that has the whole log. Proposals are
// refused from now on, for at most one election timeout.
func (c *Core) Transfer(now Instant) bool {
	c.now = now
	if c.state != Leader {
		return false
	}
	var best replog.MemberID
	for _, id := range c.log.config().Voters() {
		p := c.lead.progress[id]
		if p == nil || !p.heard || c.now-p.active >= c.o.Election {
			continue
		}
		if best == 0 || p.match > c.lead.progress[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	c.lead.transfer, c.lead.transferUntil = best, now+c.o.Election
	c.tryTransfer()
	return true
}

func (c *Core) tryTransfer() {
	p := c.lead.progress[c.lead.transfer]
	if p != nil && p.match == c.log.last() {
		c.send(Message{Type: MsgTimeoutNow, To: c.lead.transfer})
	}
}

// maybeCommit advances the commit index to the highest entry of this term that a
// majority has saved, and tells the members at once.
func (c *Core) maybeCommit() {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit || !c.log.matches(index, c.term) {
		return
	}
	c.commitTo(index)
	c.resumeReads()
	for _, m := range c.log.config().Members {
		if m.ID != c.o.ID {
			c.sendAppend(m.ID, c.lead.progress[m.ID])
		}
	}
	// A leader that is no voter any more leads until its removal is committed.
	if !c.ConfigPending() && !slices.Contains(c.log.config().Voters(), c.o.ID) {
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) commitTo(index uint64) {
	for _, e := range c.log.slice(c.log.commit+1, index, 1<<62) {
		c.lead.uncommitted -= e.Size()
	}
	c.lead.uncommitted = max(c.lead.uncommitted, 0)
	c.log.commit = index
}
