package raft

import "github.com/celeryyard/celeryyard/core/replog"

// leaderState is the state that only a leader keeps.
type leaderState struct {
	electedAt Instant
	progress  map[replog.MemberID]*progress
	// uncommittedBytes is the size in bytes of the proposals above the commit index.
	uncommittedBytes int

	// round is the number of the newest heartbeat round.
	round uint64
	// unconfirmedRounds lists the rounds that a majority has not yet answered, oldest first.
	unconfirmedRounds    []heartbeatRound
	nextHeartbeat        Instant       // time of the next round
	nextLearnerHeartbeat Instant       // earliest time of the next round that includes learners
	queuedReads          []pendingRead // reads waiting for the next round
	roundReads           []pendingRead // reads answered once readRound is confirmed
	readRound            uint64        // number of the round to which roundReads are assigned
	transferTarget       replog.MemberID
	transferDeadline     Instant
}

type heartbeatRound struct {
	number    uint64
	startedAt Instant
}

type pendingRead struct {
	context uint64
	index   uint64
}

type progressState uint8

const (
	// progressProbe sends one append at a time until the position where the logs match is found.
	progressProbe progressState = iota
	// progressReplicate sends further appends without waiting for the responses.
	progressReplicate
	// progressSnapshot waits until the member has installed a snapshot.
	progressSnapshot
)

// progress is the replication state of another member, as known to the leader.
type progress struct {
	// match is the highest index up to which the member's log on disk is known to match the
	// leader's. next is the index of the next entry to send.
	match, next uint64
	state       progressState
	// paused is set while no append may be sent: the last probe is unanswered, or the member has
	// to respond to a heartbeat first.
	paused bool
	// inflight lists the unanswered appends with entries, oldest first.
	inflight []sentAppend
	// inflightBytes is the size of all entries in inflight.
	inflightBytes int
	// sentCommit is the last commit index sent to the member.
	sentCommit uint64
	// lastContact is the time of the last response from the member. Until the first response, it is
	// the time since which the member has been tracked.
	lastContact Instant
	// hasResponded is set after the first response from the member.
	hasResponded bool
	// blocked is set while the member reports that its disk accepts no writes, since blockedSince.
	blocked      bool
	blockedSince Instant
	// ackedRound is the highest heartbeat round that the member has answered.
	ackedRound uint64
	// timestamp is a time on the member's clock, taken from one of its responses.
	timestamp Instant
	// timestampRound is the first round that starts after the arrival of timestamp; 0 if none is
	// pending.
	timestampRound uint64
	// echo is the latest recorded timestamp of the member after whose arrival a heartbeat round was
	// started and confirmed by a majority. It is sent back to the member.
	echo Instant
	// pendingSnapshot is the index of the snapshot being sent.
	pendingSnapshot uint64
}

// sentAppend is an append that has not been answered yet.
type sentAppend struct {
	lastIndex uint64
	bytes     int
}

func (p *progress) becomeProbe() {
	p.state, p.paused, p.inflight, p.inflightBytes = progressProbe, false, nil, 0
	p.next = p.match + 1
}

func (p *progress) setBlocked(blocked bool, now Instant) {
	if blocked && !p.blocked {
		p.blockedSince = now
	}
	p.blocked = blocked
}

func (p *progress) becomeReplicate() {
	p.state, p.paused, p.inflight, p.inflightBytes = progressReplicate, false, nil, 0
	p.next = p.match + 1
}

func (p *progress) releaseInflight(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].lastIndex <= index {
		p.inflightBytes -= p.inflight[n].bytes
		n++
	}
	p.inflight = p.inflight[n:]
}

// syncProgress adds and removes progress records so that they match the newest configuration.
func (c *Core) syncProgress() {
	config := c.log.config()
	for id := range c.leaderState.progress {
		if _, ok := config.Find(id); !ok {
			delete(c.leaderState.progress, id)
		}
	}
	for _, m := range config.Members {
		if m.ID == c.opts.ID || c.leaderState.progress[m.ID] != nil {
			continue
		}
		c.leaderState.progress[m.ID] = &progress{next: c.log.lastIndex() + 1, lastContact: c.now}
	}
}

// MemberProgress is the replication progress of a member, as known to the leader.
type MemberProgress struct {
	// Match is the highest index up to which the member's log on disk is known to match the
	// leader's.
	Match uint64
	// Active is set if the member has responded within the minimum election timeout and its disk
	// accepts writes.
	Active bool
	// SilentFor is the time since the last message from the member, or since this leader began to
	// track it, or for which the member's disk has accepted no writes.
	SilentFor Instant
}

// Progress returns the replication progress of the other members, or nil if this member is not
// the leader.
func (c *Core) Progress() map[replog.MemberID]MemberProgress {
	if c.state != Leader {
		return nil
	}
	out := make(map[replog.MemberID]MemberProgress, len(c.leaderState.progress))
	for id, p := range c.leaderState.progress {
		s := MemberProgress{Match: p.match, Active: !p.blocked && p.hasResponded && c.now-p.lastContact < c.opts.ElectionTimeout, SilentFor: c.now - p.lastContact}
		if p.blocked {
			s.SilentFor = max(s.SilentFor, c.now-p.blockedSince)
		}
		out[id] = s
	}
	return out
}

// quorumValue returns the highest value that a majority of the voters have reached. own is the
// value of this member, and valueOf returns that of another voter.
func (c *Core) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range c.log.config().VoterIDs() {
		v := own
		if id != c.opts.ID {
			v = valueOf(c.leaderState.progress[id])
		}
		values = append(values, v)
	}
	if len(values) == 0 {
		return 0
	}
	// Insertion sort in descending order, because a group has only a handful of voters.
	for i := 1; i < len(values); i++ {
		for j := i; j > 0 && values[j] > values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values[len(values)/2]
}
