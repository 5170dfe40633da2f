package outbound

import (
	"fmt"
	"net/http"

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
	if v == verdict.NotRun {
		c.m.notRun.Inc()
	} else {
		c.m.mayHaveRun.Inc()
	}
	if !c.body.CanSend() || !c.body.Whole() {
		c.w.Header().Set("Connection", "close")
	}
	refuse(c.w, status(f), v, httpcall.Text(f))
}

// refuse writes an answer of the system itself.
func refuse(w http.ResponseWriter, status int, v verdict.Verdict, text string) {
	h := w.Header()
	h.Set(httpcall.HeaderVerdict, v.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintf(w, "celeryyard: %s (%v)\n", text, v)
}
