// Package standin is a stand-in for an upstream, for tests and experiments. It executes a bounded
// number of calls at the same time and counts executions by call ID. Its settings can make it slow
// (always or after its start), overload it, make it report a false health or load, and inject faults.
package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evListening      = event.Declare(900, zerolog.InfoLevel, "stand-in upstream is listening")
	evAnnounced      = event.Declare(901, zerolog.InfoLevel, "stand-in upstream is announced to its node")
	evAnnounceFailed = event.Declare(902, zerolog.WarnLevel, "announcement to the node failed")
	evWithdrawn      = event.Declare(903, zerolog.InfoLevel, "stand-in upstream is withdrawn from its node")
	evWithdrawFailed = event.Declare(904, zerolog.WarnLevel, "withdrawal of the stand-in upstream from its node failed")
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Standin is the plug-in.
type Standin struct {
	c *kernel.Context
	s *Settings
	// slotPool executes calls, with one worker for each slot.
	slotPool *pool.Pool
	// client sends announcements and the next calls of chains.
	client         *httponce.Client
	servers        []*http.Server
	started        time.Time
	stopAnnouncing context.CancelFunc
	wg             sync.WaitGroup
	// callsInFlight counts calls that wait for a slot or hold one.
	callsInFlight atomic.Int64
	shed          *metrics.Counter
	executed      *metrics.Counter

	// mu guards the fields below.
	mu             *rank.Mutex
	executions     *executionCounts
	rng            *rand.Rand
	reportedHealth delayedValue
	reportedLoad   delayedValue
}

func newStandin(c *kernel.Context) *Standin {
	s := c.Settings.(*Settings)
	p := &Standin{
		c: c, s: s, client: httponce.New(s.Slots), mu: rank.NewMutex(rank.Load), executions: newExecutionCounts(s.MaxExecutions),
		rng: c.NewRand(), reportedHealth: delayedValue{lag: s.Health.Lag.AsDuration()}, reportedLoad: delayedValue{lag: s.Load.Lag.AsDuration()},
		shed:     c.Metrics.NewCounter("celeryyard_standin_shed_total"),
		executed: c.Metrics.NewCounter("celeryyard_standin_executions_total"),
	}
	c.Metrics.NewGauge("celeryyard_standin_calls", func() float64 { return float64(p.callsInFlight.Load()) })
	return p
}

// Start implements kernel.Plugin.
func (p *Standin) Start(ctx context.Context) error {
	p.started = p.c.Clock.Now()
	p.slotPool = pool.New(pool.Options{Workers: p.s.Slots, Queue: pool.NewKeyedFIFO(p.s.Slots + p.s.Queue), Now: p.c.Clock.Now})
	calls := echo.New()
	calls.GET("/healthz", p.serveHealth)
	calls.GET("/load", p.serveLoad)
	calls.Any("/*", p.serveCall)
	if err := p.listen(p.s.Listen, calls); err != nil {
		return err
	}
	if p.s.Report != "" {
		report := echo.New()
		report.GET("/executions", p.serveExecutions)
		if err := p.listen(p.s.Report, report); err != nil {
			return err
		}
	}
	ctx, p.stopAnnouncing = context.WithCancel(ctx)
	if p.s.Node != "" {
		p.wg.Add(1)
		go p.announceLoop(ctx)
	}
	return nil
}

func (p *Standin) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: httphead.MaxNodeBytes}
	p.servers = append(p.servers, s)
	p.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.c.Fail(err)
		}
	}()
	return nil
}

// Stop implements kernel.Plugin. It withdraws the stand-in from its node, waits until the node
// confirms that no call is in flight, and closes the listeners.
func (p *Standin) Stop(ctx context.Context) error {
	if p.stopAnnouncing != nil {
		p.stopAnnouncing()
	}
	p.wg.Wait()
	if p.s.Node != "" && p.slotPool != nil {
		p.withdraw(ctx)
	}
	var err error
	for _, s := range p.servers {
		err = errors.CombineErrors(err, s.Shutdown(ctx))
	}
	if p.slotPool != nil {
		err = errors.CombineErrors(err, p.slotPool.Stop(ctx))
	}
	p.client.Close()
	return err
}
