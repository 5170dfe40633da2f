package inbound

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
)

// call is one call of another node. It is used by one goroutine at a time: that
// of the connection, then a worker, then the former again.
type call struct {
	in       *Inbound
	w        http.ResponseWriter
	r        *http.Request
	s        *httpcall.Session
	info     httpcall.Call
	upstream string
	slots    int
	pool     *pool.Pool
	deadline time.Time
	body     *httpcall.Body
	// ctx ends the dispatch; keyed calls go on when their caller gives up.
	ctx    context.Context
	queued time.Time
	url    url.URL
	// failed is the failure of the dispatch.
	failed *httpcall.Failure
	// aborted means that the answer was begun and cannot be completed.
	aborted bool
	// answer is the kept response of a keyed call.
	answer *idempotency.Answer
}

// ServeHTTP handles one request of another node. It implements http.Handler.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := in.acceptor.Accept(w, r)
	if s == nil {
		return
	}
	value, ok := httpcall.CallHeader(r)
	if !ok {
		if r.URL.Path == idempotency.Path && r.Method == http.MethodPost {
			in.claims.Serve(w, r)
			return
		}
		http.NotFound(w, r)
		return
	}
	c := &call{in: in, w: w, r: r, s: s, ctx: r.Context()}
	info, err := httpcall.ParseCall(value)
	if err != nil {
		c.reject(httpcall.ReasonMalformed)
		return
	}
	c.info = info
	c.deadline = time.Now().Add(info.Remaining)
	c.admit()
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// admit checks that the call is for the upstream beside this node and serves it.
func (c *call) admit() {
	e := c.in.announce.Endpoint()
	c.upstream, c.slots = c.in.announce.Upstream(), e.Slots
	if c.upstream == "" {
		c.reject(httpcall.ReasonNoUpstream)
		return
	}
	if e.Service != c.info.Service {
		c.reject(httpcall.ReasonService)
		return
	}
	p, leaving := c.in.enter(e.Slots, c.in.announce.Draining())
	if leaving || p == nil {
		c.reject(httpcall.ReasonLeaving)
		return
	}
	defer c.in.exit()
	c.pool = p
	var err error
	if c.body, err = httpcall.ReadBody(c.w, c.r, c.deadline); err != nil {
		c.reject(httpcall.ReasonMalformed)
		return
	}
	defer c.body.Release()
	if c.info.Keyed {
		c.serveKeyed()
		return
	}
	if reason := c.dispatch(c.run); reason != "" {
		c.reject(reason)
	}
}

// dispatch runs f on a slot. It returns the reason of the rejection when the
// call did not run.
func (c *call) dispatch(f func()) (reason string) {
	c.queued = time.Now()
	err := httpcall.Run(c.ctx, c.pool, c.info.Organisation, c.deadline, f)
	switch {
	case err == nil && c.failed != nil && c.failed.Verdict() == verdict.NotRun:
		if c.failed.Kind == httpcall.KindTimeout || c.failed.Kind == httpcall.KindCancelled {
			return httpcall.ReasonExpired
		}
		if c.failed.Kind == httpcall.KindSource {
			return httpcall.ReasonMalformed
		}
		return httpcall.ReasonUnreachable
	case err == nil:
		return ""
	case errors.Is(err, pool.ErrFull):
		return httpcall.ReasonFull
	case errors.Is(err, pool.ErrClosed):
		return httpcall.ReasonLeaving
	}
	return httpcall.ReasonExpired
}

// reject answers with the proof that the call did not run.
func (c *call) reject(reason string) {
	c.in.rejected(reason, c.info.Organisation)
	h := c.w.Header()
	if reason == httpcall.ReasonLeaving || !c.body.Whole() {
		h.Set("Connection", "close")
	}
	c.setLoad(h)
	c.s.Reject(c.w, reason)
}

// run dispatches the call and forwards the answer. It runs on a worker.
func (c *call) run() {
	x := c.send()
	if x == nil {
		if c.failed.Verdict() != verdict.NotRun {
			c.unknown()
		}
		return
	}
	c.head(x)
	c.w.WriteHeader(x.Response.StatusCode)
	c.copy(x)
}

// send dispatches the request to the upstream; nil when it failed.
func (c *call) send() *httpcall.Exchange {
	begin := time.Now()
	c.in.queueTime.Update(begin.Sub(c.queued).Seconds())
	if c.ctx.Err() != nil || !begin.Before(c.deadline) {
		c.failed = httpcall.NewFailure(httpcall.KindTimeout, verdict.NotRun, errors.New("cancelled or expired in the queue"))
		return nil
	}
	header := make(http.Header, len(c.r.Header)+2)
	httpcall.Forward(header, c.r.Header)
	header[httpcall.HeaderTimeout] = []string{httpcall.FormatTimeout(c.deadline.Sub(begin))}
	c.url = *c.r.URL
	c.url.Scheme, c.url.Host, c.url.User = "", "", nil
	x, f := c.in.client.Do(c.ctx, &httpcall.Request{
		To:   httpcall.Target{Address: c.upstream},
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Body: c.body, Deadline: c.deadline, Unblock: c.unblock,
	})
	if f != nil {
		c.failed = f
		return nil
	}
	now := time.Now()
	c.in.least.observe(now.Sub(begin), now)
	c.in.noteLoad(x.Response.Header)
	return x
}

func (c *call) unblock() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// head sets the headers of the answer.
func (c *call) head(x *httpcall.Exchange) {
	h := c.w.Header()
	httpcall.Forward(h, x.Response.Header)
	httpcall.SetLength(h, x.Response)
	c.setLoad(h)
	if x.Early {
		h.Set("Connection", "close")
	}
}

// copy forwards the body of the answer and finishes the exchange.
func (c *call) copy(x *httpcall.Exchange) {
	rc := http.NewResponseController(c.w)
	if n := x.Response.ContentLength; n < 0 || n > httpcall.KeepBytes {
		// A node that does not read must not hold a slot beyond the deadline.
		_ = rc.SetWriteDeadline(c.deadline)
	}
	readErr, writeErr := x.CopyBody(c.w, rc.Flush)
	x.Finish(readErr == nil && writeErr == nil)
	if readErr != nil {
		c.in.c.Log.Log(evCut).Err(readErr).Send()
	}
	c.aborted = readErr != nil || writeErr != nil
}

// unknown answers that the call may have run.
func (c *call) unknown() {
	h := c.w.Header()
	h.Set(httpcall.HeaderVerdict, verdict.MayHaveRun.String())
	if !c.body.Whole() {
		h.Set("Connection", "close")
	}
	c.setLoad(h)
	status := http.StatusBadGateway
	if c.failed.Kind == httpcall.KindTimeout {
		status = http.StatusGatewayTimeout
	}
	c.w.WriteHeader(status)
}

// setLoad puts the own load on an answer.
func (c *call) setLoad(h http.Header) {
	if c.pool == nil {
		return
	}
	queued, running := c.pool.Len()
	load := c.in.load(queued+running, c.slots)
	h[httpcall.HeaderLoad] = []string{strconv.FormatFloat(load, 'f', 2, 64)}
}
