package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// CorruptError stops recovery: data that was acknowledged is damaged.
type CorruptError struct {
	File   string
	Offset int64
	Err    error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal is corrupt: %s at offset %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// Options configures a Store.
type Options struct {
	FS  FS
	Dir string
	// SegmentBytes is the size after which the next segment is started.
	SegmentBytes int64
	// Salts returns random numbers.
	Salts func() uint64
}

// Opened tells what recovery found.
type Opened struct {
	State State
	// TornBytes counts the bytes of an incomplete write removed from the end.
	TornBytes int64
	Segments  int
}

// Open locks the folder, recovers the journal in it and opens it for writing. It
// returns a CorruptError when data before the end is damaged.
func Open(o Options) (*Store, Opened, error) {
	var out Opened
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, out, errors.Wrap(err, "create journal folder")
	}
	unlock, err := o.FS.Lock(filepath.Join(o.Dir, "lock"))
	if err != nil {
		return nil, out, err
	}
	s := &Store{fs: o.FS, dir: o.Dir, segBytes: o.SegmentBytes, salts: o.Salts, unlock: unlock}
	if out, err = s.open(); err != nil {
		_ = s.Close()
		return nil, out, err
	}
	return s, out, nil
}

func (s *Store) open() (Opened, error) {
	var out Opened
	seqs, stale, snapshots, err := s.list()
	if err != nil {
		return out, err
	}
	if len(seqs) == 0 {
		if snapshots > 0 {
			return out, &CorruptError{File: s.dir, Err: errors.New("snapshots exist but no segment")}
		}
		return out, s.rotate()
	}
	r := &replay{}
	for i, seq := range seqs {
		end, torn, err := s.replaySegment(r, seq, i == len(seqs)-1)
		if err != nil {
			return out, err
		}
		s.seq, s.size, out.TornBytes = seq, end, torn
		s.closed = append(s.closed, segmentInfo{seq, r.top})
	}
	out.Segments = len(seqs)
	if out.State, err = s.finish(r); err != nil {
		return out, err
	}
	return out, s.reopen(out.TornBytes, stale)
}

// list removes temporary files and returns the segments after the last gap in
// their numbers, and older ones whose removal was interrupted.
func (s *Store) list() (seqs []uint64, stale []string, snapshots int, err error) {
	names, err := s.fs.Names(s.dir)
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
			snapshots++
		case strings.HasPrefix(n, "seg-") && strings.HasSuffix(n, ".log"):
			if _, err := fmt.Sscanf(n, "seg-%016x.log", &seq); err != nil || segmentName(seq) != n {
				return nil, nil, 0, errors.Newf("%s is not a segment of the journal", filepath.Join(s.dir, n))
			}
			if len(seqs) > 0 && seq != seqs[len(seqs)-1]+1 {
				for _, old := range seqs {
					stale = append(stale, segmentName(old))
				}
				seqs = nil
			}
			seqs = append(seqs, seq)
		}
	}
	return seqs, stale, snapshots, nil
}

// replaySegment applies the frames of a segment and returns the offset after the
// last valid one and the bytes after it. Only the last segment may end in an
// incomplete frame.
func (s *Store) replaySegment(r *replay, seq uint64, isLast bool) (end, torn int64, err error) {
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
	offset := segmentHeader
	for offset < len(b) {
		payload, ok := parseFrame(b, salt, offset)
		if !ok {
			if !isLast || offset == segmentHeader || laterFrame(b, salt, offset+1) {
				return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: errors.New("checksum is wrong")}
			}
			break
		}
		if err := r.payload(payload); err != nil {
			return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: err}
		}
		offset += frameHeader + len(payload)
	}
	if offset == segmentHeader {
		return 0, 0, &CorruptError{File: path, Offset: int64(offset), Err: errors.New("segment head is missing")}
	}
	return int64(offset), int64(len(b) - offset), nil
}

// laterFrame reports whether a valid frame starts at or after offset. Frames are
// written only after the one before was synced, so an invalid frame before a
// valid one is damage, not an interrupted write.
func laterFrame(b []byte, salt uint64, offset int) bool {
	mark := binary.BigEndian.AppendUint64(nil, salt)
	for offset < len(b) {
		i := bytes.Index(b[offset:], mark)
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

// finish checks that snapshot and entries fit together.
func (s *Store) finish(r *replay) (State, error) {
	state := r.state
	var err error
	if state.Entries, err = r.finish(); err != nil {
		return state, &CorruptError{File: s.dir, Err: err}
	}
	s.last = r.last
	s.state = r.state
	s.top = r.top
	state.Snapshot, err = s.LoadSnapshot()
	return state, err
}

// reopen opens the last segment for appending. It syncs even without a torn
// tail: what was read may never have reached the disk.
func (s *Store) reopen(torn int64, stale []string) error {
	s.closed = s.closed[:len(s.closed)-1]
	f, err := s.fs.Append(filepath.Join(s.dir, segmentName(s.seq)))
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	s.file = f
	if torn > 0 {
		if err := f.Truncate(s.size); err != nil {
			return errors.Wrap(err, "remove incomplete record")
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	for _, n := range stale {
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	if err := s.removeSnapshots(); err != nil {
		return err
	}
	return errors.Wrap(s.fs.SyncDir(s.dir), "sync journal folder")
}
