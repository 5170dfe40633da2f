// Package inbound receives calls from other nodes, admits them to the slots of the
// upstream that this node serves, and forwards them to it. A call that is rejected
// before it starts is answered with a signed proof that it did not run.
package inbound

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/cost"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
	"github.com/celeryyard/celeryyard/plugin/lineage"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/pressure"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evListening = event.Declare(800, zerolog.InfoLevel, "listening for calls from other nodes")
	evSlots     = event.Declare(801, zerolog.InfoLevel, "upstream or its number of slots changed")
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
	c        *kernel.Context
	s        *Settings
	peer     *peer.Peer
	announce api.Announcer
	claims   *idempotency.Idempotency
	dialect  dialect.Dialect
	lineage  *lineage.Lineage // nil without that plug-in
	view     api.View         // nil without that plug-in
	cost     *cost.Cost       // nil without that plug-in
	acceptor *httpcall.Acceptor
	client   *httpcall.Client
	server   *http.Server

	dispatches *metrics.Counter
	queueTime  *metrics.Histogram

	// mu guards the fields below.
	mu *rank.Mutex
	// upstream is the current upstream, and current its slots; nil if there is none or it accepts no calls.
	upstream api.Upstream
	current  *upstreamSlots
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
	in.client = httpcall.NewClient(httpcall.ClientOptions{
		IdleTimeout: in.s.UpstreamIdle.AsDuration(), MaxIdlePerAddress: 64, DialTimeout: in.s.DialTimeout.AsDuration(), SilenceTimeout: in.s.SilenceTimeout.AsDuration(),
		Rank: rank.Admission, Dispatches: in.dispatches,
	})
	in.transfers.bytesPerSecond = in.s.LinkMbps * 1e6 / 8
	in.dialect = dialect.Native{}
	if d, ok := kernel.Find[dialect.Dialect](c, dialect.Name); ok {
		in.dialect = d
	}
	if l, ok := kernel.Find[*lineage.Lineage](c, "lineage"); ok {
		in.lineage = l
	}
	if v, ok := kernel.Find[api.View](c, "view"); ok {
		in.view = v
	}
	if p, ok := kernel.Find[*cost.Cost](c, "cost"); ok {
		in.cost = p
	}
	in.announce.OnLeave(in.leave)
	in.announce.OnUpstreamChange(in.applyUpstream)
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
	in.mu.Lock()
	u := in.current
	in.mu.Unlock()
	if u == nil {
		return nil
	}
	r := u.stats.usage.report(u.upstream.Slots, time.Now())
	if u.stats.slowdownPercent.Load() > 0 && (in.s.Ordering.IsOn(true) || in.cost.IsOn(true)) {
		r.SetStatesSlowdown()
	}
	return r
}

// Start implements kernel.Plugin.
func (in *Inbound) Start(context.Context) error {
	if in.s.Listen == "" {
		return nil
	}
	in.acceptor = &httpcall.Acceptor{Key: in.peer.Key(), Node: in.c.Instance.Name}
	l, err := net.Listen("tcp", in.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for calls from other nodes")
	}
	in.server = &http.Server{
		Handler: in, ConnContext: in.connContext,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: in.s.NodeIdle.AsDuration(), MaxHeaderBytes: httphead.MaxNodeBytes,
	}
	in.c.RunEvery("inbound/idle", idleCheckInterval, func() { in.client.CloseIdle(func(string) bool { return false }) })
	in.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	pressure.ServeHTTP(in.c, in.server, l, pressure.Nodes)
	return nil
}

// connContext is the hook of http.Server. Another node proves in the head of its first call that it belongs to the fleet; a large
// head is not limited then.
func (in *Inbound) connContext(ctx context.Context, nc net.Conn) context.Context {
	ctx = in.acceptor.ConnContext(ctx, nc)
	pressure.OnLargeHead(nc, httpcall.SessionOf(ctx).VerifyHead)
	return ctx
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
	u := in.current
	in.mu.Unlock()
	if u != nil {
		err = errors.CombineErrors(err, u.pool.Stop(ctx))
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

// beginCall counts a call for the service as in flight and returns the slots of its upstream. It counts no call and
// returns the reason for the rejection if the upstream is not of that service, or if it or the node is leaving. draining
// is the state of the announced upstream: if it is false after a planned stop, a new upstream was announced, and calls
// are accepted again.
func (in *Inbound) beginCall(service string, draining bool) (s *upstreamSlots, reason string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.upstream.Address == "":
		return nil, httpcall.ReasonNoUpstream
	case in.upstream.Service != service:
		return nil, httpcall.ReasonWrongService
	case in.current == nil || in.leaving && draining:
		return nil, httpcall.ReasonLeaving
	}
	in.leaving = false
	in.current.stats.usage.callArrived(time.Now())
	in.activeCalls++
	return in.current, ""
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

// endCall ends the count of a call as in flight at the slots s.
func (in *Inbound) endCall(s *upstreamSlots) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.activeCalls--
	s.stats.usage.callLeft(time.Now())
	in.finishIfIdle()
}

// countRejection counts a call of an organisation that this node rejected.
func (in *Inbound) countRejection(reason, organisation string) {
	in.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_rejections_total{side="inbound",reason=%q,organisation=%q}`, reason, organisation)).Inc()
}
