package inbound

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Constants of admission.
const (
	// recent is how long an organisation counts as seen after its last call.
	recent = 10 * time.Second
	// maxOrganisations bounds the table of shares.
	maxOrganisations = 64
	// leastCost is the cost of a call whose duration is not known, and the least of any.
	leastCost = 100 * time.Microsecond
	// debtCalls bounds how many rounds an organisation pays for calls that took
	// longer than expected.
	debtCalls = 4
)

// errHopeless is returned for a call that could not end before its deadline.
var errHopeless = errors.New("the call cannot end before its deadline")

// errTooLong is returned for a call whose wait would exceed its longest useful one.
var errTooLong = errors.New("the queue is too long for the call")

// errEvicted is given to a waiting call that made room for a more urgent one.
var errEvicted = errors.New("a more urgent call took the place in the queue")

// share is one organisation's part of the slots.
type share struct {
	name    string
	queue   []*pool.Job
	running int
	seen    time.Time
	// credit is the service time that the organisation may still use in this round
	// of the deficit round robin; it may be negative.
	credit time.Duration
	// cost is the smoothed duration of its calls.
	cost time.Duration
}

// started is a running call.
type started struct {
	share *share
	at    time.Time
	// cost is the expected duration, charged what the share has paid for it.
	cost, charged time.Duration
	class         string
}

// Admission is the queue discipline of the slots of an upstream: a short queue
// for each organisation, served by deficit round robin over service time.
//
// An organisation below its fair share may always start; above it, it may borrow
// idle slots, but one slot stays free for each other organisation that was seen
// lately and is below its share. The pool serialises all calls.
type Admission struct {
	slots, limit int
	least        *estimate
	shares       []*share
	next         int
	running      map[*pool.Job]started
	queued       int
	classes      map[string]*class
	// evicted jobs are dropped with the next Pop.
	evicted []*pool.Job
}

// newAdmission returns the discipline for a number of slots; limit bounds the
// queue of one organisation. least estimates the shortest useful run of a call.
func newAdmission(slots, limit int, least *estimate) *Admission {
	return &Admission{slots: slots, limit: limit, least: least, running: map[*pool.Job]started{}, classes: map[string]*class{}}
}

// Push implements pool.Queue.
func (a *Admission) Push(j *pool.Job, now time.Time) error {
	s := a.share(j.Group, now)
	if s == nil || len(s.queue) >= a.limit && s.queue[len(s.queue)-1].Priority <= j.Priority {
		return pool.ErrFull
	}
	s.seen = now
	wait := a.wait(s, j, now)
	if !j.Deadline.IsZero() && !now.Add(a.least.at(now)+wait).Before(j.Deadline) {
		return errHopeless
	}
	if j.MaxWait > 0 && wait > j.MaxWait {
		return errTooLong
	}
	if len(s.queue) >= a.limit {
		a.evicted = append(a.evicted, a.shift(s, len(s.queue)-1))
	}
	s.insert(j)
	a.queued++
	return nil
}

// insert queues a job behind those that are as urgent.
func (s *share) insert(j *pool.Job) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].Priority > j.Priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
}

// wait estimates the time until a job that is queued now would start.
func (a *Admission) wait(s *share, j *pool.Job, now time.Time) time.Duration {
	if j.Class == "" {
		return time.Duration(len(s.queue)) * s.cost / time.Duration(a.fair(now))
	}
	if len(a.running) < a.slots && len(s.queue) == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for _, q := range s.queue {
		if q.Priority <= j.Priority {
			ahead += a.cost(s, q.Class)
		}
	}
	return a.nextFree(now) + ahead/time.Duration(a.fair(now))
}

// nextFree estimates the time until a slot is free.
func (a *Admission) nextFree(now time.Time) time.Duration {
	if len(a.running) < a.slots {
		return 0
	}
	free := time.Duration(-1)
	for _, r := range a.running {
		if left := max(r.cost-now.Sub(r.at), 0); free < 0 || left < free {
			free = left
		}
	}
	return max(free, 0)
}

// share finds or adds the share of an organisation; nil when there are too many.
func (a *Admission) share(name string, now time.Time) *share {
	for _, s := range a.shares {
		if s.name == name {
			return s
		}
	}
	if len(a.shares) >= maxOrganisations {
		a.forget(now)
	}
	if len(a.shares) >= maxOrganisations {
		return nil
	}
	s := &share{name: name, cost: leastCost}
	a.shares = append(a.shares, s)
	return s
}

func (a *Admission) forget(now time.Time) {
	kept := a.shares[:0]
	for _, s := range a.shares {
		if len(s.queue) > 0 || s.running > 0 || now.Sub(s.seen) < recent {
			kept = append(kept, s)
		}
	}
	clear(a.shares[len(kept):])
	a.shares, a.next = kept, 0
}

func (s *share) active(now time.Time) bool {
	return len(s.queue) > 0 || s.running > 0 || now.Sub(s.seen) < recent
}

// fair is the number of slots that each active organisation may always use.
func (a *Admission) fair(now time.Time) int {
	n := 0
	for _, s := range a.shares {
		if s.active(now) {
			n++
		}
	}
	return max(1, a.slots/max(n, 1))
}

// mayStart decides whether an organisation may take one more slot now.
func (a *Admission) mayStart(s *share, now time.Time) bool {
	free := a.slots - len(a.running)
	if free <= 0 {
		return false
	}
	if a.reserved(s, now) {
		return false
	}
	fair := a.fair(now)
	if s.running < fair {
		return true
	}
	kept := 0
	for _, o := range a.shares {
		if o != s && o.active(now) && o.running < fair {
			kept++
		}
	}
	// With more organisations than slots, half of the slots can still be borrowed.
	return free > min(kept, a.slots/2)
}

// Pop implements pool.Queue.
func (a *Admission) Pop(now time.Time) (*pool.Job, []*pool.Job) {
	dropped := append(a.evicted, a.dropLate(now)...)
	a.evicted = nil
	s := a.choose(now)
	if s == nil {
		return nil, dropped
	}
	j := a.shift(s, 0)
	s.credit -= s.cost
	s.running++
	a.running[j] = started{share: s, at: now, cost: a.cost(s, j.Class), charged: s.cost, class: j.Class}
	if len(s.queue) == 0 {
		// Credit is not saved up while there is nothing to run.
		s.credit = min(s.credit, 0)
	}
	return j, dropped
}

// dropLate removes the calls at the heads of the queues that cannot end in time.
func (a *Admission) dropLate(now time.Time) []*pool.Job {
	var dropped []*pool.Job
	need := a.least.at(now)
	for _, s := range a.shares {
		for len(s.queue) > 0 && !s.queue[0].Deadline.IsZero() && !now.Add(need).Before(s.queue[0].Deadline) {
			dropped = append(dropped, a.shift(s, 0))
		}
	}
	return dropped
}

// choose runs the round robin over the organisations that may start.
func (a *Admission) choose(now time.Time) *share {
	quantum := time.Duration(0)
	for _, s := range a.shares {
		if len(s.queue) > 0 && a.mayStart(s, now) {
			quantum = max(quantum, s.cost)
		}
	}
	if quantum == 0 {
		return nil
	}
	for range (debtCalls+2)*len(a.shares) + 1 {
		s := a.shares[a.next%len(a.shares)]
		if s.credit >= s.cost && len(s.queue) > 0 && a.mayStart(s, now) {
			return s
		}
		// The turn passes; the next one gets its quantum once on arrival.
		a.next = (a.next + 1) % len(a.shares)
		if s = a.shares[a.next]; len(s.queue) > 0 && a.mayStart(s, now) {
			s.credit = max(s.credit, -debtCalls*quantum) + quantum
		}
	}
	return nil
}

// shift takes the job at a place out of a queue.
func (a *Admission) shift(s *share, at int) *pool.Job {
	j := s.queue[at]
	s.queue = slices.Delete(s.queue, at, at+1)
	a.queued--
	return j
}

// Done implements pool.Queue. It corrects the credit by the real duration.
func (a *Admission) Done(j *pool.Job, now time.Time) {
	r, ok := a.running[j]
	if !ok {
		return
	}
	delete(a.running, j)
	took := max(now.Sub(r.at), leastCost)
	r.share.running--
	r.share.credit += r.charged - took
	a.learn(j, took, now)
	r.share.cost = max(leastCost, r.share.cost+(took-r.share.cost)/8)
}

// Len implements pool.Queue.
func (a *Admission) Len() int { return a.queued + len(a.evicted) }

// Drain implements pool.Queue.
func (a *Admission) Drain() []*pool.Job {
	out := a.evicted
	a.evicted = nil
	for _, s := range a.shares {
		out = append(out, s.queue...)
		s.queue = nil
	}
	a.queued = 0
	return out
}
