package intake

import "github.com/cockroachdb/errors"

// errFull is returned while too many changes wait.
var errFull = errors.New("too many changes wait on this instance")

// waiter is a change that waits for its bytes.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed by the queue
}

// queue grants the bytes of changes in the order of their arrival, so that a stream of short ones does not keep a long
// one waiting for ever. The caller serialises the calls.
type queue struct {
	maxBytes   int64
	maxWaiting int
	// held is the sum of the granted bytes; it is at most maxBytes.
	held    int64
	waiting []*waiter
}

// add returns a waiter for a change of the given size. A change above maxBytes gets all of it, so that it is the only one.
func (q *queue) add(bytes int64) (*waiter, error) {
	w := &waiter{bytes: min(bytes, q.maxBytes), granted: make(chan struct{})}
	if len(q.waiting) >= q.maxWaiting {
		return nil, errFull
	}
	q.waiting = append(q.waiting, w)
	q.grant()
	return w, nil
}

// release returns the bytes of a granted waiter, or removes one that still waits.
func (q *queue) release(w *waiter) {
	for i := range q.waiting {
		if q.waiting[i] == w {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.grant()
			return
		}
	}
	q.held -= w.bytes
	q.grant()
}

func (q *queue) grant() {
	for len(q.waiting) > 0 && q.held+q.waiting[0].bytes <= q.maxBytes {
		q.held += q.waiting[0].bytes
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
	}
}
