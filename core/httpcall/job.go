package httpcall

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// States of an awaitedJob. Only the first change from jobQueued has an effect.
const (
	jobQueued int32 = iota
	// jobTaken means that a worker has started the job or the pool has abandoned it.
	jobTaken
	// jobCancelled means that the submitter no longer waits, so the job must not run.
	jobCancelled
)

// awaitedJob is a job whose submitter waits for it to end. The submitter can cancel the job while
// it is queued; it then never runs. An awaitedJob is not reused, since the queue still reads
// the job after its submitter has returned.
type awaitedJob struct {
	job   pool.Job
	state atomic.Int32
	run   func()
	err   error
	done  chan struct{}
}

var timerPool = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// Run runs f on a worker of the pool, or on the calling goroutine in place of a free worker,
// and waits until f returns. An error means that f did not run and never will. The error is that
// of the pool, of its queue or of ctx, or pool.ErrExpired if the deadline has passed.
func Run(ctx context.Context, p *pool.Pool, group string, deadline time.Time, f func()) error {
	return RunJob(ctx, p, pool.Job{Group: group, Deadline: deadline}, f)
}

// RunJob is like Run for a job with further attributes, such as its class. It sets the job's Run and
// Abandon. A job with MaxWait expires after that time in the queue.
func RunJob(ctx context.Context, p *pool.Pool, job pool.Job, f func()) error {
	t := &awaitedJob{run: f, done: make(chan struct{}, 1), job: job}
	t.job.Run, t.job.Abandon = t.start, t.abandon
	wait := time.Until(job.Deadline)
	if job.MaxWait > 0 {
		wait = min(wait, job.MaxWait)
	}
	ran, err := p.TryRun(&t.job)
	if ran || err != nil {
		return err
	}
	timer := timerPool.Get().(*time.Timer)
	timer.Reset(wait)
	defer func() {
		timer.Stop()
		timerPool.Put(timer)
	}()
	err = pool.ErrExpired
	select {
	case <-t.done:
		return t.err
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if t.state.CompareAndSwap(jobQueued, jobCancelled) {
		return err
	}
	<-t.done
	return t.err
}

func (t *awaitedJob) start() {
	if !t.state.CompareAndSwap(jobQueued, jobTaken) {
		return
	}
	defer func() { t.done <- struct{}{} }()
	t.run()
}

func (t *awaitedJob) abandon(err error) {
	if !t.state.CompareAndSwap(jobQueued, jobTaken) {
		return
	}
	t.err = err
	t.done <- struct{}{}
}
