package quorum

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// newUnansweredProposal returns a quorum with one proposal that was forwarded to the leader of the term 5,
// whose response is lost. outcome points to the error with which the proposal ends.
func newUnansweredProposal() (q *Quorum, p *proposal, outcome *error) {
	const timeout = 10 * time.Second
	n := newSim(1, 3).nodes[0]
	q = &Quorum{c: &kernel.Context{Clock: clock.System{}}, s: &Settings{ElectionTimeout: settings.Duration(time.Second)}, core: n.core, proposals: *n.proposals, startTime: time.Now()}
	outcome = new(error)
	q.proposals.add([]byte("x"), q.now()+raft.Instant(timeout), func(_ any, err error) { *outcome = err })
	p, q.proposals.queue = q.proposals.queue[0], nil
	p.mayBeAppended, p.forwardTerm = true, 5
	q.handleForwarded(p, nil, errors.New("connection is closed"))
	return q, p, outcome
}

// Guards against a change that stays undecided although a majority is there, because the leader stopped
// before its response arrived: the log of the next leader shows that the entry was not appended.
func TestProposalIsMadeAgainAfterItsLeaderStopped(t *testing.T) {
	q, p, outcome := newUnansweredProposal()
	later := q.now() + raft.Instant(3*time.Second) // an election with a split vote
	q.proposals.expire(later, false, q.afterUnlock)
	q.proposals.giveUpUnanswered(later, 0, q.afterUnlock)
	q.proposals.giveUpUnanswered(later, 6, q.afterUnlock)
	runCalls(q.takeDeferred())
	if *outcome != nil {
		t.Fatalf("proposal ended during the election: %v", *outcome)
	}
	q.proposals.finishApplied(&replog.Entry{Term: 5, Index: 8}, nil, q.afterUnlock)
	q.requeueUnappended()
	if len(q.proposals.queue) != 0 {
		t.Fatal("proposal is made again although its leader may still have appended it")
	}
	q.proposals.finishApplied(&replog.Entry{Term: 6, Index: 9}, nil, q.afterUnlock)
	q.requeueUnappended()
	if len(q.proposals.queue) != 1 || q.proposals.queue[0] != p || p.mayBeAppended {
		t.Fatalf("proposal is not made again behind an entry of a later term: %+v", p)
	}
}

// Guards against a proposer that waits until its deadline for an outcome that nothing will tell, because the
// leader still leads and only its response was lost.
func TestProposalIsGivenUpWhileItsLeaderLeads(t *testing.T) {
	q, _, outcome := newUnansweredProposal()
	const twoElections = raft.Instant(2 * time.Second)
	q.proposals.giveUpUnanswered(q.now()+twoElections/2, 5, q.afterUnlock)
	runCalls(q.takeDeferred())
	if *outcome != nil {
		t.Fatalf("proposal ended while its entry may still arrive: %v", *outcome)
	}
	q.proposals.giveUpUnanswered(q.now()+twoElections, 5, q.afterUnlock)
	runCalls(q.takeDeferred())
	if verdict.Of(*outcome) != verdict.MayHaveRun {
		t.Fatalf("outcome %v, want one with the verdict may-have-run", *outcome)
	}
}

// Guards against a proposal that is executed twice, because it is made again although a snapshot hides
// whether its entry was applied.
func TestProposalBehindSnapshotIsNotMadeAgain(t *testing.T) {
	q, _, _ := newUnansweredProposal()
	q.proposals.finishSkipped(8, q.afterUnlock)
	q.proposals.finishApplied(&replog.Entry{Term: 6, Index: 9}, nil, q.afterUnlock)
	q.requeueUnappended()
	if len(q.proposals.queue) != 0 {
		t.Fatal("proposal is made again behind a snapshot")
	}
}
