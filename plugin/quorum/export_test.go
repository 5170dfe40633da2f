package quorum

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// LogBytes returns the size of the entries that q holds in memory.
func LogBytes(q *Quorum) int { return q.measureLog((*raft.Core).LogBytes) }

// LoadSnapshots reads the newest snapshot for n members at the same time, and returns what each gets.
func LoadSnapshots(q *Quorum, n int) []replog.Snapshot {
	results := make(chan replog.Snapshot, n)
	q.mu.Lock()
	for range n {
		q.disk.snapshotLoads = append(q.disk.snapshotLoads, func(s replog.Snapshot, _ error) { results <- s })
	}
	q.scheduleDisk()
	q.mu.Unlock()
	var out []replog.Snapshot
	for range n {
		out = append(out, <-results)
	}
	return out
}

// FullDisk replaces the journal of an instance by one whose writes fail while Full is set, and whose
// snapshots fail while FullForSnapshots is set, as on a disk that has room only for small writes.
type FullDisk struct {
	storage
	Full, FullForSnapshots atomic.Bool
	// FailedSnapshots counts the snapshots that failed.
	FailedSnapshots atomic.Int32
	// Hang, if set, is called before each write.
	Hang atomic.Pointer[func()]
}

// NewFullDisk installs a FullDisk with free space in q.
func NewFullDisk(q *Quorum) *FullDisk {
	for {
		q.mu.Lock()
		if !q.disk.running {
			f := &FullDisk{storage: q.journal}
			q.journal = f
			q.mu.Unlock()
			return f
		}
		q.mu.Unlock()
	}
}

func (f *FullDisk) check() error {
	if hang := f.Hang.Load(); hang != nil {
		(*hang)()
	}
	if f.Full.Load() {
		return errNoSpace
	}
	return nil
}

var errNoSpace = errors.Mark(errors.New("write: no space left on device"), journal.ErrNoSpace)

func (f *FullDisk) Save(b journal.Batch) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.storage.Save(b)
}

func (f *FullDisk) SaveSnapshot(s replog.Snapshot, reset bool) error {
	err := f.check()
	if f.FullForSnapshots.Load() {
		err = errNoSpace
	}
	if err != nil {
		f.FailedSnapshots.Add(1)
		return err
	}
	return f.storage.SaveSnapshot(s, reset)
}
