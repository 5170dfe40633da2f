package raft

import "github.com/celeryyard/celeryyard/core/replog"

// campaign starts a pre-vote or a vote.
func (c *Core) campaign(as State, transfer bool) {
	term, typ := c.term+1, MsgPreVote
	if as == Candidate {
		c.term++
		c.vote = c.o.ID
		term, typ = c.term, MsgVote
	}
	c.state, c.leader = as, 0
	c.votes = map[replog.MemberID]bool{c.o.ID: true}
	if as == PreCandidate {
		// A refused pre-vote costs nothing and is repeated soon.
		c.deadline = c.now + c.pause()
	} else {
		c.resetDeadline()
	}
	if c.won() {
		c.advanceCampaign()
		return
	}
	for _, id := range c.log.config().Voters() {
		if id == c.o.ID {
			continue
		}
		c.send(Message{Type: typ, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

func (c *Core) advanceCampaign() {
	if c.state == PreCandidate {
		c.campaign(Candidate, false)
		return
	}
	c.becomeLeader()
}

// handleVote answers a pre-vote or vote of this or, for pre-votes, a later term.
// A member without a configuration has never been part of the group and does not
// vote: it may have lost its disk.
func (c *Core) handleVote(m Message) {
	free := c.vote == m.From || c.vote == 0 && c.leader == 0
	if m.Type == MsgPreVote {
		free = m.Term > c.term
	}
	if !free || len(c.log.config().Members) == 0 || !c.log.newer(m.Index, m.LogTerm) {
		c.send(Message{Type: m.Type + 1, To: m.From, Term: c.term, Reject: true})
		return
	}
	if m.Type == MsgVote {
		c.vote = m.From
		c.resetDeadline()
	}
	c.send(Message{Type: m.Type + 1, To: m.From, Term: m.Term})
}

func (c *Core) handleVoteResp(m Message) {
	switch {
	case m.Type == MsgPreVoteResp && c.state == PreCandidate && (m.Reject || m.Term == c.term+1):
	case m.Type == MsgVoteResp && c.state == Candidate:
	default:
		return
	}
	if _, ok := c.votes[m.From]; ok {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.won() {
		c.advanceCampaign()
	}
}

// won reports whether a majority of the voters granted their vote.
func (c *Core) won() bool {
	granted, voters := 0, c.log.config().Voters()
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (c *Core) handleTimeoutNow(m Message) {
	if c.state == Follower && m.From == c.leader && c.log.config().IsVoter(c.o.ID) {
		c.campaign(Candidate, true)
	}
}

// becomeLeader starts the term with an empty entry: only entries of the own term
// are committed by counting, and only then are reads answered.
func (c *Core) becomeLeader() {
	c.state, c.leader = Leader, c.o.ID
	c.lead = leading{since: c.now, nextBeat: c.now, progress: map[replog.MemberID]*progress{}}
	c.syncProgress()
	c.append(replog.Entry{Kind: replog.KindEmpty})
	c.broadcastAppend()
}
