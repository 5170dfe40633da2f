package catalog

import "github.com/celeryyard/celeryyard/core/change"

// maxRecords is the number of decided changes whose answers and audit records
// are kept: five days at the design capacity of 9,600 changes a day.
const maxRecords = 50_000

// records is the audit trail, which also holds the answers to resends.
type records struct {
	// list holds the newest records in order, without gaps in Seq.
	list []change.Record
	// last is the Seq of the newest record.
	last uint64
	// byID maps a change ID to the Seq of the record with its answer. A reused ID
	// keeps the first answer.
	byID map[string]uint64
	// max bounds list; tests lower it.
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

// add appends a record. answers tells that it is the answer to its ID.
func (r *records) add(rec change.Record, answers bool) {
	r.last++
	rec.Seq = r.last
	if answers {
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
