package idempotency

import (
	"time"
)

// State is the state of a claimed call as far as a holder knows it.
type State string

// States of a claim.
const (
	// StateRunning means that the primary is executing the call.
	StateRunning State = "running"
	// StateAnswered means that the call ran and its answer is stored.
	StateAnswered State = "answered"
	// StateAnswerNotStored means that the call ran and its answer was too large, or the table had no
	// space left for it.
	StateAnswerNotStored State = "unkept"
	// StateUnknown means that the call may have run.
	StateUnknown State = "unknown"
)

// Answer is a stored response.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// size returns the number of bytes by which the answer counts against the limit of the table.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, v := range a.Header {
		n += len(k)
		for _, s := range v {
			n += len(s)
		}
	}
	return n
}

// Record is one claim. Records are immutable; changes replace them.
type Record struct {
	ID string `json:"id"`
	// Hash covers method, host, target, content type and body of the request.
	Hash  string  `json:"hash"`
	State State   `json:"state"`
	Reply *Answer `json:"reply,omitempty"`
	// Primary and Boot identify the process that made the claim.
	Primary string `json:"primary"`
	Boot    uint64 `json:"boot"`
	// Seq increases with each claim of the process, so that a late message about an
	// earlier claim of the same key has no effect.
	Seq uint64 `json:"seq"`
	// TTL is the remaining time to live of the record in milliseconds. It is only set in
	// messages.
	TTL int64 `json:"ttl_ms,omitempty"`

	expires time.Time
}

// Result is the decision on a claim.
type Result string

// Results of a claim.
const (
	// ResultNew means that the claim was recorded and the call may run.
	ResultNew Result = "new"
	// ResultKnown means that the claim exists; the call must not run.
	ResultKnown Result = "known"
	// ResultConflict means that the key was used with another request.
	ResultConflict Result = "conflict"
	// ResultFull means that the table is full; nothing was recorded.
	ResultFull Result = "full"
)

// claimTable is the table of claims. It is not safe for concurrent use.
type claimTable struct {
	maxRecords     int
	maxAnswerBytes int
	// answerBytes is the size of all stored answers.
	answerBytes int
	records     map[string]*Record
	// nextExpiry is the time of the next sweep; zero if there is no record to expire.
	nextExpiry time.Time
}

func newClaimTable(maxRecords, maxAnswerBytes int) *claimTable {
	return &claimTable{maxRecords: maxRecords, maxAnswerBytes: maxAnswerBytes, records: map[string]*Record{}}
}

// claim records c unless its key is known. A running claim of the same process with a lower
// Seq is replaced: that process is the authority on its own claims and makes a new claim
// only after it has released the earlier one, whose call did not run.
func (t *claimTable) claim(c *Record, now time.Time, ttl time.Duration) (Result, *Record) {
	t.expire(now)
	old := t.records[c.ID]
	switch {
	case old == nil && len(t.records) >= t.maxRecords:
		return ResultFull, nil
	case old != nil && old.Hash != c.Hash:
		return ResultConflict, nil
	case old != nil && (old.State != StateRunning || old.Primary != c.Primary || old.Boot != c.Boot || old.Seq >= c.Seq):
		return ResultKnown, old
	}
	n := *c
	n.State, n.Reply = StateRunning, nil
	t.put(&n, now.Add(ttl))
	return ResultNew, &n
}

// claimOwn is like claim, but for claims of this process: its running claims are known too.
func (t *claimTable) claimOwn(c *Record, now time.Time, ttl time.Duration) (Result, *Record) {
	if old := t.records[c.ID]; old != nil && old.Hash == c.Hash && now.Before(old.expires) {
		return ResultKnown, old
	}
	return t.claim(c, now, ttl)
}

// finish replaces the state of a claim. An answer that would exceed the byte limit is not
// stored.
func (t *claimTable) finish(id string, s State, reply *Answer, now time.Time, ttl time.Duration) *Record {
	old := t.records[id]
	if old == nil {
		return nil
	}
	n := *old
	n.State, n.Reply = s, reply
	if reply != nil && t.answerBytes+reply.size() > t.maxAnswerBytes {
		n.State, n.Reply = StateAnswerNotStored, nil
	}
	t.put(&n, now.Add(ttl))
	return &n
}

// release removes the claim r, whose call did not run.
func (t *claimTable) release(r *Record) {
	if old := t.records[r.ID]; old != nil && old.State == StateRunning && old.Primary == r.Primary && old.Boot == r.Boot && old.Seq == r.Seq {
		t.drop(old)
	}
}

// merge adds a record from another holder. A record with the outcome replaces one without
// it; otherwise the existing record stays. It returns false if the table is full.
func (t *claimTable) merge(r *Record, now time.Time, ttl time.Duration) bool {
	old := t.records[r.ID]
	if old == nil && len(t.records) >= t.maxRecords {
		return false
	}
	if old != nil && (old.Hash != r.Hash || old.State == StateAnswered || r.State != StateAnswered && r.State != StateAnswerNotStored) {
		return true
	}
	n := *r
	if n.Reply != nil && t.answerBytes+n.Reply.size() > t.maxAnswerBytes {
		n.State, n.Reply = StateAnswerNotStored, nil
	}
	t.put(&n, now.Add(ttl))
	return true
}

func (t *claimTable) put(r *Record, expires time.Time) {
	if old := t.records[r.ID]; old != nil {
		t.drop(old)
	}
	r.expires = expires
	t.records[r.ID] = r
	t.answerBytes += r.Reply.size()
	if t.nextExpiry.IsZero() || expires.Before(t.nextExpiry) {
		t.nextExpiry = expires
	}
}

func (t *claimTable) drop(r *Record) {
	t.answerBytes -= r.Reply.size()
	delete(t.records, r.ID)
}

// minSweepInterval is the minimum time between two sweeps of the whole table.
const minSweepInterval = time.Second

// expire removes the expired records.
func (t *claimTable) expire(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, r := range t.records {
		if !now.Before(r.expires) {
			t.drop(r)
		} else if t.nextExpiry.IsZero() || r.expires.Before(t.nextExpiry) {
			t.nextExpiry = r.expires
		}
	}
	if earliest := now.Add(minSweepInterval); !t.nextExpiry.IsZero() && t.nextExpiry.Before(earliest) {
		t.nextExpiry = earliest
	}
}
