// Package pool runs jobs on a fixed number of workers.
//
// A Queue determines the order in which jobs run: KeyedFIFO keeps the jobs of a key in
// order; other implementations provide fairness or deadlines. A full queue rejects new
// jobs, which puts back pressure on the caller.
package pool

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel/rank"
)

// ErrFull is returned if the queue is full. The job does not run.
var ErrFull = errors.New("job queue is full")

// ErrClosed is returned once Stop has been called. The job does not run.
var ErrClosed = errors.New("worker pool is stopped")

// ErrExpired is passed to Job.Abandon if the deadline passed while the job was queued.
var ErrExpired = errors.New("job deadline passed before a worker was free")

// Job is a unit of work. A job that the pool has accepted is either run or abandoned,
// exactly once.
type Job struct {
	// Key serializes jobs: a KeyedFIFO runs the jobs of a key one after another, in the
	// order of submission. Jobs with an empty key are not ordered.
	Key string
	// Group names the jobs that share one part of the workers: a fair queue divides the
	// workers between the groups. Other queues ignore it.
	Group string
	// TeamPriority and then Priority order the jobs of a group; 0 is the most urgent. Only fair queues use them.
	TeamPriority, Priority int
	// Class identifies jobs of similar duration, for estimates; empty if unknown.
	Class string
	// MaxWait is the longest acceptable wait in the queue. A fair queue rejects a new job
	// whose estimated wait exceeds it. 0 means that only Deadline limits the wait. Other
	// queues ignore it.
	MaxWait time.Duration
	// Flow names the jobs that share the workers fairly with those of other flows of the same priority; empty if the
	// jobs of the queue are not ordered by flows. Only fair queues use it.
	Flow string
	// Target is the time up to which the result of the job has its full value; zero means none. Only fair queues use it.
	Target time.Time
	// Since is when the work was first requested, which may have been before this pool got the job; zero means that it is
	// not known. Only fair queues use it.
	Since time.Time
	// Work is the expected duration of the job; 0 if only that of its class is known. Only fair queues use it.
	Work time.Duration
	// IsProbing means that another pool is offered the job if the workers of this one are slow. Only fair queues use it.
	IsProbing bool
	// IsRepeated means that another pool has refused the job before.
	IsRepeated bool
	// Deadline is the time from which the job is no longer started; zero means none.
	Deadline time.Time
	// Run performs the job. It must not wait for another job of the same pool.
	Run func()
	// Abandon, if not nil, is called instead of Run if an accepted job will not run. The
	// caller is a worker, TryRun or Stop.
	Abandon func(error)
}

// IsAtLeastAsUrgent reports whether j is at least as urgent as o.
func (j *Job) IsAtLeastAsUrgent(o *Job) bool {
	if j.TeamPriority != o.TeamPriority {
		return j.TeamPriority < o.TeamPriority
	}
	return j.Priority <= o.Priority
}

// Queue is the scheduling discipline of a pool. The pool serializes all calls.
type Queue interface {
	// Push adds a job. If it returns an error, the job is not queued.
	Push(j *Job, now time.Time) error
	// Pop removes and returns the next job that may start now, or nil if there is none. It
	// also removes jobs that must no longer start and returns them as dropped.
	Pop(now time.Time) (next *Job, dropped []*Job)
	// Done updates the queue after a job that Pop returned as next has ended, so that other jobs
	// may start.
	Done(j *Job, now time.Time)
	// Len returns the number of queued jobs.
	Len() int
	// Drain removes and returns all queued jobs.
	Drain() []*Job
}

// Options configures a pool.
type Options struct {
	// Workers is the number of goroutines that run jobs; at least 1.
	Workers int
	// Queue holds the waiting jobs; nil means a KeyedFIFO of at most 1024 jobs.
	Queue Queue
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// OnPanic handles a panic in a job. It runs on the goroutine that ran the job, which then
	// continues. If OnPanic is nil, the panic ends the process.
	OnPanic func(value any, stack []byte)
}

// Pool runs jobs on its workers. Its methods are safe for concurrent use.
type Pool struct {
	opts Options
	mu   *rank.Mutex
	// jobReady is signaled when a job may have become runnable.
	jobReady *sync.Cond
	// spaceFreed is signaled when the queue may no longer be full.
	spaceFreed *sync.Cond
	closed     bool
	// runningJobs includes the jobs that TryRun runs.
	runningJobs int
	wg          sync.WaitGroup
}

// New creates a pool and starts its workers.
func New(o Options) *Pool {
	if o.Workers < 1 {
		o.Workers = 1
	}
	if o.Queue == nil {
		o.Queue = NewKeyedFIFO(1024)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	p := &Pool{opts: o, mu: rank.NewMutex(rank.Pool)}
	p.jobReady = sync.NewCond(p.mu)
	p.spaceFreed = sync.NewCond(p.mu)
	p.wg.Add(o.Workers)
	for range o.Workers {
		go p.runWorker()
	}
	return p
}

// TrySubmit queues the job without blocking. If it returns an error, which is ErrFull,
// ErrClosed or another error of the queue, the job does not run.
func (p *Pool) TrySubmit(j *Job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pushLocked(j)
}

// TryRun runs the job on the calling goroutine if a worker is idle and the queue would
// start the job now; it returns true after the job has ended. Otherwise it behaves like
// TrySubmit and returns false. Together, the workers and TryRun run at most Workers jobs at
// a time.
// TryRun avoids the two goroutine switches that passing the job to an idle worker costs.
// It must not be called on a worker of the same pool.
func (p *Pool) TryRun(j *Job) (ran bool, err error) {
	p.mu.Lock()
	if p.closed || p.runningJobs >= p.opts.Workers || p.opts.Queue.Len() > 0 {
		defer p.mu.Unlock()
		return false, p.pushLocked(j)
	}
	if err := p.opts.Queue.Push(j, p.opts.Now()); err != nil {
		p.mu.Unlock()
		return false, err
	}
	next, dropped := p.opts.Queue.Pop(p.opts.Now())
	if next != nil {
		p.runningJobs++
		p.wg.Add(1) // Stop waits for this job too
	}
	p.mu.Unlock()
	for _, d := range dropped {
		abandonJob(d, ErrExpired)
	}
	if next == nil {
		return false, nil
	}
	defer p.wg.Done()
	p.runJob(next)
	p.completeJob(next)
	return true, nil
}

// Submit queues the job and blocks while the queue is full. It returns ErrClosed, the
// error of ctx, or an error of the queue other than ErrFull.
// It must not be called on a worker of the same pool.
func (p *Pool) Submit(ctx context.Context, j *Job) error {
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.spaceFreed.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		err := p.pushLocked(j)
		if !errors.Is(err, ErrFull) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p.spaceFreed.Wait()
	}
}

func (p *Pool) pushLocked(j *Job) error {
	if p.closed {
		return ErrClosed
	}
	if err := p.opts.Queue.Push(j, p.opts.Now()); err != nil {
		return err
	}
	p.jobReady.Signal()
	return nil
}

// Len returns the numbers of queued and of running jobs.
func (p *Pool) Len() (queued, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.Queue.Len(), p.runningJobs
}

// Stop rejects new jobs and waits until all accepted jobs have ended. If ctx ends first,
// Stop abandons the queued jobs and returns the error of ctx without waiting for the
// running jobs.
func (p *Pool) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.jobReady.Broadcast()
	p.spaceFreed.Broadcast()
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	remaining := p.opts.Queue.Drain()
	p.jobReady.Broadcast()
	p.mu.Unlock()
	for _, j := range remaining {
		abandonJob(j, ErrClosed)
	}
	return ctx.Err()
}

func (p *Pool) runWorker() {
	defer p.wg.Done()
	for {
		j, dropped, ok := p.nextJob()
		for _, d := range dropped {
			abandonJob(d, ErrExpired)
		}
		if !ok {
			return
		}
		if j == nil {
			continue
		}
		p.runJob(j)
		p.completeJob(j)
	}
}

// nextJob waits until a job can run or has expired. It returns the job to run, which may be
// nil, the expired jobs, and true. If the pool is stopped and no jobs are queued, it returns
// false.
func (p *Pool) nextJob() (*Job, []*Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		var j *Job
		var dropped []*Job
		if p.runningJobs < p.opts.Workers { // jobs of TryRun count too
			j, dropped = p.opts.Queue.Pop(p.opts.Now())
		}
		if j != nil {
			p.runningJobs++
		}
		if j != nil || len(dropped) > 0 {
			p.spaceFreed.Broadcast()
			return j, dropped, true
		}
		if p.closed && p.opts.Queue.Len() == 0 {
			p.jobReady.Broadcast()
			return nil, nil, false
		}
		p.jobReady.Wait()
	}
}

func (p *Pool) completeJob(j *Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningJobs--
	p.opts.Queue.Done(j, p.opts.Now())
	// With a fair queue, Done can make more than one job runnable, so all workers are
	// woken. If the queue is empty, waking them would only cost time.
	if p.opts.Queue.Len() > 0 {
		p.jobReady.Broadcast()
	}
}

func (p *Pool) runJob(j *Job) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if p.opts.OnPanic == nil {
			panic(v)
		}
		p.opts.OnPanic(v, debug.Stack())
	}()
	j.Run()
}

func abandonJob(j *Job, err error) {
	if j.Abandon != nil {
		j.Abandon(err)
	}
}
