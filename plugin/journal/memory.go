package journal

import "github.com/celeryyard/celeryyard/core/replog"

// memoryStore is the journal of an instance without a data folder. It keeps only the newest
// snapshot; the caller keeps all other state in memory.
type memoryStore struct{ snapshot replog.Snapshot }

func (m *memoryStore) Save(Batch) error { return nil }

func (m *memoryStore) SaveSnapshot(s replog.Snapshot, _ bool) error {
	m.snapshot = s
	return nil
}

func (m *memoryStore) LoadSnapshot() (replog.Snapshot, error) { return m.snapshot, nil }

func (m *memoryStore) Close() error { return nil }
