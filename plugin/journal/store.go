package journal

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// maxFramePayload bounds the payload of one frame; a larger batch is written as
// several synced frames.
const maxFramePayload = 16 << 20

// Batch is what one Save writes. Nil and empty fields are left as they are.
type Batch struct {
	Member   replog.MemberID
	Hard     *replog.HardState
	Released uint64
	// Entries replace the log from the index of the first one on.
	Entries []replog.Entry
}

// Store is the journal on disk. It is not safe for concurrent use. After an
// error of a write or sync every further call fails with that error, because the
// state of the disk is unknown.
type Store struct {
	fs       FS
	dir      string
	segBytes int64
	salts    func() uint64
	unlock   func()

	file File
	seq  uint64
	salt uint64
	size int64
	// closed lists the older segments with the highest entry index in each.
	closed []segmentInfo
	top    uint64 // highest entry index in the open segment
	last   uint64 // index of the last entry of the log
	state  State  // without entries and snapshot data
	err    error
}

type segmentInfo struct {
	seq uint64
	top uint64
}

func segmentName(seq uint64) string { return fmt.Sprintf("seg-%016x.log", seq) }

// Save writes the batch and returns after it is synced.
func (s *Store) Save(b Batch) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.save(b)
	return s.err
}

func (s *Store) save(b Batch) error {
	var p []byte
	if b.Member != 0 {
		p = appendNumbers(p, recIdentity, uint64(b.Member))
		s.state.Member = b.Member
	}
	if b.Hard != nil {
		p = appendNumbers(p, recHard, b.Hard.Term, uint64(b.Hard.Vote), b.Hard.Commit)
		s.state.Hard = *b.Hard
	}
	if b.Released > s.state.Released {
		p = appendNumbers(p, recReleased, b.Released)
		s.state.Released = b.Released
	}
	for i := range b.Entries {
		var err error
		if p, err = appendEntry(p, &b.Entries[i]); err != nil {
			return err
		}
		s.last = b.Entries[i].Index
		s.top = max(s.top, s.last)
		if len(p) > maxFramePayload {
			if err := s.write(p); err != nil {
				return err
			}
			p = nil
		}
	}
	if len(p) > 0 {
		if err := s.write(p); err != nil {
			return err
		}
	}
	if s.size > s.segBytes {
		return s.rotate()
	}
	return nil
}

// write appends one frame and syncs it.
func (s *Store) write(payload []byte) error {
	frame := appendFrame(nil, s.salt, s.size, payload)
	if _, err := s.file.Write(frame); err != nil {
		return errors.Wrapf(err, "write %s", segmentName(s.seq))
	}
	s.size += int64(len(frame))
	return errors.Wrapf(s.file.Sync(), "sync %s", segmentName(s.seq))
}

// rotate closes the open segment and starts the next one. The new file gets its
// name only after its content is synced, so a named segment always has a valid
// header and head.
func (s *Store) rotate() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", segmentName(s.seq))
		}
		s.closed = append(s.closed, segmentInfo{s.seq, s.top})
	}
	s.seq++
	s.salt, s.top = s.salts(), 0
	b := appendSegmentHeader(nil, s.seq, s.salt)
	p := appendNumbers(nil, recHead, s.last)
	p = appendNumbers(p, recHard, s.state.Hard.Term, uint64(s.state.Hard.Vote), s.state.Hard.Commit)
	p = appendNumbers(p, recReleased, s.state.Released)
	p = appendNumbers(p, recIdentity, uint64(s.state.Member))
	p = appendNumbers(p, recSnapshot, s.state.Snapshot.Index, s.state.Snapshot.Term, 0)
	b = appendFrame(b, s.salt, int64(len(b)), p)
	s.size = int64(len(b))
	file, err := s.writeFile(segmentName(s.seq), b)
	s.file = file
	return err
}

// writeFile writes and syncs a file under a temporary name, renames it, syncs
// the folder and returns the open file.
func (s *Store) writeFile(name string, b []byte) (File, error) {
	path := filepath.Join(s.dir, name)
	f, err := s.fs.Create(path + ".tmp")
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(path+".tmp", path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "write %s", name)
	}
	return f, nil
}

// Close closes the open file and releases the folder.
func (s *Store) Close() error {
	if s.unlock != nil {
		defer s.unlock()
	}
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
