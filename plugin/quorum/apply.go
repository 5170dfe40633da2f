package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// applyBytes bounds the entries applied in one job.
const applyBytes = 1 << 20

// wakeApply schedules the apply job; mu is held.
func (q *Quorum) wakeApply() {
	if !q.applying && !q.stopping {
		q.applying = q.c.Next(applyKey, q.applyJob) == nil
	}
}

// applyJob applies one batch and schedules itself while there is more, so that
// other jobs get their turn.
func (q *Quorum) applyJob() {
	if q.applyBatch() {
		q.mu.Lock()
		q.applying = false
		q.wakeApply()
		q.mu.Unlock()
	}
	run(q.lockedCalls())
}

// applyBatch applies committed entries in order. It returns false, with applying
// cleared, when there was nothing to apply.
func (q *Quorum) applyBatch() bool {
	q.mu.Lock()
	snapshot, entries := q.core.NextApply(applyBytes)
	if snapshot == nil && len(entries) == 0 {
		q.applying = false
		q.mu.Unlock()
		return false
	}
	q.mu.Unlock()
	if snapshot != nil {
		return q.restore(snapshot)
	}
	results := make([]any, len(entries))
	bytes := 0
	for i := range entries {
		if e := &entries[i]; e.Kind == replog.KindData {
			bytes += len(e.Data)
			results[i] = q.machine.Apply(e.Index, payload(e.Data))
		}
	}
	q.mu.Lock()
	last := entries[len(entries)-1].Index
	q.core.Applied(last)
	for i := range entries {
		q.proposals.applied(&entries[i], results[i], q.call)
	}
	q.barriersApplied(last)
	q.applied += uint64(bytes)
	due := q.snapshotDue(last)
	q.mu.Unlock()
	if due {
		return q.takeSnapshot(last)
	}
	return true
}

func (q *Quorum) restore(s *replog.Snapshot) bool {
	if len(s.Data) > 0 {
		if err := q.machine.Restore(s.Data); err != nil {
			q.c.Fail(errors.Wrapf(err, "restore snapshot at index %d", s.Index))
			return false // applying stays set: nothing may be applied any more
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Applied(s.Index)
	q.applied = 0
	q.proposals.skipped(s.Index, q.call)
	q.barriersApplied(s.Index)
	if s.Index > 1 { // index 1 is the founding of the group
		q.call(func() { q.c.Log.Log(evInstalled).Uint("index", s.Index).Int("bytes", len(s.Data)).Send() })
	}
	return true
}

// snapshotDue reports whether the log above the last snapshot is long enough for
// a new one; mu is held.
func (q *Quorum) snapshotDue(applied uint64) bool {
	entries := applied - min(applied, max(q.core.SnapshotIndex(), q.disk.taken))
	return entries > 0 && (entries >= uint64(q.s.SnapshotEntries) || q.applied >= uint64(q.s.SnapshotBytes))
}

// takeSnapshot takes the state after the last applied entry and queues it for the disk.
func (q *Quorum) takeSnapshot(index uint64) bool {
	data, err := q.machine.Snapshot()
	if err != nil {
		q.c.Fail(errors.Wrapf(err, "snapshot at index %d", index))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.core.DescribeSnapshot(index)
	if !ok || index <= q.core.SnapshotIndex() {
		return true // a snapshot of the leader replaced the log meanwhile
	}
	s.Data = data
	q.disk.snapshot, q.disk.taken = &s, index
	q.applied = 0
	q.wakeDisk()
	return true
}
