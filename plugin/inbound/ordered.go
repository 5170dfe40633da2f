package inbound

import (
	"cmp"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/plugin/cost"
)

const (
	// orderedLimitFactor is the number of ordered calls that may wait, per call that may wait of one organisation.
	orderedLimitFactor = 2
	// minRunFraction is the fraction of the expected work of a call below which it is not expected to end in the time
	// left: fewer than one call in twenty ends that fast.
	minRunFraction = 0.4
)

// waitingCall is an ordered call that waits for a slot.
type waitingCall struct {
	job *pool.Job
	// requestedAt is when the request was first made, and expiresAt the time from which the call must not start any more.
	requestedAt, expiresAt time.Time
	// work is the expected duration of the call at the upstream.
	work time.Duration
	// isExcess is set if the call exceeds the usual rate of its flow.
	isExcess bool
	// served holds the counts for the kind, the team priority and the flow of the call; nil for a nested call.
	served [3]*served
}

// isStarved reports whether the calls of the kind, the team priority or the flow of the call are served much less often
// than all calls.
func (w *waitingCall) isStarved() bool {
	return w.served[0].isStarved || w.served[1].isStarved || w.served[2].isStarved
}

// orderedCalls holds the waiting calls in no particular order: their order changes with time.
type orderedCalls struct {
	waiting []waitingCall
	shares  shares
}

// Tiers of ordered calls. Calls of a lower tier precede all others.
const (
	// tierNested is that of nested calls.
	tierNested = iota
	// tierStarved is that of calls whose kind or team priority is served much less often than all calls.
	tierStarved
	tierUsual
	// tierLast is never that of a call; it follows all of them.
	tierLast
)

// callRank is the place of a waiting call in the order of service at one time.
type callRank struct {
	tier, priority int
	// isLate is set if the call cannot meet its target any more.
	isLate, isExcess bool
	// at orders calls of one class: the time of the request plus the expected work. Short calls go first, but none is
	// overtaken by those requested later than its own work takes. Calls that return after a refusal precede new ones of
	// the same length.
	at time.Time
}

// compare returns a negative number if a call of rank r precedes one of rank o.
func (r *callRank) compare(o *callRank) int {
	switch {
	case r.tier != o.tier:
		return cmp.Compare(r.tier, o.tier)
	case r.priority != o.priority && r.tier != tierStarved:
		return cmp.Compare(r.priority, o.priority)
	case r.isLate != o.isLate:
		return compareBool(r.isLate)
	case r.isExcess != o.isExcess:
		return compareBool(r.isExcess)
	}
	return r.at.Compare(o.at)
}

// compareBool returns 1 if b is true and -1 otherwise.
func compareBool(b bool) int {
	if b {
		return 1
	}
	return -1
}

// rank returns the place of a waiting call at the time now.
func (o *orderedCalls) rank(w *waitingCall, now time.Time) callRank {
	r := callRank{tier: tierUsual, priority: w.job.Priority, at: w.requestedAt.Add(w.work)}
	if w.job.Priority < 0 {
		r.tier, r.at = tierNested, w.job.Deadline
		return r
	}
	if w.isStarved() {
		r.tier = tierStarved
	}
	r.isExcess = w.isExcess
	r.isLate = !w.job.Target.IsZero() && now.Add(w.work).After(w.job.Target)
	return r
}

// pushOrdered queues an ordered call, or refuses it at once if it would wait too long.
func (a *Admission) pushOrdered(j *pool.Job, now time.Time) error {
	o := &a.ordered
	a.dropExpired(now)
	w := waitingCall{job: j, requestedAt: now, work: a.expectedWork(j)}
	if !j.Since.IsZero() {
		w.requestedAt = j.Since
	}
	if j.Priority >= 0 {
		f := o.shares.flowOf(j.Flow, now)
		w.isExcess, w.served = f.offer(w.work, j.IsRepeated, now), o.shares.servedOf(j, f)
		if !j.IsRepeated {
			o.shares.countArrival(w.served, now)
		}
	}
	rank := o.rank(&w, now)
	wait := a.orderedWait(j, &rank, now)
	lastStart := a.lastStart(j, w.work, now)
	switch {
	case !lastStart.IsZero() && !now.Add(wait).Before(lastStart):
		return errCannotFinish
	case j.MaxWait > 0 && wait > j.MaxWait:
		return errWaitTooLong
	}
	if w.expiresAt = lastStart; j.MaxWait > 0 && (lastStart.IsZero() || now.Add(j.MaxWait).Before(lastStart)) {
		w.expiresAt = now.Add(j.MaxWait)
	}
	if len(o.waiting) >= orderedLimitFactor*a.queueLimit {
		last, lastRank := o.last(now)
		if rank.compare(&lastRank) >= 0 {
			return pool.ErrFull
		}
		a.evicted = append(a.evicted, o.remove(last).job)
	}
	o.waiting = append(o.waiting, w)
	return nil
}

// lastStart returns the time from which a job is not expected to end before its deadline; zero if it has none.
func (a *Admission) lastStart(j *pool.Job, work time.Duration, now time.Time) time.Time {
	if j.Deadline.IsZero() {
		return time.Time{}
	}
	return j.Deadline.Add(-max(a.minRun.at(now), time.Duration(minRunFraction*float64(work))))
}

// expectedWork returns the expected duration of a job: the stated one, the mean of its class, or that of all classes.
func (a *Admission) expectedWork(j *pool.Job) time.Duration {
	if j.Work > 0 {
		return j.Work
	}
	if c := a.classes[j.Class]; c != nil {
		return c.meanDuration
	}
	sum := time.Duration(0)
	for _, c := range a.classes {
		sum += c.meanDuration
	}
	return max(sum/time.Duration(max(len(a.classes), 1)), minCost)
}

// orderedWait estimates the time until a call of the given rank would start if it was queued now: until a slot is free and
// the calls that precede it have run. Calls of more urgent classes that arrive in that time also precede it, so the
// slots that such calls usually use count as taken.
func (a *Admission) orderedWait(j *pool.Job, rank *callRank, now time.Time) time.Duration {
	ahead, n := time.Duration(0), 0
	for i := range a.ordered.waiting {
		w := &a.ordered.waiting[i]
		if r := a.ordered.rank(w, now); r.compare(rank) <= 0 {
			ahead += w.work
			n++
		}
	}
	if len(a.running)+n < a.slots {
		return 0
	}
	slots := float64(a.slots)
	if j.Priority >= 0 && n > 0 {
		priority := classPriority(j)
		for _, c := range a.classes {
			if c.priority < priority {
				slots -= c.meanSlotsAt(now)
			}
		}
		slots = max(slots, 1)
	}
	return a.untilOrderedSlot(now) + time.Duration(float64(ahead)/slots)
}

// untilOrderedSlot estimates the time until a slot is free. Unlike untilSlotFree, it expects that a call which has exceeded
// its expected duration runs for a while yet.
func (a *Admission) untilOrderedSlot(now time.Time) time.Duration {
	if len(a.running) < a.slots {
		return 0
	}
	free := time.Duration(-1)
	for _, r := range a.running {
		if left := cost.Remaining(r.expectedDuration, now.Sub(r.startedAt)); free < 0 || left < free {
			free = left
		}
	}
	return max(free, 0)
}

// last returns the index and the rank of the waiting call that all others precede.
func (o *orderedCalls) last(now time.Time) (int, callRank) {
	at, last := -1, callRank{}
	for i := range o.waiting {
		if r := o.rank(&o.waiting[i], now); at < 0 || r.compare(&last) > 0 {
			at, last = i, r
		}
	}
	return at, last
}

// remove removes the waiting call at an index and returns it.
func (o *orderedCalls) remove(i int) waitingCall {
	w := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	return w
}

// dropExpired removes the calls that must not start any more. The next Pop returns them.
func (a *Admission) dropExpired(now time.Time) {
	o := &a.ordered
	for i := len(o.waiting) - 1; i >= 0; i-- {
		if at := o.waiting[i].expiresAt; !at.IsZero() && !now.Before(at) {
			a.evicted = append(a.evicted, o.remove(i).job)
		}
	}
}

// popOrdered returns the next ordered call that may start now; nil if there is none. dropped is extended by the calls
// that must not start any more.
func (a *Admission) popOrdered(now time.Time, dropped []*pool.Job) (*pool.Job, []*pool.Job) {
	a.dropExpired(now)
	dropped = append(dropped, a.evicted...)
	a.evicted = nil
	if len(a.running) >= a.slots {
		return nil, dropped
	}
	i := a.selectOrdered(now)
	if i < 0 {
		return nil, dropped
	}
	w := a.ordered.remove(i)
	if w.job.Priority >= 0 {
		a.ordered.shares.countStart(w.served, now)
	}
	a.running[w.job] = runningJob{startedAt: now, expectedDuration: w.work, class: w.job.Class}
	return w.job, dropped
}

// selectOrdered returns the index of the first waiting call that need not leave the free slots to shorter and more urgent
// ones; -1 if there is none. If one must leave them, so must the others of its class.
func (a *Admission) selectOrdered(now time.Time) int {
	var yielding []string
	for {
		best, least := -1, callRank{tier: tierLast}
		for i := range a.ordered.waiting {
			w := &a.ordered.waiting[i]
			if len(yielding) > 0 && slices.Contains(yielding, w.job.Class) {
				continue
			}
			if r := a.ordered.rank(w, now); r.compare(&least) < 0 {
				best, least = i, r
			}
		}
		if best < 0 || least.tier == tierNested {
			return best
		}
		w := &a.ordered.waiting[best]
		if !a.mustYieldJob(w.job, w.work, now) {
			return best
		}
		yielding = append(yielding, w.job.Class)
	}
}
