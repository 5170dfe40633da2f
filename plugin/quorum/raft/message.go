// Package raft implements the Raft consensus algorithm of the replicated log as a deterministic
// state machine: messages and time are its input, and Ready returns what the caller has to do.
// It does no I/O, reads no clock and starts no goroutine; time and randomness are passed in.
// The caller writes Ready.Save to disk before it sends the messages that depend on it.
package raft

import (
	"math/rand/v2"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Instant is a point in time in nanoseconds on the instance's own monotonic
// clock. Instants of different instances are not comparable.
type Instant int64

// MessageType is the type of a message.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	// MsgTimeoutNow asks a voter to start an election immediately (leadership transfer).
	MsgTimeoutNow
)

// Message is sent from one member to another.
type Message struct {
	Type MessageType
	From replog.MemberID
	To   replog.MemberID
	Term uint64
	// Index and LogTerm are a log position: the entry before Entries, the last entry of a
	// candidate, or the matched or rejected entry in a response.
	Index   uint64
	LogTerm uint64
	// Hint and HintTerm are the last position that may match, in the response to a rejected
	// append.
	Hint     uint64
	HintTerm uint64
	Commit   uint64
	Entries  []replog.Entry
	// Snapshot is the description of the snapshot in a MsgSnapshot.
	Snapshot *replog.Snapshot
	Reject   bool
	// Transfer is set in a vote request if the leader asked for the election.
	Transfer bool
	// Round is the number of the leader's newest heartbeat round; responses repeat it.
	Round uint64
	// Timestamp is the follower's clock when it sends a response. Echo returns to the follower the
	// newest such time that precedes a heartbeat round confirmed by a majority.
	Timestamp Instant
	Echo      Instant
}

// State is the role of a member in the current term.
type State uint8

// States of a member. A learner is a follower that has no vote.
const (
	Follower State = iota
	PreCandidate
	Candidate
	Leader
)

// Options configures a Core.
type Options struct {
	ID replog.MemberID
	// ElectionTimeout is the minimum election timeout; each timeout is drawn at random between it and
	// 5/3 of it.
	ElectionTimeout Instant
	// HeartbeatInterval and LearnerHeartbeatInterval are the intervals of idle heartbeats.
	HeartbeatInterval        Instant
	LearnerHeartbeatInterval Instant
	// MaxBatchBytes limits the size of the entries in one message; a single larger entry is
	// still sent. MaxInflight limits the number of unanswered appends to one member; no entries
	// are sent to it while MaxInflightBytes are unanswered. MaxUncommittedBytes limits the bytes of
	// uncommitted proposals.
	MaxBatchBytes       int
	MaxInflight         int
	MaxInflightBytes    int
	MaxUncommittedBytes int
	Rand                *rand.Rand
}

// RecoveredState is the state with which a member starts.
type RecoveredState struct {
	HardState replog.HardState
	Snapshot  replog.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replog.Entry
}

// Save is the state that must be on disk before Messages are sent. Snapshot, if set, replaces
// the whole log and is written before Entries; Entries replace the log from the index of the
// first one on.
type Save struct {
	HardState replog.HardState
	Snapshot  *replog.Snapshot
	Entries   []replog.Entry
	Messages  []Message
}

// ReadState answers a ReadIndex: the read is linearizable once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	// LeadershipLost is set if this member stopped being the leader before it could answer.
	LeadershipLost bool
}

// Ready is the work that the caller has to do.
type Ready struct {
	// Messages may be sent immediately.
	Messages []Message
	// Save has to be written and then reported to the Core as saved. It is nil while an
	// earlier one is being written, and if there is nothing to write.
	Save  *Save
	Reads []ReadState
	// CanApply is set if NextApply returns a snapshot or entries.
	CanApply bool
}
