package idempotency

import (
	"time"
)

// State is what a holder knows about the execution of a claimed call.
type State string

// States of a claim.
const (
	// StateRunning means that the primary is executing the call.
	StateRunning State = "running"
	// StateAnswered means that the call ran and its answer is stored.
	StateAnswered State = "answered"
	// StateAnswerNotStored means that the call ran, but its answer is not stored: it was too large,
	// or would have exceeded the byte limit of the table.
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

// Record is one claim. A record in a table is immutable; a change replaces it.
type Record struct {
	// ID is the result of httpcall.ClaimID.
	ID string `json:"id"`
	// Hash covers method, host, target, content type and body of the request.
	Hash  string `json:"hash"`
	State State  `json:"state"`
	// Reply is the stored answer; only set with StateAnswered.
	Reply *Answer `json:"reply,omitempty"`
	// Primary is the name of the node that made the claim.
	Primary string `json:"primary"`
	// Boot identifies the run of the primary's process.
	Boot uint64 `json:"boot"`
	// Seq increases with each claim of the process, so that a late message about an
	// earlier claim of the same key has no effect.
	Seq uint64 `json:"seq"`
	// TTL is the remaining time to live of the record in milliseconds. It is only set in
	// messages.
	TTL int64 `json:"ttl_ms,omitempty"`

	expires time.Time
}

// Result is the answer to a claim or to another message about claims.
type Result string

// Results of a claim.
const (
	// ResultNew means that the claim was recorded and the call may run. It is also the answer to a
	// message other than a claim that was processed.
	ResultNew Result = "new"
	// ResultKnown means that the claim exists; the call must not run.
	ResultKnown Result = "known"
	// ResultConflict means that the key was used with a different request.
	ResultConflict Result = "conflict"
	// ResultFull means that the table is full: the claim, or a record of the message, was not
	// recorded.
	ResultFull Result = "full"
)

// claimTable is the table of claims. It is not safe for concurrent use.
type claimTable struct {
	maxRecords     int
	maxAnswerBytes int
	// answerBytes is the size of all stored answers together, in bytes.
	answerBytes int
	records     map[string]*Record
	// nextExpiry is the time of the next sweep; zero if there is no record to expire.
	nextExpiry time.Time
}

func newClaimTable(maxRecords, maxAnswerBytes int) *claimTable {
	return &claimTable{maxRecords: maxRecords, maxAnswerBytes: maxAnswerBytes, records: map[string]*Record{}}
}

// claim records c unless its key is known. A running claim of the same process with a lower Seq is
// replaced: the process makes a new claim of a key only after it has released the earlier one, so
// the call of the earlier claim did not run. One with the same Seq is c itself: a copy for new holders can
// arrive before the claim.
func (t *claimTable) claim(c *Record, now time.Time, ttl time.Duration) (Result, *Record) {
	t.expire(now)
	old := t.records[c.ID]
	switch {
	case old == nil && len(t.records) >= t.maxRecords:
		return ResultFull, nil
	case old != nil && old.Hash != c.Hash:
		return ResultConflict, nil
	case old != nil && (old.State != StateRunning || old.Primary != c.Primary || old.Boot != c.Boot || old.Seq > c.Seq):
		return ResultKnown, old
	}
	n := *c
	n.State, n.Reply = StateRunning, nil
	t.put(&n, now.Add(ttl))
	return ResultNew, &n
}

// claimOwn is like claim, but for the claims of this process: it returns ResultKnown if an
// unexpired claim with the same key and hash is in the table, even if that claim is of this process
// and its call is running.
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

// adopt replaces the running claim own of this process, which another holder did not record, by that
// holder's record r. If the outcome of the earlier call has arrived meanwhile, it stays. The result is the record of the table.
func (t *claimTable) adopt(own, r *Record, now time.Time, ttl time.Duration) *Record {
	if old := t.records[r.ID]; old != nil && !t.holds(own) {
		return old
	}
	n := *r
	if n.Reply != nil && t.answerBytes+n.Reply.size() > t.maxAnswerBytes {
		n.State, n.Reply = StateAnswerNotStored, nil
	}
	t.put(&n, now.Add(ttl))
	return &n
}

// holds reports whether the table has a record of the claim r, in any state.
func (t *claimTable) holds(r *Record) bool {
	old := t.records[r.ID]
	return old != nil && old.Primary == r.Primary && old.Boot == r.Boot && old.Seq == r.Seq
}

// release removes the claim r, whose call did not run.
func (t *claimTable) release(r *Record) {
	if old := t.records[r.ID]; t.holds(r) && old.State == StateRunning {
		t.remove(old)
	}
}

// merge adds a record from another holder. If the table has a record of the key, the new one replaces
// it only if both have the same hash, the new one states that the call ran, and the existing one has
// no answer. merge returns false if the table is full.
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
		t.remove(old)
	}
	r.expires = expires
	t.records[r.ID] = r
	t.answerBytes += r.Reply.size()
	if t.nextExpiry.IsZero() || expires.Before(t.nextExpiry) {
		t.nextExpiry = expires
	}
}

func (t *claimTable) remove(r *Record) {
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
			t.remove(r)
		} else if t.nextExpiry.IsZero() || r.expires.Before(t.nextExpiry) {
			t.nextExpiry = r.expires
		}
	}
	if earliest := now.Add(minSweepInterval); !t.nextExpiry.IsZero() && t.nextExpiry.Before(earliest) {
		t.nextExpiry = earliest
	}
}
