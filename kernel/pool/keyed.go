package pool

import "time"

// KeyedFIFO is a bounded first-in first-out queue that runs the jobs of a key one after
// another. Jobs without a key are independent and may run concurrently.
type KeyedFIFO struct {
	maxJobs    int
	queuedJobs int
	// ready holds the runnable jobs. It has at most one job of each key, and no job of a key
	// that has a running job.
	ready []*Job
	// waitingByKey has an entry for each key with a ready or running job. The entry lists the
	// jobs that wait until that job has ended.
	waitingByKey map[string][]*Job
}

// NewKeyedFIFO returns an empty queue that holds at most maxJobs jobs.
func NewKeyedFIFO(maxJobs int) *KeyedFIFO {
	return &KeyedFIFO{maxJobs: maxJobs, waitingByKey: make(map[string][]*Job)}
}

// Push implements Queue. It returns ErrFull when maxJobs jobs are queued.
func (q *KeyedFIFO) Push(j *Job, _ time.Time) error {
	if q.queuedJobs >= q.maxJobs {
		return ErrFull
	}
	q.queuedJobs++
	if j.Key == "" {
		q.ready = append(q.ready, j)
		return nil
	}
	if waiting, ok := q.waitingByKey[j.Key]; ok {
		q.waitingByKey[j.Key] = append(waiting, j)
		return nil
	}
	q.waitingByKey[j.Key] = nil
	q.ready = append(q.ready, j)
	return nil
}

// Pop implements Queue. It drops expired jobs when they reach the front of the queue.
func (q *KeyedFIFO) Pop(now time.Time) (*Job, []*Job) {
	var dropped []*Job
	for len(q.ready) > 0 {
		j := q.ready[0]
		q.ready[0] = nil
		q.ready = q.ready[1:]
		q.queuedJobs--
		if j.Deadline.IsZero() || now.Before(j.Deadline) {
			return j, dropped
		}
		dropped = append(dropped, j)
		q.Done(j, now)
	}
	return nil, dropped
}

// Done implements Queue. It makes the next job of the key runnable.
func (q *KeyedFIFO) Done(j *Job, _ time.Time) {
	if j.Key == "" {
		return
	}
	waiting := q.waitingByKey[j.Key]
	if len(waiting) == 0 {
		delete(q.waitingByKey, j.Key)
		return
	}
	q.ready = append(q.ready, waiting[0])
	q.waitingByKey[j.Key] = waiting[1:]
}

// Len implements Queue.
func (q *KeyedFIFO) Len() int { return q.queuedJobs }

// Drain implements Queue.
func (q *KeyedFIFO) Drain() []*Job {
	remaining := q.ready
	for k, waiting := range q.waitingByKey {
		remaining = append(remaining, waiting...)
		q.waitingByKey[k] = nil
	}
	q.ready, q.queuedJobs = nil, 0
	return remaining
}
