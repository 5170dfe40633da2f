package journal

import "github.com/celeryyard/celeryyard/core/replog"

// memory is the journal of an instance without a data folder. It keeps only the
// newest snapshot; everything else is in the memory of the caller.
type memory struct{ snapshot replog.Snapshot }

func (m *memory) Save(Batch) error { return nil }

func (m *memory) SaveSnapshot(s replog.Snapshot, _ bool) error {
	m.snapshot = s
	return nil
}

func (m *memory) LoadSnapshot() (replog.Snapshot, error) { return m.snapshot, nil }

func (m *memory) Close() error { return nil }
