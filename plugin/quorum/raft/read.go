package raft

// ReadIndex requests the read index of a linearizable read. The caller chooses context to identify
// the read: the result is returned in Ready.Reads with the same context. Before it returns the
// result, the leader confirms its leadership by a heartbeat round, in which it sends a heartbeat to
// every voter and waits for the responses of a majority. Reads that are requested while a round for
// earlier reads is in progress share the next round. On a member that is not the leader, ReadIndex
// returns ErrNotLeader.
func (c *Core) ReadIndex(now Instant, context uint64) error {
	c.now = now
	if c.state != Leader {
		return ErrNotLeader
	}
	c.leaderState.queuedReads = append(c.leaderState.queuedReads, pendingRead{context: context})
	c.maybeStartReadRound()
	return nil
}

// maybeStartReadRound starts a heartbeat round for the queued reads unless one for earlier reads is
// in progress. Reads wait for the first commit of the term, because until then the commit index
// may be lower than that of the previous leader.
func (c *Core) maybeStartReadRound() {
	if c.state == Leader && len(c.leaderState.roundReads) == 0 && len(c.leaderState.queuedReads) > 0 && c.hasCommittedInTerm() {
		c.startHeartbeatRound()
	}
}

// assignQueuedReads assigns the queued reads to the round that is being started. It does nothing while
// earlier reads wait for a round, or before the first commit of the term.
func (c *Core) assignQueuedReads() {
	if len(c.leaderState.roundReads) > 0 || len(c.leaderState.queuedReads) == 0 || !c.hasCommittedInTerm() {
		return
	}
	c.leaderState.roundReads, c.leaderState.queuedReads = c.leaderState.queuedReads, nil
	c.leaderState.readRound = c.leaderState.round
	for i := range c.leaderState.roundReads {
		c.leaderState.roundReads[i].index = c.log.commit
	}
}

// confirmRounds removes the rounds that a majority has answered from the unconfirmed ones, and returns
// the results of the reads assigned to them. No leader of a later term existed when such a round
// started, so the commit index was current at that time.
func (c *Core) confirmRounds() {
	n := c.quorumValue(c.leaderState.round, func(p *progress) uint64 { return p.ackedRound })
	for len(c.leaderState.unconfirmedRounds) > 0 && c.leaderState.unconfirmedRounds[0].number <= n {
		if c.hasCommittedInTerm() {
			c.MarkCommitCurrent(c.leaderState.unconfirmedRounds[0].startedAt)
		}
		c.leaderState.unconfirmedRounds = c.leaderState.unconfirmedRounds[1:]
	}
	for _, p := range c.leaderState.progress {
		if p.timestampRound != 0 && p.timestampRound <= n && c.hasCommittedInTerm() {
			p.echo, p.timestampRound = p.timestamp, 0
		}
	}
	if len(c.leaderState.roundReads) == 0 || c.leaderState.readRound > n {
		return
	}
	for _, r := range c.leaderState.roundReads {
		c.readStates = append(c.readStates, ReadState{Context: r.context, Index: r.index})
	}
	c.leaderState.roundReads = nil
	c.maybeStartReadRound()
}

func (c *Core) failReads() {
	for _, r := range append(c.leaderState.roundReads, c.leaderState.queuedReads...) {
		c.readStates = append(c.readStates, ReadState{Context: r.context, LeadershipLost: true})
	}
	c.leaderState.roundReads, c.leaderState.queuedReads = nil, nil
}
