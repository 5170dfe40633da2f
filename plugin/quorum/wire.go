package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Messages between instances. Frequent messages have short JSON names to reduce the traffic of
// heartbeats, which the leader of an idle group sends as well.

// stepMessage carries raft messages from one member to another.
type stepMessage struct {
	From     replog.MemberID `json:"f"`
	To       replog.MemberID `json:"o"`
	Messages []wireMessage   `json:"m"`
	name     string          // name of the receiving instance
	bytes    int             // approximate size of the entries
	sizes    []int           // approximate size of the entries of each message
}

func (s *stepMessage) add(m wireMessage, bytes int) {
	s.Messages, s.sizes = append(s.Messages, m), append(s.sizes, bytes)
	s.bytes += bytes
}

// split returns the message in parts, so that only the one that is being sent takes memory for its encoding, which is
// several times that of its entries. A part has more than maxBytes of entries only if it is a single message.
func (s *stepMessage) split(maxBytes int) []*stepMessage {
	if s.bytes <= maxBytes || len(s.Messages) == 1 {
		return []*stepMessage{s}
	}
	var out []*stepMessage
	for i, m := range s.Messages {
		if n := len(out); n == 0 || out[n-1].bytes+s.sizes[i] > maxBytes {
			out = append(out, &stepMessage{From: s.From, To: s.To, name: s.name})
		}
		out[len(out)-1].add(m, s.sizes[i])
	}
	return out
}

// wireMessage is the encoding of a raft.Message within a stepMessage.
type wireMessage struct {
	Type      uint8        `json:"t"`
	Term      uint64       `json:"n"`
	Index     uint64       `json:"i,omitzero"`
	LogTerm   uint64       `json:"l,omitzero"`
	Hint      uint64       `json:"h,omitzero"`
	HintTerm  uint64       `json:"g,omitzero"`
	Commit    uint64       `json:"c,omitzero"`
	Entries   []wireEntry  `json:"e,omitempty"`
	Reject    bool         `json:"x,omitzero"`
	Transfer  bool         `json:"tr,omitzero"`
	Round     uint64       `json:"r,omitzero"`
	Timestamp raft.Instant `json:"s,omitzero"`
	Echo      raft.Instant `json:"u,omitzero"`
}

// wireEntry is an entry of a wireMessage; its index follows from its position.
type wireEntry struct {
	Term   uint64         `json:"n"`
	Kind   replog.Kind    `json:"k,omitzero"`
	Data   []byte         `json:"d,omitempty"`
	Config *replog.Config `json:"c,omitempty"`
}

func toWire(m *raft.Message) wireMessage {
	w := wireMessage{
		Type: uint8(m.Type), Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Hint: m.Hint, HintTerm: m.HintTerm,
		Commit: m.Commit, Reject: m.Reject, Transfer: m.Transfer, Round: m.Round, Timestamp: m.Timestamp, Echo: m.Echo,
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		w.Entries = append(w.Entries, wireEntry{Term: e.Term, Kind: e.Kind, Data: e.Data, Config: e.Config})
	}
	return w
}

func fromWire(from, to replog.MemberID, w *wireMessage) raft.Message {
	m := raft.Message{
		Type: raft.MessageType(w.Type), From: from, To: to, Term: w.Term, Index: w.Index, LogTerm: w.LogTerm, Hint: w.Hint,
		HintTerm: w.HintTerm, Commit: w.Commit, Reject: w.Reject, Transfer: w.Transfer, Round: w.Round, Timestamp: w.Timestamp, Echo: w.Echo,
	}
	for i := range w.Entries {
		e := &w.Entries[i]
		if e.Kind == replog.KindConfig && e.Config == nil {
			e.Config = &replog.Config{}
		}
		m.Entries = append(m.Entries, replog.Entry{Index: w.Index + uint64(i) + 1, Term: e.Term, Kind: e.Kind, Data: e.Data, Config: e.Config})
	}
	return m
}

// proposeRequest forwards a proposal to the leader.
type proposeRequest struct {
	Data []byte `json:"d"` // including the header of headerBytes bytes
	// Term is the term in which the receiver is thought to lead. The receiver refuses the proposal in
	// any other term, however late it arrives. 0 means any term; earlier versions send none.
	Term uint64 `json:"t,omitzero"`
}

// proposeResponse is the position of the appended entry.
type proposeResponse struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"n"`
}

// barrierResponse is the read index of a linearizable read.
type barrierResponse struct {
	Index uint64 `json:"i"`
}

// snapshotChunk is one chunk of a snapshot. The receiver acknowledges each chunk before the
// next one is sent.
type snapshotChunk struct {
	From    replog.MemberID `json:"f"`
	To      replog.MemberID `json:"o"`
	Term    uint64          `json:"n"`
	Round   uint64          `json:"r"`
	Index   uint64          `json:"i"` // index of the last entry that the snapshot covers
	LogTerm uint64          `json:"l"` // term of that entry
	Config  replog.Config   `json:"c"` // configuration of the group at that entry
	Offset  int             `json:"p"` // offset of Data in the snapshot, in bytes
	Total   int             `json:"z"` // size of the whole snapshot in bytes
	Data    []byte          `json:"d,omitempty"`
}

// joinRequest asks the leader to add the sender as a learner.
type joinRequest struct {
	ID replog.MemberID `json:"id"`
	// Commit is the sender's commit index.
	Commit uint64 `json:"commit"`
	// Member is true if the sender is a member according to the configuration at Commit.
	Member bool `json:"member"`
	// AvailabilityZone is the availability zone of the sender.
	AvailabilityZone string `json:"az,omitempty"`
}

// joinResponse is the response of the leader or, in an open group, of any member to a joinRequest.
type joinResponse struct {
	// Removed is true if the sender was a member and has been removed from the group.
	Removed bool `json:"removed,omitzero"`
	// Instances holds the names of the members of an open group.
	Instances []string `json:"instances,omitempty"`
}

// bootstrapRequest asks, before a group is formed, whether the receiver knows of one.
type bootstrapRequest struct {
	ID replog.MemberID `json:"id"`
}

// bootstrapResponse tells what the sender knows of a group.
type bootstrapResponse struct {
	ID replog.MemberID `json:"id"`
	// Bootstrap is true while the sender, a founder, is bootstrapping a group.
	Bootstrap bool `json:"bootstrap"`
	// Empty is true if the log of the sender, which has a disk, is empty. Earlier versions do not send it.
	Empty bool `json:"empty,omitempty"`
	// Exists is true if the sender belongs to a group.
	Exists bool `json:"exists"`
	// Included is true if the requesting member belongs to the sender's group.
	Included bool `json:"included"`
	// Config is the first configuration of the sender's group, if the sender still has it.
	Config *replog.Config `json:"config,omitempty"`
}
