package outbound

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/httpserve"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// call is one call of a caller. It is used by one goroutine at a time: that of the caller's
// connection, then a worker, then that of the connection again.
type call struct {
	o       *Outbound
	w       http.ResponseWriter
	r       *http.Request
	route   *resource.Route
	cluster *resource.Cluster
	// caller is the calling team and team its name; nil and empty if the configuration has none or the call has no key.
	caller *resource.Caller
	team   string
	// limitRetryAfter is when a token of the team's rate limit is expected, if the call was refused for it.
	limitRetryAfter time.Duration
	// retriesSoon means that the refusal of the call does not depend on load: it ends with the next confirmation.
	retriesSoon bool
	// id identifies the call in logs; empty if the caller sent none.
	id        string
	version   resource.Version
	startedAt time.Time
	// timeout is how long the caller waits; 0 if it states no timeout.
	timeout  time.Duration
	deadline time.Time
	body     *httpcall.Body
	// key is the Idempotency-Key of a call that must run at most once even if the caller sends it
	// again; empty if the call has none.
	key     string
	metrics *callMetrics
	// priority is that of the route, or that of the request that the upstream runs if the call is nested.
	priority int
	// ordered means that the order of service is on for the service of the call. earlier is the time that earlier attempts
	// of the caller have probably taken.
	ordered bool
	earlier time.Duration
	// statedWait is the shortest wait for a slot that an endpoint has stated with a rejection; 0 if none has.
	statedWait time.Duration
	// byCost means that the choice by cost is on for the service of the call.
	byCost bool
	// unserved is set if the call ended without a response of an upstream.
	unserved bool
	// refusedForNested is set once a node has refused the call because the calls that it causes would fail.
	refusedForNested bool
	// stage is the stage of the next offer.
	stage int
	// busy lists the endpoints that rejected the call because they had no free slot.
	busy []*endpoint
	// offers is the number of failed dispatches that did not reach an upstream. arrivals is the
	// number of failed dispatches that may have reached one.
	offers, arrivals int
	// lastNode is the node of the last dispatch.
	lastNode string
	// isRepeat means that the call is made by the repeat of a request.
	isRepeat bool
	// mayHaveRun is set once an attempt may have run. It stays set even if a later attempt is
	// known not to have run.
	mayHaveRun bool
	// aborted means that the response was started and cannot be completed.
	aborted  bool
	queuedAt time.Time
	// url is the URL of all dispatches.
	url url.URL
	// info and tried are used by run and attempt, and are fields only to avoid allocations. tried has
	// enough elements for all dispatches of a call.
	info  httpcall.Call
	tried [resource.MaxAttempts + maxOffers]*endpoint
}

// repeatHeaderValue is shared by all requests, to avoid allocations.
var repeatHeaderValue = []string{"1"}

var errNoEndpoint = errors.New("no endpoint of the service is available and has free capacity")

// run dispatches the call until it is answered. It is executed by a worker.
func (c *call) run() {
	now := time.Now()
	c.o.queueTime.Update(now.Sub(c.queuedAt).Seconds())
	if c.isRepeat {
		c.o.table.countRepeatedCall(c.cluster, now)
	} else {
		c.o.table.countCall(c.cluster, now)
	}
	tried := c.tried[:0]
	if hasTooLittleTime(c.deadline.Sub(now), c.meanWork()) {
		c.respondFailure(httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errTooLittleTime))
		return
	}
	lastFailure := httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errNoEndpoint)
	for {
		began := time.Now()
		if c.isTooLateToStart(began) {
			if lastFailure.Verdict() == verdict.NotRun {
				lastFailure = newStoppingFailure()
			}
			break
		}
		e, to := c.chooseEndpoint(tried)
		if e == nil && c.awaitCapacity(lastFailure) {
			tried = tried[:0]
			continue
		} else if e == nil {
			break
		}
		f := c.attempt(e, to)
		if f == nil {
			return
		}
		lastFailure = f
		if isReturned(f, time.Since(began)) && c.body.CanRewind() {
			c.logRetry(f, to.Node)
			continue
		}
		if !c.shouldRetry(f) {
			break
		}
		// A service's only endpoint may be tried again after the connection to it broke.
		if len(tried) < cap(tried) && (f.Kind != httpcall.KindCut || len(c.endpoints().Endpoints) > 1) {
			tried = append(tried, e)
		}
		c.metrics.retries.Inc()
		c.logRetry(f, to.Node)
	}
	c.respondFailure(lastFailure)
}

// shouldRetry counts the failed dispatch and reports whether the call is to be dispatched again. If
// the dispatch may have reached an upstream, the retry is taken from the retry budget.
func (c *call) shouldRetry(f *httpcall.Failure) bool {
	c.mayHaveRun = c.mayHaveRun || f.Verdict() != verdict.NotRun
	if mayHaveArrived(f) {
		c.arrivals++
	} else {
		c.offers++
	}
	repeatable := c.key == "" && !c.route.AtMostOnce && isIdempotent(c.r.Method, c.route.Idempotent)
	if c.isRefusedAgain(f) {
		return false
	}
	if c.key != "" || c.offers >= c.maxOffers() || !mayRetry(f, repeatable, c.body.CanRewind(), c.arrivals, c.route.MaxAttempts) {
		return false
	}
	now := time.Now()
	if c.arrivals == 0 {
		return true
	}
	// An attempt that is unlikely to finish in time would only occupy a slot that another call needs.
	if c.deadline.Sub(now) < c.meanWork()/2 {
		return false
	}
	return c.o.table.takeRetry(c.cluster, now)
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

// endpoints returns the current endpoint set of the service, which may be newer than the
// route of the call.
func (c *call) endpoints() *resource.EndpointSet {
	if set := c.o.view.Current().Sets[c.cluster.Service]; set != nil {
		return set
	}
	return &resource.EndpointSet{}
}

// attempt dispatches the call once and forwards the response. It returns the failure of the
// dispatch, or nil if it has started to send the response to the caller.
func (c *call) attempt(e *endpoint, to httpcall.Target) *httpcall.Failure {
	header := make(http.Header, len(c.r.Header)+4)
	httpcall.ForwardHeaders(header, c.r.Header)
	c.o.dialect.StripHeaders(header)
	if c.isRepeat || c.arrivals > 0 {
		header[httpcall.HeaderRepeat] = repeatHeaderValue
	}
	c.setInfo()
	sent := time.Now()
	var maxStay time.Duration
	c.info.RemainingWait, maxStay = queueLimits(sent, c.deadline, c.latestStart(sent), c.maxQueueWait(e), c.route.Target() > 0, c.o.c.IsStopping())
	if maxStay > 0 {
		header[httpcall.HeaderMaxStay] = []string{httpcall.FormatTimeout(maxStay)}
	}
	c.setAge(header, sent)
	c.lastNode = to.Node
	x, f := c.o.client.Do(c.r.Context(), &httpcall.Request{
		To:   to,
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Call: &c.info, Body: c.body, AwaitAcceptance: c.route.LargeBody && c.body.IsLargerThan(minHeldBytes), Deadline: c.deadline, UnblockBody: c.unblockBody, BufferBytes: c.o.s.BufferBytes, MayBuffer: c.mayBuffer,
		IgnoreBody: isFailureReport,
	})
	if f == nil {
		if f = c.reportedFailure(x); f != nil {
			c.countVersion(e, f, 0, time.Since(sent))
		}
	}
	if f != nil {
		c.recordOutcome(e, to.Node, outcomeOf(f))
		if f.Kind == httpcall.KindRejected {
			c.o.countRejection(f.Reason)
			c.recordRejection(e, f)
		}
		return f
	}
	if load, ok := httpcall.ParseNodeLoad(x.Response.Header.Get(httpcall.HeaderLoad)); ok {
		c.o.table.observeLoad(e, load.Load, time.Now())
		c.o.table.observeRTT(e, time.Since(sent)-load.TimeAtNode)
	}
	c.learnWork(e, x.Response)
	c.countVersion(e, nil, x.Response.StatusCode, time.Since(sent))
	if x.Response.StatusCode < http.StatusInternalServerError {
		relative := c.o.routeStats.observe(c.route.Name, time.Since(sent), c.exchangeBytes(x.Response))
		c.o.table.observeDuration(e, relative)
	}
	if c.forward(x) {
		c.recordOutcome(e, to.Node, OutcomeAnswer)
	} else {
		c.recordOutcome(e, to.Node, OutcomeFailure)
	}
	return nil
}

// mayBuffer accounts for n bytes of a response that is buffered, and reports whether it may be. Otherwise it is streamed.
func (c *call) mayBuffer(n int64) bool { return httpserve.Reserve(c.w, account.KindResponse, n) }

// setInfo sets what is told to the other node about the call, but for the times.
func (c *call) setInfo() {
	c.info.Service, c.info.Organisation, c.info.Team = c.cluster.Service, c.route.Organisation, c.team
	c.info.ID, c.info.Caller, c.info.Priority, c.info.TargetLatency = c.id, *c.o.service.Load(), c.priority, c.route.Target()
	if !c.info.Nested {
		c.info.TeamPriority = c.teamPriority()
	}
}

// assumedHeaderBytes is the assumed length of the headers of a request and its response.
const assumedHeaderBytes = 700

// exchangeBytes returns the approximate length of the request and its response between nodes.
func (c *call) exchangeBytes(r *http.Response) int64 {
	return assumedHeaderBytes + max(r.ContentLength, 0) + int64(len(c.body.Bytes()))
}

// minHeldBytes is the length of a body above which the body is held back until the endpoint's node has
// accepted the call. Sending a shorter one costs less than the round trip.
const minHeldBytes = 8 << 10

func (c *call) recordOutcome(e *endpoint, node string, o Outcome) {
	if c.o.table.recordOutcome(c.cluster.Service, e, o, c.cluster.EjectAfter, time.Now()) {
		c.o.c.Log.Log(evEjected).Str("endpoint", node).Str("service", c.cluster.Service).Send()
		c.o.ejections.Inc()
	}
}

// reportedFailure returns the failure that the other node reports of its upstream, and ends the
// exchange. It returns nil for any other response. Responses about claims are not failure reports:
// they are forwarded to the caller.
func (c *call) reportedFailure(x *httpcall.Exchange) *httpcall.Failure {
	if !isFailureReport(x.Response) {
		return nil
	}
	kind := httpcall.KindCut
	if x.Response.StatusCode == http.StatusGatewayTimeout {
		kind = httpcall.KindTimeout
	}
	_ = x.Drain()
	return httpcall.NewFailure(kind, verdict.MayHaveRun, errors.New("the connection to the upstream failed"))
}

// isFailureReport reports whether the response is not that of the upstream, but the other node's
// report that its upstream failed.
func isFailureReport(r *http.Response) bool {
	return r.Header.Get(httpcall.HeaderVerdict) != "" && r.Header.Get(httpcall.HeaderClaim) == ""
}

// unblockBody ends a blocked read of the caller's request body.
func (c *call) unblockBody() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}
