package catalog

import "github.com/celeryyard/celeryyard/core/change"

// maxRecords is the maximum number of audit records, which also hold the answers to
// resends: five days at the design capacity of 9,600 changes a day.
const maxRecords = 50_000

// records is the audit trail, which also holds the answers to resends.
type records struct {
	// list holds the newest records in order, without gaps in Seq.
	list []change.Record
	// last is the Seq of the newest record.
	last uint64
	// byID maps a change ID to the Seq of the record with its answer. If an ID is reused,
	// the first answer stays.
	byID map[string]uint64
	// max is the maximum length of list; tests lower it.
	max int
}

// find returns the record with the first answer to a change ID.
func (r *records) find(id string) (change.Record, bool) {
	seq, ok := r.byID[id]
	if !ok {
		return change.Record{}, false
	}
	return r.list[seq-r.first()], true
}

// first returns the Seq of the oldest kept record.
func (r *records) first() uint64 { return r.last + 1 - uint64(len(r.list)) }

// add appends a record and removes the oldest one if there are too many. isAnswer says
// whether the record holds the answer to resends of its change.
func (r *records) add(rec change.Record, isAnswer bool) {
	r.last++
	rec.Seq = r.last
	if isAnswer {
		r.byID[rec.Outcome.ID] = rec.Seq
	}
	r.list = append(r.list, rec)
	if len(r.list) <= r.max {
		return
	}
	oldest := &r.list[0]
	if r.byID[oldest.Outcome.ID] == oldest.Seq {
		delete(r.byID, oldest.Outcome.ID)
	}
	*oldest = change.Record{}
	r.list = r.list[1:]
}
