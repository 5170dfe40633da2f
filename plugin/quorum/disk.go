package quorum

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// diskRetryInterval is the time between two attempts to write to a full disk.
const diskRetryInterval = raft.Instant(250 * time.Millisecond)

// diskQueue holds the pending work of the disk job; Quorum.mu guards it.
type diskQueue struct {
	save            *raft.Save
	snapshot        *replog.Snapshot               // a snapshot taken by this instance
	snapshotLoads   []func(replog.Snapshot, error) // called with the newest snapshot on disk
	releasedVersion resource.Version               // highest version synced by SyncReleasedVersion
	releaseRequests []releaseRequest
	// commit is a lower bound of the commit index on disk.
	commit uint64
	// takenIndex is the index of the newest snapshot taken by this instance.
	takenIndex uint64
	running    bool
	// pendingSince is the time at which the oldest unfinished write was first tried; 0 if none is
	// pending.
	pendingSince raft.Instant
	writeTimes   writeTimes
	// full is set while writes fail because the disk is full. They are tried again at retryAt.
	full    bool
	retryAt raft.Instant
	stopped bool
	idle    chan struct{} // set by stop; closed once no job is running
}

// releaseRequest is a pending call of SyncReleasedVersion.
type releaseRequest struct {
	version resource.Version
	done    func(error)
}

// hasWork reports whether the disk job has anything to do. While the disk is full it has: only a write
// that succeeds ends that state.
func (d *diskQueue) hasWork() bool {
	return d.full || d.save != nil || d.snapshot != nil || len(d.releaseRequests) > 0 || len(d.snapshotLoads) > 0
}

// stop prevents further disk jobs. The returned channel is closed once none is running.
func (d *diskQueue) stop() <-chan struct{} {
	d.stopped = true
	d.idle = make(chan struct{})
	if !d.running {
		close(d.idle)
	}
	return d.idle
}

// scheduleDisk queues the disk job if it has work and is not running; mu is held.
func (q *Quorum) scheduleDisk() {
	if !q.disk.hasWork() || q.disk.running || q.disk.stopped || q.disk.full && q.now() < q.disk.retryAt {
		return
	}
	q.disk.running = q.c.TryGo(diskKey, q.runDiskJob) == nil
	if q.disk.running && q.disk.pendingSince == 0 {
		q.disk.pendingSince = q.now()
	}
}

// runDiskJob writes all pending work, with one sync where possible.
func (q *Quorum) runDiskJob() {
	q.mu.Lock()
	work := q.disk
	q.disk.save, q.disk.snapshot, q.disk.releaseRequests, q.disk.snapshotLoads = nil, nil, nil, nil
	if s := work.snapshot; s != nil && s.Index <= q.core.SnapshotIndex() {
		work.snapshot = nil // a snapshot from the leader is newer
	}
	hardState := q.core.SavedHardState()
	q.mu.Unlock()

	err := q.write(&work, hardState)
	if len(work.snapshotLoads) > 0 {
		s, loadErr := q.journal.LoadSnapshot() // one copy for all members that need it
		for _, load := range work.snapshotLoads {
			load(s, loadErr)
		}
	}
	if errors.Is(err, journal.ErrNoSpace) {
		q.mu.Lock()
		q.postponeWrite(&work, err)
		q.mu.Unlock()
		runCalls(q.lockAndTakeDeferred())
		return
	}
	if err != nil {
		q.c.Fail(err)
	}
	q.mu.Lock()
	out := q.finishWrite(&work, err)
	q.mu.Unlock()
	q.sendMessages(out)
	runCalls(q.lockAndTakeDeferred())
}

// write saves the pending work to the journal; mu is not held.
func (q *Quorum) write(work *diskQueue, hardState replog.HardState) error {
	var b journal.Batch
	if work.save != nil {
		hardState = work.save.HardState
		b.Entries = work.save.Entries
		if s := work.save.Snapshot; s != nil {
			// Term and vote are written first, because the snapshot may be of a later term
			// than the one on disk. The commit index on disk is not raised yet: above it, the
			// log on disk may differ from the leader's.
			first := replog.HardState{Term: hardState.Term, Vote: hardState.Vote, Commit: work.commit}
			if err := q.journal.Save(journal.Batch{HardState: &first}); err != nil {
				return err
			}
			if err := q.journal.SaveSnapshot(*s, true); err != nil {
				return err
			}
		}
	}
	if work.save != nil || len(work.releaseRequests) > 0 || work.full {
		b.HardState = &hardState
		for _, r := range work.releaseRequests {
			b.ReleasedVersion = max(b.ReleasedVersion, uint64(r.version))
		}
		if err := q.journal.Save(b); err != nil {
			return err
		}
		work.commit = hardState.Commit
	}
	if work.snapshot == nil {
		return nil
	}
	err := q.journal.SaveSnapshot(*work.snapshot, false)
	if errors.Is(err, journal.ErrNoSpace) {
		// The log on disk is complete without the snapshot, so the instance keeps its vote. The next
		// snapshot is taken after SnapshotEntries or SnapshotBytes more.
		q.c.Log.Log(evSnapshotSkipped).Uint("index", work.snapshot.Index).Err(err).Send()
		work.snapshot = nil
		return nil
	}
	return err
}

// postponeWrite keeps the work of a write that failed because the disk is full, for another attempt;
// mu is held. Until then the instance takes no part in votes and acknowledges no entries, but follows
// the log in memory. A leader passes its leadership on.
func (q *Quorum) postponeWrite(work *diskQueue, err error) {
	q.disk.running, q.disk.retryAt = false, q.now()+diskRetryInterval
	if work.save != nil {
		q.disk.save = work.save // the core returns no other Save until this one is reported
	}
	q.disk.releaseRequests = append(work.releaseRequests, q.disk.releaseRequests...)
	if q.disk.stopped && q.disk.idle != nil {
		close(q.disk.idle)
		q.disk.idle = nil
	}
	if q.disk.full {
		return
	}
	q.disk.full = true
	q.core.SetDiskBlocked(true)
	if q.core.State() == raft.Leader {
		q.core.TransferLeadership(q.now())
	}
	q.afterUnlock(func() { q.c.Log.Log(evDiskFull).Err(err).Send() })
}

// endDiskFull records that a write has succeeded; mu is held.
func (q *Quorum) endDiskFull() {
	if !q.disk.full {
		return
	}
	q.disk.full = false
	q.core.SetDiskBlocked(false)
	q.afterUnlock(func() { q.c.Log.Log(evDiskFreed).Send() })
}

// finishWrite reports the result of a write to the core and to the callers of
// SyncReleasedVersion, and returns the messages to send; mu is held. After an error it
// returns none, because they depend on the write, and the process ends.
func (q *Quorum) finishWrite(work *diskQueue, err error) map[string]*stepMessage {
	q.disk.writeTimes.record(q.now(), time.Duration(q.now()-q.disk.pendingSince))
	q.disk.running, q.disk.commit, q.disk.pendingSince = false, work.commit, 0
	if err == nil {
		q.endDiskFull()
	}
	for _, r := range work.releaseRequests {
		if err == nil {
			q.disk.releasedVersion = max(q.disk.releasedVersion, r.version)
		}
		q.afterUnlock(func() { r.done(err) })
	}
	if err != nil {
		q.disk.stopped = true
	}
	if q.disk.stopped {
		if q.disk.idle != nil {
			close(q.disk.idle)
			q.disk.idle = nil
		}
		if err != nil {
			return nil
		}
	}
	if s := work.snapshot; s != nil {
		q.core.Compact(*s, q.core.KeepAbove(s.Index, uint64(q.s.KeepEntries), q.s.KeepBytes))
		q.metrics.snapshots.Inc()
		q.afterUnlock(func() { q.c.Log.Log(evLogCompacted).Uint("index", s.Index).Int("bytes", len(s.Data)).Send() })
	}
	var out map[string]*stepMessage
	if work.save != nil {
		q.core.ReportSaved(work.save)
		out = q.groupMessages(work.save.Messages)
		q.schedulePump()
	}
	q.scheduleDisk()
	return out
}

// SyncReleasedVersion implements api.Log.
func (q *Quorum) SyncReleasedVersion(v resource.Version, done func(err error)) {
	q.mu.Lock()
	if v <= q.disk.releasedVersion {
		q.mu.Unlock()
		done(nil)
		return
	}
	q.disk.releaseRequests = append(q.disk.releaseRequests, releaseRequest{v, done})
	q.scheduleDisk()
	q.mu.Unlock()
}

// ReleasedVersion implements api.Log.
func (q *Quorum) ReleasedVersion() resource.Version {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.disk.releasedVersion
}
