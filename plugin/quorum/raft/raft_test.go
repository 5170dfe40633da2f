package raft

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

const second = Instant(1e9)

func testOptions(id replog.MemberID) Options {
	return Options{
		ID: id, ElectionTimeout: second, HeartbeatInterval: second / 5, LearnerHeartbeatInterval: second / 2, MaxBatchBytes: 1 << 10,
		MaxInflightAppends: 32, MaxInflightBytes: 2 << 10, MaxUncommittedBytes: 1 << 20, MaxUnsavedBytes: 1 << 20, Rand: rand.New(rand.NewPCG(uint64(id), 1)),
	}
}

// voterConfig returns a configuration of n voters with IDs from 1 to n.
func voterConfig(n int) replog.Config {
	var c replog.Config
	for i := range n {
		c.Members = append(c.Members, replog.Member{ID: replog.MemberID(i + 1), Name: string(rune('a' + i)), Voter: true})
	}
	return c
}

// newTestCore returns the core of voter 1 in a group of n.
func newTestCore(n int, entries ...replog.Entry) *Core {
	r := RecoveredState{HardState: replog.HardState{Term: 1, Commit: 1}, Snapshot: replog.Snapshot{Index: 1, Term: 1, Config: voterConfig(n)}, Entries: entries}
	return New(testOptions(1), r, second)
}

// takeMessages completes all saves and returns the messages that may then be sent.
func takeMessages(c *Core) []Message {
	var out []Message
	for {
		rd := c.Ready()
		out = append(out, rd.Messages...)
		if rd.Save == nil {
			return out
		}
		c.ReportSaved(rd.Save)
		out = append(out, rd.Save.Messages...)
	}
}

// electLeader makes voter 1 of a group of n the leader at the given time.
func electLeader(t *testing.T, c *Core, n int, now Instant) {
	t.Helper()
	c.Tick(now)
	for _, typ := range []MessageType{MsgPreVoteResp, MsgVoteResp} {
		takeMessages(c)
		term := c.Term()
		if typ == MsgPreVoteResp {
			term++
		}
		for id := 2; id <= n/2+1; id++ {
			c.Step(now, Message{Type: typ, From: replog.MemberID(id), To: 1, Term: term})
		}
	}
	if c.State() != Leader {
		t.Fatalf("state %v in term %d, want leader", c.State(), c.Term())
	}
}

func hasMessage(messages []Message, typ MessageType) bool {
	for _, m := range messages {
		if m.Type == typ {
			return true
		}
	}
	return false
}

// Guards against messages that are sent before the state on which they depend is on disk: votes,
// acknowledgements of entries, and messages of a new term. A power loss would undo that state.
func TestMessagesWaitForSave(t *testing.T) {
	c := newTestCore(3)
	c.Step(second, Message{Type: MsgVote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	rd := c.Ready()
	if rd.Save == nil || rd.Save.HardState.Vote != 2 || hasMessage(rd.Messages, MsgVoteResp) || !hasMessage(rd.Save.Messages, MsgVoteResp) {
		t.Fatalf("the vote response does not wait for the save: %+v", rd)
	}
	c.Step(second, Message{Type: MsgAppend, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1, Entries: []replog.Entry{{Index: 2, Term: 5}}, Commit: 2})
	if again := c.Ready(); again.Save != nil || len(again.Messages) != 0 || again.CanApply {
		t.Fatalf("entries acknowledged or applied during a save: %+v", again)
	}
	c.ReportSaved(rd.Save)
	rd = c.Ready()
	if rd.Save == nil || len(rd.Save.Entries) != 1 || hasMessage(rd.Messages, MsgAppendResp) || !hasMessage(rd.Save.Messages, MsgAppendResp) {
		t.Fatalf("the append response does not wait for the save: %+v", rd)
	}

	single := newTestCore(1)
	single.Tick(10 * second)
	config := voterConfig(1)
	single.ReportSaved(single.Ready().Save)
	if err := single.ProposeConfig(10*second, config.With(replog.Member{ID: 9, Name: "z"})); err != nil {
		t.Fatal(err)
	}
	takeMessages(single)
	single.becomeFollower(single.term, 0)
	single.Tick(20 * second) // becomes leader of a new term that is not on disk
	if rd := single.Ready(); rd.Save == nil || len(rd.Messages) != 0 || single.CommitIndex() == single.LastIndex() {
		t.Fatalf("messages of an unsaved term, or entries committed before their save: %+v", rd)
	}
}

// Guards against a leader that commits an entry of an older term by counting acknowledgements,
// although a later leader may still replace it.
func TestOlderTermsCommitOnlyThroughCurrentTerm(t *testing.T) {
	c := newTestCore(5, replog.Entry{Index: 2, Term: 1, Kind: replog.KindData})
	electLeader(t, c, 5, 10*second)
	takeMessages(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	if c.CommitIndex() != 1 {
		t.Fatalf("commit index %d, want 1: entry 2 is of term 1", c.CommitIndex())
	}
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 3})
	}
	if c.CommitIndex() != 3 {
		t.Fatalf("commit index %d, want 3", c.CommitIndex())
	}
}

// Guards against majorities that do not overlap, because membership changes are concurrent or one
// follows an uncommitted change of an earlier leader.
func TestMembershipChangesOneAtATime(t *testing.T) {
	c := newTestCore(3)
	electLeader(t, c, 3, 10*second)
	takeMessages(c)
	config := voterConfig(3)
	add := config.With(replog.Member{ID: 4, Name: "d", Voter: true})
	if err := c.ProposeConfig(10*second, add); !errors.Is(err, ErrConfigPending) {
		t.Fatalf("change before the first commit of the term: %v", err)
	}
	c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: 2})
	two := add.With(replog.Member{ID: 5, Name: "e", Voter: true})
	if err := c.ProposeConfig(10*second, two); !errors.Is(err, ErrMultipleVoterChanges) {
		t.Fatalf("change of two voters: %v", err)
	}
	if err := c.ProposeConfig(10*second, add); err != nil {
		t.Fatal(err)
	}
	if err := c.ProposeConfig(10*second, config); !errors.Is(err, ErrConfigPending) {
		t.Fatalf("change during another one: %v", err)
	}
}

// Guards against an instance that was cut off and deposes an active leader when it rejoins, and
// against other vote requests that depose an active leader.
func TestRejoiningMemberDoesNotDeposeLeader(t *testing.T) {
	c := newTestCore(3)
	for now := 2 * second; now < 60*second; now += second / 10 {
		c.Tick(now) // cut off: its pre-votes get no response
	}
	if c.Term() != 1 {
		t.Fatalf("term %d after a minute without contact, want 1", c.Term())
	}
	c.Step(60*second, Message{Type: MsgHeartbeat, From: 2, To: 1, Term: 1})
	takeMessages(c)
	c.Step(60*second+second/2, Message{Type: MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 8})
	if c.Term() != 1 || c.Leader() != 2 {
		t.Fatalf("term %d, leader %v: a vote request disrupted an active leader", c.Term(), c.Leader())
	}
	c.Step(60*second+second/2, Message{Type: MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 8, Transfer: true})
	if c.Term() != 9 {
		t.Fatalf("term %d: an election requested by the leader was ignored", c.Term())
	}
}

// Guards against a leader that remains leader although it was cut off or suspended, and so accepts
// proposals that cannot be committed.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := newTestCore(3)
	electLeader(t, c, 3, 10*second)
	c.Step(11*second, Message{Type: MsgHeartbeatResp, From: 2, To: 1, Term: c.Term(), Round: 1, Timestamp: 5})
	c.Tick(11*second + second/2)
	if c.State() != Leader {
		t.Fatal("the leader stepped down although a majority responds")
	}
	c.Tick(13 * second)
	if c.State() == Leader {
		t.Fatal("still leader without a majority")
	}
}

// Guards against a commit index that is sent to the followers only with the next heartbeat, which
// would add the heartbeat interval to the convergence time.
func TestCommitIndexIsSentImmediately(t *testing.T) {
	c := newTestCore(3)
	electLeader(t, c, 3, 10*second)
	takeMessages(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	if _, _, err := c.Propose(10*second, []byte("x")); err != nil {
		t.Fatal(err)
	}
	c.Flush(10 * second)
	takeMessages(c)
	c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: 3})
	notified := 0
	for _, m := range takeMessages(c) {
		if m.Type == MsgAppend && m.Commit == 3 {
			notified++
		}
	}
	if notified != 2 {
		t.Fatalf("commit index sent to %d members immediately, want 2", notified)
	}
}

// Guards against a leader and a follower in a minority that consider their commit index confirmed
// because they still reach each other.
func TestEchoRequiresMajority(t *testing.T) {
	c := newTestCore(5)
	electLeader(t, c, 5, 10*second)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	takeMessages(c)
	for now := 10 * second; now < 10*second+second*9/10; now += second / 10 {
		c.Tick(now)
		for _, m := range takeMessages(c) {
			if m.To != 2 {
				continue // only member 2 is reachable
			}
			if m.Echo != 0 {
				t.Fatalf("echo %d sent without a majority", m.Echo)
			}
			c.Step(now, Message{Type: MsgHeartbeatResp, From: 2, To: 1, Term: c.Term(), Round: m.Round, Timestamp: now})
		}
	}
}

// Guards against sending so many entries at once to a follower that is far behind that its
// connection is repeatedly closed as too slow.
func TestUnansweredAppendsAreBounded(t *testing.T) {
	c := newTestCore(3)
	electLeader(t, c, 3, 10*second)
	takeMessages(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	takeMessages(c)
	match := uint64(2)
	for range 60 {
		if _, _, err := c.Propose(10*second, make([]byte, 500)); err != nil {
			t.Fatal(err)
		}
	}
	c.Flush(10 * second)
	for match < c.LastIndex() {
		sent, last := 0, match
		for _, m := range takeMessages(c) {
			if m.To != 2 || m.Type != MsgAppend {
				continue
			}
			for i := range m.Entries {
				sent += m.Entries[i].Size()
				last = m.Entries[i].Index
			}
		}
		if sent > 4<<10 || last == match {
			t.Fatalf("%d bytes sent without a response, up to entry %d of %d", sent, last, c.LastIndex())
		}
		match = last
		c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: match})
	}
}

// Guards against a save that completes after its entries were replaced, and is mistaken for a save
// of the new entries. These would then be acknowledged without being on disk.
func TestSaveOfReplacedEntriesIsNotCounted(t *testing.T) {
	c := newTestCore(3)
	twoEntries := func(term uint64) []replog.Entry {
		return []replog.Entry{{Index: 2, Term: term}, {Index: 3, Term: term}}
	}
	c.Step(second, Message{Type: MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: twoEntries(2)})
	old := c.Ready().Save
	c.Step(second, Message{Type: MsgAppend, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: twoEntries(3), Commit: 3})
	c.ReportSaved(old)
	rd := c.Ready()
	if rd.Save == nil || len(rd.Save.Entries) != 2 || rd.Save.Entries[0].Term != 3 || rd.CanApply {
		t.Fatalf("entries of term 3 are treated as saved: %+v", rd)
	}
}

// Guards against a group that stays without a leader for a whole election timeout after a power
// loss that restarted all its members, although there is no leader to wait for.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	cores := map[replog.MemberID]*Core{}
	for id := replog.MemberID(1); id <= 3; id++ {
		r := RecoveredState{HardState: replog.HardState{Term: 4, Commit: 1}, Snapshot: replog.Snapshot{Index: 1, Term: 1, Config: voterConfig(3)}}
		cores[id] = New(testOptions(id), r, 0)
	}
	for now := Instant(0); now < testOptions(1).ElectionTimeout; now += second / 100 {
		var sent []Message
		for id := replog.MemberID(1); id <= 3; id++ {
			cores[id].Tick(now)
			sent = append(sent, takeMessages(cores[id])...)
			if cores[id].State() == Leader {
				return
			}
		}
		for len(sent) > 0 {
			m := sent[0]
			cores[m.To].Step(now, m)
			sent = append(sent[1:], takeMessages(cores[m.To])...)
		}
	}
	t.Fatal("no leader within the minimum election timeout")
}

// Guards against a log that keeps entries by their number only, and so takes any amount of memory when they are large, and
// against one that keeps none for followers that are slightly behind.
func TestKeptEntriesAreBoundedByBytes(t *testing.T) {
	l := &memLog{configs: []indexedConfig{{}}}
	for i := range uint64(100) {
		l.push(replog.Entry{Index: i + 1, Term: 1, Kind: replog.KindData, Data: make([]byte, 1000)})
	}
	l.applied = 100
	c := &Core{log: l}
	size := l.entries[0].Size()
	for _, tc := range []struct {
		index, entries uint64
		bytes          int
		want           uint64
	}{
		{90, 2000, 10 * size, 80}, {90, 5, 10 * size, 85}, {90, 2000, 10*size - 1, 81}, {90, 0, 10 * size, 90}, {90, 2000, 0, 90}, {90, 2000, 1 << 30, 0}, {100, 2000, 3 * size, 97},
	} {
		if got := c.KeepAbove(tc.index, tc.entries, tc.bytes); got != tc.want {
			t.Errorf("%+v: entries above %d are kept", tc, got)
		}
	}
	c.Compact(replog.Snapshot{Index: 90, Term: 1}, 80)
	if got := c.KeepAbove(95, 2000, 1<<30); got != 80 {
		t.Errorf("after a compaction to 80, entries above %d are kept", got)
	}
}
