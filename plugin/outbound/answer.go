package outbound

import (
	"fmt"
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// forward sends the answer to the caller and finishes the exchange. It returns
// false when the answer was cut; the caller's connection is then to be aborted.
func (c *call) forward(x *httpcall.Exchange) bool {
	from, to := x.Response.Header, c.w.Header()
	claim := from.Get(httpcall.HeaderClaim)
	v := from.Get(httpcall.HeaderVerdict)
	httpcall.Forward(to, from)
	ran := true
	if claim != "" {
		to.Set(httpcall.HeaderClaim, claim)
		if v != "" {
			to.Set(httpcall.HeaderVerdict, v)
			ran = false
		}
	}
	httpcall.SetLength(to, x.Response)
	if x.Early {
		to.Set("Connection", "close")
	}
	rc := http.NewResponseController(c.w)
	if n := x.Response.ContentLength; n < 0 || n > httpcall.KeepBytes {
		// A caller that does not read must not hold a worker beyond the deadline.
		_ = rc.SetWriteDeadline(c.deadline)
	}
	c.w.WriteHeader(x.Response.StatusCode)
	readErr, writeErr := x.CopyBody(c.w, rc.Flush)
	x.Finish(readErr == nil && writeErr == nil)
	if readErr != nil {
		c.o.c.Log.Log(evCut).Str("route", c.route.Name).Err(readErr).Send()
	}
	c.aborted = readErr != nil || writeErr != nil
	if c.id != "" {
		c.o.c.Log.Log(evAnswered).Str("id", c.id).Str("route", c.route.Name).Str("endpoint", c.last).Int("status", x.Response.StatusCode).
			Int("offers", c.offers).Int("arrivals", c.arrivals+1).Uint("version", uint64(c.version)).
			Int("ms", int(time.Since(c.begin).Milliseconds())).Send()
	}
	switch {
	case c.aborted || !ran:
		c.m.mayHaveRun.Inc()
	default:
		c.m.ran.Inc()
	}
	return readErr == nil
}

// fail answers the call with its failure.
func (c *call) fail(f *httpcall.Failure) {
	v := f.Verdict()
	if c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if !c.body.CanSend() || !c.body.Whole() {
		c.w.Header().Set("Connection", "close")
	}
	code := status(f)
	if v != verdict.NotRun && code == http.StatusServiceUnavailable {
		code = http.StatusBadGateway // an earlier dispatch may have run
	}
	c.refuse(code, v, httpcall.Text(f))
}

// refuse writes an answer of the system itself.
func (c *call) refuse(status int, v verdict.Verdict, text string) {
	r := dialect.Refusal{ID: c.id, Status: status, Verdict: v, Text: text}
	if v == verdict.NotRun && status == http.StatusServiceUnavailable {
		r.RetryAfter = c.retryAfter()
	}
	c.logRefusal(&r)
	if c.body == nil {
		httpcall.AnswerUnread(c.w, c.r)
	}
	h := c.w.Header()
	c.o.dialect.WriteRefusal(h, r)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	fmt.Fprintf(c.w, "celeryyard: %s (%v)\n", text, v)
}

// Constants of the time after which a call that did not run may come again.
const (
	// retryShare is the part of the remaining time that may pass until then.
	retryShare = 0.3
	// retryLeast gives a full queue time to move on.
	retryLeast = 50 * time.Millisecond
	// retryUnknown is used for calls without a route that state no time.
	retryUnknown = 200 * time.Millisecond
)

// retryAfter is when the caller may send the call again.
func (c *call) retryAfter() time.Duration {
	if c.deadline.IsZero() {
		return retryUnknown
	}
	return max(time.Duration(retryShare*float64(time.Until(c.deadline))), retryLeast)
}

// logRefusal writes the refusal with the inputs that decided it, and counts it.
func (c *call) logRefusal(f *dialect.Refusal) {
	if c.m != nil {
		if f.Verdict == verdict.NotRun {
			c.m.notRun.Inc()
		} else {
			c.m.mayHaveRun.Inc()
		}
	}
	if c.id == "" {
		return
	}
	route, age := "", time.Duration(0)
	if c.route != nil {
		route = c.route.Name
	}
	age = time.Since(c.begin)
	c.o.c.Log.Log(evRefusal).Str("id", c.id).Str("route", route).Str("endpoint", c.last).Int("status", f.Status).
		Str("verdict", f.Verdict.String()).Str("reason", f.Text).Int("offers", c.offers).Int("arrivals", c.arrivals).
		Uint("version", uint64(c.version)).Int("ms", int(age.Milliseconds())).Int("retry_after_ms", int(f.RetryAfter.Milliseconds())).Send()
}
