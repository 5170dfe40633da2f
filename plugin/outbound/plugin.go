// Package outbound takes calls from callers, chooses the route and an endpoint,
// and dispatches each call to the node beside it. Each failed call is answered
// with its verdict: whether it may have run.
package outbound

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
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
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evListening = event.Declare(750, zerolog.InfoLevel, "listening for callers")
	evEjected   = event.Declare(751, zerolog.WarnLevel, "endpoint ejected")
	evAnswered  = event.Declare(753, zerolog.InfoLevel, "call answered")
	evRefusal   = event.Declare(754, zerolog.InfoLevel, "call not answered by an upstream")
	evRetry     = event.Declare(755, zerolog.InfoLevel, "dispatch failed; the call is sent again")
	evCut       = event.Declare(752, zerolog.WarnLevel, "response was cut; the caller's connection is aborted")
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// idleCheck is the interval at which expired idle connections are closed.
const idleCheck = 10 * time.Second

// readHeaderTimeout bounds the reading of request headers.
const readHeaderTimeout = 10 * time.Second

// Outbound is the plug-in.
type Outbound struct {
	c     *kernel.Context
	s     *Settings
	view  api.View
	peer  *peer.Peer
	table *table
	// dialect translates the headers of callers.
	dialect dialect.Dialect
	classes classes
	client  *httpcall.Client
	pool    *pool.Pool
	server  *http.Server
	// started is set once client can be used by other goroutines: the view may
	// change before Start.
	started atomic.Bool
	last    *resource.Snapshot // used by changed only

	// byOrganisation is replaced as a whole when an organisation is added.
	byOrganisation atomic.Pointer[map[string]*callMetrics]
	dispatches     *metrics.Counter
	ejections      *metrics.Counter
	queueTime      *metrics.Histogram
}

// callMetrics counts the calls of one organisation.
type callMetrics struct{ ran, notRun, mayHaveRun, retries *metrics.Counter }

func newOutbound(c *kernel.Context) *Outbound {
	view := kernel.Use[api.View](c, "view")
	o := &Outbound{
		c: c, s: c.Settings.(*Settings), view: view, peer: kernel.Use[*peer.Peer](c, "peer"),
		table:   newTable(c.Instance.AvailabilityZone, c.Instance.Name, view.Current, c.Rand()),
		dialect: dialect.Native{}, classes: classes{means: map[string]usage{}},
		dispatches: c.Metrics.NewCounter(`celeryyard_dispatches_total{side="outbound"}`),
		ejections:  c.Metrics.NewCounter("celeryyard_ejections_total"),
		queueTime:  c.Metrics.NewHistogram(`celeryyard_queue_seconds{side="outbound"}`),
	}
	c.Metrics.NewGauge("celeryyard_way_seconds", func() float64 { return o.table.travelTime().Seconds() })
	if d, ok := kernel.Find[dialect.Dialect](c, dialect.Name); ok {
		o.dialect = d
	}
	if o.s.RetryRatio > 0 {
		o.table.shared = true
		o.table.allowance = Allowance{Ratio: o.s.RetryRatio, Least: o.s.RetryAllowance, Window: o.s.RetryWindow.D()}
	}
	o.byOrganisation.Store(&map[string]*callMetrics{})
	o.view.Watch(o.changed)
	if s, ok := kernel.Find[*session.Session](c, "session"); ok {
		s.OnLoads(
			func() []string { return o.table.called(time.Now()) },
			func(list []peerapi.ServiceLoads) { o.table.learn(list, time.Now()) })
	}
	return o
}

// Start implements kernel.Plugin.
func (o *Outbound) Start(context.Context) error {
	if o.s.Listen == "" {
		return nil
	}
	o.client = httpcall.NewClient(httpcall.ClientOptions{
		Authenticate: true, Key: o.peer.Key(), IdleTimeout: o.s.ClientIdle.D(), MaxIdle: o.s.MaxIdle,
		DialTimeout: o.s.DialTimeout.D(), SilenceTimeout: o.s.SilenceTimeout.D(), Rank: rank.Routing, Dispatches: o.dispatches,
	})
	o.started.Store(true)
	l, err := net.Listen("tcp", o.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	o.pool = pool.New(pool.Options{
		Workers: o.s.Workers, Queue: pool.NewKeyedFIFO(o.s.Queue),
		OnPanic: func(v any, stack []byte) { o.c.Fail(errors.Newf("call panicked: %v\n%s", v, stack)) },
	})
	o.server = &http.Server{
		Handler: o, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: o.s.CallerIdle.D(), MaxHeaderBytes: httphead.MaxBytes,
	}
	o.c.Every("outbound/idle", idleCheck, func() { o.client.CloseIdle(func(string) bool { return false }) })
	o.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	o.c.Serve(o.server, l)
	return nil
}

// Stop implements kernel.Plugin. Calls in progress are finished.
func (o *Outbound) Stop(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	err := o.server.Shutdown(ctx)
	err = errors.CombineErrors(err, o.pool.Stop(ctx))
	o.client.Close()
	return err
}

// changed takes over a new snapshot and closes idle connections to endpoints that
// drain or are gone. The view calls it for one snapshot at a time.
func (o *Outbound) changed(s *resource.Snapshot) {
	o.table.apply(s, time.Now())
	before := o.last
	o.last = s
	if !o.started.Load() || before == nil {
		return
	}
	if leaving := leaving(before.Sets, s.Sets); len(leaving) > 0 {
		o.client.CloseIdle(func(address string) bool { return leaving[address] })
	}
}

// ServeHTTP handles one call. It implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.c.Stopping() {
		w.Header().Set("Connection", "close")
	}
	asked, err := o.dialect.ReadCall(r.Header)
	c := &call{o: o, w: w, r: r, id: asked.ID, begin: time.Now()}
	if err != nil {
		c.refuse(http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	if asked.Timeout > 0 {
		c.deadline = c.begin.Add(asked.Timeout)
	}
	snapshot := o.view.Current()
	if snapshot == nil || len(snapshot.Routes) == 0 {
		c.refuse(http.StatusServiceUnavailable, verdict.NotRun, "this node holds no configuration yet")
		return
	}
	c.version = snapshot.Version
	c.route = snapshot.Table.Find(r.Method, r.Host, r.URL.Path)
	if c.route == nil || r.Method == http.MethodConnect {
		c.refuse(http.StatusNotFound, verdict.NotRun, "no route matches the request")
		return
	}
	c.cluster, c.m = snapshot.Clusters[o.table.part(c.route)], o.metricsOf(c.route.Organisation)
	if err := c.prepare(asked.Timeout); err != nil {
		w.Header().Set("Connection", "close")
		c.refuse(http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	defer c.body.Release()
	c.queued = time.Now()
	err = httpcall.Run(r.Context(), o.pool, c.route.Organisation, c.deadline, c.run)
	if err != nil {
		if !c.body.Whole() {
			w.Header().Set("Connection", "close")
		}
		c.refuse(http.StatusServiceUnavailable, verdict.NotRun, fmt.Sprintf("no worker took the call: %v", err))
		return
	}
	if c.aborted {
		if !r.ProtoAtLeast(1, 1) {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// reset ends the connection of a caller that knows no chunks: without a length only a
// reset tells it that the answer was cut.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// prepare sets the deadline and reads the kept part of the body. wait is how long
// the caller waits; 0 when it does not say.
func (c *call) prepare(wait time.Duration) error {
	timeout := c.route.Timeout()
	if wait > 0 {
		timeout = min(timeout, wait)
	}
	c.deadline = c.begin.Add(timeout)
	if keys := c.r.Header[httpcall.HeaderKey]; len(keys) > 0 && !idempotent(c.r.Method, false) {
		if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
			return errors.Newf("%s must be one value of 1 to %d bytes", httpcall.HeaderKey, maxKeyBytes)
		}
		c.key = strings.Clone(keys[0])
	}
	var err error
	c.body, err = httpcall.ReadBody(c.w, c.r, c.deadline)
	return err
}

// rejected counts a rejection by another node.
func (o *Outbound) rejected(reason string) {
	o.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_rejections_total{side="outbound",reason=%q}`, reason)).Inc()
}

func (o *Outbound) metricsOf(organisation string) *callMetrics {
	if m := (*o.byOrganisation.Load())[organisation]; m != nil {
		return m
	}
	counter := func(v verdict.Verdict) *metrics.Counter {
		return o.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_calls_total{verdict=%q,organisation=%q}`, v.String(), organisation))
	}
	m := &callMetrics{
		ran: counter(verdict.Ran), notRun: counter(verdict.NotRun), mayHaveRun: counter(verdict.MayHaveRun),
		retries: o.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_retries_total{organisation=%q}`, organisation)),
	}
	for {
		old := o.byOrganisation.Load()
		next := make(map[string]*callMetrics, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[organisation] = m
		if o.byOrganisation.CompareAndSwap(old, &next) {
			return m
		}
	}
}
