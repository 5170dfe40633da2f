package raft

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// ErrNotLeader refuses what only the leader may do. Nothing was appended.
var ErrNotLeader = errors.New("this member is not the leader")

// ErrOverloaded refuses a proposal while too many are uncommitted.
var ErrOverloaded = errors.New("too many uncommitted proposals")

// ErrTwoVoters refuses a configuration that changes more than one voter.
var ErrTwoVoters = errors.New("a membership change may touch only one voter")

// ErrBusy refuses a configuration change while another one is uncommitted.
var ErrBusy = errors.New("another membership change is not yet committed")

// Core decides for one member. It is not safe for concurrent use.
type Core struct {
	o      Options
	now    Instant
	state  State
	term   uint64
	vote   replog.MemberID
	leader replog.MemberID
	log    *memLog

	// saved is the hard state on disk; saving tells that a Save is under way.
	saved   replog.HardState
	saving  bool
	install *replog.Snapshot // received snapshot that is not yet saved
	restore *replog.Snapshot // saved snapshot that is not yet applied

	// deadline is when a follower or candidate starts an election.
	deadline Instant
	// heard is the last message from the leader.
	heard Instant
	votes map[replog.MemberID]bool
	// confirmed is the time up to which this member knows the commit index; known
	// is false until the first confirmation.
	confirmed Instant
	known     bool

	lead leading

	early []Message // independent of unsaved state
	late  []Message // to be sent after the next save
	reads []ReadState
}

// New returns a member that has the recovered state.
func New(o Options, r Recovered, now Instant) *Core {
	c := &Core{o: o, now: now, term: r.Hard.Term, vote: r.Hard.Vote, log: newLog(r), saved: r.Hard}
	c.term = max(c.term, r.Snapshot.Term)
	c.heard = now - o.Election // a restart does not protect any leader
	c.resetDeadline()
	if c.log.config().IsVoter(o.ID) {
		// When all voters return together, nobody leads and nobody has to be waited for.
		// A pre-vote that comes too early is refused and costs nothing.
		c.deadline = now + c.pause()
	}
	return c
}

// pause is the time between two pre-votes.
func (c *Core) pause() Instant {
	return c.o.Heartbeat + Instant(c.o.Rand.Int64N(int64(c.o.Heartbeat)*2+1))
}

// Tick tells the time. It starts elections and sends heartbeats that are due.
func (c *Core) Tick(now Instant) {
	c.now = now
	if c.state == Leader {
		c.tickLeader()
		return
	}
	if now < c.deadline {
		return
	}
	c.resetDeadline()
	if c.log.config().IsVoter(c.o.ID) {
		c.campaign(PreCandidate, false)
	}
}

// Step handles a message. Messages for another member are ignored.
func (c *Core) Step(now Instant, m Message) {
	c.now = now
	if m.To != c.o.ID {
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
		c.follow(m)
		c.handleAppend(m)
	case MsgHeartbeat:
		c.follow(m)
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.follow(m)
		c.handleSnapshot(m)
	case MsgAppendResp:
		c.handleAppendResp(m)
	case MsgHeartbeatResp:
		c.handleHeartbeatResp(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	}
}

// stepHigherTerm handles a message of a later term and reports whether Step goes on.
func (c *Core) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if !m.Transfer && c.leaseHolds() {
			return false // a live leader is not disturbed
		}
		if m.Type == MsgPreVote {
			return true // a pre-vote changes no term
		}
		c.becomeFollower(m.Term, 0)
	case MsgPreVoteResp:
		if !m.Reject {
			return true // grants carry the term that was asked for
		}
		c.becomeFollower(m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// stepLowerTerm answers a message of an earlier term where the sender must learn
// of this one, so that a member with a higher term cannot stay shut out.
func (c *Core) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendResp, To: m.From, Term: c.term, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteResp, To: m.From, Term: c.term, Reject: true})
	}
}

// leaseHolds reports whether this member knows a leader that it heard from within
// the least election timeout.
func (c *Core) leaseHolds() bool {
	return c.state == Leader || c.leader != 0 && c.now-c.heard < c.o.Election
}

func (c *Core) becomeFollower(term uint64, leader replog.MemberID) {
	if c.state == Leader {
		c.loseReads()
	}
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.state, c.leader, c.votes = Follower, leader, nil
	c.lead = leading{}
	c.resetDeadline()
}

// follow accepts the sender of a message of the current term as leader.
func (c *Core) follow(m Message) {
	if c.state != Follower {
		c.becomeFollower(c.term, m.From)
	}
	c.leader, c.heard = m.From, c.now
	c.resetDeadline()
}

func (c *Core) resetDeadline() {
	c.deadline = c.now + c.o.Election + Instant(c.o.Rand.Int64N(int64(c.o.Election)*2/3+1))
}

// send queues a message. Messages of a leader need only its term on disk; all
// others wait for everything that this member decided so far.
func (c *Core) send(m Message) {
	m.From = c.o.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.early == nil && c.late == nil {
		c.late = make([]Message, 0, 4)
	}
	if c.mayPrecedeSave(m) {
		c.early = append(c.early, m)
	} else {
		c.late = append(c.late, m)
	}
}

func (c *Core) mayPrecedeSave(m Message) bool {
	if c.saved.Term != c.term || c.saved.Vote != c.vote {
		return false
	}
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTimeoutNow, MsgHeartbeatResp:
		return true
	}
	return false
}

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// State returns the part that this member plays.
func (c *Core) State() State { return c.state }

// Leader returns the leader of the term as far as known; 0 when unknown.
func (c *Core) Leader() replog.MemberID { return c.leader }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.log.commit }

// AppliedIndex returns the index up to which the caller has applied entries.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// Last returns the index of the last entry.
func (c *Core) Last() uint64 { return c.log.last() }

// Config returns the newest configuration, which may be uncommitted.
func (c *Core) Config() replog.Config { return *c.log.config() }

// CommittedConfig returns the configuration in force at the commit index.
func (c *Core) CommittedConfig() replog.Config { return c.log.configBelow(c.log.commit) }

// ConfigPending reports whether a configuration change is uncommitted.
func (c *Core) ConfigPending() bool { return c.log.configIndex() > c.log.commit }

// TermAt returns the term of the entry at index i while it is in the log.
func (c *Core) TermAt(i uint64) (uint64, bool) { return c.log.term(i) }

// Confirmed returns the latest instant at which the commit index known here is
// proved to have been current. It is false before the first confirmation.
func (c *Core) Confirmed() (Instant, bool) { return c.confirmed, c.known }

// Confirm records that the commit index known here was current at the instant,
// as a linearizable read that was asked for then has proved.
func (c *Core) Confirm(at Instant) {
	if !c.known || at > c.confirmed {
		c.confirmed, c.known = at, true
	}
}
