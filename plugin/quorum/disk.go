package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

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
	stopped    bool
	idle       chan struct{} // set by stop; closed once no job is running
}

// releaseRequest is a pending call of SyncReleasedVersion.
type releaseRequest struct {
	version resource.Version
	done    func(error)
}

// hasWork reports whether the disk job has anything to do.
func (d *diskQueue) hasWork() bool {
	return d.save != nil || d.snapshot != nil || len(d.releaseRequests) > 0 || len(d.snapshotLoads) > 0
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
	if q.disk.hasWork() && !q.disk.running && !q.disk.stopped {
		q.disk.running = q.c.TryGo(diskKey, q.runDiskJob) == nil
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
	for _, load := range work.snapshotLoads {
		s, loadErr := q.journal.LoadSnapshot()
		load(s, loadErr)
	}
	if err != nil {
		q.c.Fail(err)
	}
	q.mu.Lock()
	out := q.finishWrite(&work, err)
	q.mu.Unlock()
	q.sendMessages(out)
	runCalls(q.lockAndTakeCalls())
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
	if work.save != nil || len(work.releaseRequests) > 0 {
		b.HardState = &hardState
		for _, r := range work.releaseRequests {
			b.ReleasedVersion = max(b.ReleasedVersion, uint64(r.version))
		}
		if err := q.journal.Save(b); err != nil {
			return err
		}
		work.commit = hardState.Commit
	}
	if work.snapshot != nil {
		return q.journal.SaveSnapshot(*work.snapshot, false)
	}
	return nil
}

// finishWrite reports the result of a write to the core and to the callers of
// SyncReleasedVersion, and returns the messages to send; mu is held. After an error it
// returns none, because they depend on the write, and the process ends.
func (q *Quorum) finishWrite(work *diskQueue, err error) map[string]*stepMessage {
	q.disk.running, q.disk.commit = false, work.commit
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
		keep := uint64(q.s.KeepEntries)
		q.core.Compact(*s, s.Index-min(s.Index, keep))
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
