package inbound

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/dialect"
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
	// sent is what the upstream was told, load what it reported.
	sent dialect.Dispatch
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
	if c.in.announce.Closed() {
		c.reject(httpcall.ReasonLeaving)
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
	err := httpcall.RunJob(c.ctx, c.pool, c.job(), f)
	switch {
	case err == nil && c.failed != nil && c.failed.Verdict() == verdict.NotRun:
		if c.failed.Kind == httpcall.KindRejected {
			return c.failed.Reason
		}
		if c.failed.Kind == httpcall.KindTimeout || c.failed.Kind == httpcall.KindCancelled {
			return httpcall.ReasonExpired
		}
		if c.failed.Kind == httpcall.KindSource {
			return httpcall.ReasonMalformed
		}
		return httpcall.ReasonUnreachable
	case err == nil:
		return ""
	case errors.Is(err, pool.ErrFull), errors.Is(err, errEvicted):
		return httpcall.ReasonFull
	case errors.Is(err, errTooLong), errors.Is(err, errHopeless), errors.Is(err, pool.ErrExpired) && time.Now().Before(c.deadline):
		return httpcall.ReasonWait
	case errors.Is(err, pool.ErrClosed):
		return httpcall.ReasonLeaving
	}
	return httpcall.ReasonExpired
}

// leastWait is granted to a call that has used up its patience at other endpoints:
// it takes a slot that is free now or is about to be.
const leastWait = 2 * time.Millisecond

// job describes the call to the queue of the slots. A call whose caller states a
// target waits no longer than its patience, which it takes along from one endpoint
// to the next.
func (c *call) job() pool.Job {
	j := pool.Job{Group: c.info.Organisation, Deadline: c.deadline, Priority: c.info.Priority}
	if c.info.Target > 0 {
		j.Class, j.MaxWait = c.info.Class(), max(c.info.Patience, leastWait)
	}
	return j
}

// reject answers with the proof that the call did not run.
func (c *call) reject(reason string) {
	c.in.rejected(reason, c.info.Organisation)
	if c.info.ID != "" {
		c.logRejection(reason)
	}
	if c.body == nil {
		httpcall.AnswerUnread(c.w, c.r)
	}
	h := c.w.Header()
	if reason == httpcall.ReasonLeaving || !c.body.Whole() {
		h.Set("Connection", "close")
	}
	h["Date"] = nil
	c.setLoad(h)
	c.s.Reject(c.w, reason)
}

// logRejection writes why a call did not run, with the state that decided it.
func (c *call) logRejection(reason string) {
	queued, running := 0, 0
	if c.pool != nil {
		queued, running = c.pool.Len()
	}
	c.in.c.Log.Log(evRejected).Str("id", c.info.ID).Str("service", c.info.Service).Str("reason", reason).
		Int("priority", c.info.Priority).Int("queued", queued).Int("running", running).Int("slots", c.slots).
		Int("left_ms", int(time.Until(c.deadline).Milliseconds())).Send()
}

// run dispatches the call and forwards the answer. It runs on a worker.
func (c *call) run() {
	x := c.send()
	if x == nil {
		if c.failed.Verdict() != verdict.NotRun {
			if c.info.ID != "" {
				c.in.c.Log.Log(evFailed).Str("id", c.info.ID).Str("upstream", c.sent.Upstream).Str("verdict", c.failed.Verdict().String()).
					Int("left_ms", int(time.Until(c.deadline).Milliseconds())).Err(c.failed).Send()
			}
			c.unknown()
		}
		return
	}
	c.head(x)
	c.w.WriteHeader(x.Response.StatusCode)
	c.copy(x)
}

// send dispatches the request to the upstream; nil when it failed.
func (c *call) send() (x *httpcall.Exchange) {
	begin := time.Now()
	c.in.queueTime.Update(begin.Sub(c.queued).Seconds())
	if c.ctx.Err() != nil || !begin.Before(c.deadline) {
		c.failed = httpcall.NewFailure(httpcall.KindTimeout, verdict.NotRun, errors.New("cancelled or expired in the queue"))
		return nil
	}
	if c.in.announce.Closed() {
		c.failed = rejected(httpcall.ReasonLeaving, errors.New("the upstream began to leave while the call was queued"))
		return nil
	}
	header := make(http.Header, len(c.r.Header)+4)
	httpcall.Forward(header, c.r.Header)
	c.sent = dialect.Dispatch{
		ID: c.info.ID, Remaining: c.deadline.Sub(begin), Caller: c.info.Caller, Upstream: c.in.announce.UpstreamID(),
	}
	c.in.dialect.WriteCall(header, c.sent)
	c.url = *c.r.URL
	c.url.Scheme, c.url.Host, c.url.User = "", "", nil
	if c.info.Target > 0 {
		c.in.usage.begin(c, c.info.Class(), begin)
		defer func() { c.in.usage.end(c, c.ended(x), time.Now()) }()
	}
	answered, f := c.in.client.Do(c.ctx, &httpcall.Request{
		To:   httpcall.Target{Address: c.upstream},
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Body: c.body, Deadline: c.deadline, Unblock: c.unblock, Buffer: c.in.s.BufferBytes,
		ID:      c.sent.ID,
		Skip:    func(r *http.Response) bool { return c.kind(r) == dialect.Foreign },
		Decided: func(r *http.Response) bool { return c.kind(r) != dialect.Own },
	})
	if f != nil {
		c.failed = f
		return nil
	}
	return c.judge(answered, begin)
}

// kind tells what a response to the dispatch is; its head suffices.
func (c *call) kind(r *http.Response) dialect.Kind {
	return dialect.KindOf(c.in.dialect.ReadAnswer(r), c.sent)
}

// ended tells what a dispatch says of the upstream.
func (c *call) ended(x *httpcall.Exchange) ended {
	switch {
	case x != nil && x.Response.StatusCode < http.StatusInternalServerError:
		return endedWell
	case x == nil && (c.failed.Kind == httpcall.KindCancelled || c.failed.Kind == httpcall.KindSource):
		return endedEarly
	}
	return endedBadly
}

// judge tells an answer of the upstream from proofs that it ran nothing and from
// what is no answer; it returns nil for the latter two.
func (c *call) judge(x *httpcall.Exchange, begin time.Time) *httpcall.Exchange {
	a := c.in.dialect.ReadAnswer(x.Response)
	if a.Idle > 0 {
		x.LimitIdleTime(a.Idle)
	}
	switch dialect.KindOf(a, c.sent) {
	case dialect.Rejected:
		c.failed = rejected(httpcall.ReasonUpstream, errors.Newf("the upstream did not run the call, status %d", x.Response.StatusCode))
	case dialect.Misdirected:
		c.failed = rejected(httpcall.ReasonIdentity, errors.New("another upstream has the address"))
	case dialect.Spoiled, dialect.Foreign:
		c.failed = httpcall.NewFailure(httpcall.KindCut, verdict.MayHaveRun, errors.Newf("the response, status %d, is no whole answer of the upstream to this call", x.Response.StatusCode))
		x.Finish(false)
		return nil
	default:
		now := time.Now()
		c.in.least.observe(now.Sub(begin), now)
		c.in.noteLoad(x.Response.Header)
		return x
	}
	x.MarkRefused()
	if x.Drain() != nil {
		c.in.c.Log.Log(evCut).Str("id", c.info.ID).Send()
	}
	return nil
}

// rejected is a proof that the call did not run.
func rejected(reason string, err error) *httpcall.Failure {
	f := httpcall.NewFailure(httpcall.KindRejected, verdict.NotRun, err)
	f.Reason = reason
	return f
}

func (c *call) unblock() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// head sets the headers of the answer.
func (c *call) head(x *httpcall.Exchange) {
	h := c.w.Header()
	httpcall.Forward(h, x.Response.Header)
	httpcall.SetLength(h, x.Response)
	h["Date"] = nil // nodes have no use for it
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

// setLoad puts the own load and the time since the call was queued on an answer.
func (c *call) setLoad(h http.Header) {
	if c.pool == nil {
		return
	}
	queued, running := c.pool.Len()
	load := c.in.load(queued+running, c.slots)
	l := httpcall.NodeLoad{Busy: load}
	if !c.queued.IsZero() {
		l.Spent = time.Since(c.queued)
	}
	h[httpcall.HeaderLoad] = []string{l.Encode()}
}
