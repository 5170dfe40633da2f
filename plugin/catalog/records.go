package catalog

import "github.com/celeryyard/celeryyard/core/change"

// maxRecords is the number of audit records above which the oldest one is removed, together
// with the answer to resends that it holds. At the design capacity of 9,600 changes a day,
// records are kept for five days.
const maxRecords = 50_000

// records is the audit trail, which also holds the answers to resends.
type records struct {
	// list holds the newest records in order, without gaps in Seq.
	list []change.Record
	// lastSeq is the Seq of the newest record.
	lastSeq uint64
	// byID maps a change ID to the Seq of the record with its answer. The answer is not
	// replaced if the ID is reused.
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
	return r.list[seq-r.firstSeq()], true
}

// firstSeq returns the Seq of the oldest kept record.
func (r *records) firstSeq() uint64 { return r.lastSeq + 1 - uint64(len(r.list)) }

// add appends a record and removes the oldest one if the list exceeds its maximum length. isAnswer
// says whether the record holds the answer to resends of its change.
func (r *records) add(rec change.Record, isAnswer bool) {
	r.lastSeq++
	rec.Seq = r.lastSeq
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
