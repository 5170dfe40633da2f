// Package load is an open-loop load generator: it generates calls at a fixed rate, independent of
// the answers, and checks the outcome of each call against the executions counted at the stand-in
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
	evStarted       = event.Declare(950, zerolog.InfoLevel, "load run has started")
	evFinished      = event.Declare(951, zerolog.InfoLevel, "load run has finished")
	evReportMissing = event.Declare(952, zerolog.WarnLevel, "stand-in upstream did not report its executions")
)

// Load is the plug-in. It makes one run, which begins with Start.
type Load struct {
	c      *kernel.Context
	s      *Settings
	runID  string
	client *httponce.Client
	// reportClient fetches the stand-ins' reports, which are much larger than answers to calls.
	reportClient *httponce.Client
	callPool     *pool.Pool
	cancel       context.CancelFunc
	done         chan struct{}
	result       Result // written before done is closed
	sent         *metrics.Counter

	// mu guards the ledger.
	mu     *rank.Mutex
	ledger []Entry
}

func newLoad(c *kernel.Context) *Load {
	s := c.Settings.(*Settings)
	l := &Load{
		c: c, s: s, runID: s.Run, client: httponce.New(s.MaxInFlight), reportClient: newReportClient(), done: make(chan struct{}),
		mu: rank.NewMutex(rank.Load), sent: c.Metrics.NewCounter("celeryyard_load_calls_total"),
	}
	if l.runID == "" {
		l.runID = fmt.Sprintf("run%x", c.Clock.Now().UnixNano())
	}
	return l
}

// Start implements kernel.Plugin.
func (l *Load) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	l.callPool = pool.New(pool.Options{Workers: l.s.MaxInFlight, Queue: pool.NewKeyedFIFO(l.s.MaxInFlight)})
	l.c.Log.Log(evStarted).Str("run", l.runID).Uint("seed", l.s.Seed).Float("rate", l.s.Rate).Send()
	go l.executeRun(ctx)
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

// Done returns a channel that is closed when the result is complete.
func (l *Load) Done() <-chan struct{} { return l.done }

// Result returns the result. It must be called only after Done is closed.
func (l *Load) Result() *Result { return &l.result }

// Ledger returns the entries of all calls that have ended so far.
func (l *Load) Ledger() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.ledger...)
}

// executeRun runs the callers, waits until all calls have ended, and builds the result.
func (l *Load) executeRun(ctx context.Context) {
	defer close(l.done)
	started := l.c.Clock.Now()
	var wg sync.WaitGroup
	for i := range l.s.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.runCaller(ctx, newCallGenerator(l.s, l.runID, i), started)
		}()
	}
	wg.Wait()
	stopCtx, cancel := context.WithTimeout(context.Background(), l.maxCallTime())
	_ = l.callPool.Stop(stopCtx)
	cancel()
	seconds := l.c.Clock.Now().Sub(started).Seconds()
	sleep(ctx, l.s.Settle.AsDuration())
	l.result = l.buildResult(l.collectExecutions(), seconds)
	l.c.Log.Log(evFinished).Str("run", l.runID).Int("calls", l.result.Calls).Send()
}

// maxCallTime returns the maximum time of a call with all its retries, plus one second.
func (l *Load) maxCallTime() time.Duration {
	return time.Duration(l.s.Repeats+1)*(l.s.Timeout.AsDuration()+l.s.RepeatPause.AsDuration()) + time.Second
}

// runCaller submits the calls of one generator when they are due.
func (l *Load) runCaller(ctx context.Context, gen *callGenerator, started time.Time) {
	for {
		p, ok := gen.next()
		if !ok {
			return
		}
		due := started.Add(p.Arrival)
		if d := due.Sub(l.c.Clock.Now()); d > 0 && !sleep(ctx, d) {
			return
		}
		l.sent.Inc()
		err := l.callPool.TrySubmit(&pool.Job{
			Run: func() {
				e := l.sendWithRetries(ctx, p)
				e.FromArrival = l.c.Clock.Now().Sub(due)
				l.addEntry(e)
			},
			Abandon: func(err error) { l.addEntry(unsentEntry(p, err)) },
		})
		if err != nil {
			l.addEntry(unsentEntry(p, err))
		}
	}
}

func (l *Load) addEntry(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger = append(l.ledger, e)
}
