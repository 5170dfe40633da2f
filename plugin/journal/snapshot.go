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

// A snapshot file consists of magic, checksum of the rest, index, term, length of the configuration,
// configuration and data.
const (
	snapshotMagic       = "CYSNAP01"
	snapshotHeaderBytes = len(snapshotMagic) + 4 + 8 + 8 + 4
)

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("snap-%016x-%016x.snap", index, term)
}

func encodeSnapshot(s replog.Snapshot) ([]byte, error) {
	config, err := json.Marshal(s.Config)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	b := make([]byte, 0, snapshotHeaderBytes+len(config)+len(s.Data))
	b = append(b, snapshotMagic...)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, s.Index)
	b = binary.BigEndian.AppendUint64(b, s.Term)
	b = binary.BigEndian.AppendUint32(b, uint32(len(config)))
	b = append(b, config...)
	b = append(b, s.Data...)
	binary.BigEndian.PutUint32(b[8:], crc32.Checksum(b[12:], castagnoliTable))
	return b, nil
}

// decodeSnapshot decodes a snapshot, whose Data shares the memory of b.
func decodeSnapshot(b []byte) (replog.Snapshot, error) {
	var s replog.Snapshot
	if len(b) < snapshotHeaderBytes || string(b[:8]) != snapshotMagic {
		return s, errors.New("snapshot header is invalid")
	}
	if crc32.Checksum(b[12:], castagnoliTable) != binary.BigEndian.Uint32(b[8:]) {
		return s, errors.New("snapshot checksum is wrong")
	}
	s.Index, s.Term = binary.BigEndian.Uint64(b[12:]), binary.BigEndian.Uint64(b[20:])
	n := binary.BigEndian.Uint32(b[28:])
	if uint64(n) > uint64(len(b)-snapshotHeaderBytes) {
		return s, errors.New("snapshot configuration is truncated")
	}
	if err := json.Unmarshal(b[snapshotHeaderBytes:snapshotHeaderBytes+int(n)], &s.Config); err != nil {
		return s, errors.Wrap(err, "decode snapshot configuration")
	}
	s.Data = b[snapshotHeaderBytes+int(n):]
	return s, nil
}

// SaveSnapshot writes and syncs a snapshot, then removes older snapshots and the closed segments that
// it covers. If reset is set, the snapshot replaces the whole log; otherwise the entries after it are
// kept.
func (s *DiskStore) SaveSnapshot(snap replog.Snapshot, reset bool) error {
	if s.err != nil {
		return s.err
	}
	err := s.saveSnapshot(snap, reset)
	if !errors.Is(err, ErrNoSpace) {
		s.err = err
	}
	return err
}

func (s *DiskStore) saveSnapshot(snap replog.Snapshot, reset bool) error {
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
	resetFlag := uint64(0)
	if reset {
		resetFlag = 1
	}
	if err := s.write(appendUvarintRecord(newFrame(), recordSnapshot, snap.Index, snap.Term, resetFlag)); err != nil {
		if errors.Is(err, ErrNoSpace) && snap.Index != s.state.Snapshot.Index {
			// Without its record the file is not part of the journal, and the space is needed.
			if removeErr := s.fs.Remove(filepath.Join(s.dir, snapshotName(snap.Index, snap.Term))); removeErr != nil {
				return errors.Wrap(removeErr, "remove snapshot without record")
			}
		}
		return err
	}
	s.state.Snapshot.Index, s.state.Snapshot.Term = snap.Index, snap.Term
	if reset {
		s.lastIndex = snap.Index
	}
	return s.removeObsolete(reset)
}

// removeObsolete removes the files that the newest snapshot has made obsolete. allSegments is set if
// these include all closed segments. The folder need not be synced: files that reappear after a
// crash are removed at the next start.
func (s *DiskStore) removeObsolete(allSegments bool) error {
	kept := s.closedSegments[:0]
	for i, seg := range s.closedSegments {
		// Remove from the oldest segment on, so that the remaining ones have no gap.
		if len(kept) > 0 || !allSegments && seg.maxIndex > s.state.Snapshot.Index {
			kept = append(kept, s.closedSegments[i])
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, segmentName(seg.seq))); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	s.closedSegments = kept
	return s.removeObsoleteSnapshots()
}

func (s *DiskStore) removeObsoleteSnapshots() error {
	names, err := s.fs.ListNames(s.dir)
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

// LoadSnapshot reads the newest snapshot; its Index is 0 if there is none.
func (s *DiskStore) LoadSnapshot() (replog.Snapshot, error) {
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
		err = errors.New("snapshot index or term does not match the file name")
	}
	if err != nil {
		return replog.Snapshot{}, &CorruptError{File: path, Offset: 0, Err: err}
	}
	return snap, nil
}
