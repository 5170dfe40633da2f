package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// diskQueue holds what waits for the disk job; Quorum.mu guards it.
type diskQueue struct {
	save     *raft.Save
	snapshot *replog.Snapshot // a snapshot taken by this instance
	loads    []func(replog.Snapshot, error)
	released resource.Version // synced
	releases []release
	// commit is the lower bound of the commit index on disk.
	commit uint64
	// taken is the index of the newest snapshot taken by this instance.
	taken   uint64
	running bool
	stopped bool
	idle    chan struct{}
}

type release struct {
	version resource.Version
	done    func(error)
}

func (d *diskQueue) waiting() bool {
	return d.save != nil || d.snapshot != nil || len(d.releases) > 0 || len(d.loads) > 0
}

// stop lets no further job start; the channel is closed once none runs.
func (d *diskQueue) stop() <-chan struct{} {
	d.stopped = true
	d.idle = make(chan struct{})
	if !d.running {
		close(d.idle)
	}
	return d.idle
}

// wakeDisk schedules the disk job; mu is held.
func (q *Quorum) wakeDisk() {
	if q.disk.waiting() && !q.disk.running && !q.disk.stopped {
		q.disk.running = q.c.Next(diskKey, q.diskJob) == nil
	}
}

// diskJob writes everything that waits, with one sync where possible.
func (q *Quorum) diskJob() {
	q.mu.Lock()
	work := q.disk
	q.disk.save, q.disk.snapshot, q.disk.releases, q.disk.loads = nil, nil, nil, nil
	if s := work.snapshot; s != nil && s.Index <= q.core.SnapshotIndex() {
		work.snapshot = nil // a snapshot of the leader is newer
	}
	hard := q.core.SavedHard()
	q.mu.Unlock()

	err := q.write(&work, hard)
	for _, load := range work.loads {
		s, loadErr := q.journal.LoadSnapshot()
		load(s, loadErr)
	}
	if err != nil {
		q.c.Fail(err)
	}
	q.mu.Lock()
	out := q.written(&work, err)
	q.mu.Unlock()
	q.sendAll(out)
	run(q.lockedCalls())
}

// write saves without a lock held.
func (q *Quorum) write(work *diskQueue, hard replog.HardState) error {
	var b journal.Batch
	if work.save != nil {
		hard = work.save.Hard
		b.Entries = work.save.Entries
		if s := work.save.Snapshot; s != nil {
			// Term and vote go first, because the snapshot may be of a later term. The
			// commit index stays: the log on disk may differ from the leader's above it.
			first := replog.HardState{Term: hard.Term, Vote: hard.Vote, Commit: work.commit}
			if err := q.journal.Save(journal.Batch{Hard: &first}); err != nil {
				return err
			}
			if err := q.journal.SaveSnapshot(*s, true); err != nil {
				return err
			}
		}
	}
	if work.save != nil || len(work.releases) > 0 {
		b.Hard = &hard
		for _, r := range work.releases {
			b.Released = max(b.Released, uint64(r.version))
		}
		if err := q.journal.Save(b); err != nil {
			return err
		}
		work.commit = hard.Commit
	}
	if work.snapshot != nil {
		return q.journal.SaveSnapshot(*work.snapshot, false)
	}
	return nil
}

// written tells the core and the callers of Release; mu is held. After an error
// nothing that depends on the write is sent, and the process ends.
func (q *Quorum) written(work *diskQueue, err error) map[string]*stepMessage {
	q.disk.running, q.disk.commit = false, work.commit
	for _, r := range work.releases {
		if err == nil {
			q.disk.released = max(q.disk.released, r.version)
		}
		q.call(func() { r.done(err) })
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
		q.call(func() { q.c.Log.Log(evCompacted).Uint("index", s.Index).Int("bytes", len(s.Data)).Send() })
	}
	var out map[string]*stepMessage
	if work.save != nil {
		q.core.Saved(work.save)
		out = q.address(work.save.Messages)
		q.wake()
	}
	q.wakeDisk()
	return out
}

// Release implements api.Log.
func (q *Quorum) Release(v resource.Version, done func(err error)) {
	q.mu.Lock()
	if v <= q.disk.released {
		q.mu.Unlock()
		done(nil)
		return
	}
	q.disk.releases = append(q.disk.releases, release{v, done})
	q.wakeDisk()
	q.mu.Unlock()
}

// Released implements api.Log.
func (q *Quorum) Released() resource.Version {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.disk.released
}
