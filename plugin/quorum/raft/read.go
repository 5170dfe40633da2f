package raft

// ReadIndex asks for a linearizable read; the answer comes in Ready.Reads with
// the same context. Reads that arrive while a round is under way share the next.
func (c *Core) ReadIndex(now Instant, context uint64) error {
	c.now = now
	if c.state != Leader {
		return ErrNotLeader
	}
	c.lead.waiting = append(c.lead.waiting, pendingRead{context: context})
	c.resumeReads()
	return nil
}

// resumeReads starts a round for waiting reads unless one is under way. Reads
// wait for the first commit of the term, because the commit index may be behind
// the leader's of the term before.
func (c *Core) resumeReads() {
	if c.state == Leader && len(c.lead.asked) == 0 && len(c.lead.waiting) > 0 && c.committedInTerm() {
		c.startRound()
	}
}

// askReads gives the waiting reads to the round that starts now.
func (c *Core) askReads() {
	if len(c.lead.asked) > 0 || len(c.lead.waiting) == 0 || !c.committedInTerm() {
		return
	}
	c.lead.asked, c.lead.waiting = c.lead.waiting, nil
	c.lead.readRound = c.lead.round
	for i := range c.lead.asked {
		c.lead.asked[i].index = c.log.commit
	}
}

// confirmRounds acts on the newest round that a majority has answered: at its
// start no later leader existed.
func (c *Core) confirmRounds() {
	n := c.quorumValue(c.lead.round, func(p *progress) uint64 { return p.acked })
	for len(c.lead.rounds) > 0 && c.lead.rounds[0].n <= n {
		if c.committedInTerm() {
			c.Confirm(c.lead.rounds[0].at)
		}
		c.lead.rounds = c.lead.rounds[1:]
	}
	for _, p := range c.lead.progress {
		if p.stampRound != 0 && p.stampRound <= n && c.committedInTerm() {
			p.echo, p.stampRound = p.stamp, 0
		}
	}
	if len(c.lead.asked) == 0 || c.lead.readRound > n {
		return
	}
	for _, r := range c.lead.asked {
		c.reads = append(c.reads, ReadState{Context: r.context, Index: r.index})
	}
	c.lead.asked = nil
	c.resumeReads()
}

func (c *Core) loseReads() {
	for _, r := range append(c.lead.asked, c.lead.waiting...) {
		c.reads = append(c.reads, ReadState{Context: r.context, Lost: true})
	}
	c.lead.asked, c.lead.waiting = nil, nil
}
