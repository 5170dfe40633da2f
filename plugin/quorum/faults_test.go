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

var longFactor = flag.Int("long", 1, "factor by which property tests run longer")

// step advances the time and performs one random action or fault.
func (s *sim) step() {
	s.now += raft.Instant(s.rng.Int64N(int64(s.maxStepTime())))
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
		s.takeSnapshot(n)
	case k < 992:
		s.join(n)
	case k < 997:
		s.recover(n)
	case !s.faultFree && !s.externalFaults && s.rng.IntN(2) == 0:
		s.injectFault(n)
	}
}

// maxStepTime bounds the time of a step. It shrinks with the size of the group, so that
// each instance is chosen equally often per unit of time in groups of any size.
func (s *sim) maxStepTime() raft.Instant { return max(1, 2*ms*4/max(4, raft.Instant(len(s.nodes)))) }

// isUp reports whether the instance runs and is not frozen.
func isUp(n *simNode) bool { return n.core != nil && !n.frozen }

func (s *sim) tick(n *simNode) {
	if !isUp(n) {
		return
	}
	n.core.Tick(s.localTime(n))
	s.maintainMembership(n)
	s.handleReady(n)
}

// maintainMembership proposes membership changes as Quorum.maintainMembership does.
func (s *sim) maintainMembership(n *simNode) {
	if n.core.State() != raft.Leader {
		n.pendingJoins = nil
		return
	}
	if n.core.HasPendingConfig() {
		return
	}
	c, ok := raft.NextChange(n.core.Config(), s.voters, n.pendingJoins, n.core.CommitIndex(), n.core.Progress())
	if s.openVoterCount > 0 {
		c, ok = raft.NextOpenGroupChange(n.core.Config(), raft.OpenGroupOptions{TargetVoters: s.openVoterCount, ReplaceVoterAfter: simReplaceAfter, RemoveLearnerAfter: simRemoveAfter, Zones: s.zones}, n.pendingJoins, n.core.CommitIndex(), n.core.Progress())
	}
	if ok {
		if n.core.ProposeConfig(s.localTime(n), c.Config) == nil {
			n.pendingJoins = nil
		}
	}
}

// deliver delivers or drops one message.
func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := 0 // mostly in order, like a single connection
	if !s.faultFree && s.rng.IntN(4) == 0 {
		i = s.rng.IntN(len(s.network))
	}
	inFlight := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	from, to := s.nodeOfMember(inFlight.message.From), s.nodeOfMember(inFlight.message.To)
	if from == nil || to == nil || s.partition[from.name] != s.partition[to.name] || to.core == nil || !s.faultFree && s.rng.IntN(12) == 0 {
		if from != nil && from.core != nil && inFlight.message.Type == raft.MsgSnapshot {
			from.core.ReportSnapshotSent(inFlight.message.To, false)
		}
		return
	}
	if to.frozen {
		s.network = append(s.network, inFlight) // stays in the buffers of the connection
		return
	}
	if inFlight.message.Type == raft.MsgSnapshot && from.core != nil {
		from.core.ReportSnapshotSent(inFlight.message.To, true)
	}
	to.core.Step(s.localTime(to), inFlight.message)
	s.handleReady(to)
}

func (s *sim) nodeOfMember(id replog.MemberID) *simNode {
	for _, n := range s.nodes {
		if n.member == id {
			return n
		}
	}
	return nil
}

// sync completes the pending write. If alive is false, the instance is crashing: only the
// first parts of the write may reach the disk.
func (s *sim) sync(n *simNode, alive bool) {
	if n.core == nil || n.pendingSave == nil || alive && (n.frozen || n.slowDisk && s.rng.IntN(30) > 0) {
		return
	}
	save := n.pendingSave
	n.pendingSave = nil
	if !alive {
		n.disk.write(save, s.rng.IntN(4))
		return
	}
	n.disk.write(save, 3)
	n.core.ReportSaved(save)
	s.send(n, save.Messages)
	s.handleReady(n)
}

func (s *sim) propose(n *simNode) {
	if isUp(n) && !s.faultFree {
		s.proposeText(n)
	}
}

// proposeText proposes a new text at a running instance and returns it.
func (s *sim) proposeText(n *simNode) string {
	s.textCount++
	text := fmt.Sprintf("%s-%d", n.name, s.textCount)
	n.proposals.add([]byte(text), s.localTime(n)+500*ms, func(_ any, err error) {
		switch {
		case err == nil:
			s.acceptedTexts[text] = true
			if _, ok := s.appliedIndex[text]; !ok {
				s.failf("%s is accepted before it is applied", text)
			}
		case verdict.Of(err) == verdict.NotRun:
			s.notRunTexts[text] = true
			if at, ok := s.appliedIndex[text]; ok {
				s.failf("%s is applied at %d and reported as not executed", text, at)
			}
		}
	})
	// Pass the proposal to the leader that the instance knows, as routeProposals and forward do.
	p := n.proposals.queue[0]
	n.proposals.queue = nil
	leader := s.nodeOfMember(n.core.Leader())
	if leader == nil || !isUp(leader) || s.partition[leader.name] != s.partition[n.name] {
		n.proposals.expire(1<<62, true, func(f func()) { f() })
		return text
	}
	p.mayBeAppended, p.forwardTerm = true, n.core.Term()
	index, term, err := uint64(0), uint64(0), raft.ErrNotLeader
	if leader.core.Term() == p.forwardTerm {
		index, term, err = leader.core.Propose(s.localTime(leader), p.data)
	}
	if err != nil {
		p.mayBeAppended = false
		n.proposals.expire(1<<62, true, func(f func()) { f() })
		return text
	}
	if s.rng.IntN(5) > 0 { // otherwise the leader's response is lost
		n.proposals.setPosition(p, index, term)
	} else {
		n.proposals.addUnanswered(p)
	}
	leader.core.Flush(s.localTime(leader))
	s.handleReady(leader)
	return text
}

func (s *sim) read(n *simNode) {
	if !isUp(n) {
		return
	}
	context := s.rng.Uint64()
	n.reads[context] = s.highestCommitIndex()
	_ = n.core.ReadIndex(s.localTime(n), context)
	s.handleReady(n)
}

// takeSnapshot takes a snapshot and compacts the log, as takeSnapshot and the disk job do.
func (s *sim) takeSnapshot(n *simNode) {
	if !isUp(n) || n.pendingSave != nil || n.core.AppliedIndex() <= n.core.SnapshotIndex() {
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

// join asks every reachable leader to add the instance if it is not a member.
func (s *sim) join(n *simNode) {
	if !isUp(n) {
		return
	}
	config := n.core.CommittedConfig()
	if _, ok := config.Find(n.member); ok && (s.openVoterCount == 0 || n.core.Leader() != 0) {
		return
	}
	for _, leader := range s.nodes {
		if !isUp(leader) || s.partition[leader.name] != s.partition[n.name] || leader.core.State() != raft.Leader {
			continue
		}
		config := leader.core.Config()
		if _, ok := config.Find(n.member); !ok {
			leader.pendingJoins = raft.AddJoinRequest(leader.pendingJoins, replog.Member{ID: n.member, Name: n.name})
		}
	}
}

// recover ends one fault of the instance, or the network partitions if it has none.
func (s *sim) recover(n *simNode) {
	switch {
	case n.core == nil:
		s.start(n)
	case n.frozen:
		n.frozen = false
	case n.slowDisk:
		n.slowDisk = false
	default:
		clear(s.partition)
	}
}

// settle ends all faults and runs until the group has settled.
func (s *sim) settle() { s.settleUntil(s.unsettledReason, 300000) }

// settleUntil ends all faults and runs at most the given number of steps, until unsettled
// returns an empty string. It then checks that no accepted text is lost.
func (s *sim) settleUntil(unsettled func() string, steps int) {
	s.faultFree = true
	clear(s.partition)
	for _, n := range s.nodes {
		n.frozen, n.slowDisk = false, false
		if n.core == nil {
			s.start(n)
		}
	}
	for i := 0; i < steps && s.err == nil; i++ {
		s.step()
		if i%500 == 0 && unsettled() == "" {
			break
		}
	}
	if reason := unsettled(); reason != "" {
		s.failf("group did not settle: %s", reason)
	}
	for text := range s.acceptedTexts {
		if _, ok := s.appliedIndex[text]; !ok {
			s.failf("accepted %s is lost", text)
		}
	}
}

// unsettledReason returns why the group has not settled, or an empty string. In a settled
// group all instances are members, those with a disk vote, and all have the same state.
func (s *sim) unsettledReason() string {
	first := s.nodes[0]
	config := first.core.CommittedConfig()
	for _, n := range s.nodes {
		m, ok := config.Find(n.member)
		switch {
		case !ok || m.Voter == n.diskless:
			return fmt.Sprintf("%s is member %v, voter %v", n.name, ok, m.Voter)
		case n.core.CommitIndex() != s.highestCommitIndex() || n.core.AppliedIndex() != s.highestCommitIndex():
			return fmt.Sprintf("%s is at commit %d, applied %d of %d", n.name, n.core.CommitIndex(), n.core.AppliedIndex(), s.highestCommitIndex())
		case strings.Join(n.state, " ") != strings.Join(first.state, " "):
			s.failf("%s and %s have different states", n.name, first.name)
		}
	}
	if len(first.state) != len(s.appliedIndex) {
		s.failf("the state has %d texts, %d were applied", len(first.state), len(s.appliedIndex))
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
// different entries at one index, proposals that are applied after they were reported as
// not executed, two votes of a member in one term, stale linearizable reads, and a commit
// index that is reported as current at a time when a higher one was already committed.
func TestSafetyUnderFaults(t *testing.T) { checkRuns(t, 21, 16, runFaults) }

// checkRuns runs simulations with random seeds, which it derives from baseSeed. Their number
// is count multiplied by -long.
func checkRuns(t *testing.T, baseSeed int64, count int, run func(seed uint64) *sim) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(baseSeed)
	p.MinSuccessfulTests = count * *longFactor
	props := gopter.NewProperties(p)
	accepted, replaced, unexecuted, leaders := 0, 0, 0, 0
	props.Property("safe", prop.ForAll(func(seed uint64) string {
		s := run(seed)
		accepted += len(s.acceptedTexts)
		replaced += len(s.lostDisks)
		unexecuted += len(s.notRunTexts)
		leaders += len(s.leaders)
		if s.err != nil {
			return s.err.Error()
		}
		return ""
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	props.TestingRun(t)
	t.Logf("%d accepted and %d refused proposals, %d terms with a leader, %d new identities", accepted, unexecuted, leaders, replaced)
}
