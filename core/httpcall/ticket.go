package httpcall

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// States of a ticket.
const (
	ticketQueued int32 = iota
	ticketTaken
	ticketLeft
)

// ticket is a job whose submitter waits for its end. It lets the submitter leave
// while the job is queued; the job then never runs. Tickets are not reused: the
// queue still reads the job after its submitter has returned.
type ticket struct {
	job   pool.Job
	state atomic.Int32
	run   func()
	err   error
	done  chan struct{}
}

var timers = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// Run runs f on a worker of the pool, or in the place of a free one on the calling
// goroutine, and waits for its end. An error means that
// f did not run and never will: that of the pool or its queue, that of ctx, or
// pool.ErrExpired once the deadline has passed.
func Run(ctx context.Context, p *pool.Pool, group string, deadline time.Time, f func()) error {
	return RunJob(ctx, p, pool.Job{Group: group, Deadline: deadline}, f)
}

// RunJob is Run for a job with further marks; it sets what the job does. A job
// with MaxWait gives up after that time in the queue.
func RunJob(ctx context.Context, p *pool.Pool, job pool.Job, f func()) error {
	t := &ticket{run: f, done: make(chan struct{}, 1), job: job}
	t.job.Run, t.job.Abandon = t.start, t.abandon
	wait := time.Until(job.Deadline)
	if job.MaxWait > 0 {
		wait = min(wait, job.MaxWait)
	}
	ran, err := p.TryRun(&t.job)
	if ran || err != nil {
		return err
	}
	timer := timers.Get().(*time.Timer)
	timer.Reset(wait)
	defer func() {
		timer.Stop()
		timers.Put(timer)
	}()
	err = pool.ErrExpired
	select {
	case <-t.done:
		return t.err
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if t.state.CompareAndSwap(ticketQueued, ticketLeft) {
		return err
	}
	<-t.done
	return t.err
}

func (t *ticket) start() {
	if !t.state.CompareAndSwap(ticketQueued, ticketTaken) {
		return
	}
	defer func() { t.done <- struct{}{} }()
	t.run()
}

func (t *ticket) abandon(err error) {
	if !t.state.CompareAndSwap(ticketQueued, ticketTaken) {
		return
	}
	t.err = err
	t.done <- struct{}{}
}
