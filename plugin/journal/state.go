package journal

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
)

// State is what the journal recovered.
type State struct {
	// Member is the identity in this data folder; zero when the folder is new.
	Member   replog.MemberID
	Hard     replog.HardState
	Released uint64
	// Snapshot is the newest one with its data; Index is 0 without one.
	Snapshot replog.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replog.Entry
}

// replay rebuilds the state from records.
type replay struct {
	state State
	// last is the index of the last entry of the log.
	last uint64
	// first is the index of entries[0]; entries below it were in removed segments.
	first   uint64
	entries []replog.Entry
	// started is set by the head of the first segment.
	started bool
	// top is the highest index among the entries of the current segment.
	top uint64
}

func (r *replay) payload(b []byte) error { return eachRecord(b, r.record) }

func (r *replay) record(typ byte, body []byte) error {
	if !r.started && typ != recHead {
		return errors.New("segment does not start with its head")
	}
	var err error
	switch typ {
	case recHead:
		err = r.head(body)
	case recHard:
		var vote uint64
		_, err = numbers(body, &r.state.Hard.Term, &vote, &r.state.Hard.Commit)
		r.state.Hard.Vote = replog.MemberID(vote)
	case recEntry:
		var e replog.Entry
		if e, err = parseEntry(body); err == nil {
			err = r.entry(e)
		}
	case recReleased:
		_, err = numbers(body, &r.state.Released)
	case recIdentity:
		var id uint64
		_, err = numbers(body, &id)
		r.state.Member = replog.MemberID(id)
	case recSnapshot:
		err = r.snapshot(body)
	default:
		err = errors.Newf("record type %d is unknown", typ)
	}
	return err
}

func (r *replay) head(body []byte) error {
	var last uint64
	if _, err := numbers(body, &last); err != nil {
		return err
	}
	r.top = 0
	if !r.started {
		r.started, r.last, r.first = true, last, last+1
		return nil
	}
	if last != r.last {
		return errors.Newf("segment continues after entry %d, the one before ends at %d", last, r.last)
	}
	return nil
}

func (r *replay) entry(e replog.Entry) error {
	if e.Index > r.last+1 {
		return errors.Newf("entry %d follows entry %d", e.Index, r.last)
	}
	if e.Index < r.first {
		r.first, r.entries = e.Index, nil
	}
	r.entries = append(r.entries[:e.Index-r.first], e)
	r.last = e.Index
	r.top = max(r.top, e.Index)
	return nil
}

func (r *replay) snapshot(body []byte) error {
	var index, term, reset uint64
	if _, err := numbers(body, &index, &term, &reset); err != nil {
		return err
	}
	r.state.Snapshot.Index, r.state.Snapshot.Term = index, term
	if reset != 0 {
		r.last, r.first, r.entries = index, index+1, nil
	}
	return nil
}

// finish returns the entries after the snapshot.
func (r *replay) finish() ([]replog.Entry, error) {
	from := r.state.Snapshot.Index + 1
	if r.last < r.state.Snapshot.Index {
		return nil, errors.Newf("log ends at entry %d before the snapshot at %d", r.last, r.state.Snapshot.Index)
	}
	if r.first > from {
		return nil, errors.Newf("entries %d to %d are missing", from, r.first-1)
	}
	return r.entries[from-r.first:], nil
}
