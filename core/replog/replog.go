// Package replog defines the types of the replicated log: entries, the hard state of a
// member, configurations of the group and snapshots. It does no I/O and defines no
// encoding of entries.
package replog

import (
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MemberID identifies a member of the group. It is generated at random when a data folder
// is first used, so an instance that lost its disk becomes a new member. Zero means none.
type MemberID uint64

// String returns the identifier as 16 hexadecimal digits.
func (m MemberID) String() string { return fmt.Sprintf("%016x", uint64(m)) }

// MarshalText implements encoding.TextMarshaler.
func (m MemberID) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *MemberID) UnmarshalText(b []byte) error {
	v, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return errors.Newf("member ID %q is not hexadecimal", b)
	}
	*m = MemberID(v)
	return nil
}

// Kind is the type of content of an entry.
type Kind uint8

// Kinds of entries.
const (
	// KindEmpty is an entry without content. Each new leader appends one as the first entry of
	// its term.
	KindEmpty Kind = iota
	// KindData is an entry with Data for the state machine.
	KindData
	// KindConfig is an entry with a new configuration of the group.
	KindConfig
)

// Entry is one entry of the log. It is immutable.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
	// Config is set for KindConfig only.
	Config *Config
}

// Size returns the approximate size of the entry in memory and in messages, in bytes.
func (e *Entry) Size() int {
	n := len(e.Data) + 32
	if e.Config != nil {
		n += 64 * len(e.Config.Members)
	}
	return n
}

// Member is the membership of one instance in the group.
type Member struct {
	ID MemberID `json:"id"`
	// Name is the instance name.
	Name string `json:"name"`
	// Voter is false for learners.
	Voter bool `json:"voter,omitzero"`
}

// Config is the membership of the group. It is immutable.
type Config struct {
	Members []Member `json:"members"`
}

// Find returns the member with the identifier, and false if there is none.
func (c *Config) Find(id MemberID) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// VoterIDs returns the identifiers of the voters.
func (c *Config) VoterIDs() []MemberID {
	var ids []MemberID
	for _, m := range c.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// IsVoter reports whether the member with the identifier is a voter.
func (c *Config) IsVoter(id MemberID) bool {
	m, ok := c.Find(id)
	return ok && m.Voter
}

// With returns a copy with m, which replaces any member with the same identifier.
func (c *Config) With(m Member) Config {
	out := c.Without(m.ID)
	out.Members = append(out.Members, m)
	return out
}

// Without returns a copy without the member that has the identifier, if any.
func (c *Config) Without(id MemberID) Config {
	out := Config{Members: make([]Member, 0, len(c.Members)+1)}
	for _, m := range c.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// HardState is the state that a member persists across restarts.
type HardState struct {
	Term   uint64
	Vote   MemberID // the member voted for in Term; 0 if none
	Commit uint64   // a lower bound of the commit index
}

// Snapshot is the state after the entry at Index has been applied.
type Snapshot struct {
	Index  uint64
	Term   uint64 // term of the entry at Index
	Config Config // configuration of the group at Index
	Data   []byte // encoded state; nil where only the other fields are needed
}
