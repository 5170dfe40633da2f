package quorum

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// batchRecorder records the batches written to the journal. A snapshot counts as an
// empty batch.
type batchRecorder struct{ batches []journal.Batch }

func (r *batchRecorder) Save(b journal.Batch) error {
	r.batches = append(r.batches, b)
	return nil
}

func (r *batchRecorder) SaveSnapshot(replog.Snapshot, bool) error {
	r.batches = append(r.batches, journal.Batch{})
	return nil
}

func (r *batchRecorder) LoadSnapshot() (replog.Snapshot, error) { return replog.Snapshot{}, nil }

// Guards against an invalid state on disk after a crash between the writes of a received snapshot:
// the leader's commit index together with the old log, whose entries up to that index may differ from
// the leader's, or a term older than that of the snapshot.
func TestCommitIndexIsWrittenAfterTheSnapshot(t *testing.T) {
	r := &batchRecorder{}
	q := &Quorum{journal: r}
	save := &raft.Save{HardState: replog.HardState{Term: 5, Vote: 2, Commit: 9}, Snapshot: &replog.Snapshot{Index: 9, Term: 4}}
	if err := q.write(&diskQueue{save: save, commit: 3}, save.HardState); err != nil {
		t.Fatal(err)
	}
	if len(r.batches) != 3 {
		t.Fatalf("%d writes, want term, snapshot and hard state", len(r.batches))
	}
	if first := r.batches[0].HardState; first.Commit != 3 || first.Term != 5 || first.Vote != 2 {
		t.Fatalf("written before the snapshot: %+v", first)
	}
	if last := r.batches[2].HardState; last.Commit != 9 {
		t.Fatalf("written after the snapshot: %+v", last)
	}
}

// Guards against a save of the core that is lost because the write that a full disk has postponed had
// none: the core would wait for it forever.
func TestPostponedWriteKeepsALaterSave(t *testing.T) {
	for _, postponed := range []*raft.Save{nil, {HardState: replog.HardState{Term: 3}}} {
		n := newSim(1, 3).nodes[0]
		q := &Quorum{c: &kernel.Context{Clock: clock.System{}}, core: n.core, startTime: time.Now()}
		later := &raft.Save{HardState: replog.HardState{Term: 4}}
		if postponed == nil {
			q.disk.save = later // returned by the core while the write was in progress
		}
		q.postponeWrite(&diskQueue{save: postponed, releaseRequests: []releaseRequest{{version: 7}}}, journal.ErrNoSpace)
		want := postponed
		if want == nil {
			want = later
		}
		if q.disk.save != want || len(q.disk.releaseRequests) != 1 || !q.disk.full {
			t.Fatalf("save %+v after a postponed write, want %+v", q.disk.save, want)
		}
	}
}

// Guards against a busy loop of attempts while the leader is known but not connected.
func TestProposalWaitsBeforeTheNextAttempt(t *testing.T) {
	s := newSim(1, 3)
	n := s.nodes[0]
	q := &Quorum{c: &kernel.Context{Clock: clock.System{}}, core: n.core, proposals: *n.proposals, startTime: time.Now()}
	q.proposals.add([]byte("x"), 1<<60, func(any, error) {})
	p := q.proposals.queue[0]
	q.proposals.queue = nil
	q.requeue(p)
	q.routeProposals(q.now())
	if len(q.proposals.queue) != 1 || p.mayBeAppended || p.retryAt <= q.now() {
		t.Fatalf("queue %d, may be appended %v, next attempt at %d", len(q.proposals.queue), p.mayBeAppended, p.retryAt)
	}
}
