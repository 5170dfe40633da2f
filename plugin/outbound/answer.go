package outbound

import (
	"fmt"
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/httpserve"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// forward copies the response to the caller and finishes the exchange. It returns false if
// reading the response failed midway. The caller then gets an error response if nothing was sent to it yet; else its
// connection must be aborted.
func (c *call) forward(x *httpcall.Exchange) bool {
	from, to := x.Response.Header, c.w.Header()
	claim := from.Get(httpcall.HeaderClaim)
	v := from.Get(httpcall.HeaderVerdict)
	httpcall.ForwardHeaders(to, from)
	if c.ordered {
		c.o.refusals.observe(c.cluster.Service, false, time.Now())
	}
	ran := true
	if claim != "" {
		to.Set(httpcall.HeaderClaim, claim)
		if v != "" {
			to.Set(httpcall.HeaderVerdict, v)
			ran = false
		}
	}
	httpcall.SetBodyHeaders(to, x.Response)
	if x.Early {
		to.Set("Connection", "close")
	}
	rc := http.NewResponseController(c.w)
	if n := x.Response.ContentLength; n < 0 || n > httpcall.MaxKeptBytes {
		// A caller that stops reading must not hold a worker beyond the deadline.
		_ = rc.SetWriteDeadline(c.deadline)
	}
	c.w.WriteHeader(x.Response.StatusCode)
	readErr, writeErr := x.CopyBody(c.w, rc.Flush)
	x.Finish(readErr == nil && writeErr == nil)
	if readErr != nil && httpserve.TryReset(c.w) {
		c.respondError(http.StatusBadGateway, verdict.MayHaveRun, "the response of the upstream was cut")
		return false
	}
	if readErr != nil {
		c.o.c.Log.Log(evResponseCut).Str("route", c.route.Name).Err(readErr).Send()
	}
	c.aborted = readErr != nil || writeErr != nil
	if c.id != "" {
		c.withTeam(c.o.c.Log.Log(evAnswered)).Str("id", c.id).Str("route", c.route.Name).Str("endpoint", c.lastNode).Int("status", x.Response.StatusCode).
			Int("offers", c.offers).Int("arrivals", c.arrivals+1).Uint("version", uint64(c.version)).
			Int("ms", int(time.Since(c.startedAt).Milliseconds())).Send()
	}
	switch {
	case c.aborted || !ran:
		c.metrics.mayHaveRun.Inc()
	default:
		c.metrics.ran.Inc()
	}
	return readErr == nil
}

// respondFailure answers the call with an error response for f.
func (c *call) respondFailure(f *httpcall.Failure) {
	v := f.Verdict()
	c.unserved = isUnserved(f)
	if c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if !c.body.CanRewind() || !c.body.IsFullyKept() {
		c.w.Header().Set("Connection", "close")
	}
	code := httpStatus(f)
	// 503 and 408 are only for calls that did not run, and an earlier attempt of this one may have run.
	switch {
	case v != verdict.NotRun && code == http.StatusServiceUnavailable:
		code = http.StatusBadGateway
	case v != verdict.NotRun && code == http.StatusRequestTimeout:
		code = http.StatusGatewayTimeout
	}
	c.respondError(code, v, httpcall.Describe(f))
}

// respondError answers the call with an error response of the node itself.
func (c *call) respondError(status int, v verdict.Verdict, text string) {
	r := dialect.ErrorResponse{ID: c.id, Status: status, Verdict: v, Text: text}
	if v == verdict.NotRun && status == http.StatusServiceUnavailable {
		r.RetryAfter = c.retryAfter()
	}
	if c.limitRetryAfter > 0 {
		r.RetryAfter = c.limitRetryAfter
	}
	c.recordErrorResponse(&r)
	if c.body == nil {
		httpcall.PrepareEarlyAnswer(c.w, c.r)
	}
	h := c.w.Header()
	c.o.dialect.WriteErrorResponse(h, r)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	fmt.Fprintf(c.w, "celeryyard: %s (%v)\n", text, v)
}

// Parameters of the Retry-After time in error responses to calls that did not run.
const (
	// retryAfterFraction is the fraction of the time left until the deadline that the caller is to wait.
	retryAfterFraction = 0.3
	// minRetryAfter is the lower bound; it gives a full queue time to drain.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter applies to calls that have neither a route nor a timeout, and bounds the time of calls with
	// retriesSoon.
	defaultRetryAfter = 200 * time.Millisecond
)

// retryAfter returns how long the caller should wait before it sends the call again.
func (c *call) retryAfter() time.Duration {
	if c.deadline.IsZero() {
		return defaultRetryAfter
	}
	if c.ordered {
		now := time.Now()
		refused := c.o.refusals.observe(c.cluster.Service, true, now)
		slack := c.route.Target() - c.earlier - now.Sub(c.startedAt) - c.meanWork()
		return orderedRetryAfter(c.deadline.Sub(now), slack, c.statedWait, refused, c.o.table.draw())
	}
	wait := max(time.Duration(retryAfterFraction*float64(time.Until(c.deadline))), minRetryAfter)
	if c.retriesSoon {
		return min(wait, defaultRetryAfter)
	}
	return wait
}

// recordErrorResponse counts the error response by its verdict. If the call has an ID, it also logs
// the route, the node of the last dispatch, the status, verdict and reason, the numbers of failed
// dispatches, the configuration version, the elapsed time and the Retry-After time.
func (c *call) recordErrorResponse(r *dialect.ErrorResponse) {
	if c.metrics != nil {
		if r.Verdict == verdict.NotRun {
			c.metrics.notRun.Inc()
		} else {
			c.metrics.mayHaveRun.Inc()
		}
	}
	if c.id == "" {
		return
	}
	route, elapsed := "", time.Duration(0)
	if c.route != nil {
		route = c.route.Name
	}
	elapsed = time.Since(c.startedAt)
	c.withTeam(c.o.c.Log.Log(evErrorResponse)).Str("id", c.id).Str("route", route).Str("endpoint", c.lastNode).Int("status", r.Status).
		Str("verdict", r.Verdict.String()).Str("reason", r.Text).Int("offers", c.offers).Int("arrivals", c.arrivals).
		Uint("version", uint64(c.version)).Int("ms", int(elapsed.Milliseconds())).Int("retry_after_ms", int(r.RetryAfter.Milliseconds())).Send()
}
