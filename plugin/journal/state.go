package journal

import (
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
)

// State is the recovered state of a journal.
type State struct {
	// MemberID is the member ID of this data folder; 0 if the folder is new.
	MemberID replog.MemberID
	// Founders are the names of the instances that form the group, if this folder was first used to form one. They
	// have no meaning once the log holds an entry or there is a snapshot.
	Founders  []string
	HardState replog.HardState
	// ReleasedVersion is the highest released version that was saved.
	ReleasedVersion uint64
	// Snapshot is the newest snapshot with its data; its Index is 0 if there is none.
	Snapshot replog.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replog.Entry
}

// replayer rebuilds the state from the records of a journal.
type replayer struct {
	state State
	// lastIndex is the index of the last entry of the log.
	lastIndex uint64
	// firstIndex is the index of entries[0]. Earlier entries were in removed segments or are
	// covered by a snapshot that replaced the log.
	firstIndex uint64
	entries    []replog.Entry
	// hasHead is set once the first record of the first segment has been read.
	hasHead bool
	// segmentMaxIndex is the highest index among the entries of the current segment.
	segmentMaxIndex uint64
}

func (r *replayer) applyPayload(b []byte) error { return forEachRecord(b, r.applyRecord) }

func (r *replayer) applyRecord(typ byte, body []byte) error {
	if !r.hasHead && typ != recordHead {
		return errors.New("segment does not start with a head record")
	}
	var err error
	switch typ {
	case recordHead:
		err = r.applyHead(body)
	case recordHardState:
		var vote uint64
		_, err = parseUvarints(body, &r.state.HardState.Term, &vote, &r.state.HardState.Commit)
		r.state.HardState.Vote = replog.MemberID(vote)
	case recordEntry:
		var e replog.Entry
		if e, err = parseEntry(body); err == nil {
			err = r.applyEntry(e)
		}
	case recordReleased:
		_, err = parseUvarints(body, &r.state.ReleasedVersion)
	case recordMemberID:
		var id uint64
		_, err = parseUvarints(body, &id)
		r.state.MemberID = replog.MemberID(id)
	case recordFounders:
		r.state.Founders = nil
		if json.Unmarshal(body, &r.state.Founders) != nil {
			err = errMalformed
		}
	case recordSnapshot:
		err = r.applySnapshot(body)
	default:
		err = errors.Newf("record type %d is unknown", typ)
	}
	return err
}

func (r *replayer) applyHead(body []byte) error {
	var last uint64
	if _, err := parseUvarints(body, &last); err != nil {
		return err
	}
	r.segmentMaxIndex = 0
	if !r.hasHead {
		r.hasHead, r.lastIndex, r.firstIndex = true, last, last+1
		return nil
	}
	if last != r.lastIndex {
		return errors.Newf("segment continues after entry %d, but the previous segment ends at entry %d", last, r.lastIndex)
	}
	return nil
}

func (r *replayer) applyEntry(e replog.Entry) error {
	if e.Index > r.lastIndex+1 {
		return errors.Newf("entry %d follows entry %d, the entries between them are missing", e.Index, r.lastIndex)
	}
	if e.Index < r.firstIndex {
		r.firstIndex, r.entries = e.Index, nil
	}
	r.entries = append(r.entries[:e.Index-r.firstIndex], e)
	r.lastIndex = e.Index
	r.segmentMaxIndex = max(r.segmentMaxIndex, e.Index)
	return nil
}

func (r *replayer) applySnapshot(body []byte) error {
	var index, term, reset uint64
	if _, err := parseUvarints(body, &index, &term, &reset); err != nil {
		return err
	}
	r.state.Snapshot.Index, r.state.Snapshot.Term = index, term
	if reset != 0 {
		r.lastIndex, r.firstIndex, r.entries = index, index+1, nil
	}
	return nil
}

// entriesAfterSnapshot returns the entries after the snapshot, or an error if the first of them are
// missing or the log ends before the snapshot.
func (r *replayer) entriesAfterSnapshot() ([]replog.Entry, error) {
	from := r.state.Snapshot.Index + 1
	if r.lastIndex < r.state.Snapshot.Index {
		return nil, errors.Newf("log ends at entry %d, before the snapshot at entry %d", r.lastIndex, r.state.Snapshot.Index)
	}
	if r.firstIndex > from {
		return nil, errors.Newf("entries %d to %d are missing", from, r.firstIndex-1)
	}
	return r.entries[from-r.firstIndex:], nil
}
