// Package journal is the write-ahead log of a control instance: entries, hard
// state, snapshots, the released version and the member identity. Everything is
// synced before a call returns.
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
	evTorn      = event.Declare(301, zerolog.WarnLevel, "incomplete write removed from the end of the journal")
	evMemory    = event.Declare(302, zerolog.InfoLevel, "journal is in memory; the instance cannot vote")
)

// store is the journal on disk or in memory.
type store interface {
	Save(Batch) error
	SaveSnapshot(s replog.Snapshot, reset bool) error
	LoadSnapshot() (replog.Snapshot, error)
	Close() error
}

// Journal is the plug-in. Save, SaveSnapshot and LoadSnapshot are called one at
// a time, without a lock held; they block for the disk. After an error the
// journal refuses all calls and the process must end.
type Journal struct {
	c        *kernel.Context
	s        *Settings
	syncs    *metrics.Counter
	syncTime *metrics.Histogram

	// mu guards the fields below; it is not held during file I/O.
	mu    *rank.Mutex
	store store
	state State
	busy  bool
}

func newJournal(c *kernel.Context) *Journal {
	return &Journal{
		c: c, s: c.Settings.(*Settings), mu: rank.New(rank.Journal),
		syncs:    c.Metrics.NewCounter("celeryyard_journal_writes_total"),
		syncTime: c.Metrics.NewHistogram("celeryyard_journal_write_seconds"),
	}
}

// Durable reports whether the journal is on disk.
func (j *Journal) Durable() bool { return j.c.Instance.DataFolder != "" }

// Start implements kernel.Plugin: it recovers the journal.
func (j *Journal) Start(context.Context) error {
	if !j.Durable() {
		j.c.Log.Log(evMemory).Send()
		j.store = &memory{}
		return nil
	}
	begin := j.c.Clock.Now()
	st, opened, err := Open(Options{
		FS: osFS{}, Dir: filepath.Join(j.c.Instance.DataFolder, "journal"),
		SegmentBytes: j.s.SegmentBytes, Salts: j.c.Rand().Uint64,
	})
	if err != nil {
		return err
	}
	if opened.TornBytes > 0 {
		j.c.Log.Log(evTorn).Uint("bytes", uint64(opened.TornBytes)).Send()
	}
	j.c.Log.Log(evRecovered).Int("segments", opened.Segments).Int("entries", len(opened.State.Entries)).
		Uint("snapshot", opened.State.Snapshot.Index).Float("seconds", j.c.Clock.Now().Sub(begin).Seconds()).Send()
	j.store, j.state = st, opened.State
	return nil
}

// Stop implements kernel.Plugin.
func (j *Journal) Stop(context.Context) error {
	if j.store == nil {
		return nil
	}
	return j.store.Close()
}

// Recovered returns the recovered state and releases it; it is called once,
// after Start.
func (j *Journal) Recovered() State {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.state
	j.state = State{}
	return s
}

// Save writes and syncs a batch.
func (j *Journal) Save(b Batch) error {
	st, begin := j.claim()
	defer j.release(begin)
	return st.Save(b)
}

// SaveSnapshot writes and syncs a snapshot of applied and saved entries; with
// reset it replaces the log.
func (j *Journal) SaveSnapshot(s replog.Snapshot, reset bool) error {
	st, begin := j.claim()
	defer j.release(begin)
	return st.SaveSnapshot(s, reset)
}

// LoadSnapshot returns the newest snapshot; its Index is 0 without one.
func (j *Journal) LoadSnapshot() (replog.Snapshot, error) {
	st, begin := j.claim()
	defer j.release(begin)
	return st.LoadSnapshot()
}

// claim reserves the store for one call.
func (j *Journal) claim() (store, time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.busy {
		panic("journal is used by two jobs at once")
	}
	j.busy = true
	return j.store, j.c.Clock.Now()
}

func (j *Journal) release(begin time.Time) {
	j.syncs.Inc()
	j.syncTime.Update(j.c.Clock.Now().Sub(begin).Seconds())
	j.mu.Lock()
	defer j.mu.Unlock()
	j.busy = false
}
