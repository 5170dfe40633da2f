package outbound

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// call is one call of a caller. It is used by one goroutine at a time: that of
// the caller's connection, then a worker, then the former again.
type call struct {
	o       *Outbound
	w       http.ResponseWriter
	r       *http.Request
	route   *resource.Route
	cluster *resource.Cluster
	// id names the call in logs; empty when the caller gave none.
	id       string
	version  resource.Version
	begin    time.Time
	deadline time.Time
	body     *httpcall.Body
	// key is the Idempotency-Key of a call that must run at most once over repeats.
	key string
	m   *callMetrics
	// stage is that of the next offer, busy lists the endpoints that had no free slot.
	stage int
	busy  []*endpoint
	// offers counts the dispatches that no upstream has received, arrivals the others.
	offers, arrivals int
	// last is the node of the newest dispatch.
	last string
	// mayHaveRun is set once an attempt may have run; a later proof that another
	// attempt did not run does not take it back.
	mayHaveRun bool
	// aborted means that the answer was begun and cannot be completed.
	aborted bool
	queued  time.Time
	// url, call and tried are parts of dispatches, kept here to save allocations. There is
	// room in tried for all dispatches of a call.
	url   url.URL
	call  httpcall.Call
	tried [resource.MaxAttempts + maxOffers]*endpoint
}

var errNoEndpoint = errors.New("no endpoint of the service can take the call or has room for it")

// run dispatches the call until it is answered. It runs on a worker.
func (c *call) run() {
	now := time.Now()
	c.o.queueTime.Update(now.Sub(c.queued).Seconds())
	c.o.table.begin(c.cluster, now)
	tried := c.tried[:0]
	if hopeless(c.deadline.Sub(now), c.o.classes.mean(c.route.Name)) {
		c.fail(httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errHopeless))
		return
	}
	last := httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errNoEndpoint)
	for {
		e, to := c.choose(tried)
		if e == nil {
			break
		}
		f := c.attempt(e, to)
		if f == nil {
			return
		}
		last = f
		if !c.again(f) {
			break
		}
		// The only endpoint of a set is tried again after a cut.
		if len(tried) < cap(tried) && (f.Kind != httpcall.KindCut || len(c.endpoints().Endpoints) > 1) {
			tried = append(tried, e)
		}
		c.m.retries.Inc()
		c.logRetry(f, to.Node)
	}
	c.fail(last)
}

// again decides whether the call is dispatched once more after f.
func (c *call) again(f *httpcall.Failure) bool {
	c.mayHaveRun = c.mayHaveRun || f.Verdict() != verdict.NotRun
	if arrived(f) {
		c.arrivals++
	} else {
		c.offers++
	}
	idem := c.key == "" && !c.route.AtMostOnce && idempotent(c.r.Method, c.route.Idempotent)
	if c.key != "" || c.offers >= maxOffers || !mayRetry(f, idem, c.body.CanSend(), c.arrivals, c.route.MaxAttempts) {
		return false
	}
	now := time.Now()
	if c.arrivals == 0 {
		return true
	}
	// An attempt that cannot end in time would only take a slot from another call.
	if c.deadline.Sub(now) < c.o.classes.mean(c.route.Name)/2 {
		return false
	}
	return c.o.table.retry(c.cluster, now)
}

func (c *call) logRetry(f *httpcall.Failure, node string) {
	if c.id == "" {
		return
	}
	reason := f.Reason
	if reason == "" {
		reason = f.Err.Err.Error()
	}
	c.o.c.Log.Log(evRetry).Str("id", c.id).Str("route", c.route.Name).Str("endpoint", node).Str("kind", f.Kind.String()).
		Str("reason", reason).Str("verdict", f.Verdict().String()).Int("offers", c.offers).Int("arrivals", c.arrivals).Send()
}

// endpoints returns the current set of the service, which may be newer than the
// call's route.
func (c *call) endpoints() *resource.EndpointSet {
	if set := c.o.view.Current().Sets[c.cluster.Service]; set != nil {
		return set
	}
	return &resource.EndpointSet{}
}

// attempt makes one dispatch and forwards its answer. It returns nil once the
// answer was begun.
func (c *call) attempt(e *endpoint, to httpcall.Target) *httpcall.Failure {
	header := make(http.Header, len(c.r.Header)+4)
	httpcall.Forward(header, c.r.Header)
	c.o.dialect.Shorten(header)
	c.url = *c.r.URL
	c.url.Scheme, c.url.Host, c.url.User = "", "", nil
	c.call.Service, c.call.Organisation = c.cluster.Service, c.route.Organisation
	c.call.ID, c.call.Caller, c.call.Priority, c.call.Target = c.id, c.o.s.Service, c.route.Priority, c.route.Target()
	c.call.Patience = c.patience(e)
	c.last = to.Node
	sent := time.Now()
	x, f := c.o.client.Do(c.r.Context(), &httpcall.Request{
		To:   to,
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Call: &c.call, Body: c.body, Deadline: c.deadline, Unblock: c.unblock, Buffer: c.o.s.BufferBytes,
		Decided: reportsFailure,
	})
	if f == nil {
		f = c.reported(x)
	}
	if f != nil {
		c.settle(e, to.Node, outcome(f))
		if f.Kind == httpcall.KindRejected {
			c.o.rejected(f.Reason)
			c.noRoom(e, f)
		}
		return f
	}
	if load, ok := httpcall.ParseLoad(x.Response.Header.Get(httpcall.HeaderLoad)); ok {
		c.o.table.loaded(e, load.Busy, time.Now())
		c.o.table.travelled(e, time.Since(sent)-load.Spent)
	}
	if x.Response.StatusCode < http.StatusInternalServerError {
		relative := c.o.classes.observe(c.route.Name, time.Since(sent), c.bytes(x.Response))
		c.o.table.took(e, relative)
	}
	if c.forward(x) {
		c.settle(e, to.Node, OutcomeAnswer)
	} else {
		c.settle(e, to.Node, OutcomeFailure)
	}
	return nil
}

// headBytes stands for the heads of a request and its answer.
const headBytes = 700

// bytes is the length of the request and its answer on the way between nodes.
func (c *call) bytes(r *http.Response) int64 {
	return headBytes + max(r.ContentLength, 0) + int64(len(c.body.Bytes()))
}

func (c *call) settle(e *endpoint, node string, o Outcome) {
	if c.o.table.done(c.cluster.Service, e, o, c.cluster.EjectAfter, time.Now()) {
		c.o.c.Log.Log(evEjected).Str("endpoint", node).Str("service", c.cluster.Service).Send()
		c.o.ejections.Inc()
	}
}

// reported turns the other node's report of a failed dispatch to its upstream
// into a failure. Answers about claims stay answers.
func (c *call) reported(x *httpcall.Exchange) *httpcall.Failure {
	if !reportsFailure(x.Response) {
		return nil
	}
	kind := httpcall.KindCut
	if x.Response.StatusCode == http.StatusGatewayTimeout {
		kind = httpcall.KindTimeout
	}
	_ = x.Drain()
	return httpcall.NewFailure(kind, verdict.MayHaveRun, errors.New("the connection to the upstream failed"))
}

// reportsFailure tells the report of a failed dispatch from an answer.
func reportsFailure(r *http.Response) bool {
	return r.Header.Get(httpcall.HeaderVerdict) != "" && r.Header.Get(httpcall.HeaderClaim) == ""
}

// unblock ends a blocked read of the caller's request body.
func (c *call) unblock() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}
