package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// maxApplyBytes bounds the size of the entries applied in one batch. A single larger entry is
// still applied.
const maxApplyBytes = 1 << 20

// scheduleApply queues the apply job unless it is queued or running; mu is held.
func (q *Quorum) scheduleApply() {
	if !q.applying && !q.stopping {
		q.applying = q.c.TryGo(applyKey, q.runApplyJob) == nil
	}
}

// runApplyJob applies one batch and queues itself again while there is more, so that
// other jobs can run in between.
func (q *Quorum) runApplyJob() {
	if q.applyBatch() {
		q.mu.Lock()
		q.applying = false
		q.scheduleApply()
		q.mu.Unlock()
	}
	runCalls(q.lockAndTakeDeferred())
}

// applyBatch restores a snapshot or applies a batch of committed entries in order. If there
// was nothing to apply, it clears applying and returns false. It also returns false if the
// state machine failed; applying then stays set, so that nothing more is applied.
func (q *Quorum) applyBatch() bool {
	q.mu.Lock()
	snapshot, entries := q.core.NextApply(maxApplyBytes)
	if snapshot == nil && len(entries) == 0 {
		q.applying = false
		q.mu.Unlock()
		return false
	}
	q.mu.Unlock()
	if snapshot != nil {
		return q.restoreSnapshot(snapshot)
	}
	results := make([]any, len(entries))
	bytes := 0
	for i := range entries {
		if e := &entries[i]; e.Kind == replog.KindData {
			bytes += len(e.Data)
			results[i] = q.machines.Apply(e.Index, payload(e.Data))
		}
	}
	q.mu.Lock()
	last := entries[len(entries)-1].Index
	q.core.ReportApplied(last)
	for i := range entries {
		q.proposals.finishApplied(&entries[i], results[i], q.afterUnlock)
	}
	q.requeueUnappended()
	q.completeBarriers(last)
	q.appliedBytes += uint64(bytes)
	due := q.isSnapshotDue(last)
	q.mu.Unlock()
	if due {
		return q.takeSnapshot(last)
	}
	return true
}

// restoreSnapshot replaces the state of the state machine with a snapshot. It returns
// false if the state machine failed.
func (q *Quorum) restoreSnapshot(s *replog.Snapshot) bool {
	if len(s.Data) > 0 {
		if err := q.machines.Restore(s.Data); err != nil {
			q.c.Fail(errors.Wrapf(err, "restore snapshot at index %d", s.Index))
			return false // applying stays set
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.ReportApplied(s.Index)
	q.appliedBytes = 0
	q.proposals.finishSkipped(s.Index, q.afterUnlock)
	q.completeBarriers(s.Index)
	if s.Index > 1 { // index 1 holds only the initial configuration of the group
		q.afterUnlock(func() { q.c.Log.Log(evSnapshotInstalled).Uint("index", s.Index).Int("bytes", len(s.Data)).Send() })
	}
	return true
}

// isSnapshotDue reports whether enough entries or bytes have been applied since the last
// snapshot to take a new one; mu is held.
func (q *Quorum) isSnapshotDue(applied uint64) bool {
	entries := applied - min(applied, max(q.core.SnapshotIndex(), q.disk.takenIndex))
	return entries > 0 && (entries >= uint64(q.s.SnapshotEntries) || q.appliedBytes >= uint64(q.s.SnapshotBytes))
}

// takeSnapshot takes a snapshot of the state after the last applied entry, whose index is
// given, and queues it for the disk job. It returns false if the state machine failed.
func (q *Quorum) takeSnapshot(index uint64) bool {
	data, err := q.machines.Snapshot()
	if err != nil {
		q.c.Fail(errors.Wrapf(err, "snapshot at index %d", index))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.core.DescribeSnapshot(index)
	if !ok || index <= q.core.SnapshotIndex() || index > q.core.StableIndex() {
		return true // a snapshot from the leader has replaced the log, or the disk is blocked
	}
	s.Data = data
	q.disk.snapshot, q.disk.takenIndex = &s, index
	q.appliedBytes = 0
	q.scheduleDisk()
	return true
}
