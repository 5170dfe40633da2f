// Package load generates calls at a fixed rate, whatever the answers, and
// compares the outcome of each call with the executions counted at the stand-in
// upstreams.
package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evRunning  = event.Declare(950, zerolog.InfoLevel, "load run has started")
	evFinished = event.Declare(951, zerolog.InfoLevel, "load run has finished")
	evSilent   = event.Declare(952, zerolog.WarnLevel, "stand-in upstream did not report its executions")
)

// Load is the plug-in. It makes one run after Start.
type Load struct {
	c      *kernel.Context
	s      *Settings
	run    string
	client *httponce.Client
	// reports fetches the reports, which are much longer than answers.
	reports *httponce.Client
	calls   *pool.Pool
	cancel  context.CancelFunc
	done    chan struct{}
	result  Result // written before done is closed
	sent    *metrics.Counter

	// mu guards the ledger.
	mu     *rank.Mutex
	ledger []Entry
}

func newLoad(c *kernel.Context) *Load {
	s := c.Settings.(*Settings)
	l := &Load{
		c: c, s: s, run: s.Run, client: httponce.New(s.MaxInFlight), reports: reportClient(), done: make(chan struct{}),
		mu: rank.New(rank.Load), sent: c.Metrics.NewCounter("celeryyard_load_calls_total"),
	}
	if l.run == "" {
		l.run = fmt.Sprintf("run%x", c.Clock.Now().UnixNano())
	}
	return l
}

// Start implements kernel.Plugin.
func (l *Load) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	l.calls = pool.New(pool.Options{Workers: l.s.MaxInFlight, Queue: pool.NewKeyedFIFO(l.s.MaxInFlight)})
	l.c.Log.Log(evRunning).Str("run", l.run).Uint("seed", l.s.Seed).Float("rate", l.s.Rate).Send()
	go l.drive(ctx)
	return nil
}

// Stop implements kernel.Plugin.
func (l *Load) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.client.Close()
	return nil
}

// Done is closed when the result is complete.
func (l *Load) Done() <-chan struct{} { return l.done }

// Result returns the result; it is valid after Done.
func (l *Load) Result() *Result { return &l.result }

// Ledger returns the entries of all calls so far.
func (l *Load) Ledger() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.ledger...)
}

// drive lets the callers run, waits for the last calls and completes the result.
func (l *Load) drive(ctx context.Context) {
	defer close(l.done)
	started := l.c.Clock.Now()
	var wg sync.WaitGroup
	for i := range l.s.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.caller(ctx, newSource(l.s, l.run, i), started)
		}()
	}
	wg.Wait()
	limit, cancel := context.WithTimeout(context.Background(), l.longest())
	_ = l.calls.Stop(limit)
	cancel()
	seconds := l.c.Clock.Now().Sub(started).Seconds()
	pause(ctx, l.s.Settle.D())
	l.result = l.conclude(l.collect(), seconds)
	l.c.Log.Log(evFinished).Str("run", l.run).Int("calls", l.result.Calls).Send()
}

// longest bounds the time that the last call may take.
func (l *Load) longest() time.Duration {
	return time.Duration(l.s.Repeats+1)*(l.s.Timeout.D()+l.s.RepeatPause.D()) + time.Second
}

// caller submits the calls of one source at their arrivals.
func (l *Load) caller(ctx context.Context, src *source, started time.Time) {
	for {
		p, ok := src.next()
		if !ok {
			return
		}
		due := started.Add(p.At)
		if d := due.Sub(l.c.Clock.Now()); d > 0 && !pause(ctx, d) {
			return
		}
		l.sent.Inc()
		err := l.calls.TrySubmit(&pool.Job{
			Run: func() {
				e := l.send(ctx, p)
				e.FromArrival = l.c.Clock.Now().Sub(due)
				l.record(e)
			},
			Abandon: func(err error) { l.record(unsent(p, err)) },
		})
		if err != nil {
			l.record(unsent(p, err))
		}
	}
}

func (l *Load) record(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger = append(l.ledger, e)
}
