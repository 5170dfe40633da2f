package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
)

// A snapshot file is magic, checksum of the rest, index, term, length of the
// configuration, configuration, data.
const (
	snapshotMagic  = "CYSNAP01"
	snapshotHeader = len(snapshotMagic) + 4 + 8 + 8 + 4
)

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("snap-%016x-%016x.snap", index, term)
}

func encodeSnapshot(s replog.Snapshot) ([]byte, error) {
	config, err := json.Marshal(s.Config)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	b := make([]byte, 0, snapshotHeader+len(config)+len(s.Data))
	b = append(b, snapshotMagic...)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, s.Index)
	b = binary.BigEndian.AppendUint64(b, s.Term)
	b = binary.BigEndian.AppendUint32(b, uint32(len(config)))
	b = append(b, config...)
	b = append(b, s.Data...)
	binary.BigEndian.PutUint32(b[8:], crc32.Checksum(b[12:], castagnoli))
	return b, nil
}

func decodeSnapshot(b []byte) (replog.Snapshot, error) {
	var s replog.Snapshot
	if len(b) < snapshotHeader || string(b[:8]) != snapshotMagic {
		return s, errors.New("snapshot header is invalid")
	}
	if crc32.Checksum(b[12:], castagnoli) != binary.BigEndian.Uint32(b[8:]) {
		return s, errors.New("snapshot checksum is wrong")
	}
	s.Index, s.Term = binary.BigEndian.Uint64(b[12:]), binary.BigEndian.Uint64(b[20:])
	n := binary.BigEndian.Uint32(b[28:])
	if uint64(n) > uint64(len(b)-snapshotHeader) {
		return s, errors.New("snapshot configuration is cut off")
	}
	if err := json.Unmarshal(b[snapshotHeader:snapshotHeader+int(n)], &s.Config); err != nil {
		return s, errors.Wrap(err, "snapshot configuration")
	}
	s.Data = append([]byte(nil), b[snapshotHeader+int(n):]...)
	return s, nil
}

// SaveSnapshot writes a snapshot and returns after it is synced; then older
// snapshots and the segments it covers are removed. With reset it replaces the
// whole log; otherwise the entries after it stay.
func (s *Store) SaveSnapshot(snap replog.Snapshot, reset bool) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.saveSnapshot(snap, reset)
	return s.err
}

func (s *Store) saveSnapshot(snap replog.Snapshot, reset bool) error {
	b, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	f, err := s.writeFile(snapshotName(snap.Index, snap.Term), b)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close snapshot")
	}
	flag := uint64(0)
	if reset {
		flag, s.last = 1, snap.Index
	}
	s.state.Snapshot.Index, s.state.Snapshot.Term = snap.Index, snap.Term
	if err := s.write(appendNumbers(nil, recSnapshot, snap.Index, snap.Term, flag)); err != nil {
		return err
	}
	return s.clean(reset)
}

// clean removes files that the newest snapshot made unnecessary. The folder need
// not be synced: what comes back after a crash is removed by the next start.
func (s *Store) clean(all bool) error {
	kept := s.closed[:0]
	for i, seg := range s.closed {
		// Segments are removed from the oldest on, so that the rest has no gap.
		if len(kept) > 0 || !all && seg.top > s.state.Snapshot.Index {
			kept = append(kept, s.closed[i])
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, segmentName(seg.seq))); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	s.closed = kept
	return s.removeSnapshots()
}

func (s *Store) removeSnapshots() error {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return errors.Wrap(err, "list journal")
	}
	current := snapshotName(s.state.Snapshot.Index, s.state.Snapshot.Term)
	for _, n := range names {
		if filepath.Ext(n) != ".snap" || n == current {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}

// LoadSnapshot reads the newest snapshot; Index is 0 without one.
func (s *Store) LoadSnapshot() (replog.Snapshot, error) {
	if s.state.Snapshot.Index == 0 {
		return replog.Snapshot{}, nil
	}
	return readSnapshot(s.fs, s.dir, s.state.Snapshot.Index, s.state.Snapshot.Term)
}

func readSnapshot(fs FS, dir string, index, term uint64) (replog.Snapshot, error) {
	path := filepath.Join(dir, snapshotName(index, term))
	b, err := fs.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return replog.Snapshot{}, &CorruptError{File: path, Err: err}
	}
	if err != nil {
		return replog.Snapshot{}, errors.Wrap(err, "read snapshot")
	}
	snap, err := decodeSnapshot(b)
	if err == nil && (snap.Index != index || snap.Term != term) {
		err = errors.New("snapshot position does not fit its name")
	}
	if err != nil {
		return replog.Snapshot{}, &CorruptError{File: path, Offset: 0, Err: err}
	}
	return snap, nil
}
