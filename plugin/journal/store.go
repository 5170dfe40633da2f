package journal

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// maxFramePayloadBytes is the payload size above which a frame is written and synced. The remaining
// entries of the batch follow in further frames.
const maxFramePayloadBytes = 16 << 20

// Batch is the data written by one Save. Fields that are zero, nil or empty leave the stored value
// unchanged.
type Batch struct {
	MemberID  replog.MemberID
	HardState *replog.HardState
	// ReleasedVersion is saved if it is higher than the stored one.
	ReleasedVersion uint64
	// Entries replace the log from the index of the first one on.
	Entries []replog.Entry
}

// DiskStore is a journal on disk. It is not safe for concurrent use. After a failed write or sync
// every further write fails with the same error, because the state of the disk is unknown.
type DiskStore struct {
	fs           FS
	dir          string
	segmentBytes int64
	newSalt      func() uint64
	unlock       func()

	file      File   // open segment
	seq       uint64 // sequence number of the open segment
	salt      uint64 // salt of the open segment
	sizeBytes int64  // size of the open segment in bytes
	// closedSegments lists the segments before the open one, with the highest entry index of each.
	closedSegments  []segmentInfo
	segmentMaxIndex uint64 // highest entry index in the open segment
	lastIndex       uint64 // index of the last entry of the log
	state           State  // without entries and snapshot data
	err             error  // error of the first failed write
}

type segmentInfo struct {
	seq      uint64
	maxIndex uint64
}

func segmentName(seq uint64) string { return fmt.Sprintf("seg-%016x.log", seq) }

// Save writes and syncs a batch.
func (s *DiskStore) Save(b Batch) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.save(b)
	return s.err
}

func (s *DiskStore) save(b Batch) error {
	var payload []byte
	if b.MemberID != 0 {
		payload = appendUvarintRecord(payload, recordMemberID, uint64(b.MemberID))
		s.state.MemberID = b.MemberID
	}
	if b.HardState != nil {
		payload = appendUvarintRecord(payload, recordHardState, b.HardState.Term, uint64(b.HardState.Vote), b.HardState.Commit)
		s.state.HardState = *b.HardState
	}
	if b.ReleasedVersion > s.state.ReleasedVersion {
		payload = appendUvarintRecord(payload, recordReleased, b.ReleasedVersion)
		s.state.ReleasedVersion = b.ReleasedVersion
	}
	for i := range b.Entries {
		var err error
		if payload, err = appendEntry(payload, &b.Entries[i]); err != nil {
			return err
		}
		s.lastIndex = b.Entries[i].Index
		s.segmentMaxIndex = max(s.segmentMaxIndex, s.lastIndex)
		if len(payload) > maxFramePayloadBytes {
			if err := s.write(payload); err != nil {
				return err
			}
			payload = nil
		}
	}
	if len(payload) > 0 {
		if err := s.write(payload); err != nil {
			return err
		}
	}
	if s.sizeBytes > s.segmentBytes {
		return s.rotate()
	}
	return nil
}

// write appends a frame with the payload to the open segment and syncs it.
func (s *DiskStore) write(payload []byte) error {
	frame := appendFrame(nil, s.salt, s.sizeBytes, payload)
	if _, err := s.file.Write(frame); err != nil {
		return errors.Wrapf(err, "write %s", segmentName(s.seq))
	}
	s.sizeBytes += int64(len(frame))
	return errors.Wrapf(s.file.Sync(), "sync %s", segmentName(s.seq))
}

// rotate closes the open segment, if any, and starts the next one. The new file is renamed to its
// final name only after its content is synced, so a segment always has a valid header and first
// frame.
func (s *DiskStore) rotate() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", segmentName(s.seq))
		}
		s.closedSegments = append(s.closedSegments, segmentInfo{s.seq, s.segmentMaxIndex})
	}
	s.seq++
	s.salt, s.segmentMaxIndex = s.newSalt(), 0
	b := appendSegmentHeader(nil, s.seq, s.salt)
	payload := appendUvarintRecord(nil, recordHead, s.lastIndex)
	payload = appendUvarintRecord(payload, recordHardState, s.state.HardState.Term, uint64(s.state.HardState.Vote), s.state.HardState.Commit)
	payload = appendUvarintRecord(payload, recordReleased, s.state.ReleasedVersion)
	payload = appendUvarintRecord(payload, recordMemberID, uint64(s.state.MemberID))
	payload = appendUvarintRecord(payload, recordSnapshot, s.state.Snapshot.Index, s.state.Snapshot.Term, 0)
	b = appendFrame(b, s.salt, int64(len(b)), payload)
	s.sizeBytes = int64(len(b))
	file, err := s.writeFile(segmentName(s.seq), b)
	s.file = file
	return err
}

// writeFile writes and syncs a file under a temporary name, renames it to its final name, syncs the
// folder and returns the open file.
func (s *DiskStore) writeFile(name string, b []byte) (File, error) {
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

// Close closes the open segment and unlocks the folder.
func (s *DiskStore) Close() error {
	if s.unlock != nil {
		defer s.unlock()
	}
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
