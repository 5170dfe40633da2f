package raft

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

const second = Instant(1e9)

func options(id replog.MemberID) Options {
	return Options{
		ID: id, Election: second, Heartbeat: second / 5, LearnerHeartbeat: second / 2, MaxBatchBytes: 1 << 10,
		MaxInflight: 32, MaxInflightBytes: 2 << 10, MaxUncommitted: 1 << 20, Rand: rand.New(rand.NewPCG(uint64(id), 1)),
	}
}

// groupOf returns a configuration of n voters, numbered from 1.
func groupOf(n int) replog.Config {
	var c replog.Config
	for i := range n {
		c.Members = append(c.Members, replog.Member{ID: replog.MemberID(i + 1), Name: string(rune('a' + i)), Voter: true})
	}
	return c
}

// member returns voter 1 of a group of n.
func member(n int, entries ...replog.Entry) *Core {
	r := Recovered{Hard: replog.HardState{Term: 1, Commit: 1}, Snapshot: replog.Snapshot{Index: 1, Term: 1, Config: groupOf(n)}, Entries: entries}
	return New(options(1), r, second)
}

// take returns all messages that may be sent, with every save done.
func take(c *Core) []Message {
	var out []Message
	for {
		rd := c.Ready()
		out = append(out, rd.Messages...)
		if rd.Save == nil {
			return out
		}
		c.Saved(rd.Save)
		out = append(out, rd.Save.Messages...)
	}
}

// elect makes voter 1 of a group of n the leader at the given time.
func elect(t *testing.T, c *Core, n int, now Instant) {
	t.Helper()
	c.Tick(now)
	for _, typ := range []Type{MsgPreVoteResp, MsgVoteResp} {
		take(c)
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

func has(list []Message, typ Type) bool {
	for _, m := range list {
		if m.Type == typ {
			return true
		}
	}
	return false
}

// Guards against answers that promise what a power loss would undo: votes,
// acknowledged entries, and messages of a term that is not yet on disk.
func TestNothingIsPromisedBeforeItIsSaved(t *testing.T) {
	c := member(3)
	c.Step(second, Message{Type: MsgVote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	rd := c.Ready()
	if rd.Save == nil || rd.Save.Hard.Vote != 2 || has(rd.Messages, MsgVoteResp) || !has(rd.Save.Messages, MsgVoteResp) {
		t.Fatalf("vote is not held back for its save: %+v", rd)
	}
	c.Step(second, Message{Type: MsgAppend, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1, Entries: []replog.Entry{{Index: 2, Term: 5}}, Commit: 2})
	if again := c.Ready(); again.Save != nil || len(again.Messages) != 0 || again.CanApply {
		t.Fatalf("acknowledged or applied while a save is under way: %+v", again)
	}
	c.Saved(rd.Save)
	rd = c.Ready()
	if rd.Save == nil || len(rd.Save.Entries) != 1 || has(rd.Messages, MsgAppendResp) || !has(rd.Save.Messages, MsgAppendResp) {
		t.Fatalf("answer is not held back for its save: %+v", rd)
	}

	alone := member(1)
	alone.Tick(10 * second)
	config := groupOf(1)
	alone.Saved(alone.Ready().Save)
	if err := alone.ProposeConfig(10*second, config.With(replog.Member{ID: 9, Name: "z"})); err != nil {
		t.Fatal(err)
	}
	take(alone)
	alone.becomeFollower(alone.term, 0)
	alone.Tick(20 * second) // leader of a new term that is not on disk
	if rd := alone.Ready(); rd.Save == nil || len(rd.Messages) != 0 || alone.Commit() == alone.Last() {
		t.Fatalf("messages of a term that is not saved: %+v", rd)
	}
}

// Guards against a leader that counts a majority for an entry of an older term,
// which a later leader may still replace.
func TestOlderTermsCommitOnlyThroughTheOwn(t *testing.T) {
	c := member(5, replog.Entry{Index: 2, Term: 1, Kind: replog.KindData})
	elect(t, c, 5, 10*second)
	take(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	if c.Commit() != 1 {
		t.Fatalf("commit index %d, want 1: entry 2 is of term 1", c.Commit())
	}
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 3})
	}
	if c.Commit() != 3 {
		t.Fatalf("commit index %d, want 3", c.Commit())
	}
}

// Guards against two majorities that do not overlap, after overlapping changes
// of the membership or a change on top of one that an older leader left behind.
func TestMembershipChangesOneAtATime(t *testing.T) {
	c := member(3)
	elect(t, c, 3, 10*second)
	take(c)
	config := groupOf(3)
	add := config.With(replog.Member{ID: 4, Name: "d", Voter: true})
	if err := c.ProposeConfig(10*second, add); !errors.Is(err, ErrBusy) {
		t.Fatalf("change before a commit in the term: %v", err)
	}
	c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: 2})
	two := add.With(replog.Member{ID: 5, Name: "e", Voter: true})
	if err := c.ProposeConfig(10*second, two); !errors.Is(err, ErrTwoVoters) {
		t.Fatalf("change of two voters: %v", err)
	}
	if err := c.ProposeConfig(10*second, add); err != nil {
		t.Fatal(err)
	}
	if err := c.ProposeConfig(10*second, config); !errors.Is(err, ErrBusy) {
		t.Fatalf("change during another one: %v", err)
	}
}

// Guards against an instance that was cut off and deposes a working leader when
// it returns, and against votes that disturb a leader that is alive.
func TestReturningMemberDoesNotDeposeTheLeader(t *testing.T) {
	c := member(3)
	for now := 2 * second; now < 60*second; now += second / 10 {
		c.Tick(now) // cut off: pre-votes are not answered
	}
	if c.Term() != 1 {
		t.Fatalf("term %d after a minute alone, want 1", c.Term())
	}
	c.Step(60*second, Message{Type: MsgHeartbeat, From: 2, To: 1, Term: 1})
	take(c)
	c.Step(60*second+second/2, Message{Type: MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 8})
	if c.Term() != 1 || c.Leader() != 2 {
		t.Fatalf("term %d, leader %v: a vote disturbed a live leader", c.Term(), c.Leader())
	}
	c.Step(60*second+second/2, Message{Type: MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 8, Transfer: true})
	if c.Term() != 9 {
		t.Fatalf("term %d: an election asked for by the leader was ignored", c.Term())
	}
}

// Guards against a leader that is cut off, or wakes up after a freeze, and goes
// on as leader: it would accept proposals that cannot be committed.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := member(3)
	elect(t, c, 3, 10*second)
	c.Step(11*second, Message{Type: MsgHeartbeatResp, From: 2, To: 1, Term: c.Term(), Round: 1, Stamp: 5})
	c.Tick(11*second + second/2)
	if c.State() != Leader {
		t.Fatal("gave up the lead although a majority is there")
	}
	c.Tick(13 * second)
	if c.State() == Leader {
		t.Fatal("leads without a majority")
	}
}

// Guards against a commit index that reaches the followers only with the next
// heartbeat, which would add its interval to the convergence time.
func TestCommitIndexIsSentAtOnce(t *testing.T) {
	c := member(3)
	elect(t, c, 3, 10*second)
	take(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	if _, _, err := c.Propose(10*second, []byte("x")); err != nil {
		t.Fatal(err)
	}
	c.Flush(10 * second)
	take(c)
	c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: 3})
	told := 0
	for _, m := range take(c) {
		if m.Type == MsgAppend && m.Commit == 3 {
			told++
		}
	}
	if told != 2 {
		t.Fatalf("%d members were told the commit index at once, want 2", told)
	}
}

// Guards against a minority of leader and follower that takes its knowledge for
// confirmed because the two still hear each other.
func TestEchoNeedsAMajority(t *testing.T) {
	c := member(5)
	elect(t, c, 5, 10*second)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	take(c)
	for now := 10 * second; now < 10*second+second*9/10; now += second / 10 {
		c.Tick(now)
		for _, m := range take(c) {
			if m.To != 2 {
				continue // only member 2 is reached
			}
			if m.Echo != 0 {
				t.Fatalf("echo %d without a majority", m.Echo)
			}
			c.Step(now, Message{Type: MsgHeartbeatResp, From: 2, To: 1, Term: c.Term(), Round: m.Round, Stamp: now})
		}
	}
}

// Guards against a follower that is far behind and gets so much at once that its
// connection is closed as too slow, again and again.
func TestUnansweredAppendsAreBounded(t *testing.T) {
	c := member(3)
	elect(t, c, 3, 10*second)
	take(c)
	for id := replog.MemberID(2); id <= 3; id++ {
		c.Step(10*second, Message{Type: MsgAppendResp, From: id, To: 1, Term: c.Term(), Index: 2})
	}
	take(c)
	match := uint64(2)
	for range 60 {
		if _, _, err := c.Propose(10*second, make([]byte, 500)); err != nil {
			t.Fatal(err)
		}
	}
	c.Flush(10 * second)
	for match < c.Last() {
		sent, last := 0, match
		for _, m := range take(c) {
			if m.To != 2 || m.Type != MsgAppend {
				continue
			}
			for i := range m.Entries {
				sent += m.Entries[i].Size()
				last = m.Entries[i].Index
			}
		}
		if sent > 4<<10 || last == match {
			t.Fatalf("%d bytes unanswered at %d of %d", sent, last, c.Last())
		}
		match = last
		c.Step(10*second, Message{Type: MsgAppendResp, From: 2, To: 1, Term: c.Term(), Index: match})
	}
}

// Guards against a save that ends after its entries were replaced and is taken
// for the save of the new ones, which would be acknowledged without being on disk.
func TestSaveOfReplacedEntriesDoesNotCount(t *testing.T) {
	c := member(3)
	two := func(term uint64) []replog.Entry {
		return []replog.Entry{{Index: 2, Term: term}, {Index: 3, Term: term}}
	}
	c.Step(second, Message{Type: MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: two(2)})
	old := c.Ready().Save
	c.Step(second, Message{Type: MsgAppend, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: two(3), Commit: 3})
	c.Saved(old)
	rd := c.Ready()
	if rd.Save == nil || len(rd.Save.Entries) != 2 || rd.Save.Entries[0].Term != 3 || rd.CanApply {
		t.Fatalf("entries of term 3 are taken for saved: %+v", rd)
	}
}

// Guards against a group whose members all return after a loss of power and which
// serves nothing for a whole election timeout, although there is no leader to wait for.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	cores := map[replog.MemberID]*Core{}
	for id := replog.MemberID(1); id <= 3; id++ {
		r := Recovered{Hard: replog.HardState{Term: 4, Commit: 1}, Snapshot: replog.Snapshot{Index: 1, Term: 1, Config: groupOf(3)}}
		cores[id] = New(options(id), r, 0)
	}
	for now := Instant(0); now < options(1).Election; now += second / 100 {
		var sent []Message
		for id := replog.MemberID(1); id <= 3; id++ {
			cores[id].Tick(now)
			sent = append(sent, take(cores[id])...)
			if cores[id].State() == Leader {
				return
			}
		}
		for len(sent) > 0 {
			m := sent[0]
			cores[m.To].Step(now, m)
			sent = append(sent[1:], take(cores[m.To])...)
		}
	}
	t.Fatal("no leader within the least election timeout")
}
