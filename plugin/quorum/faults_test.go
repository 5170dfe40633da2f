package quorum

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

var long = flag.Int("long", 1, "factor by which property tests run longer")

// step makes one random thing happen.
func (s *sim) step() {
	s.now += raft.Instant(s.rng.Int64N(int64(s.pace())))
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch k := s.rng.IntN(1000); {
	case k < 550:
		s.deliver()
	case k < 750:
		s.sync(n, true)
	case k < 900:
		s.tick(n)
	case k < 950:
		s.propose(n)
	case k < 980:
		s.read(n)
	case k < 985:
		s.snapshot(n)
	case k < 992:
		s.join(n)
	case k < 997:
		s.recover(n)
	case !s.calm && !s.driven && s.rng.IntN(2) == 0:
		s.fault(n)
	}
}

// pace bounds the time of a step, so that an instance of a large group is chosen
// as often in its own time as one of a small group.
func (s *sim) pace() raft.Instant { return max(1, 2*ms*4/max(4, raft.Instant(len(s.nodes)))) }

// up reports whether the instance runs and is not frozen.
func up(n *simNode) bool { return n.core != nil && !n.frozen }

func (s *sim) tick(n *simNode) {
	if !up(n) {
		return
	}
	n.core.Tick(s.local(n))
	s.maintain(n)
	s.drive(n)
}

// maintain proposes membership changes as maintain in join.go does.
func (s *sim) maintain(n *simNode) {
	if n.core.State() != raft.Leader {
		n.joins = nil
		return
	}
	if n.core.ConfigPending() {
		return
	}
	c, ok := raft.NextChange(n.core.Config(), s.listed, n.joins, n.core.Commit(), n.core.Progress())
	if s.target > 0 {
		c, ok = raft.NextOpenChange(n.core.Config(), raft.OpenGroup{Voters: s.target, ReplaceAfter: simReplaceAfter, ForgetAfter: simForgetAfter}, n.joins, n.core.Commit(), n.core.Progress())
	}
	if ok {
		if n.core.ProposeConfig(s.local(n), c.Config) == nil {
			n.joins = nil
		}
	}
}

func (s *sim) deliver() {
	if len(s.net) == 0 {
		return
	}
	i := 0 // mostly in order, as one connection is
	if !s.calm && s.rng.IntN(4) == 0 {
		i = s.rng.IntN(len(s.net))
	}
	f := s.net[i]
	s.net = append(s.net[:i], s.net[i+1:]...)
	from, to := s.byMember(f.m.From), s.byMember(f.m.To)
	if from == nil || to == nil || s.side[from.name] != s.side[to.name] || to.core == nil || !s.calm && s.rng.IntN(12) == 0 {
		if from != nil && from.core != nil && f.m.Type == raft.MsgSnapshot {
			from.core.SnapshotSent(f.m.To, false)
		}
		return
	}
	if to.frozen {
		s.net = append(s.net, f) // waits in the buffers of the connection
		return
	}
	if f.m.Type == raft.MsgSnapshot && from.core != nil {
		from.core.SnapshotSent(f.m.To, true)
	}
	to.core.Step(s.local(to), f.m)
	s.drive(to)
}

func (s *sim) byMember(id replog.MemberID) *simNode {
	for _, n := range s.nodes {
		if n.member == id {
			return n
		}
	}
	return nil
}

// sync completes the write under way. Without alive, the instance crashes right
// after it or in the middle of it.
func (s *sim) sync(n *simNode, alive bool) {
	if n.core == nil || n.pending == nil || alive && (n.frozen || n.slow && s.rng.IntN(30) > 0) {
		return
	}
	save := n.pending
	n.pending = nil
	if !alive {
		n.disk.write(save, s.rng.IntN(4))
		return
	}
	n.disk.write(save, 3)
	n.core.Saved(save)
	s.sent(n, save.Messages)
	s.drive(n)
}

func (s *sim) propose(n *simNode) {
	if !up(n) || s.calm {
		return
	}
	s.texts++
	text := fmt.Sprintf("%s-%d", n.name, s.texts)
	n.table.add([]byte(text), s.local(n)+500*ms, func(_ any, err error) {
		switch {
		case err == nil:
			s.accepted[text] = true
			if _, ok := s.applied[text]; !ok {
				s.failf("%s is accepted before it is applied", text)
			}
		case verdict.Of(err) == verdict.NotRun:
			s.notRun[text] = true
			if at, ok := s.applied[text]; ok {
				s.failf("%s is applied at %d and reported as not executed", text, at)
			}
		}
	})
	// Route to the leader that the instance believes in, as route and forward do.
	p := n.table.queue[0]
	n.table.queue = nil
	leader := s.byMember(n.core.Leader())
	if leader == nil || !up(leader) || s.side[leader.name] != s.side[n.name] {
		n.table.expire(1<<62, true, func(f func()) { f() })
		return
	}
	p.handed = true
	index, term, err := leader.core.Propose(s.local(leader), p.data)
	if err != nil {
		p.handed = false
		n.table.expire(1<<62, true, func(f func()) { f() })
		return
	}
	if s.rng.IntN(5) > 0 { // else the leader's answer is lost
		n.table.placed(p, index, term)
	}
	leader.core.Flush(s.local(leader))
	s.drive(leader)
}

func (s *sim) read(n *simNode) {
	if !up(n) {
		return
	}
	context := s.rng.Uint64()
	n.reads[context] = s.committed()
	_ = n.core.ReadIndex(s.local(n), context)
	s.drive(n)
}

// snapshot compacts the log as takeSnapshot and the disk job do.
func (s *sim) snapshot(n *simNode) {
	if !up(n) || n.pending != nil || n.core.AppliedIndex() <= n.core.SnapshotIndex() {
		return
	}
	snap, ok := n.core.DescribeSnapshot(n.core.AppliedIndex())
	if !ok {
		return
	}
	snap.Data, _ = json.Marshal(n.state)
	d := n.disk
	d.entries = append([]replog.Entry(nil), d.entries[snap.Index-d.snapshot.Index:]...)
	d.snapshot = snap
	n.core.Compact(snap, snap.Index-min(snap.Index, 3))
}

// join asks every leader that can be reached to add an instance outside the group.
func (s *sim) join(n *simNode) {
	if !up(n) {
		return
	}
	config := n.core.CommittedConfig()
	if _, ok := config.Find(n.member); ok && (s.target == 0 || n.core.Leader() != 0) {
		return
	}
	for _, l := range s.nodes {
		if !up(l) || s.side[l.name] != s.side[n.name] || l.core.State() != raft.Leader {
			continue
		}
		config := l.core.Config()
		if _, ok := config.Find(n.member); !ok {
			l.joins = raft.AddJoin(l.joins, replog.Member{ID: n.member, Name: n.name})
		}
	}
}

// recover ends a fault of the instance.
func (s *sim) recover(n *simNode) {
	switch {
	case n.core == nil:
		s.start(n)
	case n.frozen:
		n.frozen = false
	case n.slow:
		n.slow = false
	default:
		clear(s.side)
	}
}

// settle ends all faults and lets the group come to rest.
func (s *sim) settle() { s.rest(s.settled, 300000) }

// rest ends all faults and takes steps until why returns nothing.
func (s *sim) rest(why func() string, steps int) {
	s.calm = true
	clear(s.side)
	for _, n := range s.nodes {
		n.frozen, n.slow = false, false
		if n.core == nil {
			s.start(n)
		}
	}
	for i := 0; i < steps && s.err == nil; i++ {
		s.step()
		if i%500 == 0 && why() == "" {
			break
		}
	}
	if reason := why(); reason != "" {
		s.failf("group did not settle: %s", reason)
	}
	for text := range s.accepted {
		if _, ok := s.applied[text]; !ok {
			s.failf("accepted %s is lost", text)
		}
	}
}

// settled returns why the group is not at rest, or nothing. At rest all
// instances are members, the listed ones vote, and all have the same state.
func (s *sim) settled() string {
	first := s.nodes[0]
	config := first.core.CommittedConfig()
	for _, n := range s.nodes {
		m, ok := config.Find(n.member)
		switch {
		case !ok || m.Voter == n.diskless:
			return fmt.Sprintf("%s is member %v, voter %v", n.name, ok, m.Voter)
		case n.core.Commit() != s.committed() || n.core.AppliedIndex() != s.committed():
			return fmt.Sprintf("%s is at commit %d, applied %d of %d", n.name, n.core.Commit(), n.core.AppliedIndex(), s.committed())
		case strings.Join(n.state, " ") != strings.Join(first.state, " "):
			s.failf("%s and %s have different states", n.name, first.name)
		}
	}
	if len(first.state) != len(s.applied) {
		s.failf("the state has %d texts, %d were applied", len(first.state), len(s.applied))
	}
	return ""
}

func runFaults(seed uint64) *sim {
	s := newSim(seed, []int{3, 5, 3, 1}[seed%4])
	for i := 0; i < 30000 && s.err == nil; i++ {
		s.step()
	}
	s.settle()
	return s
}

// Guards against accepted entries that are lost or changed, instances that apply
// different entries at one index, proposals that take effect after they were
// reported as not executed, two votes in one term, stale linearizable reads, and
// knowledge that is taken for newer than it is.
func TestSafetyUnderFaults(t *testing.T) { checkRuns(t, 21, 16, runFaults) }

// checkRuns plays simulations of drawn seeds, -long times as many as told.
func checkRuns(t *testing.T, first int64, times int, run func(seed uint64) *sim) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(first)
	p.MinSuccessfulTests = times * *long
	props := gopter.NewProperties(p)
	accepted, replaced, unexecuted, leaders := 0, 0, 0, 0
	props.Property("safe", prop.ForAll(func(seed uint64) string {
		s := run(seed)
		accepted += len(s.accepted)
		replaced += len(s.lost)
		unexecuted += len(s.notRun)
		leaders += len(s.leaders)
		if s.err != nil {
			return s.err.Error()
		}
		return ""
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	props.TestingRun(t)
	t.Logf("%d accepted and %d refused proposals, %d terms with a leader, %d new identities", accepted, unexecuted, leaders, replaced)
}
