package journal

import (
	"fmt"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
)

// maxFramePayloadBytes is the payload size above which a frame is written and synced. The remaining
// entries of the batch follow in further frames.
const maxFramePayloadBytes = 4 << 20

// Batch is the data written by one Save. Fields that are zero, nil or empty leave the stored value
// unchanged.
type Batch struct {
	MemberID replog.MemberID
	// Founders are the names of the instances that form the group together with this one.
	Founders  []string
	HardState *replog.HardState
	// ReleasedVersion is saved if it is higher than the stored one.
	ReleasedVersion uint64
	// Entries replace the log from the index of the first one on.
	Entries []replog.Entry
}

// ErrNoSpace is the cause of the errors of writes that failed because the disk is full. Nothing of
// such a batch counts as written, and the same call may be made again.
var ErrNoSpace = errors.New("no space left on the disk of the journal")

// DiskStore is a journal on disk. It is not safe for concurrent use. After a failed write or sync
// every further write fails with the same error, because the state of the disk is unknown. ErrNoSpace
// is the exception.
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
	before, lastIndex, segmentMaxIndex := s.state, s.lastIndex, s.segmentMaxIndex
	err := s.save(b)
	if errors.Is(err, ErrNoSpace) {
		s.state, s.lastIndex, s.segmentMaxIndex = before, lastIndex, segmentMaxIndex
		return err
	}
	s.err = err
	return err
}

func (s *DiskStore) save(b Batch) error {
	payload := newFrame()
	if b.MemberID != 0 {
		payload = appendUvarintRecord(payload, recordMemberID, uint64(b.MemberID))
		s.state.MemberID = b.MemberID
	}
	if len(b.Founders) > 0 {
		names, err := json.Marshal(b.Founders)
		if err != nil {
			return errors.Wrap(err, "encode founders")
		}
		payload = appendRecord(payload, recordFounders, names)
		s.state.Founders = b.Founders
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
			payload = newFrame()
		}
	}
	if len(payload) > frameHeaderBytes {
		if err := s.write(payload); err != nil {
			return err
		}
	}
	if s.sizeBytes > s.segmentBytes {
		if err := s.rotate(); !errors.Is(err, ErrNoSpace) {
			return err
		}
		// The batch is written. The open segment grows until there is space for the next one.
	}
	return nil
}

// write appends a frame that newFrame has begun to the open segment and syncs it. If the disk is full, it
// removes what was written of the frame, so that the frame can be written again.
func (s *DiskStore) write(frame []byte) error {
	fillFrameHeader(frame, s.salt, s.sizeBytes)
	_, err := s.file.Write(frame)
	if err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		s.sizeBytes += int64(len(frame))
		return nil
	}
	if isNoSpace(err) {
		if err := s.file.Truncate(s.sizeBytes); err != nil {
			return errors.Wrapf(err, "remove an incomplete write from %s", segmentName(s.seq))
		}
		err = errors.Mark(err, ErrNoSpace)
	}
	return errors.Wrapf(err, "write %s", segmentName(s.seq))
}

func isNoSpace(err error) bool {
	return err != nil && errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT)
}

// rotate starts the next segment and closes the open one, if any. The new file is renamed to its
// final name only after its content is synced, so a segment always has a valid header and first
// frame.
func (s *DiskStore) rotate() error {
	seq, salt := s.seq+1, s.newSalt()
	b := appendSegmentHeader(nil, seq, salt)
	payload := appendUvarintRecord(nil, recordHead, s.lastIndex)
	payload = appendUvarintRecord(payload, recordHardState, s.state.HardState.Term, uint64(s.state.HardState.Vote), s.state.HardState.Commit)
	payload = appendUvarintRecord(payload, recordReleased, s.state.ReleasedVersion)
	payload = appendUvarintRecord(payload, recordMemberID, uint64(s.state.MemberID))
	// Founders are not repeated: they matter only while the log is empty, in the first segment.
	payload = appendUvarintRecord(payload, recordSnapshot, s.state.Snapshot.Index, s.state.Snapshot.Term, 0)
	b = appendFrame(b, salt, int64(len(b)), payload)
	file, err := s.writeFile(segmentName(seq), b)
	if err != nil {
		return err
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", segmentName(s.seq))
		}
		s.closedSegments = append(s.closedSegments, segmentInfo{s.seq, s.segmentMaxIndex})
	}
	s.file, s.seq, s.salt, s.sizeBytes, s.segmentMaxIndex = file, seq, salt, int64(len(b)), 0
	return nil
}

// writeFile writes and syncs a file under a temporary name, renames it to its final name, syncs the
// folder and returns the open file.
func (s *DiskStore) writeFile(name string, b []byte) (File, error) {
	path := filepath.Join(s.dir, name)
	f, err := s.fs.Create(path + ".tmp")
	if err != nil {
		if isNoSpace(err) {
			err = errors.Mark(err, ErrNoSpace)
		}
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if isNoSpace(err) {
		// Under its final name, the file would change what a recovery reads.
		if removeErr := s.fs.Remove(path + ".tmp"); removeErr == nil {
			err = errors.Mark(err, ErrNoSpace)
		}
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
