// Package inbound takes calls from other nodes, admits them to the slots of the
// upstream beside this node and forwards them. A call that is rejected before it
// starts is answered with a signed proof that it did not run.
package inbound

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evListening = event.Declare(800, zerolog.InfoLevel, "listening for calls of other nodes")
	evSlots     = event.Declare(801, zerolog.InfoLevel, "slots of the upstream are set")
	evCut       = event.Declare(802, zerolog.WarnLevel, "response of the upstream was cut")
	evLeaving   = event.Declare(803, zerolog.InfoLevel, "calls are rejected because the upstream leaves")
	evRejected  = event.Declare(805, zerolog.InfoLevel, "call rejected before it ran")
	evFailed    = event.Declare(806, zerolog.InfoLevel, "dispatch to the upstream failed")
	evDrained   = event.Declare(804, zerolog.InfoLevel, "no call is in flight any more")
)

// readHeaderTimeout bounds the reading of request headers.
const readHeaderTimeout = 10 * time.Second

// linger is the time for which calls of nodes that have not yet heard of the stop
// are still rejected with proof before the listener closes.
const linger = 200 * time.Millisecond

// idleCheck is the interval at which expired idle connections are closed.
const idleCheck = 2 * time.Second

// Inbound is the plug-in.
type Inbound struct {
	c        *kernel.Context
	s        *Settings
	peer     *peer.Peer
	announce api.Announcer
	claims   *idempotency.Idempotency
	dialect  dialect.Dialect
	acceptor *httpcall.Acceptor
	client   *httpcall.Client
	server   *http.Server
	least    estimate
	usage    usage
	reported atomic.Uint64 // load that the upstream reported, as bits of a float64

	dispatches *metrics.Counter
	queueTime  *metrics.Histogram

	// mu guards the fields below.
	mu      *rank.Mutex
	slots   int
	pool    *pool.Pool
	active  int
	leaving bool
	// idle is called when the last call in flight has ended.
	idle func()
}

func newInbound(c *kernel.Context) *Inbound {
	in := &Inbound{
		c: c, s: c.Settings.(*Settings), peer: kernel.Use[*peer.Peer](c, "peer"),
		announce: kernel.Use[api.Announcer](c, "announce"), claims: kernel.Use[*idempotency.Idempotency](c, "idempotency"),
		mu:         rank.New(rank.Admission),
		dispatches: c.Metrics.NewCounter(`celeryyard_dispatches_total{side="inbound"}`),
		queueTime:  c.Metrics.NewHistogram(`celeryyard_queue_seconds{side="inbound"}`),
	}
	in.dialect = dialect.Native{}
	if d, ok := kernel.Find[dialect.Dialect](c, dialect.Name); ok {
		in.dialect = d
	}
	in.announce.OnLeave(in.leave)
	if s, ok := kernel.Find[*session.Session](c, "session"); ok {
		s.OnReport(in.report)
	}
	c.Metrics.NewGauge("celeryyard_inbound_active_calls", func() float64 {
		in.mu.Lock()
		defer in.mu.Unlock()
		return float64(in.active)
	})
	return in
}

// report tells the fleet of the upstream; nil without one.
func (in *Inbound) report() *peerapi.LoadReport {
	e := in.announce.Endpoint()
	if e.Slots == 0 {
		return nil
	}
	return in.usage.report(e.Slots, time.Now())
}

// Start implements kernel.Plugin.
func (in *Inbound) Start(context.Context) error {
	if in.s.Listen == "" {
		return nil
	}
	in.acceptor = &httpcall.Acceptor{Key: in.peer.Key(), Node: in.c.Instance.Name}
	in.client = httpcall.NewClient(httpcall.ClientOptions{
		IdleTimeout: in.s.UpstreamIdle.D(), MaxIdle: 64, DialTimeout: in.s.DialTimeout.D(), SilenceTimeout: in.s.SilenceTimeout.D(),
		Rank: rank.Admission, Dispatches: in.dispatches,
	})
	l, err := net.Listen("tcp", in.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	in.server = &http.Server{
		Handler: in, ConnContext: in.acceptor.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: in.s.NodeIdle.D(), MaxHeaderBytes: httphead.NodeBytes,
	}
	in.c.Every("inbound/idle", idleCheck, func() { in.client.CloseIdle(func(string) bool { return false }) })
	in.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	in.c.Serve(in.server, l)
	return nil
}

// Stop implements kernel.Plugin. It runs the planned stop of the upstream and
// then closes the listener.
func (in *Inbound) Stop(ctx context.Context) error {
	if in.server == nil {
		return nil
	}
	left := make(chan struct{})
	in.announce.Leave(func() { close(left) })
	var err error
	select {
	case <-left:
		select {
		case <-time.After(linger):
		case <-ctx.Done():
		}
	case <-ctx.Done():
		err = errors.New("planned stop did not end in time")
	}
	err = errors.CombineErrors(err, in.server.Shutdown(ctx))
	in.mu.Lock()
	p := in.pool
	in.mu.Unlock()
	if p != nil {
		err = errors.CombineErrors(err, p.Stop(ctx))
	}
	in.client.Close()
	return err
}

// leave is the last step of a planned stop: it rejects further calls, waits for
// those in flight and hands the claims over.
func (in *Inbound) leave(done func()) {
	in.c.Log.Log(evLeaving).Send()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.leaving = true
	in.idle = func() {
		in.c.Log.Log(evDrained).Send()
		ctx, cancel := context.WithTimeout(context.Background(), in.s.HandoverTimeout.D())
		defer cancel()
		in.claims.Handover(ctx)
		done()
	}
	in.checkIdle()
}

// checkIdle starts the end of the planned stop once no call is in flight. The
// caller holds mu.
func (in *Inbound) checkIdle() {
	if in.active == 0 && in.idle != nil {
		go in.idle() // waits for other nodes, so it is no job of the kernel's pool
		in.idle = nil
	}
}

// enter counts a call as in flight unless the upstream leaves; draining is false
// again once a new upstream was announced. It returns the pool whose workers are the slots; nil when the upstream has none.
func (in *Inbound) enter(slots int, draining bool) (p *pool.Pool, leaving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leaving && draining {
		return nil, true
	}
	in.leaving = false
	if slots != in.slots {
		in.resize(slots)
	}
	if in.pool != nil {
		in.usage.enter(time.Now())
		in.active++
	}
	return in.pool, false
}

// resize replaces the pool; the calls of the old one are finished by it. The
// caller holds mu.
func (in *Inbound) resize(slots int) {
	if old := in.pool; old != nil {
		go func() { _ = old.Stop(context.Background()) }()
	}
	in.slots, in.pool = slots, nil
	if slots > 0 {
		in.pool = pool.New(pool.Options{
			Workers: slots, Queue: newAdmission(slots, slots*in.s.QueuePerSlot, &in.least),
			OnPanic: func(v any, stack []byte) { in.c.Fail(errors.Newf("call panicked: %v\n%s", v, stack)) },
		})
	}
	in.c.Log.Log(evSlots).Int("slots", slots).Send()
}

func (in *Inbound) exit() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.active--
	in.usage.exit(time.Now())
	in.checkIdle()
}

// rejected counts a rejection.
func (in *Inbound) rejected(reason, organisation string) {
	in.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_rejections_total{side="inbound",reason=%q,organisation=%q}`, reason, organisation)).Inc()
}
