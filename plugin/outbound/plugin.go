// Package outbound accepts calls from callers, selects a route and an endpoint for each one,
// and dispatches it to the node of that endpoint. The error response to a failed call states
// whether the call may have run.
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

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/httpserve"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/callers"
	"github.com/celeryyard/celeryyard/plugin/cost"
	"github.com/celeryyard/celeryyard/plugin/limiter"
	"github.com/celeryyard/celeryyard/plugin/lineage"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/pressure"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evListening     = event.Declare(750, zerolog.InfoLevel, "listening for callers")
	evEjected       = event.Declare(751, zerolog.WarnLevel, "endpoint ejected")
	evAnswered      = event.Declare(753, zerolog.InfoLevel, "call answered")
	evErrorResponse = event.Declare(754, zerolog.InfoLevel, "call not answered by an upstream")
	evRetry         = event.Declare(755, zerolog.InfoLevel, "dispatch failed; the call is sent again")
	evService       = event.Declare(756, zerolog.InfoLevel, "service of the upstream beside this node changed")
	evResponseCut   = event.Declare(752, zerolog.WarnLevel, "response was cut; the caller's connection is aborted")
)

// maxKeyBytes bounds the length of an Idempotency-Key. Calls with a longer key are refused.
const maxKeyBytes = 255

// idleCheckInterval is the interval at which expired idle connections are closed.
const idleCheckInterval = 10 * time.Second

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Outbound is the plug-in that dispatches the calls of callers.
type Outbound struct {
	c     *kernel.Context
	s     *Settings
	view  api.View
	peer  *peer.Peer
	table *table
	// service is the setting Service, which may change while the process runs.
	service atomic.Pointer[string]
	// dialect translates the headers of calls and of error responses.
	dialect    dialect.Dialect
	routeStats routeStats
	client     *httpcall.Client
	pool       *pool.Pool
	server     *httpserve.Server
	// cost learns the work of calls; nil without that plug-in.
	cost *cost.Cost
	// timeouts and refusals are used only while the order of service is on.
	timeouts usualTimeouts
	refusals refusals
	// lineage relates calls of the upstream to the requests that it runs; nil without that plug-in.
	lineage *lineage.Lineage
	// callers identifies calling teams. Without that plug-in, which is nil then, no call is served if the configuration
	// has calling teams.
	callers *callers.Callers
	// limiter admits the calls of teams with a rate limit; nil without that plug-in.
	limiter *limiter.Limiter
	// pressure limits the memory of the callers' connections; nil without that plug-in.
	pressure *pressure.Pressure
	// started is set once client is ready. Until then applySnapshot, which the view may call before
	// Start, must not use client.
	started      atomic.Bool
	lastSnapshot *resource.Snapshot // used only by applySnapshot

	// metricsByOrganisation points to a map that is never modified: adding an organisation replaces
	// it by a larger copy.
	metricsByOrganisation atomic.Pointer[map[string]*callMetrics]
	// configurationAge returns how long ago the configuration is known to have been the newest one; nil without the
	// plug-in session, whose view is then taken as current.
	configurationAge func() (age time.Duration, known bool)
	// awaitAfterPause blocks calls while the configuration has not been confirmed since a pause of this process; nil
	// without the plug-in session.
	awaitAfterPause func(context.Context)
	// routesDenied and routesUncertain count the calls without a route that were answered with 404 and 503.
	routesDenied, routesUncertain *metrics.Counter
	dispatches                    *metrics.Counter
	ejections                     *metrics.Counter
	queueTime                     *metrics.Histogram
}

// callMetrics counts the calls of one organisation by verdict, and their retries.
type callMetrics struct{ ran, notRun, mayHaveRun, retries *metrics.Counter }

func newOutbound(c *kernel.Context) *Outbound {
	view := kernel.MustFind[api.View](c, "view")
	o := &Outbound{
		c: c, s: c.Settings.(*Settings), view: view, peer: kernel.MustFind[*peer.Peer](c, "peer"),
		table:   newTable(c.Instance.AvailabilityZone, c.Instance.Name, view.Current, c.NewRand()),
		dialect: dialect.Native{}, routeStats: routeStats{byRoute: map[string]routeMeans{}},
		dispatches:      c.Metrics.NewCounter(`celeryyard_dispatches_total{side="outbound"}`),
		ejections:       c.Metrics.NewCounter("celeryyard_ejections_total"),
		routesDenied:    c.Metrics.NewCounter(`celeryyard_route_misses_total{answer="denied"}`),
		routesUncertain: c.Metrics.NewCounter(`celeryyard_route_misses_total{answer="uncertain"}`),
		queueTime:       c.Metrics.NewHistogram(`celeryyard_queue_seconds{side="outbound"}`),
	}
	c.Metrics.NewGauge("celeryyard_way_seconds", func() float64 { return o.table.smoothedRTT().Seconds() })
	if d, ok := kernel.Find[dialect.Dialect](c, dialect.Name); ok {
		o.dialect = d
	}
	if p, ok := kernel.Find[*cost.Cost](c, "cost"); ok {
		o.cost = p
	}
	o.service.Store(&o.s.Service)
	if o.s.RetryRatio > 0 {
		o.table.minIsShared = true
		o.table.allowance = Allowance{Ratio: o.s.RetryRatio, MinRetries: o.s.RetryAllowance, Window: o.s.RetryWindow.AsDuration()}
	}
	if l, ok := kernel.Find[*lineage.Lineage](c, "lineage"); ok {
		o.lineage = l
		l.SetRetryRoom(o.table.hasRetryRoom)
	}
	if p, ok := kernel.Find[*callers.Callers](c, "callers"); ok {
		o.callers = p
	}
	if l, ok := kernel.Find[*limiter.Limiter](c, "limiter"); ok {
		o.limiter = l
	}
	o.pressure, _ = kernel.Find[*pressure.Pressure](c, "pressure")
	o.metricsByOrganisation.Store(&map[string]*callMetrics{})
	o.view.Watch(o.applySnapshot)
	if s, ok := kernel.Find[*session.Session](c, "session"); ok {
		o.configurationAge, o.awaitAfterPause = s.ConfigurationAge, s.AwaitAfterPause
		s.SetLoadCallbacks(
			func() []string { return o.table.recentServices(time.Now()) },
			func(list []peerapi.ServiceLoads) { o.table.applyReports(list, time.Now()) })
		s.SetRolloutCallbacks(session.RolloutCallbacks{
			Rules:   func(m *peerapi.Rollouts) uint64 { return o.table.applyRules(m, time.Now()) },
			Reports: o.table.rolloutReports,
			Permits: o.table.applyPermits,
		})
	}
	return o
}

// Start implements kernel.Plugin.
func (o *Outbound) Start(context.Context) error {
	if o.s.Listen == "" {
		return nil
	}
	o.client = httpcall.NewClient(httpcall.ClientOptions{
		Authenticate: true, Key: o.peer.Key(), IdleTimeout: o.s.ClientIdle.AsDuration(), MaxIdlePerAddress: o.s.MaxIdleConnsPerEndpoint,
		DialTimeout: o.s.DialTimeout.AsDuration(), SilenceTimeout: o.s.SilenceTimeout.AsDuration(), Rank: rank.Routing, Dispatches: o.dispatches,
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
	o.server = &httpserve.Server{
		Handler: o, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: o.s.CallerIdle.AsDuration(), MaxHeaderBytes: httphead.MaxBytes,
		MayOverlap: func(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead },
		IsClosing:  o.c.IsStopping,
		Limits:     o.pressure.RequestLimits(httphead.MaxBytes), KeptBodyBytes: httpcall.MaxKeptBytes + 1, OnRefusal: o.refuseRequest,
		OnPanic: func(v any, stack []byte) { o.c.Fail(errors.Newf("call panicked: %v\n%s", v, stack)) },
	}
	if o.pressure != nil {
		o.server.OpenAccount = func(shed func(account.Phase)) (account.Connection, error) {
			c, err := o.pressure.Open(pressure.Callers, shed)
			if err != nil {
				return nil, err
			}
			return c, nil
		}
	}
	o.c.RunEvery("outbound/idle", idleCheckInterval, func() { o.client.CloseIdle(func(string) bool { return false }) })
	o.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	o.c.Serve(o.server, l)
	return nil
}

// refuseRequest counts a request that was refused for a limit of heads or of memory, and returns the header of the response. The
// request was not passed on.
func (o *Outbound) refuseRequest(e *account.LimitError) http.Header {
	o.pressure.CountRefusal(e)
	h := http.Header{}
	o.dialect.WriteErrorResponse(h, dialect.ErrorResponse{Status: e.Status, Verdict: verdict.NotRun, RetryAfter: e.RetryAfter, Text: e.Error()})
	return h
}

// Reload implements kernel.Reloader. It applies the service.
func (o *Outbound) Reload(s any) {
	next := s.(*Settings)
	if before := o.service.Swap(&next.Service); *before != next.Service {
		o.c.Log.Log(evService).Str("service", next.Service).Str("before", *before).Send()
	}
}

// Stop implements kernel.Plugin. It waits for calls in progress.
func (o *Outbound) Stop(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	err := o.server.Shutdown(ctx)
	err = errors.CombineErrors(err, o.pool.Stop(ctx))
	o.client.Close()
	return err
}

// applySnapshot applies a new snapshot and closes idle connections to endpoints that are draining
// or gone. The view calls it for one snapshot at a time.
func (o *Outbound) applySnapshot(s *resource.Snapshot) {
	o.table.applySnapshot(s, time.Now())
	before := o.lastSnapshot
	o.lastSnapshot = s
	if !o.started.Load() || before == nil {
		return
	}
	if gone := leavingAddresses(before.Sets, s.Sets); len(gone) > 0 {
		o.client.CloseIdle(func(address string) bool { return gone[address] })
	}
}

// ServeHTTP handles one call. It implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	info, err := o.dialect.ReadCall(r.Header)
	c := &call{o: o, w: w, r: r, id: info.ID, startedAt: time.Now()}
	if err != nil {
		c.respondError(http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	if c.timeout = info.Timeout; c.timeout > 0 {
		c.deadline = c.startedAt.Add(c.timeout)
	}
	if o.awaitAfterPause != nil {
		o.awaitAfterPause(r.Context())
	}
	snapshot := o.view.Current()
	if !c.findRoute(snapshot) {
		return
	}
	if snapshot = c.identify(snapshot, info.APIKey); snapshot == nil {
		return
	}
	if stop, stopping := o.c.StopSchedule(); stopping && !mayBegin(c.startedAt, c.deadline, stop, o.routeStats.meanDuration(c.route.Name)) {
		c.respondError(http.StatusServiceUnavailable, verdict.NotRun, errStopping.Error())
		return
	}
	c.priority = c.route.Priority
	if !c.admitTeam() {
		return
	}
	c.cluster, c.metrics = snapshot.Clusters[o.table.chooseCluster(c.route)], o.metricsOf(c.route.Organisation)
	if err := c.prepare(info.Keys); err != nil {
		w.Header().Set("Connection", "close")
		status := http.StatusBadRequest
		var limit *account.LimitError
		switch {
		case httpcall.IsSlowBody(err):
			status = http.StatusRequestTimeout
		case errors.As(err, &limit):
			status = limit.Status
		}
		c.respondError(status, verdict.NotRun, err.Error())
		return
	}
	defer c.body.Release()
	c.relate()
	c.queuedAt = time.Now()
	job := pool.Job{Group: c.route.Organisation, Deadline: c.deadline}
	limits := httpcall.WaitLimits{Stopping: o.c.Stopping(), LatestStart: func() time.Time { return c.latestStart(time.Now()) }}
	err = httpcall.RunJob(r.Context(), o.pool, job, limits, c.run)
	c.recordNested(err)
	if err != nil {
		if !c.body.IsFullyKept() {
			w.Header().Set("Connection", "close")
		}
		c.respondError(http.StatusServiceUnavailable, verdict.NotRun, fmt.Sprintf("no worker was available for the call: %v", err))
		return
	}
	if c.aborted {
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection resets the connection of an HTTP/1.0 caller. HTTP/1.0 has no chunked encoding, so
// only a reset shows that a response without a Content-Length is incomplete.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// setDeadline sets the deadline from the timeout of the route and that of the caller.
func (c *call) setDeadline() {
	timeout := c.route.Timeout()
	if c.timeout > 0 {
		timeout = min(timeout, c.timeout)
	}
	c.deadline = c.startedAt.Add(timeout)
}

// prepare sets the URL of the dispatches and the idempotency key, and reads the part of the body that is
// kept for retries. A call that may run more than once needs no key.
func (c *call) prepare(keys []string) error {
	var err error
	if c.url, err = httpcall.ForwardedURL(c.r.URL); err != nil {
		return err
	}
	if len(keys) > 0 && !isIdempotent(c.r.Method, c.route.Idempotent) {
		if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
			return errors.Newf("%s must have exactly one value of 1 to %d bytes", httpcall.HeaderIdempotencyKey, maxKeyBytes)
		}
		c.key = strings.Clone(keys[0])
	}
	c.body, err = httpcall.ReadBody(c.w, c.r, c.deadline)
	return err
}

// countRejection counts a call that the node of an endpoint rejected.
func (o *Outbound) countRejection(reason string) {
	o.c.Metrics.GetOrCreateCounter(fmt.Sprintf(`celeryyard_rejections_total{side="outbound",reason=%q}`, reason)).Inc()
}

// metricsOf returns the metrics of an organisation and creates them on first use.
func (o *Outbound) metricsOf(organisation string) *callMetrics {
	if m := (*o.metricsByOrganisation.Load())[organisation]; m != nil {
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
		old := o.metricsByOrganisation.Load()
		next := make(map[string]*callMetrics, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[organisation] = m
		if o.metricsByOrganisation.CompareAndSwap(old, &next) {
			return m
		}
	}
}
