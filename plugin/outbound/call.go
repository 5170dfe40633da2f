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
	o        *Outbound
	w        http.ResponseWriter
	r        *http.Request
	route    *resource.Route
	cluster  *resource.Cluster
	deadline time.Time
	body     *httpcall.Body
	// key is the Idempotency-Key of a call that must run at most once over repeats.
	key string
	m   *callMetrics
	// mayHaveRun is set once an attempt may have run; a later proof that another
	// attempt did not run does not take it back.
	mayHaveRun bool
	// aborted means that the answer was begun and cannot be completed.
	aborted bool
	queued  time.Time
	// url, call and tried are parts of dispatches, kept here to save allocations.
	url   url.URL
	call  httpcall.Call
	tried [8]*endpoint
}

var errNoEndpoint = errors.New("the service has no endpoint that can take the call")

// run dispatches the call until it is answered. It runs on a worker.
func (c *call) run() {
	now := time.Now()
	c.o.queueTime.Update(now.Sub(c.queued).Seconds())
	c.o.table.begin(c.cluster, now)
	idem := c.key == "" && idempotent(c.r.Method, c.route.Idempotent)
	tried := c.tried[:0]
	last := httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errNoEndpoint)
	for attempts := 1; ; attempts++ {
		e, to := c.choose(tried)
		if e == nil {
			break
		}
		f := c.attempt(e, to)
		if f == nil {
			return
		}
		last = f
		c.mayHaveRun = c.mayHaveRun || f.Verdict() != verdict.NotRun
		if c.key != "" || !mayRetry(f, idem, c.body.CanSend(), attempts, c.route.MaxAttempts) || !c.o.table.retry(c.cluster) {
			break
		}
		// The only endpoint of a set is tried again after a cut.
		if len(tried) < cap(tried) && (f.Kind != httpcall.KindCut || len(c.endpoints().Endpoints) > 1) {
			tried = append(tried, e)
		}
		c.m.retries.Inc()
	}
	c.fail(last)
}

// choose returns the endpoint of the next attempt, or nil.
func (c *call) choose(tried []*endpoint) (*endpoint, httpcall.Target) {
	if c.key == "" {
		return c.o.table.pick(c.cluster, tried, time.Now())
	}
	id := httpcall.ClaimID(c.route.Organisation, c.cluster.Service, c.key)
	primary, backup := httpcall.Holders(c.endpoints(), id)
	if primary == nil {
		return nil, httpcall.Target{}
	}
	c.call.Keyed = true
	if backup != nil {
		c.call.BackupNode, c.call.BackupAddress = backup.Node, backup.Address
	}
	return c.o.table.named(c.cluster.Service, primary.Node, time.Now())
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
	c.url = *c.r.URL
	c.url.Scheme, c.url.Host, c.url.User = "", "", nil
	c.call.Service, c.call.Organisation = c.cluster.Service, c.route.Organisation
	x, f := c.o.client.Do(c.r.Context(), &httpcall.Request{
		To:   to,
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Call: &c.call, Body: c.body, Deadline: c.deadline, Unblock: c.unblock,
	})
	if f == nil {
		f = c.reported(x)
	}
	if f != nil {
		c.settle(e, to.Node, outcome(f))
		if f.Kind == httpcall.KindRejected {
			c.o.rejected(f.Reason)
		}
		return f
	}
	if load, ok := httpcall.ParseLoad(x.Response.Header.Get(httpcall.HeaderLoad)); ok {
		c.o.table.loaded(e, load, time.Now())
	}
	if c.forward(x) {
		c.settle(e, to.Node, OutcomeAnswer)
	} else {
		c.settle(e, to.Node, OutcomeFailure)
	}
	return nil
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
	h := x.Response.Header
	if h.Get(httpcall.HeaderVerdict) == "" || h.Get(httpcall.HeaderClaim) != "" {
		return nil
	}
	kind := httpcall.KindCut
	if x.Response.StatusCode == http.StatusGatewayTimeout {
		kind = httpcall.KindTimeout
	}
	_ = x.Drain()
	return httpcall.NewFailure(kind, verdict.MayHaveRun, errors.New("the connection to the upstream failed"))
}

// unblock ends a blocked read of the caller's request body.
func (c *call) unblock() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}
