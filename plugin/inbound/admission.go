package inbound

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Bounds of admission.
const (
	// activeWindow is how long an organisation counts as active after its last call.
	activeWindow = 10 * time.Second
	// maxOrganisations bounds the number of organisations that have a queue. Calls of further
	// organisations are rejected.
	maxOrganisations = 64
	// minCost is the lower bound of the cost of a call. It is also the cost of the calls of an
	// organisation that has finished none yet.
	minCost = 100 * time.Microsecond
	// An organisation whose calls took longer than expected has negative credit. When it gets its
	// next quantum, the part of that debt above maxDebtRounds quanta is cancelled.
	maxDebtRounds = 4
)

// errCannotFinish is returned for a call that could not end before its deadline.
var errCannotFinish = errors.New("the call cannot end before its deadline")

// errWaitTooLong is returned for a call whose expected time in the queue is above its MaxWait.
var errWaitTooLong = errors.New("the call would wait too long in the queue")

// errEvicted means that a queued call was removed in favour of a more urgent one.
var errEvicted = errors.New("the call was removed from the queue in favour of a more urgent one")

// orgQueue is the queue of one organisation and its use of the slots.
type orgQueue struct {
	name        string
	queue       []*pool.Job
	runningJobs int
	lastSeen    time.Time
	// credit is the service time that the organisation may still use in this round
	// of the deficit round robin; it may be negative.
	credit time.Duration
	// cost is the moving average of the durations of the organisation's calls, at least minCost. It
	// is the credit that each of them is charged when it starts.
	cost time.Duration
}

// runningJob is a call that occupies a slot.
type runningJob struct {
	org       *orgQueue // nil for an ordered call
	startedAt time.Time
	// expectedDuration is the expected duration of the call. chargedCredit is the credit that the
	// organisation was charged when the call started.
	expectedDuration, chargedCredit time.Duration
	class                           string
}

// Admission is the queue discipline of the slots of an upstream: a short queue
// for each organisation, served by deficit round robin over service time.
//
// An organisation that uses fewer slots than its fair share may start a call in any free slot,
// unless free slots are reserved for shorter calls. Beyond its fair share it may borrow free
// slots, but one slot stays free for each other active organisation that uses fewer slots than its
// fair share. The pool serialises all method calls.
type Admission struct {
	slots, queueLimit int
	minRun            *minRunEstimate
	// work gets the outstanding work; nil in tests.
	work      *upstreamWork
	orgQueues []*orgQueue
	// currentIndex is the index in orgQueues of the organisation that the round robin serves.
	currentIndex int
	running      map[*pool.Job]runningJob
	queuedJobs   int
	classes      map[string]*class
	// ordered holds the calls whose order of service is by team, target and expected work.
	ordered orderedCalls
	// evicted holds the jobs that the next Pop returns as dropped.
	evicted []*pool.Job
}

// newAdmission returns the queue discipline for a number of slots. queueLimit is the maximum number
// of calls in the queue of one organisation. minRun estimates the shortest duration of a call at
// the upstream.
func newAdmission(slots, queueLimit int, minRun *minRunEstimate) *Admission {
	return &Admission{slots: slots, queueLimit: queueLimit, minRun: minRun, running: map[*pool.Job]runningJob{}, classes: map[string]*class{}}
}

// Push implements pool.Queue.
func (a *Admission) Push(j *pool.Job, now time.Time) error {
	defer a.publishWork(now)
	if j.IsProbing && a.isSlow(now) {
		return errSlowNow
	}
	if j.Flow != "" {
		return a.pushOrdered(j, now)
	}
	s := a.orgQueueFor(j.Group, now)
	if s == nil || len(s.queue) >= a.queueLimit && s.queue[len(s.queue)-1].IsAtLeastAsUrgent(j) {
		return pool.ErrFull
	}
	s.lastSeen = now
	wait := a.estimateWait(s, j, now)
	if !j.Deadline.IsZero() && !now.Add(a.minRun.at(now)+wait).Before(j.Deadline) {
		return errCannotFinish
	}
	if j.MaxWait > 0 && wait > j.MaxWait {
		return errWaitTooLong
	}
	if len(s.queue) >= a.queueLimit {
		a.evicted = append(a.evicted, a.removeJob(s, len(s.queue)-1))
	}
	s.insert(j)
	a.queuedJobs++
	return nil
}

// insert queues a job behind those that are at least as urgent.
func (s *orgQueue) insert(j *pool.Job) {
	at := len(s.queue)
	for at > 0 && !s.queue[at-1].IsAtLeastAsUrgent(j) {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
}

// estimateWait estimates the time until a job that is queued now would start.
func (a *Admission) estimateWait(s *orgQueue, j *pool.Job, now time.Time) time.Duration {
	if j.Class == "" {
		return time.Duration(len(s.queue)) * s.cost / time.Duration(a.fairShare(now))
	}
	if len(a.running) < a.slots && len(s.queue) == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for _, q := range s.queue {
		if q.IsAtLeastAsUrgent(j) {
			ahead += a.expectedDuration(s, q.Class)
		}
	}
	return a.untilSlotFree(now) + ahead/time.Duration(a.fairShare(now))
}

// untilSlotFree estimates the time until a slot is free.
func (a *Admission) untilSlotFree(now time.Time) time.Duration {
	if len(a.running) < a.slots {
		return 0
	}
	free := time.Duration(-1)
	for _, r := range a.running {
		if left := max(r.expectedDuration-now.Sub(r.startedAt), 0); free < 0 || left < free {
			free = left
		}
	}
	return max(free, 0)
}

// orgQueueFor returns the queue of an organisation and adds it if needed. It returns nil if
// maxOrganisations others are active.
func (a *Admission) orgQueueFor(name string, now time.Time) *orgQueue {
	for _, s := range a.orgQueues {
		if s.name == name {
			return s
		}
	}
	if len(a.orgQueues) >= maxOrganisations {
		a.removeInactive(now)
	}
	if len(a.orgQueues) >= maxOrganisations {
		return nil
	}
	s := &orgQueue{name: name, cost: minCost}
	a.orgQueues = append(a.orgQueues, s)
	return s
}

// removeInactive removes the queues of organisations that are not active.
func (a *Admission) removeInactive(now time.Time) {
	kept := a.orgQueues[:0]
	for _, s := range a.orgQueues {
		if len(s.queue) > 0 || s.runningJobs > 0 || now.Sub(s.lastSeen) < activeWindow {
			kept = append(kept, s)
		}
	}
	clear(a.orgQueues[len(kept):])
	a.orgQueues, a.currentIndex = kept, 0
}

// isActive reports whether the organisation has calls queued or running, or has received one
// within activeWindow.
func (s *orgQueue) isActive(now time.Time) bool {
	return len(s.queue) > 0 || s.runningJobs > 0 || now.Sub(s.lastSeen) < activeWindow
}

// fairShare returns the number of slots that each active organisation may use without borrowing, at
// least 1.
func (a *Admission) fairShare(now time.Time) int {
	n := 0
	for _, s := range a.orgQueues {
		if s.isActive(now) {
			n++
		}
	}
	return max(1, a.slots/max(n, 1))
}

// mayStart reports whether an organisation may use one more slot now.
func (a *Admission) mayStart(s *orgQueue, now time.Time) bool {
	free := a.slots - len(a.running)
	if free <= 0 {
		return false
	}
	if a.mustYield(s, now) {
		return false
	}
	fair := a.fairShare(now)
	if s.runningJobs < fair {
		return true
	}
	reservedSlots := 0
	for _, other := range a.orgQueues {
		if other != s && other.isActive(now) && other.runningJobs < fair {
			reservedSlots++
		}
	}
	// Even with more active organisations than slots, half of the slots can be borrowed.
	return free > min(reservedSlots, a.slots/2)
}

// Pop implements pool.Queue.
func (a *Admission) Pop(now time.Time) (*pool.Job, []*pool.Job) {
	defer a.publishWork(now)
	dropped := append(a.evicted, a.dropLate(now)...)
	a.evicted = nil
	s := a.selectOrg(now)
	if s == nil {
		return a.popOrdered(now, dropped)
	}
	j := a.removeJob(s, 0)
	s.credit -= s.cost
	s.runningJobs++
	a.running[j] = runningJob{org: s, startedAt: now, expectedDuration: a.expectedDuration(s, j.Class), chargedCredit: s.cost, class: j.Class}
	if len(s.queue) == 0 {
		// An organisation without queued calls keeps no credit for later.
		s.credit = min(s.credit, 0)
	}
	return j, dropped
}

// dropLate removes calls from the heads of the queues as long as they cannot end before their
// deadlines, and returns them.
func (a *Admission) dropLate(now time.Time) []*pool.Job {
	var dropped []*pool.Job
	minRun := a.minRun.at(now)
	for _, s := range a.orgQueues {
		for len(s.queue) > 0 && !s.queue[0].Deadline.IsZero() && !now.Add(minRun).Before(s.queue[0].Deadline) {
			dropped = append(dropped, a.removeJob(s, 0))
		}
	}
	return dropped
}

// selectOrg selects the organisation that starts the next call, by deficit round robin over the
// organisations that may start one. It returns nil if none may.
func (a *Admission) selectOrg(now time.Time) *orgQueue {
	quantum := time.Duration(0)
	for _, s := range a.orgQueues {
		if len(s.queue) > 0 && a.mayStart(s, now) {
			quantum = max(quantum, s.cost)
		}
	}
	if quantum == 0 {
		return nil
	}
	for range (maxDebtRounds+2)*len(a.orgQueues) + 1 {
		s := a.orgQueues[a.currentIndex%len(a.orgQueues)]
		if s.credit >= s.cost && len(s.queue) > 0 && a.mayStart(s, now) {
			return s
		}
		// The round robin moves to the next organisation, which gets one quantum.
		a.currentIndex = (a.currentIndex + 1) % len(a.orgQueues)
		if s = a.orgQueues[a.currentIndex]; len(s.queue) > 0 && a.mayStart(s, now) {
			s.credit = max(s.credit, -maxDebtRounds*quantum) + quantum
		}
	}
	return nil
}

// removeJob removes the job at an index from a queue and returns it.
func (a *Admission) removeJob(s *orgQueue, index int) *pool.Job {
	j := s.queue[index]
	s.queue = slices.Delete(s.queue, index, index+1)
	a.queuedJobs--
	return j
}

// Done implements pool.Queue. It corrects the credit of the organisation by the difference between
// the charged and the actual duration. It does nothing for a job that is not running.
func (a *Admission) Done(j *pool.Job, now time.Time) {
	r, ok := a.running[j]
	if !ok {
		return
	}
	delete(a.running, j)
	defer a.publishWork(now)
	took := max(now.Sub(r.startedAt), minCost)
	a.recordDuration(j, took, now)
	if r.org == nil {
		return
	}
	r.org.runningJobs--
	r.org.credit += r.chargedCredit - took
	r.org.cost = max(minCost, r.org.cost+(took-r.org.cost)/8)
}

// Len implements pool.Queue.
func (a *Admission) Len() int { return a.queuedJobs + len(a.ordered.waiting) + len(a.evicted) }

// Drain implements pool.Queue.
func (a *Admission) Drain() []*pool.Job {
	out := a.evicted
	a.evicted = nil
	for _, s := range a.orgQueues {
		out = append(out, s.queue...)
		s.queue = nil
	}
	for i := range a.ordered.waiting {
		out = append(out, a.ordered.waiting[i].job)
	}
	clear(a.ordered.waiting)
	a.queuedJobs, a.ordered.waiting = 0, a.ordered.waiting[:0]
	return out
}
