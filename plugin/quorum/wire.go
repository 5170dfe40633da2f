package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Messages between processes. Field names are short because heartbeats never end.

// stepMessage carries messages from one member to another.
type stepMessage struct {
	From     replog.MemberID `json:"f"`
	To       replog.MemberID `json:"o"`
	Messages []wireMessage   `json:"m"`
	name     string          // instance that it goes to
	bytes    int             // approximate size of the entries
}

type wireMessage struct {
	Type     uint8        `json:"t"`
	Term     uint64       `json:"n"`
	Index    uint64       `json:"i,omitzero"`
	LogTerm  uint64       `json:"l,omitzero"`
	Hint     uint64       `json:"h,omitzero"`
	HintTerm uint64       `json:"g,omitzero"`
	Commit   uint64       `json:"c,omitzero"`
	Entries  []wireEntry  `json:"e,omitempty"`
	Reject   bool         `json:"x,omitzero"`
	Transfer bool         `json:"tr,omitzero"`
	Round    uint64       `json:"r,omitzero"`
	Stamp    raft.Instant `json:"s,omitzero"`
	Echo     raft.Instant `json:"u,omitzero"`
}

// wireEntry is an entry whose index follows from its place in the message.
type wireEntry struct {
	Term   uint64         `json:"n"`
	Kind   replog.Kind    `json:"k,omitzero"`
	Data   []byte         `json:"d,omitempty"`
	Config *replog.Config `json:"c,omitempty"`
}

func toWire(m *raft.Message) wireMessage {
	w := wireMessage{
		Type: uint8(m.Type), Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Hint: m.Hint, HintTerm: m.HintTerm,
		Commit: m.Commit, Reject: m.Reject, Transfer: m.Transfer, Round: m.Round, Stamp: m.Stamp, Echo: m.Echo,
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		w.Entries = append(w.Entries, wireEntry{Term: e.Term, Kind: e.Kind, Data: e.Data, Config: e.Config})
	}
	return w
}

func fromWire(from, to replog.MemberID, w *wireMessage) raft.Message {
	m := raft.Message{
		Type: raft.Type(w.Type), From: from, To: to, Term: w.Term, Index: w.Index, LogTerm: w.LogTerm, Hint: w.Hint,
		HintTerm: w.HintTerm, Commit: w.Commit, Reject: w.Reject, Transfer: w.Transfer, Round: w.Round, Stamp: w.Stamp, Echo: w.Echo,
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

// proposeMessage forwards a proposal to the leader; Data includes its header.
type proposeMessage struct {
	Data []byte `json:"d"`
}

// proposeAnswer names the position of the appended entry.
type proposeAnswer struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"n"`
}

// barrierAnswer carries the index of a linearizable read.
type barrierAnswer struct {
	Index uint64 `json:"i"`
}

// snapshotChunk is one part of a snapshot; the receiver answers each one.
type snapshotChunk struct {
	From   replog.MemberID `json:"f"`
	To     replog.MemberID `json:"o"`
	Term   uint64          `json:"n"`
	Round  uint64          `json:"r"`
	Index  uint64          `json:"i"`
	At     uint64          `json:"l"`
	Config replog.Config   `json:"c"`
	Offset int             `json:"p"`
	Total  int             `json:"z"`
	Data   []byte          `json:"d,omitempty"`
}

// joinMessage asks the leader to add the sender as a learner. Commit and Member
// say up to where the sender knows the log and whether it is a member there.
type joinMessage struct {
	ID     replog.MemberID `json:"id"`
	Commit uint64          `json:"commit"`
	Member bool            `json:"member"`
	// AvailabilityZone is that of the sender.
	AvailabilityZone string `json:"az,omitempty"`
}

// joinAnswer tells a former member that it was removed.
type joinAnswer struct {
	Removed bool `json:"removed,omitzero"`
}

// foundMessage asks, before a group is formed, what the receiver knows of one.
type foundMessage struct {
	ID replog.MemberID `json:"id"`
}

type foundAnswer struct {
	ID replog.MemberID `json:"id"`
	// Bootstrap tells that the sender was started to form a group.
	Bootstrap bool `json:"bootstrap"`
	// Exists tells that the sender belongs to a group; Included that the asking
	// member does too. Config is the group's first configuration while known.
	Exists   bool           `json:"exists"`
	Included bool           `json:"included"`
	Config   *replog.Config `json:"config,omitempty"`
}
