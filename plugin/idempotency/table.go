package idempotency

import (
	"time"
)

// State is what a holder knows of a claimed call.
type State string

// States of a claim.
const (
	// StateRunning means that the primary is executing the call.
	StateRunning State = "running"
	// StateAnswered means that the answer is kept.
	StateAnswered State = "answered"
	// StateUnkept means that the call ran and its answer was too large to keep.
	StateUnkept State = "unkept"
	// StateUnknown means that the call may have run.
	StateUnknown State = "unknown"
)

// Answer is a kept response.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// size is the memory that the answer is accounted with, in bytes.
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
	// Hash covers method, target and body of the request.
	Hash  string  `json:"hash"`
	State State   `json:"state"`
	Reply *Answer `json:"reply,omitempty"`
	// Primary and Boot name the process that made the claim.
	Primary string `json:"primary"`
	Boot    uint64 `json:"boot"`
	// Seq rises with each claim of the process, so that a late message about an
	// earlier claim of the same key changes nothing.
	Seq uint64 `json:"seq"`
	// TTL is the time for which the record is kept from now on, in milliseconds; it
	// is set in messages only.
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

// claims is the table of claims. It is not safe for concurrent use.
type claims struct {
	limit      int
	byteLimit  int
	bytes      int
	records    map[string]*Record
	nextExpiry time.Time
}

func newClaims(limit, byteLimit int) *claims {
	return &claims{limit: limit, byteLimit: byteLimit, records: map[string]*Record{}}
}

// claim records c unless its key is known. A claim that the same process made
// before is taken again: that process is the authority on its own claims and asks
// only after it released the earlier one as not run.
func (t *claims) claim(c *Record, now time.Time, ttl time.Duration) (Result, *Record) {
	t.expire(now)
	old := t.records[c.ID]
	switch {
	case old == nil && len(t.records) >= t.limit:
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

// claimOwn is claim for the own process: its running claims are known as well.
func (t *claims) claimOwn(c *Record, now time.Time, ttl time.Duration) (Result, *Record) {
	if old := t.records[c.ID]; old != nil && old.Hash == c.Hash && now.Before(old.expires) {
		return ResultKnown, old
	}
	return t.claim(c, now, ttl)
}

// finish replaces the state of a claim. An answer for which there is no room is
// not kept.
func (t *claims) finish(id string, s State, reply *Answer, now time.Time, ttl time.Duration) *Record {
	old := t.records[id]
	if old == nil {
		return nil
	}
	n := *old
	n.State, n.Reply = s, reply
	if reply != nil && t.bytes+reply.size() > t.byteLimit {
		n.State, n.Reply = StateUnkept, nil
	}
	t.put(&n, now.Add(ttl))
	return &n
}

// release forgets the claim r, whose call did not run.
func (t *claims) release(r *Record) {
	if old := t.records[r.ID]; old != nil && old.State == StateRunning && old.Primary == r.Primary && old.Boot == r.Boot && old.Seq == r.Seq {
		t.drop(old)
	}
}

// merge takes a record over from another holder. A record that knows the outcome
// replaces one that does not; otherwise the held one stays. It returns false when
// the table is full.
func (t *claims) merge(r *Record, now time.Time, ttl time.Duration) bool {
	old := t.records[r.ID]
	if old == nil && len(t.records) >= t.limit {
		return false
	}
	if old != nil && (old.Hash != r.Hash || old.State == StateAnswered || r.State != StateAnswered && r.State != StateUnkept) {
		return true
	}
	n := *r
	if n.Reply != nil && t.bytes+n.Reply.size() > t.byteLimit {
		n.State, n.Reply = StateUnkept, nil
	}
	t.put(&n, now.Add(ttl))
	return true
}

func (t *claims) put(r *Record, expires time.Time) {
	if old := t.records[r.ID]; old != nil {
		t.drop(old)
	}
	r.expires = expires
	t.records[r.ID] = r
	t.bytes += r.Reply.size()
	if t.nextExpiry.IsZero() || expires.Before(t.nextExpiry) {
		t.nextExpiry = expires
	}
}

func (t *claims) drop(r *Record) {
	t.bytes -= r.Reply.size()
	delete(t.records, r.ID)
}

// expireStep is the least time between two sweeps of the whole table.
const expireStep = time.Second

// expire forgets the records whose time has passed.
func (t *claims) expire(now time.Time) {
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
	if least := now.Add(expireStep); !t.nextExpiry.IsZero() && t.nextExpiry.Before(least) {
		t.nextExpiry = least
	}
}
