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
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

var (
	evListening = event.Declare(750, zerolog.InfoLevel, "listening for callers")
	evEjected   = event.Declare(751, zerolog.WarnLevel, "endpoint ejected")
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
	c      *kernel.Context
	s      *Settings
	view   api.View
	peer   *peer.Peer
	table  *table
	client *httpcall.Client
	pool   *pool.Pool
	server *http.Server
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
		table:      newTable(c.Instance.AvailabilityZone, view.Current, c.Rand()),
		dispatches: c.Metrics.NewCounter(`celeryyard_dispatches_total{side="outbound"}`),
		ejections:  c.Metrics.NewCounter("celeryyard_ejections_total"),
		queueTime:  c.Metrics.NewHistogram(`celeryyard_queue_seconds{side="outbound"}`),
	}
	o.byOrganisation.Store(&map[string]*callMetrics{})
	o.view.Watch(o.changed)
	return o
}

// Start implements kernel.Plugin.
func (o *Outbound) Start(context.Context) error {
	if o.s.Listen == "" {
		return nil
	}
	o.client = httpcall.NewClient(httpcall.ClientOptions{
		Authenticate: true, Key: o.peer.Key(), IdleTimeout: o.s.ClientIdle.D(), MaxIdle: o.s.MaxIdle,
		DialTimeout: o.s.DialTimeout.D(), Rank: rank.Routing, Dispatches: o.dispatches,
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
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: o.s.CallerIdle.D()}
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
	snapshot := o.view.Current()
	if snapshot == nil {
		refuse(w, http.StatusServiceUnavailable, verdict.NotRun, "this node holds no configuration yet")
		return
	}
	route := snapshot.Table.Find(r.Method, r.Host, r.URL.Path)
	if route == nil || r.Method == http.MethodConnect {
		refuse(w, http.StatusNotFound, verdict.NotRun, "no route matches the request")
		return
	}
	c := &call{o: o, w: w, r: r, route: route, cluster: snapshot.Clusters[route.Cluster], m: o.metricsOf(route.Organisation)}
	if err := c.prepare(); err != nil {
		c.m.notRun.Inc()
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	defer c.body.Release()
	c.queued = time.Now()
	err := httpcall.Run(r.Context(), o.pool, route.Organisation, c.deadline, c.run)
	if err != nil {
		c.m.notRun.Inc()
		if !c.body.Whole() {
			w.Header().Set("Connection", "close")
		}
		refuse(w, http.StatusServiceUnavailable, verdict.NotRun, fmt.Sprintf("no worker took the call: %v", err))
		return
	}
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// prepare reads the caller's limits and the kept part of the body.
func (c *call) prepare() error {
	timeout := c.route.Timeout()
	if v := c.r.Header.Get(httpcall.HeaderTimeout); v != "" {
		d, err := httpcall.ParseTimeout(v)
		if err != nil {
			return err
		}
		timeout = min(timeout, d)
	}
	c.deadline = time.Now().Add(timeout)
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
