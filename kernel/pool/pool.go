// Package pool runs jobs on a fixed number of workers.
//
// The order in which jobs run is a Queue: KeyedFIFO keeps jobs of one key in
// order; other disciplines implement fairness or deadlines. A full queue
// refuses the job, so that load is pushed back to the caller.
package pool

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel/rank"
)

// ErrFull is returned when the queue has no room for the job. The job does not run.
var ErrFull = errors.New("job queue is full")

// ErrClosed is returned after Stop has begun. The job does not run.
var ErrClosed = errors.New("worker pool is stopped")

// ErrExpired is given to Job.Abandon when the job's deadline passed in the queue.
var ErrExpired = errors.New("job deadline passed before a worker was free")

// Job is one piece of work. A job accepted by the pool is either run or
// abandoned, exactly once.
type Job struct {
	// Key orders jobs: a KeyedFIFO runs jobs of one key one after another, in the
	// order of submission. An empty key sets no order.
	Key string
	// Group is the party that the job is accounted to; only fair queues read it.
	Group string
	// Priority orders the jobs of a group; 0 is the most urgent. Only fair queues
	// read it.
	Priority int
	// Class names jobs of like duration, for estimates; empty when nothing is known.
	Class string
	// MaxWait is the longest useful time in the queue; 0 means up to the deadline.
	MaxWait time.Duration
	// Deadline is the time after which the job is not started; zero means none.
	Deadline time.Time
	// Run does the work on a worker. It must not wait for another job of the same pool.
	Run func()
	// Abandon, if set, is called on a worker or by Stop instead of Run.
	Abandon func(error)
}

// Queue is the discipline of a pool. The pool serialises all calls.
type Queue interface {
	// Push adds a job or returns an error, after which the job is not queued.
	Push(j *Job, now time.Time) error
	// Pop removes the next job that may start now, or returns nil. Jobs that must
	// not start any more are returned as dropped.
	Pop(now time.Time) (next *Job, dropped []*Job)
	// Done tells that a job returned by Pop as next has ended.
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
	// Queue is the discipline; nil means a KeyedFIFO of 1024 jobs.
	Queue Queue
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// OnPanic is told of a panic in a job, on the worker that ran it. The worker
	// goes on with the next job. Nil means that the panic ends the process.
	OnPanic func(value any, stack []byte)
}

// Pool runs jobs on its workers. Its methods are safe for concurrent use.
type Pool struct {
	opts Options
	mu   *rank.Mutex
	// work wakes workers when a job may have become runnable.
	work *sync.Cond
	// room wakes Submit when the queue may have room.
	room    *sync.Cond
	closed  bool
	running int
	wg      sync.WaitGroup
}

// New starts a pool.
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
	p := &Pool{opts: o, mu: rank.New(rank.Pool)}
	p.work = sync.NewCond(p.mu)
	p.room = sync.NewCond(p.mu)
	p.wg.Add(o.Workers)
	for range o.Workers {
		go p.worker()
	}
	return p
}

// TrySubmit queues the job without waiting. It returns ErrFull, ErrClosed or
// the error of the queue discipline; the job has then not run and never will.
func (p *Pool) TrySubmit(j *Job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.push(j)
}

// TryRun runs the job on the calling goroutine, in the place of a worker, when a
// worker is free and the queue discipline would start the job now; it returns
// true after the job has ended. Otherwise it is TrySubmit and returns false. The
// number of running jobs never exceeds Workers. It saves the two switches
// between goroutines that a hand-over to an idle worker costs.
// It must not be called on a worker of the same pool.
func (p *Pool) TryRun(j *Job) (ran bool, err error) {
	p.mu.Lock()
	if p.closed || p.running >= p.opts.Workers || p.opts.Queue.Len() > 0 {
		defer p.mu.Unlock()
		return false, p.push(j)
	}
	if err := p.opts.Queue.Push(j, p.opts.Now()); err != nil {
		p.mu.Unlock()
		return false, err
	}
	next, dropped := p.opts.Queue.Pop(p.opts.Now())
	if next != nil {
		p.running++
		p.wg.Add(1) // Stop waits for this job as for a worker
	}
	p.mu.Unlock()
	for _, d := range dropped {
		abandon(d, ErrExpired)
	}
	if next == nil {
		return false, nil
	}
	defer p.wg.Done()
	p.run(next)
	p.finish(next)
	return true, nil
}

// Submit queues the job and waits for room while the queue is full. It returns
// ErrClosed, the error of ctx, or the error of the queue discipline.
// It must not be called on a worker of the same pool.
func (p *Pool) Submit(ctx context.Context, j *Job) error {
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.room.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		err := p.push(j)
		if !errors.Is(err, ErrFull) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p.room.Wait()
	}
}

func (p *Pool) push(j *Job) error {
	if p.closed {
		return ErrClosed
	}
	if err := p.opts.Queue.Push(j, p.opts.Now()); err != nil {
		return err
	}
	p.work.Signal()
	return nil
}

// Len returns the number of queued jobs and of running jobs.
func (p *Pool) Len() (queued, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.Queue.Len(), p.running
}

// Stop refuses further jobs and waits until all accepted jobs have ended. When
// ctx ends first, the jobs still queued are abandoned and Stop returns ctx's
// error without waiting for the running ones.
func (p *Pool) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.work.Broadcast()
	p.room.Broadcast()
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
	left := p.opts.Queue.Drain()
	p.work.Broadcast()
	p.mu.Unlock()
	for _, j := range left {
		abandon(j, ErrClosed)
	}
	return ctx.Err()
}

func (p *Pool) worker() {
	defer p.wg.Done()
	for {
		j, dropped, ok := p.take()
		for _, d := range dropped {
			abandon(d, ErrExpired)
		}
		if !ok {
			return
		}
		if j == nil {
			continue
		}
		p.run(j)
		p.finish(j)
	}
}

// take waits for a job. It returns false when the pool is stopped and no job is left.
func (p *Pool) take() (*Job, []*Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		var j *Job
		var dropped []*Job
		if p.running < p.opts.Workers { // a submitter may run a job in a worker's place
			j, dropped = p.opts.Queue.Pop(p.opts.Now())
		}
		if j != nil {
			p.running++
		}
		if j != nil || len(dropped) > 0 {
			p.room.Broadcast()
			return j, dropped, true
		}
		if p.closed && p.opts.Queue.Len() == 0 {
			p.work.Broadcast()
			return nil, nil, false
		}
		p.work.Wait()
	}
}

func (p *Pool) finish(j *Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.opts.Queue.Done(j, p.opts.Now())
	// Done can make more than one job runnable under disciplines with shares. With
	// nothing queued, waking every idle worker only costs time: this one looks for
	// the next job itself.
	if p.opts.Queue.Len() > 0 {
		p.work.Broadcast()
	}
}

func (p *Pool) run(j *Job) {
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

func abandon(j *Job, err error) {
	if j.Abandon != nil {
		j.Abandon(err)
	}
}
