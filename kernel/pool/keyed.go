package pool

import "time"

// KeyedFIFO is a bounded first-in first-out queue that runs jobs of one key one
// after another. Jobs without a key run in any order relative to each other.
type KeyedFIFO struct {
	limit int
	size  int
	// ready holds runnable jobs; a key with a running job has none in it.
	ready []*Job
	// busy maps each key with a ready or running job to its waiting successors.
	busy map[string][]*Job
}

// NewKeyedFIFO returns an empty queue that holds at most limit jobs.
func NewKeyedFIFO(limit int) *KeyedFIFO {
	return &KeyedFIFO{limit: limit, busy: make(map[string][]*Job)}
}

// Push implements Queue. It returns ErrFull when limit jobs are queued.
func (q *KeyedFIFO) Push(j *Job, _ time.Time) error {
	if q.size >= q.limit {
		return ErrFull
	}
	q.size++
	if j.Key == "" {
		q.ready = append(q.ready, j)
		return nil
	}
	if waiting, ok := q.busy[j.Key]; ok {
		q.busy[j.Key] = append(waiting, j)
		return nil
	}
	q.busy[j.Key] = nil
	q.ready = append(q.ready, j)
	return nil
}

// Pop implements Queue. An expired job is dropped in its turn.
func (q *KeyedFIFO) Pop(now time.Time) (*Job, []*Job) {
	var dropped []*Job
	for len(q.ready) > 0 {
		j := q.ready[0]
		q.ready[0] = nil
		q.ready = q.ready[1:]
		q.size--
		if j.Deadline.IsZero() || now.Before(j.Deadline) {
			return j, dropped
		}
		dropped = append(dropped, j)
		q.Done(j, now)
	}
	return nil, dropped
}

// Done implements Queue and makes the next job of the key runnable.
func (q *KeyedFIFO) Done(j *Job, _ time.Time) {
	if j.Key == "" {
		return
	}
	waiting := q.busy[j.Key]
	if len(waiting) == 0 {
		delete(q.busy, j.Key)
		return
	}
	q.ready = append(q.ready, waiting[0])
	q.busy[j.Key] = waiting[1:]
}

// Len implements Queue.
func (q *KeyedFIFO) Len() int { return q.size }

// Drain implements Queue.
func (q *KeyedFIFO) Drain() []*Job {
	left := q.ready
	for k, waiting := range q.busy {
		left = append(left, waiting...)
		q.busy[k] = nil
	}
	q.ready, q.size = nil, 0
	return left
}
