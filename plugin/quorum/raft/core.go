package raft

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// ErrNotLeader is returned by Propose, ProposeConfig and ReadIndex on a member that is not the
// leader. The first two also return it during a leadership transfer. Nothing was appended.
var ErrNotLeader = errors.New("this member is not the leader")

// ErrOverloaded is returned for a proposal while too many bytes of proposals are uncommitted.
var ErrOverloaded = errors.New("too many uncommitted proposals")

// ErrMultipleVoterChanges is returned for a configuration that adds or removes more than one voter.
var ErrMultipleVoterChanges = errors.New("a membership change may add or remove only one voter")

// ErrConfigPending is returned for a configuration change while another one is uncommitted, or
// before the leader has committed an entry of its own term.
var ErrConfigPending = errors.New("another membership change, or the first entry of the term, is not yet committed")

// Core is the Raft state machine of one member. It is not safe for concurrent use.
type Core struct {
	opts   Options
	now    Instant
	state  State
	term   uint64
	vote   replog.MemberID
	leader replog.MemberID
	log    *memLog

	// savedHardState is the hard state on disk.
	savedHardState replog.HardState
	// saving is set while a Save is being written.
	saving            bool
	unsavedSnapshot   *replog.Snapshot // received, not yet saved
	unappliedSnapshot *replog.Snapshot // saved, not yet applied

	// electionDeadline is the time at which a follower or candidate starts an election.
	electionDeadline Instant
	// lastLeaderContact is the time of the last message from the leader.
	lastLeaderContact Instant
	votes             map[replog.MemberID]bool // votes or pre-votes of this campaign: true if granted, false if refused
	// termVotes holds the members that have voted for this member in the current term. It is kept
	// during later pre-votes, because voters with slow disks answer after the election timeout.
	termVotes map[replog.MemberID]bool
	// deferredTo is the highest term for which this member has granted a pre-vote and deferred its
	// own campaign.
	deferredTo uint64
	// saveStartedAt is the time at which the last Save was returned by Ready, and saveTime is the
	// duration of the last save that was completed.
	saveStartedAt, saveTime Instant
	// commitCurrentAt is the latest time at which the commit index of this member is known to
	// have been current.
	commitCurrentAt Instant
	// commitCurrentKnown is false until commitCurrentAt has been set for the first time.
	commitCurrentKnown bool

	leaderState leaderState
	// diskBlocked is set while the disk of this member accepts no writes.
	diskBlocked bool

	messages          []Message // may be sent before the next save
	messagesAfterSave []Message // must wait for the next save
	readStates        []ReadState
}

// New returns the core of a member that starts with the recovered state.
func New(o Options, r RecoveredState, now Instant) *Core {
	c := &Core{opts: o, now: now, term: r.HardState.Term, vote: r.HardState.Vote, log: newMemLog(r), savedHardState: r.HardState}
	c.term = max(c.term, r.Snapshot.Term)
	c.lastLeaderContact = now - o.ElectionTimeout // hasActiveLeader is false after a restart
	c.resetElectionDeadline()
	if c.log.config().IsVoter(o.ID) {
		// If all voters restart together, there is no leader to wait for. A pre-vote that
		// is sent too early is rejected and does no harm.
		c.electionDeadline = now + c.randomPreVoteDelay()
	}
	return c
}

// randomPreVoteDelay returns a random delay until the next pre-vote.
func (c *Core) randomPreVoteDelay() Instant {
	return c.opts.HeartbeatInterval + Instant(c.opts.Rand.Int64N(int64(c.opts.HeartbeatInterval)*2+1))
}

// Tick advances the clock to now. It starts elections and sends heartbeats that are due.
func (c *Core) Tick(now Instant) {
	c.now = now
	if c.state == Leader {
		c.tickLeader()
		return
	}
	if now < c.electionDeadline || c.state == Candidate && c.savedHardState.Term != c.term {
		return // a candidate requests votes once its own vote is on disk
	}
	c.resetElectionDeadline()
	if c.log.config().IsVoter(c.opts.ID) && !c.diskBlocked {
		c.campaign(PreCandidate, false)
	}
}

// SetDiskBlocked tells the core whether the disk of this member accepts no writes. While it does
// not, the member starts no election and applies committed entries that it has not saved: they are
// on the disks of a majority.
func (c *Core) SetDiskBlocked(blocked bool) { c.diskBlocked = blocked }

// Step handles a message. Messages for another member are ignored.
func (c *Core) Step(now Instant, m Message) {
	c.now = now
	if m.To != c.opts.ID {
		return
	}
	if m.Term > c.term && !c.stepHigherTerm(m) {
		return
	}
	if m.Term < c.term {
		c.stepLowerTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.handleVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		c.handleVoteResp(m)
	case MsgAppend:
		c.acceptLeader(m)
		c.handleAppend(m)
	case MsgHeartbeat:
		c.acceptLeader(m)
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.acceptLeader(m)
		c.handleSnapshot(m)
	case MsgAppendResp:
		c.handleAppendResp(m)
	case MsgHeartbeatResp:
		c.handleHeartbeatResp(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	}
}

// stepHigherTerm handles a message of a later term and reports whether Step should continue
// with it.
func (c *Core) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if !m.Transfer && c.hasActiveLeader() {
			return false // a vote request must not depose an active leader
		}
		if m.Type == MsgPreVote {
			return true // a pre-vote changes no term
		}
		c.becomeFollower(m.Term, 0)
	case MsgPreVoteResp:
		if !m.Reject {
			return true // a granted pre-vote carries the requested term
		}
		c.becomeFollower(m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// stepLowerTerm rejects a message of an earlier term if the sender has to learn the current
// term. Without the response, a leader of an earlier term would not step down, and a member with
// a higher term could never rejoin the group.
func (c *Core) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendResp, To: m.From, Term: c.term, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteResp, To: m.From, Term: c.term, Reject: true})
	}
}

// hasActiveLeader reports whether this member is the leader or has received a message from the
// leader within the minimum election timeout.
func (c *Core) hasActiveLeader() bool {
	return c.state == Leader || c.leader != 0 && c.now-c.lastLeaderContact < c.opts.ElectionTimeout
}

func (c *Core) becomeFollower(term uint64, leader replog.MemberID) {
	if c.state == Leader {
		c.failReads()
	}
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.state, c.leader, c.votes, c.termVotes = Follower, leader, nil, nil
	c.leaderState = leaderState{}
	c.resetElectionDeadline()
}

// acceptLeader accepts the sender of a message of the current term as the leader.
func (c *Core) acceptLeader(m Message) {
	if c.state != Follower {
		c.becomeFollower(c.term, m.From)
	}
	c.leader, c.lastLeaderContact = m.From, c.now
	c.resetElectionDeadline()
}

func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.opts.ElectionTimeout + Instant(c.opts.Rand.Int64N(int64(c.opts.ElectionTimeout)*2/3+1))
}

// send queues a message. Heartbeat responses promise nothing that a crash could undo, and are sent
// immediately. Messages of a leader may be sent once the term and the vote are on disk; other
// messages wait until the whole current state is saved.
func (c *Core) send(m Message) {
	m.From = c.opts.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.messages == nil && c.messagesAfterSave == nil {
		c.messagesAfterSave = make([]Message, 0, 4)
	}
	if c.mayPrecedeSave(m) {
		c.messages = append(c.messages, m)
	} else {
		c.messagesAfterSave = append(c.messagesAfterSave, m)
	}
}

func (c *Core) mayPrecedeSave(m Message) bool {
	switch m.Type {
	case MsgHeartbeatResp:
		return true
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTimeoutNow:
		return c.savedHardState.Term == c.term && c.savedHardState.Vote == c.vote
	}
	return false
}

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// State returns the current role of this member.
func (c *Core) State() State { return c.state }

// Leader returns the leader of the current term, or 0 if it is unknown.
func (c *Core) Leader() replog.MemberID { return c.leader }

// CommitIndex returns the commit index.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// AppliedIndex returns the index up to which the caller has applied entries.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Config returns the newest configuration, which may be uncommitted.
func (c *Core) Config() replog.Config { return *c.log.config() }

// CommittedConfig returns the configuration that applies at the commit index.
func (c *Core) CommittedConfig() replog.Config { return c.log.configAt(c.log.commit) }

// HasPendingConfig reports whether a configuration change is uncommitted.
func (c *Core) HasPendingConfig() bool { return c.log.configIndex() > c.log.commit }

// TermAt returns the term of the entry at index i, and false if the entry is not in the log.
func (c *Core) TermAt(i uint64) (uint64, bool) { return c.log.term(i) }

// CommitCurrentAt returns the latest instant at which the commit index of this member is proven
// to have been current, and false before the first confirmation.
func (c *Core) CommitCurrentAt() (Instant, bool) { return c.commitCurrentAt, c.commitCurrentKnown }

// MarkCommitCurrent records that the commit index of this member was current at the given instant.
// The caller must have proof of that, such as a linearizable read requested at that instant.
func (c *Core) MarkCommitCurrent(at Instant) {
	if !c.commitCurrentKnown || at > c.commitCurrentAt {
		c.commitCurrentAt, c.commitCurrentKnown = at, true
	}
}
