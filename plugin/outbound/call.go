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
	// url, call and tried are parts of dispatches, kept here to save allocations.
	url   url.URL
	call  httpcall.Call
	tried [8]*endpoint
}

// hopelessShare is the part of the usual duration of a route's calls below which the
// time left is too short: hardly one call in twenty ends so soon, and the others would
// only take slots from calls that can still be answered.
const hopelessShare = 0.4

// hopeless reports whether a call can hardly end in the time that is left. usual is 0
// when it is unknown.
func hopeless(left, usual time.Duration) bool {
	return left < time.Duration(hopelessShare*float64(usual))
}

var errHopeless = errors.New("the time left is much shorter than such calls take")

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

// urgentShare is the part of the remaining time that an urgent call may wait.
const urgentShare = 0.5

// The first offers of a call ask for a slot that is free now or about to be: the call
// does not wait at one endpoint while another one is idle. Then it waits at the least
// busy endpoint that it has asked.
const (
	stageFirst = iota
	stageSecond
	stageWait
	stageAny
)

// probeShare is the part of the route's target that an offer before stageWait may wait.
const probeShare = 0.05

// patience is how long the call may wait for a slot at the next endpoint.
func (c *call) patience() time.Duration {
	if c.probing() {
		return min(c.fullPatience(), time.Duration(probeShare*float64(c.route.Target())))
	}
	return c.fullPatience()
}

// probing reports whether the next offer is one of those that do not wait.
func (c *call) probing() bool { return c.key == "" && c.stage < stageWait }

// fullPatience is how long the call may still wait for a slot. One of the least
// urgent that waits for longer misses its target and holds up those that could still
// meet theirs. A more urgent one passes them in the queue and may wait: what depends
// on it, such as a request that makes the call, would fail with it.
func (c *call) fullPatience() time.Duration {
	if !c.o.table.leastUrgent(c.cluster, c.route.Priority) {
		return max(time.Duration(urgentShare*float64(time.Until(c.deadline))), 0)
	}
	return max(time.Duration(c.o.s.WaitShare*float64(c.route.Target()))-time.Since(c.begin), 0)
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

// choose returns the endpoint of the next attempt, or nil.
func (c *call) choose(tried []*endpoint) (*endpoint, httpcall.Target) {
	if c.key != "" {
		return c.holder()
	}
	now := time.Now()
	if c.stage < stageWait {
		if e, to := c.pick(tried, now); e != nil {
			return e, to
		}
		c.stage = stageWait
	}
	if c.stage == stageWait {
		if e, to := c.o.table.leastLoaded(c.busy, now); e != nil {
			return e, to
		}
		c.stage = stageAny
	}
	return c.pick(tried, now)
}

// pick chooses among all endpoints that were not tried.
func (c *call) pick(tried []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	w := wish{organisation: c.route.Organisation, priority: c.route.Priority, tried: tried}
	// A call that found an endpoint of its zone busy asks another one there or waits; it
	// leaves the zone by the load of the zones, not by that of one endpoint.
	w.local = c.stage == stageSecond && c.o.table.local(c.busy[0])
	c.o.classes.spill(&w, c.route.Name)
	return c.o.table.pick(c.cluster, w, now)
}

// holder returns the primary holder of the claim of a keyed call.
func (c *call) holder() (*endpoint, httpcall.Target) {
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
	c.call.ID, c.call.Caller, c.call.Priority, c.call.Target = c.id, c.o.s.Service, c.route.Priority, c.route.Target()
	c.call.Patience = c.patience()
	c.last = to.Node
	sent := time.Now()
	x, f := c.o.client.Do(c.r.Context(), &httpcall.Request{
		To:   to,
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Call: &c.call, Body: c.body, Deadline: c.deadline, Unblock: c.unblock, Buffer: c.o.s.BufferBytes,
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
		c.o.table.loaded(e, load, time.Now())
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

// noRoom takes what a rejection tells of the endpoint's load.
func (c *call) noRoom(e *endpoint, f *httpcall.Failure) {
	now := time.Now()
	if f.HasLoad {
		c.o.table.measured(e, f.Load, now)
	}
	if f.Reason != httpcall.ReasonWait && f.Reason != httpcall.ReasonFull {
		return
	}
	if c.probing() {
		c.busy = append(c.busy, e)
	} else {
		c.o.table.full(e, c.route.Organisation, c.route.Priority, now)
	}
	c.stage++
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
