// Package pressure accounts for the memory that the connections of a process hold, and closes or refuses connections when it is
// short.
package pressure

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evLimits = event.Declare(795, zerolog.InfoLevel, "limits of the memory of connections")
	evShort  = event.Declare(796, zerolog.WarnLevel, "connections were closed or refused for lack of memory")
)

// reportInterval is the interval at which closed and refused connections are logged.
const reportInterval = 10 * time.Second

// retryInterval is the time between two attempts to close connections if the first one was fruitless. An attempt looks at all of
// them, and clients that are refused may return at once.
const retryInterval = 20 * time.Millisecond

// Pressure is the plug-in. Its methods are safe for concurrent use; those of a nil Pressure limit nothing.
type Pressure struct {
	c      *kernel.Context
	s      *Settings
	limits Limits
	// held is what all connections hold, and fleetHeld what those of authenticated processes of the fleet hold in addition.
	held, fleetHeld atomic.Int64
	// fruitless is when no connections could be closed, in nanoseconds since began. The next attempt is made after retryInterval.
	fruitless atomic.Int64
	began     time.Time

	// mu guards the fields below.
	mu    *rank.Mutex
	conns map[*Conn]struct{}
	// open counts the connections in conns by class.
	open [classCount]int

	refused, refusedConnections *metrics.Counter
	closed                      [classCount]*metrics.Counter
	reported                    uint64 // used only by report
}

func newPressure(c *kernel.Context) *Pressure {
	s := c.Settings.(*Settings)
	p := &Pressure{
		c: c, s: s, limits: newLimits(c.Instance.MemoryMB, s), began: time.Now(), mu: rank.NewMutex(rank.Pressure), conns: map[*Conn]struct{}{},
		refused:            c.Metrics.NewCounter(fmt.Sprintf(`celeryyard_pressure_refused_total{limit=%q}`, limitHeld)),
		refusedConnections: c.Metrics.NewCounter(fmt.Sprintf(`celeryyard_pressure_refused_total{limit=%q}`, limitConnections)),
	}
	for i := range p.closed {
		p.closed[i] = c.Metrics.NewCounter(fmt.Sprintf(`celeryyard_pressure_closed_total{class=%q}`, classNames[i]))
		c.Metrics.NewGauge(fmt.Sprintf(`celeryyard_pressure_connections{class=%q}`, classNames[i]), func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return float64(p.open[i])
		})
	}
	c.Metrics.NewGauge(`celeryyard_pressure_held_bytes{by="clients"}`, func() float64 { return float64(p.held.Load()) })
	c.Metrics.NewGauge(`celeryyard_pressure_held_bytes{by="fleet"}`, func() float64 { return float64(p.fleetHeld.Load()) })
	return p
}

// Start implements kernel.Plugin.
func (p *Pressure) Start(context.Context) error {
	p.c.Log.Log(evLimits).Uint("held_bytes", uint64(p.limits.HeldBytes)).Int("connections", p.limits.Connections).Send()
	p.c.RunEvery("pressure/report", reportInterval, p.report)
	return nil
}

// Stop implements kernel.Plugin.
func (p *Pressure) Stop(context.Context) error { return nil }

// report logs how many connections were closed and refused since the last report.
func (p *Pressure) report() {
	refused := p.refused.Get() + p.refusedConnections.Get()
	closed := uint64(0)
	for _, c := range p.closed {
		closed += c.Get()
	}
	if refused+closed == p.reported {
		return
	}
	p.reported = refused + closed
	p.c.Log.Log(evShort).Uint("closed", closed).Uint("refused", refused).Uint("held_bytes", uint64(p.held.Load())).Send()
}

// CountRefusal counts a request that exceeds a limit of its own.
func (p *Pressure) CountRefusal(e *account.LimitError) {
	if p != nil && e.Limit != "" && e.Limit != limitHeld {
		p.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_pressure_refused_total{limit=%q}`, e.Limit)).Inc()
	}
}

// RequestLimits returns the limits of heads of at most headBytes bytes.
func (p *Pressure) RequestLimits(headBytes int) httphead.RequestLimits {
	if p == nil {
		l := httphead.DefaultRequestLimits()
		l.Bytes = headBytes
		return l
	}
	return p.s.requestLimits(headBytes)
}

// Open opens the account of a connection. shed is called when the connection is to be closed for lack of memory; it must not
// block. If the process has no room for the connection, the error is an *account.LimitError, and the caller closes it.
func (p *Pressure) Open(class Class, shed func(account.Phase)) (*Conn, error) {
	c := &Conn{p: p, class: class, shed: shed, since: time.Now()}
	limit := p.limits.connectionsOf(class)
	p.mu.Lock()
	full := p.open[class] >= limit
	p.mu.Unlock()
	if full && p.closeSome(nil, func(list []candidate) []int { return chooseForConnection(list, class, 1+limit/32) }) == 0 {
		p.refusedConnections.Inc()
		return nil, &account.LimitError{Limit: limitConnections, Max: int64(limit)}
	}
	if err := c.Reserve(account.KindConnection, httphead.ConnectionCost); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	p.open[class]++
	return c, nil
}

// remove removes a connection from the table.
func (p *Pressure) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.conns[c]; ok {
		delete(p.conns, c)
		p.open[c.class]--
	}
}

// makeRoom closes connections until all of them hold at most ceiling bytes. wanted is what the connection c then holds.
func (p *Pressure) makeRoom(c *Conn, ceiling, wanted int64) bool {
	now := time.Since(p.began).Nanoseconds()
	if last := p.fruitless.Load(); last > 0 && now-last < retryInterval.Nanoseconds() {
		return false
	}
	p.closeSome(c, func(list []candidate) []int {
		need := p.held.Load() - ceiling
		if need <= 0 {
			return nil
		}
		return chooseForMemory(list, c.class, need, max(need, p.limits.HeldBytes/32), wanted)
	})
	if p.held.Load() <= ceiling {
		return true
	}
	p.fruitless.Store(now)
	return false
}

// closeSome closes the connections that choose names, which gets all but one, and returns their number.
func (p *Pressure) closeSome(except *Conn, choose func([]candidate) []int) int {
	now := time.Now()
	p.mu.Lock()
	conns := make([]*Conn, 0, len(p.conns))
	list := make([]candidate, 0, len(p.conns))
	for c := range p.conns {
		if c != except {
			list = append(list, c.candidate(now, len(conns)))
			conns = append(conns, c)
		}
	}
	phases := make([]account.Phase, len(list))
	for i, d := range list {
		phases[i] = d.phase
	}
	var ended []int
	for _, i := range choose(list) {
		if conns[i].endIfIn(phases[i]) {
			delete(p.conns, conns[i])
			p.open[conns[i].class]--
			ended = append(ended, i)
		}
	}
	p.mu.Unlock()
	for _, i := range ended {
		p.closed[conns[i].class].Inc()
		conns[i].shed(phases[i])
	}
	return len(ended)
}
