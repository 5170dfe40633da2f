// Package raft is the decision core of the replicated log: messages and time
// in, effects out. It does no I/O, reads no clock and starts no goroutine; time
// and randomness are arguments. The caller saves what Ready names before it
// sends the messages that depend on it.
package raft

import (
	"math/rand/v2"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Instant is a point in time in nanoseconds on the instance's own monotonic
// clock. Instants of different instances are not comparable.
type Instant int64

// Type tells what a message means.
type Type uint8

// Types of messages.
const (
	MsgPreVote Type = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	// MsgTimeoutNow asks a voter to start an election at once (leader transfer).
	MsgTimeoutNow
)

// Message passes between two members.
type Message struct {
	Type Type
	From replog.MemberID
	To   replog.MemberID
	Term uint64
	// Index and LogTerm name a log position: the entry before Entries, the last
	// entry of a candidate, or the matched or rejected entry of an answer.
	Index   uint64
	LogTerm uint64
	// Hint and HintTerm of a rejected append name the last position that may match.
	Hint     uint64
	HintTerm uint64
	Commit   uint64
	Entries  []replog.Entry
	// Snapshot describes the snapshot of MsgSnapshot.
	Snapshot *replog.Snapshot
	Reject   bool
	// Transfer marks an election that the leader asked for.
	Transfer bool
	// Round numbers the leader's rounds of heartbeats; answers repeat it.
	Round uint64
	// Stamp is the sender's clock when a follower answers; Echo returns the newest
	// stamp that precedes a confirmed round of the leader.
	Stamp Instant
	Echo  Instant
}

// State is the part a member plays.
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
	// Election is the least election timeout; the timeout is drawn from
	// Election to 5/3 of it.
	Election Instant
	// Heartbeat and LearnerHeartbeat are the intervals of idle heartbeats.
	Heartbeat        Instant
	LearnerHeartbeat Instant
	// MaxBatchBytes bounds the entries of one message unless there is only one.
	// MaxInflight bounds the unanswered appends to one member; none is sent while
	// MaxInflightBytes are unanswered. MaxUncommitted bounds the bytes of
	// uncommitted proposals.
	MaxBatchBytes    int
	MaxInflight      int
	MaxInflightBytes int
	MaxUncommitted   int
	Rand             *rand.Rand
}

// Recovered is the state that a member starts with.
type Recovered struct {
	Hard     replog.HardState
	Snapshot replog.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replog.Entry
}

// Save is what must be on disk before Messages are sent. Snapshot, if set,
// replaces the whole log and comes before Entries; Entries replace the log from
// the index of the first one.
type Save struct {
	Hard     replog.HardState
	Snapshot *replog.Snapshot
	Entries  []replog.Entry
	Messages []Message
}

// ReadState answers a ReadIndex: the read is linearizable once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	// Lost means that this member ceased to be leader before it could answer.
	Lost bool
}

// Ready is what the caller has to do.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// Save is to be written, then handed to Core.Saved. It is nil while an earlier
	// one is being written and when there is nothing to write.
	Save  *Save
	Reads []ReadState
	// CanApply tells that NextApply has work.
	CanApply bool
}
