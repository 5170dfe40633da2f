package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// CorruptError reports damaged data that may have been acknowledged. It stops recovery.
type CorruptError struct {
	File   string // path of the file, or of the folder if files are missing
	Offset int64  // position in File in bytes
	Err    error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal is corrupt: %s at offset %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// Options configures a DiskStore.
type Options struct {
	FS  FS
	Dir string // folder of the journal
	// SegmentBytes is the size in bytes after which the next segment is started.
	SegmentBytes int64
	// NewSalt returns a random salt for each new segment.
	NewSalt func() uint64
}

// RecoveryResult is the result of a recovery.
type RecoveryResult struct {
	State State
	// TornBytes is the size in bytes of an incomplete write that was removed from the end of the
	// last segment.
	TornBytes int64
	// Segments is the number of segments read.
	Segments int
}

// Open locks the folder, recovers the journal in it and opens the journal for writing. It returns a
// CorruptError if data is missing or is damaged before the last frame. An invalid last frame is
// taken for an interrupted write and removed.
func Open(o Options) (*DiskStore, RecoveryResult, error) {
	var out RecoveryResult
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, out, errors.Wrap(err, "create journal folder")
	}
	unlock, err := o.FS.Lock(filepath.Join(o.Dir, "lock"))
	if err != nil {
		return nil, out, err
	}
	s := &DiskStore{fs: o.FS, dir: o.Dir, segmentBytes: o.SegmentBytes, newSalt: o.NewSalt, unlock: unlock}
	if out, err = s.recoverState(); err != nil {
		_ = s.Close()
		return nil, out, err
	}
	return s, out, nil
}

func (s *DiskStore) recoverState() (RecoveryResult, error) {
	var out RecoveryResult
	seqs, staleNames, snapshotCount, err := s.listFiles()
	if err != nil {
		return out, err
	}
	if len(seqs) == 0 {
		if snapshotCount > 0 {
			return out, &CorruptError{File: s.dir, Err: errors.New("snapshots exist but no segment")}
		}
		return out, s.rotate()
	}
	r := &replayer{}
	for i, seq := range seqs {
		end, tornBytes, err := s.replaySegment(r, seq, i == len(seqs)-1)
		if err != nil {
			return out, err
		}
		s.seq, s.sizeBytes, out.TornBytes = seq, end, tornBytes
		s.closedSegments = append(s.closedSegments, segmentInfo{seq, r.segmentMaxIndex})
	}
	out.Segments = len(seqs)
	if out.State, err = s.finishRecovery(r); err != nil {
		return out, err
	}
	return out, s.openLastSegment(out.TornBytes, staleNames)
}

// listFiles lists the files of the journal and removes temporary ones. seqs holds the sequence
// numbers of the segments after the last gap in these numbers. staleNames holds the file names of the
// segments before that gap, which an interrupted removal of old segments has left.
func (s *DiskStore) listFiles() (seqs []uint64, staleNames []string, snapshotCount int, err error) {
	names, err := s.fs.ListNames(s.dir)
	if err != nil {
		return nil, nil, 0, errors.Wrap(err, "list journal")
	}
	for _, n := range names {
		var seq uint64
		switch {
		case strings.HasSuffix(n, ".tmp"):
			if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
				return nil, nil, 0, errors.Wrap(err, "remove unfinished file")
			}
		case strings.HasSuffix(n, ".snap"):
			snapshotCount++
		case strings.HasPrefix(n, "seg-") && strings.HasSuffix(n, ".log"):
			if _, err := fmt.Sscanf(n, "seg-%016x.log", &seq); err != nil || segmentName(seq) != n {
				return nil, nil, 0, errors.Newf("%s is not a segment of the journal", filepath.Join(s.dir, n))
			}
			if len(seqs) > 0 && seq != seqs[len(seqs)-1]+1 {
				for _, old := range seqs {
					staleNames = append(staleNames, segmentName(old))
				}
				seqs = nil
			}
			seqs = append(seqs, seq)
		}
	}
	return seqs, staleNames, snapshotCount, nil
}

// replaySegment applies the frames of a segment. It returns the offset after the last valid frame
// and the number of bytes that follow. Only the last segment may end with an incomplete frame.
func (s *DiskStore) replaySegment(r *replayer, seq uint64, isLast bool) (end, tornBytes int64, err error) {
	path := filepath.Join(s.dir, segmentName(seq))
	b, err := s.fs.ReadFile(path)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read segment")
	}
	salt, ok := parseSegmentHeader(b, seq)
	if !ok {
		return 0, 0, &CorruptError{File: path, Err: errors.New("segment header is invalid")}
	}
	s.salt = salt
	offset := segmentHeaderBytes
	for offset < len(b) {
		payload, ok := parseFrame(b, salt, offset)
		if !ok {
			if !isLast || offset == segmentHeaderBytes || hasLaterFrame(b, salt, offset+1) {
				return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: errors.New("checksum is wrong")}
			}
			break
		}
		if err := r.applyPayload(payload); err != nil {
			return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: err}
		}
		offset += frameHeaderBytes + len(payload)
	}
	if offset == segmentHeaderBytes {
		return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: errors.New("first frame of the segment is missing")}
	}
	return int64(offset), int64(len(b) - offset), nil
}

// hasLaterFrame reports whether a valid frame starts at or after offset. A frame is written only
// after the previous one is synced, so an invalid frame before a valid one is damage and not an
// interrupted write.
func hasLaterFrame(b []byte, salt uint64, offset int) bool {
	saltBytes := binary.BigEndian.AppendUint64(nil, salt)
	for offset < len(b) {
		i := bytes.Index(b[offset:], saltBytes)
		if i < 0 {
			return false
		}
		offset += i
		if _, ok := parseFrame(b, salt, offset); ok {
			return true
		}
		offset++
	}
	return false
}

// finishRecovery checks that no entry between the snapshot and the end of the log is missing, and
// loads the snapshot.
func (s *DiskStore) finishRecovery(r *replayer) (State, error) {
	state := r.state
	var err error
	if state.Entries, err = r.entriesAfterSnapshot(); err != nil {
		return state, &CorruptError{File: s.dir, Err: err}
	}
	s.lastIndex = r.lastIndex
	s.state = r.state
	s.segmentMaxIndex = r.segmentMaxIndex
	state.Snapshot, err = s.LoadSnapshot()
	return state, err
}

// openLastSegment opens the last segment for appending, and removes an incomplete write at its end
// and obsolete files. It syncs the segment even if nothing was removed, because data that was read
// may not yet be on disk.
func (s *DiskStore) openLastSegment(tornBytes int64, staleNames []string) error {
	s.closedSegments = s.closedSegments[:len(s.closedSegments)-1]
	f, err := s.fs.OpenAppend(filepath.Join(s.dir, segmentName(s.seq)))
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	s.file = f
	if tornBytes > 0 {
		if err := f.Truncate(s.sizeBytes); err != nil {
			return errors.Wrap(err, "remove incomplete write")
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	for _, n := range staleNames {
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	if err := s.removeObsoleteSnapshots(); err != nil {
		return err
	}
	return errors.Wrap(s.fs.SyncDir(s.dir), "sync journal folder")
}
