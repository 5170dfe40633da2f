// Package journal is the write-ahead log of a control instance. It stores entries, the hard state,
// snapshots, the released version and the member ID. All data is synced before a call returns.
package journal

import (
	"context"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evRecovered = event.Declare(300, zerolog.InfoLevel, "journal recovered")
	evTornWrite = event.Declare(301, zerolog.WarnLevel, "incomplete write removed from the end of the journal")
	evInMemory  = event.Declare(302, zerolog.InfoLevel, "journal is in memory; the instance cannot vote")
)

// store is a journal on disk or in memory.
type store interface {
	Save(Batch) error
	SaveSnapshot(s replog.Snapshot, reset bool) error
	LoadSnapshot() (replog.Snapshot, error)
	Close() error
}

// Journal is the journal plug-in. Save, SaveSnapshot and LoadSnapshot must be called one at a time
// and without a lock held, because they block on disk I/O. After a write error every further write
// fails and the process must exit.
type Journal struct {
	c            *kernel.Context
	settings     *Settings
	writes       *metrics.Counter
	writeSeconds *metrics.Histogram

	// mu guards the fields below; it is not held during file I/O.
	mu    *rank.Mutex
	store store
	state State
	inUse bool
}

func newJournal(c *kernel.Context) *Journal {
	return &Journal{
		c: c, settings: c.Settings.(*Settings), mu: rank.NewMutex(rank.Journal),
		writes:       c.Metrics.NewCounter("celeryyard_journal_writes_total"),
		writeSeconds: c.Metrics.NewHistogram("celeryyard_journal_write_seconds"),
	}
}

// IsDurable reports whether the journal is on disk.
func (j *Journal) IsDurable() bool { return j.c.Instance.DataFolder != "" }

// Start implements kernel.Plugin: it recovers the journal.
func (j *Journal) Start(context.Context) error {
	if !j.IsDurable() {
		j.c.Log.Log(evInMemory).Send()
		j.store = &memoryStore{}
		return nil
	}
	start := j.c.Clock.Now()
	st, result, err := Open(Options{
		FS: osFS{}, Dir: filepath.Join(j.c.Instance.DataFolder, "journal"),
		SegmentBytes: j.settings.SegmentBytes, NewSalt: j.c.NewRand().Uint64,
	})
	if err != nil {
		return err
	}
	if result.TornBytes > 0 {
		j.c.Log.Log(evTornWrite).Uint("bytes", uint64(result.TornBytes)).Send()
	}
	j.c.Log.Log(evRecovered).Int("segments", result.Segments).Int("entries", len(result.State.Entries)).
		Uint("snapshot", result.State.Snapshot.Index).Float("seconds", j.c.Clock.Now().Sub(start).Seconds()).Send()
	j.store, j.state = st, result.State
	return nil
}

// Stop implements kernel.Plugin.
func (j *Journal) Stop(context.Context) error {
	if j.store == nil {
		return nil
	}
	return j.store.Close()
}

// TakeRecoveredState returns the recovered state and drops the journal's reference to it. It must be
// called at most once, after Start.
func (j *Journal) TakeRecoveredState() State {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.state
	j.state = State{}
	return s
}

// Save writes and syncs a batch.
func (j *Journal) Save(b Batch) error {
	st, start := j.acquireStore()
	defer j.releaseStore(start)
	return st.Save(b)
}

// SaveSnapshot writes and syncs a snapshot. If reset is set, the snapshot replaces the whole log;
// otherwise it must cover applied and saved entries only, and the entries after it are kept.
func (j *Journal) SaveSnapshot(s replog.Snapshot, reset bool) error {
	st, start := j.acquireStore()
	defer j.releaseStore(start)
	return st.SaveSnapshot(s, reset)
}

// LoadSnapshot returns the newest snapshot; its Index is 0 if there is none.
func (j *Journal) LoadSnapshot() (replog.Snapshot, error) {
	st, start := j.acquireStore()
	defer j.releaseStore(start)
	return st.LoadSnapshot()
}

// acquireStore reserves the store for one call and returns the store and the start time of the call.
// It panics if another call is in progress.
func (j *Journal) acquireStore() (store, time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inUse {
		panic("concurrent calls on the journal")
	}
	j.inUse = true
	return j.store, j.c.Clock.Now()
}

func (j *Journal) releaseStore(start time.Time) {
	j.writes.Inc()
	j.writeSeconds.Update(j.c.Clock.Now().Sub(start).Seconds())
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inUse = false
}
