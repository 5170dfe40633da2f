package httpcall

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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

// ErrStayOver is returned for a job that was queued for WaitLimits.MaxStay.
var ErrStayOver = errors.New("job was queued for the longest time that its submitter permits")

// ErrStopping is returned for a job that was still queued at WaitLimits.LatestStart.
var ErrStopping = errors.New("process stops before the job could end")

// WaitLimits limits the time that a job is queued, in addition to its deadline. The zero value sets no limit.
type WaitLimits struct {
	// MaxStay is the longest time that the job is queued; 0 means no limit. Unlike Job.MaxWait, it does not make a
	// queue reject a job that is expected to wait longer.
	MaxStay time.Duration
	// Stopping is closed when the process begins to stop; may be nil. LatestStart then returns the time from which
	// the job must not start any more.
	Stopping    <-chan struct{}
	LatestStart func() time.Time
}

var timerPool = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// RunJob runs f on a worker of the pool, or on the calling goroutine in place of a free worker,
// and waits until f returns. It sets the job's Run and Abandon. An error means that f did not run and never will.
// It is that of the pool, of its queue or of ctx, ErrStayOver, ErrStopping, or pool.ErrExpired if the deadline of the
// job, or MaxWait in the queue, has passed.
func RunJob(ctx context.Context, p *pool.Pool, job pool.Job, limits WaitLimits, f func()) error {
	t := &awaitedJob{run: f, done: make(chan struct{}, 1), job: job}
	t.job.Run, t.job.Abandon = t.start, t.abandon
	ran, err := p.TryRun(&t.job)
	if ran || err != nil {
		return err
	}
	err = t.await(ctx, limits)
	if err != nil && t.state.CompareAndSwap(jobQueued, jobCancelled) {
		return err
	}
	if err != nil {
		<-t.done
	}
	return t.err
}

// await waits until the job has ended, and returns nil, or until it must not wait any longer, and returns the reason.
func (t *awaitedJob) await(ctx context.Context, limits WaitLimits) error {
	wait, reason := time.Until(t.job.Deadline), pool.ErrExpired
	if t.job.MaxWait > 0 {
		wait = min(wait, t.job.MaxWait)
	}
	if limits.MaxStay > 0 && limits.MaxStay < wait {
		wait, reason = limits.MaxStay, ErrStayOver
	}
	end := time.Now().Add(wait)
	timer := timerPool.Get().(*time.Timer)
	timer.Reset(wait)
	defer func() {
		timer.Stop()
		timerPool.Put(timer)
	}()
	for {
		select {
		case <-t.done:
			return nil
		case <-timer.C:
			return reason
		case <-ctx.Done():
			return ctx.Err()
		case <-limits.Stopping:
			limits.Stopping = nil
			if latest := limits.LatestStart(); latest.Before(end) {
				timer.Reset(time.Until(latest))
				reason = ErrStopping
			}
		}
	}
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
