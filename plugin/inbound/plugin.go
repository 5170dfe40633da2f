// Package inbound receives calls from other nodes, admits them to the slots of the
// upstream that this node serves, and forwards them to it. A call that is rejected
// before it starts is answered with a signed proof that it did not run.
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
	"github.com/celeryyard/celeryyard/plugin/lineage"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evListening = event.Declare(800, zerolog.InfoLevel, "listening for calls from other nodes")
	evSlots     = event.Declare(801, zerolog.InfoLevel, "number of upstream slots changed")
	evCut       = event.Declare(802, zerolog.WarnLevel, "response of the upstream was truncated")
	evLeaving   = event.Declare(803, zerolog.InfoLevel, "rejecting calls because the upstream is leaving")
	evRejected  = event.Declare(805, zerolog.InfoLevel, "call rejected before it ran")
	evFailed    = event.Declare(806, zerolog.InfoLevel, "dispatch to the upstream failed")
	evKeyed     = event.Declare(807, zerolog.InfoLevel, "call with an Idempotency-Key decided")
	evDrained   = event.Declare(804, zerolog.InfoLevel, "all calls in flight have ended")
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// stopGracePeriod is how long the listener stays open after the planned stop of the upstream. Nodes
// whose view still shows the endpoint as ready may send calls in this time; each is rejected with a
// proof that it did not run.
const stopGracePeriod = 200 * time.Millisecond

// idleCheckInterval is the interval at which expired idle connections are closed.
const idleCheckInterval = 2 * time.Second

// Inbound is the plug-in that receives calls for this node's upstream.
type Inbound struct {
	c            *kernel.Context
	s            *Settings
	peer         *peer.Peer
	announce     api.Announcer
	claims       *idempotency.Idempotency
	dialect      dialect.Dialect
	lineage      *lineage.Lineage // nil without that plug-in
	acceptor     *httpcall.Acceptor
	client       *httpcall.Client
	server       *http.Server
	minRun       minRunEstimate
	usage        usage
	reportedLoad atomic.Uint64 // load that the upstream reported, as bits of a float64

	dispatches *metrics.Counter
	queueTime  *metrics.Histogram

	// mu guards the fields below.
	mu *rank.Mutex
	// slots is the number of workers of pool, which is nil if slots is 0.
	slots int
	pool  *pool.Pool
	// activeCalls is the number of calls in flight.
	activeCalls int
	// leaving is set by the planned stop, after which calls are rejected.
	leaving bool
	// transfers holds the large bodies that are being received.
	transfers transfers
	// onIdle completes the planned stop when no call is in flight; nil if no stop is in progress.
	onIdle func()
}

func newInbound(c *kernel.Context) *Inbound {
	in := &Inbound{
		c: c, s: c.Settings.(*Settings), peer: kernel.MustFind[*peer.Peer](c, "peer"),
		announce: kernel.MustFind[api.Announcer](c, "announce"), claims: kernel.MustFind[*idempotency.Idempotency](c, "idempotency"),
		mu:         rank.NewMutex(rank.Admission),
		dispatches: c.Metrics.NewCounter(`celeryyard_dispatches_total{side="inbound"}`),
		queueTime:  c.Metrics.NewHistogram(`celeryyard_queue_seconds{side="inbound"}`),
	}
	in.transfers.bytesPerSecond = in.s.LinkMbps * 1e6 / 8
	in.dialect = dialect.Native{}
	if d, ok := kernel.Find[dialect.Dialect](c, dialect.Name); ok {
		in.dialect = d
	}
	if l, ok := kernel.Find[*lineage.Lineage](c, "lineage"); ok {
		in.lineage = l
	}
	in.announce.OnLeave(in.leave)
	if s, ok := kernel.Find[*session.Session](c, "session"); ok {
		s.SetLoadReporter(in.loadReport)
	}
	c.Metrics.NewGauge("celeryyard_inbound_active_calls", func() float64 {
		in.mu.Lock()
		defer in.mu.Unlock()
		return float64(in.activeCalls)
	})
	return in
}

// loadReport returns the load report of the upstream for other nodes; nil if there is no upstream.
func (in *Inbound) loadReport() *peerapi.LoadReport {
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
		IdleTimeout: in.s.UpstreamIdle.AsDuration(), MaxIdlePerAddress: 64, DialTimeout: in.s.DialTimeout.AsDuration(), SilenceTimeout: in.s.SilenceTimeout.AsDuration(),
		Rank: rank.Admission, Dispatches: in.dispatches,
	})
	l, err := net.Listen("tcp", in.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for calls from other nodes")
	}
	in.server = &http.Server{
		Handler: in, ConnContext: in.acceptor.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: in.s.NodeIdle.AsDuration(), MaxHeaderBytes: httphead.MaxNodeBytes,
	}
	in.c.RunEvery("inbound/idle", idleCheckInterval, func() { in.client.CloseIdle(func(string) bool { return false }) })
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
		case <-time.After(stopGracePeriod):
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

// leave is the last step of a planned stop. From then on calls are rejected. Once the calls in
// flight have ended, it hands the claims over to other nodes and calls done.
func (in *Inbound) leave(done func()) {
	in.c.Log.Log(evLeaving).Send()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.leaving = true
	in.onIdle = func() {
		in.c.Log.Log(evDrained).Send()
		ctx, cancel := context.WithTimeout(context.Background(), in.s.HandoverTimeout.AsDuration())
		defer cancel()
		in.claims.Handover(ctx)
		done()
	}
	in.finishIfIdle()
}

// finishIfIdle completes the planned stop if no call is in flight. mu must be held.
func (in *Inbound) finishIfIdle() {
	if in.activeCalls == 0 && in.onIdle != nil {
		go in.onIdle() // waits for other nodes, so it must not occupy a worker of the kernel's pool
		in.onIdle = nil
	}
}

// beginCall counts a call as in flight and returns the pool whose workers are the slots; nil if the
// upstream has no slots. It counts no call and returns leaving if the upstream has left. draining
// is the state of the announced upstream: if it is false after a planned stop, a new upstream was
// announced, and calls are accepted again.
func (in *Inbound) beginCall(slots int, draining bool) (p *pool.Pool, leaving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leaving && draining {
		return nil, true
	}
	in.leaving = false
	if slots != in.slots {
		in.replacePool(slots)
	}
	if in.pool != nil {
		in.usage.callArrived(time.Now())
		in.activeCalls++
	}
	return in.pool, false
}

// replacePool replaces the pool by one with the given number of slots. The old pool finishes its
// calls. mu must be held.
func (in *Inbound) replacePool(slots int) {
	if old := in.pool; old != nil {
		go func() { _ = old.Stop(context.Background()) }()
	}
	in.slots, in.pool = slots, nil
	if slots > 0 {
		in.pool = pool.New(pool.Options{
			Workers: slots, Queue: newAdmission(slots, slots*in.s.QueuePerSlot, &in.minRun),
			OnPanic: func(v any, stack []byte) { in.c.Fail(errors.Newf("call panicked: %v\n%s", v, stack)) },
		})
	}
	in.c.Log.Log(evSlots).Int("slots", slots).Send()
}

// beginTransfer decides whether the body of a call that waits to be accepted before it sends the body
// is received. counted is to be passed to endTransfer. A body from this node itself does not use the
// link.
func (in *Inbound) beginTransfer(c *call) (counted int64, ok bool) {
	if !httpcall.AwaitsAcceptance(c.r) || isSameHost(c.r.RemoteAddr, in.s.Listen) {
		return 0, true
	}
	limit := transferLimit(c.info.TargetLatency, c.info.RemainingWait, time.Until(c.deadline))
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.transfers.begin(c.r.ContentLength, limit)
}

func (in *Inbound) endTransfer(counted int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.transfers.end(counted)
}

// isSameHost reports whether two addresses IP:port have the same IP.
func isSameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// endCall ends the count of a call as in flight.
func (in *Inbound) endCall() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.activeCalls--
	in.usage.callLeft(time.Now())
	in.finishIfIdle()
}

// countRejection counts a call of an organisation that this node rejected.
func (in *Inbound) countRejection(reason, organisation string) {
	in.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_rejections_total{side="inbound",reason=%q,organisation=%q}`, reason, organisation)).Inc()
}
