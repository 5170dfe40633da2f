package raft

import "github.com/celeryyard/celeryyard/core/replog"

// campaign starts a pre-vote if state is PreCandidate, or an election in a new term if it is
// Candidate. transfer is set if the leader requested the election.
func (c *Core) campaign(state State, transfer bool) {
	term, typ := c.term+1, MsgPreVote
	if state == Candidate {
		c.term++
		c.vote = c.opts.ID
		c.termVotes = map[replog.MemberID]bool{c.opts.ID: true}
		term, typ = c.term, MsgVote
	}
	c.state, c.leader = state, 0
	c.votes = map[replog.MemberID]bool{c.opts.ID: true}
	if state == PreCandidate {
		// A rejected pre-vote does no harm, so it is repeated after a short delay.
		c.electionDeadline = c.now + c.randomPreVoteDelay()
	} else {
		c.resetElectionDeadline()
	}
	if c.hasMajority(c.votes) {
		c.advanceCampaign()
		return
	}
	for _, id := range c.log.config().VoterIDs() {
		if id == c.opts.ID {
			continue
		}
		c.send(Message{Type: typ, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

func (c *Core) advanceCampaign() {
	if c.state == PreCandidate {
		c.campaign(Candidate, false)
		return
	}
	c.becomeLeader()
}

// handleVote answers a vote request of the current term, or a pre-vote request of the current
// or a later term. A member without a configuration does not vote, because it may have lost
// its disk and with it an earlier vote.
func (c *Core) handleVote(m Message) {
	canVote := c.vote == m.From || c.vote == 0 && c.leader == 0
	if m.Type == MsgPreVote {
		canVote = m.Term > c.term
	}
	if !canVote || len(c.log.config().Members) == 0 || !c.log.isUpToDate(m.Index, m.LogTerm) {
		c.send(Message{Type: m.Type + 1, To: m.From, Term: c.term, Reject: true})
		return
	}
	if m.Type == MsgVote {
		c.vote = m.From
		c.resetElectionDeadline()
	} else {
		c.deferCampaign(m.Term)
	}
	c.send(Message{Type: m.Type + 1, To: m.From, Term: m.Term})
}

// deferCampaign gives a member that has been granted a pre-vote the time to be elected: while it
// saves its own vote, the others would otherwise all become candidates of the same term too, and
// split the votes. A campaign is deferred once per term, so that a member whose requests arrive but
// that cannot win does not prevent elections.
func (c *Core) deferCampaign(term uint64) {
	if c.state == Leader || term <= c.deferredTo {
		return
	}
	c.deferredTo = term
	c.resetElectionDeadline()
	c.electionDeadline += c.saveTime
}

func (c *Core) handleVoteResp(m Message) {
	if m.Type == MsgVoteResp {
		c.handleTermVote(m)
		return
	}
	if c.state != PreCandidate || !m.Reject && m.Term != c.term+1 {
		return
	}
	if _, ok := c.votes[m.From]; ok {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasMajority(c.votes) {
		c.advanceCampaign()
	}
}

// handleTermVote counts a vote for this member in the current term. The vote is valid for as long as
// the term lasts, so it also counts after the candidate has timed out and begun the next pre-vote:
// otherwise no member could be elected while the disks are slower than the election timeout.
func (c *Core) handleTermVote(m Message) {
	if m.Reject || c.termVotes == nil || c.state != Candidate && c.state != PreCandidate {
		return
	}
	c.termVotes[m.From] = true
	if c.hasMajority(c.termVotes) {
		c.becomeLeader()
	}
}

// hasMajority reports whether a majority of the voters have granted their vote.
func (c *Core) hasMajority(granting map[replog.MemberID]bool) bool {
	granted, voters := 0, c.log.config().VoterIDs()
	for _, id := range voters {
		if granting[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (c *Core) handleTimeoutNow(m Message) {
	if c.state == Follower && m.From == c.leader && !c.diskBlocked && c.log.config().IsVoter(c.opts.ID) {
		c.campaign(Candidate, true)
	}
}

// becomeLeader appends an empty entry: a leader commits entries of earlier terms only together
// with one of its own term, and answers reads only after such a commit.
func (c *Core) becomeLeader() {
	c.state, c.leader, c.termVotes = Leader, c.opts.ID, nil
	c.leaderState = leaderState{electedAt: c.now, nextHeartbeat: c.now, progress: map[replog.MemberID]*progress{}}
	c.syncProgress()
	c.append(replog.Entry{Kind: replog.KindEmpty})
	c.broadcastAppend()
}
