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
	// MsgTimeoutNow makes a voter start an election immediately, for a leadership transfer.
	MsgTimeoutNow
)

// Message is a message from one member to another. Which fields are set depends on its type.
type Message struct {
	Type MessageType
	From replog.MemberID
	To   replog.MemberID
	Term uint64
	// Index is the index of the entry before Entries, of the last entry of a candidate, or, in a
	// response, of the matched or rejected entry.
	Index uint64
	// LogTerm is the term of the entry at Index. Responses omit it.
	LogTerm uint64
	// Hint is the last index that may match, in the rejection of an append, or the last index that
	// a member with a blocked disk holds, in its heartbeat response.
	Hint uint64
	// HintTerm is the term of the entry at Hint.
	HintTerm uint64
	// Commit is the leader's commit index. In a heartbeat it is at most the index that the
	// receiver has acknowledged.
	Commit  uint64
	Entries []replog.Entry
	// Snapshot is the snapshot of a MsgSnapshot. The core sends it without data, which the caller
	// adds.
	Snapshot *replog.Snapshot
	// Reject is set in a response that refuses a vote, an append or a message of an earlier term,
	// and in the heartbeat response of a member whose disk accepts no writes.
	Reject bool
	// Transfer is set in a vote request if the leader requested the election.
	Transfer bool
	// Round is the number of the leader's newest heartbeat round. Responses repeat it.
	Round uint64
	// Timestamp is the time on the follower's clock at which it sent the response.
	Timestamp Instant
	// Echo returns a Timestamp to the follower, once a majority has confirmed a heartbeat round
	// that started after the Timestamp arrived.
	Echo Instant
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
	// ElectionTimeout is the minimum election timeout. Each timeout is drawn at random between
	// 1 and 5/3 times this value.
	ElectionTimeout Instant
	// HeartbeatInterval is the time between two heartbeats to voters.
	HeartbeatInterval Instant
	// LearnerHeartbeatInterval is the minimum time between two heartbeats to learners.
	LearnerHeartbeatInterval Instant
	// MaxBatchBytes limits the size of the entries in one message. A single larger entry is still
	// sent.
	MaxBatchBytes int
	// MaxInflightAppends is the number of unanswered appends to a member at which no more entries
	// are sent to it.
	MaxInflightAppends int
	// MaxInflightBytes is the size of the entries in unanswered appends to a member at which no
	// more entries are sent to it.
	MaxInflightBytes int
	// MaxUncommittedBytes limits the size of the uncommitted proposals, beyond which Propose
	// returns ErrOverloaded. A single larger proposal is still accepted.
	MaxUncommittedBytes int
	// MaxUnsavedBytes limits the size of the entries that this member holds in memory and not on disk. A follower
	// whose disk is blocked accepts no more, and a leader returns ErrOverloaded. A single larger entry is accepted.
	MaxUnsavedBytes int
	Rand            *rand.Rand
}

// RecoveredState is the state with which a member starts.
type RecoveredState struct {
	HardState replog.HardState
	Snapshot  replog.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replog.Entry
}

// Save is the state that must be on disk before Messages are sent.
type Save struct {
	HardState replog.HardState
	// Snapshot, if set, replaces the whole log and is written before Entries.
	Snapshot *replog.Snapshot
	// Entries replace the log from the index of the first one on.
	Entries  []replog.Entry
	Messages []Message
}

// ReadState is the result of a call of ReadIndex.
type ReadState struct {
	// Context is the context passed to ReadIndex.
	Context uint64
	// Index is the read index: the read is linearizable once the entry at Index is applied.
	Index uint64
	// LeadershipLost is set if this member stopped being the leader before the read was
	// confirmed. Index is then 0.
	LeadershipLost bool
}

// Ready is the work that the caller has to do.
type Ready struct {
	// Messages may be sent immediately.
	Messages []Message
	// Save has to be written and then passed to ReportSaved. It is nil while an earlier one is
	// being written, and if there is nothing to write.
	Save *Save
	// Reads holds the results of earlier calls of ReadIndex.
	Reads []ReadState
	// CanApply is set if NextApply returns a snapshot or entries.
	CanApply bool
}
