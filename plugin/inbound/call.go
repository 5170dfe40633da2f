package inbound

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
	"github.com/celeryyard/celeryyard/plugin/lineage"
	"github.com/celeryyard/celeryyard/plugin/pressure"
)

// call is one call from another node. One goroutine uses it at a time: that of the connection,
// then a worker, then that of the connection again.
type call struct {
	in       *Inbound
	w        http.ResponseWriter
	r        *http.Request
	session  *httpcall.Session
	info     httpcall.Call
	slots    *upstreamSlots // nil until the call is admitted
	deadline time.Time
	// maxStay is the longest time that the call is queued; 0 if the sender sets no limit.
	maxStay time.Duration
	body    *httpcall.Body
	// ctx cancels the dispatch. For a keyed call it ignores that the caller gives up.
	ctx      context.Context
	queuedAt time.Time
	url      url.URL
	// execution is the entry of the running call in lineage; nil if it has none.
	execution *lineage.Execution
	// run is the time that the upstream took to answer; 0 if it did not.
	run time.Duration
	// failure is the failure of the dispatch; nil if it was answered or not attempted.
	failure *httpcall.Failure
	// aborted means that a part of the answer was sent and the rest cannot be sent.
	aborted bool
	// dispatch holds the information about the call that was sent to the upstream.
	dispatch dialect.Dispatch
	// buffered is what the account of the connection holds for the response.
	buffered int64
	// answer is the response to a keyed call, kept for repeats; nil if there is none or it is
	// too large to keep.
	answer *idempotency.Answer
}

// ServeHTTP handles one request from another node. It implements http.Handler.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := in.acceptor.Accept(w, r)
	if s == nil {
		return
	}
	pressure.AccountOf(r).Trust()
	value, ok := httpcall.CallHeader(r)
	if !ok {
		if r.URL.Path == idempotency.Path && r.Method == http.MethodPost {
			in.claims.Serve(w, r)
			return
		}
		http.NotFound(w, r)
		return
	}
	c := &call{in: in, w: w, r: r, session: s, ctx: r.Context()}
	info, err := httpcall.ParseCall(value)
	if err != nil {
		c.reject(httpcall.ReasonMalformed)
		return
	}
	c.info = info
	c.deadline = time.Now().Add(info.Remaining)
	if v := r.Header.Get(httpcall.HeaderMaxStay); v != "" {
		if c.maxStay, err = httpcall.ParseTimeout(v); err != nil {
			c.reject(httpcall.ReasonMalformed)
			return
		}
	}
	if c.url, err = httpcall.ForwardedURL(r.URL); err != nil {
		c.reject(httpcall.ReasonMalformed)
		return
	}
	c.admit()
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// admit serves a call that is for this node's upstream if the upstream accepts calls, and rejects
// any other call.
func (c *call) admit() {
	draining := c.in.announce.IsDraining()
	if stop, stopping := c.in.c.StopSchedule(); stopping && draining && !stop.Fits(c.deadline) {
		c.reject(httpcall.ReasonLeaving) // the node that sent the call offers it to another endpoint
		return
	}
	slots, reason := c.in.beginCall(c.info.Service, draining)
	if slots == nil {
		c.reject(reason)
		return
	}
	defer c.in.endCall(slots)
	c.slots = slots
	defer func() {
		if c.buffered > 0 {
			pressure.AccountOf(c.r).Release(c.buffered)
		}
	}()
	counted, ok := c.in.beginTransfer(c)
	if !ok {
		c.reject(httpcall.ReasonWaitTooLong)
		return
	}
	var err error
	if c.body, err = httpcall.ReadBody(c.w, c.r, c.deadline); err != nil {
		c.in.endTransfer(counted)
		if httpcall.IsSlowBody(err) {
			c.reject(httpcall.ReasonExpired)
		} else {
			c.reject(httpcall.ReasonMalformed)
		}
		return
	}
	defer c.body.Release()
	if c.body.IsFullyKept() {
		c.in.endTransfer(counted)
	} else {
		defer c.in.endTransfer(counted)
		defer c.cancelWhenCallerLeaves()()
	}
	if reason := c.refusedForNestedCalls(); reason != "" {
		c.reject(reason)
		return
	}
	if c.info.Keyed {
		c.serveKeyed()
		return
	}
	if reason := c.runInSlot(c.forward); reason != "" {
		c.reject(reason)
	}
}

// cancelWhenCallerLeaves cancels the call when the other node closes the connection. net/http does not notice
// that while the rest of the request body waits to be read. The returned function ends the watch.
func (c *call) cancelWhenCallerLeaves() (end func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.ctx = ctx
	go func() {
		if c.session.AwaitClose(ctx.Done()) {
			cancel()
		}
	}()
	return cancel
}

// runInSlot runs f in a slot. It returns the reason for the rejection if the call did not
// run.
func (c *call) runInSlot(f func()) (reason string) {
	c.queuedAt = time.Now()
	err := httpcall.RunJob(c.ctx, c.slots.pool, c.newJob(), httpcall.WaitLimits{
		MaxStay: c.maxStay, Stopping: c.in.c.Stopping(), LatestStart: c.latestStart,
	}, f)
	switch {
	case err == nil && c.failure != nil && c.failure.Verdict() == verdict.NotRun:
		if c.failure.Kind == httpcall.KindRejected {
			return c.failure.Reason
		}
		if c.failure.Kind == httpcall.KindTimeout || c.failure.Kind == httpcall.KindCancelled || c.failure.Kind == httpcall.KindSlowBody {
			return httpcall.ReasonExpired
		}
		if c.failure.Kind == httpcall.KindRequestBody {
			return httpcall.ReasonMalformed
		}
		return httpcall.ReasonUpstreamUnreachable
	case err == nil:
		return ""
	case errors.Is(err, pool.ErrFull), errors.Is(err, errEvicted):
		return httpcall.ReasonQueueFull
	case errors.Is(err, errWaitTooLong), errors.Is(err, errCannotFinish), errors.Is(err, pool.ErrExpired) && time.Now().Before(c.deadline):
		return httpcall.ReasonWaitTooLong
	case errors.Is(err, errSlowNow):
		return httpcall.ReasonSlowNow
	case errors.Is(err, httpcall.ErrStayOver):
		return httpcall.ReasonStayOver
	case errors.Is(err, httpcall.ErrStopping):
		return httpcall.ReasonLeaving
	case errors.Is(err, pool.ErrClosed):
		if reason := c.staleReason(); reason != "" {
			return reason
		}
		return httpcall.ReasonLeaving
	}
	return httpcall.ReasonExpired
}

// minQueueWait is the shortest MaxWait of a call. A call that has used up its waiting time at other
// endpoints may still wait this long, so that it can use a slot that is free now or in a moment.
const minQueueWait = 2 * time.Millisecond

// latestStart returns the time from which the call must not start any more during a planned stop of this node.
func (c *call) latestStart() time.Time {
	stop, _ := c.in.c.StopSchedule()
	return stop.LatestStart(c.deadline, c.slots.stats.usage.meanDuration(c.info.Class()))
}

// newJob returns the job that is queued for a slot. A call with a target latency waits at most for
// the waiting time that it has not used up at other endpoints, or for minQueueWait if that is
// longer.
func (c *call) newJob() pool.Job {
	j := pool.Job{Group: c.info.Organisation, Deadline: c.deadline, TeamPriority: c.info.TeamPriority, Priority: c.info.Priority, MaxWait: c.info.RemainingWait}
	if c.info.TargetLatency > 0 {
		j.Class, j.MaxWait = c.info.Class(), max(c.info.RemainingWait, minQueueWait)
	}
	if c.in.isOrdered(c.slots) {
		c.setOrder(&j, c.queuedAt)
	}
	if c.isCostOn() {
		c.setWork(&j, c.queuedAt)
	}
	return j
}

// reject answers the call with a signed proof that it did not run.
func (c *call) reject(reason string) {
	c.in.countRejection(reason, c.info.Organisation)
	if c.info.ID != "" {
		c.logRejection(reason)
	}
	if c.body == nil {
		httpcall.PrepareEarlyAnswer(c.w, c.r)
	}
	h := c.w.Header()
	if reason == httpcall.ReasonLeaving || !c.body.IsFullyKept() {
		h.Set("Connection", "close")
	}
	h["Date"] = nil
	c.setLoadHeader(h)
	c.session.Reject(c.w, reason)
}

// logRejection logs a rejection with the state of the slots and the queue at that time.
func (c *call) logRejection(reason string) {
	slots, queued, running := 0, 0, 0
	if c.slots != nil {
		slots = c.slots.upstream.Slots
		queued, running = c.slots.pool.Len()
	}
	c.in.c.Log.Log(evRejected).Str("id", c.info.ID).Str("service", c.info.Service).Str("reason", reason).
		Int("priority", c.info.Priority).Int("queued", queued).Int("running", running).Int("slots", slots).
		Int("left_ms", int(time.Until(c.deadline).Milliseconds())).Send()
}

// forward dispatches the call and forwards the answer. It runs on a worker. A call that is known not
// to have run is not answered here, since runInSlot returns the reason of its rejection.
func (c *call) forward() {
	x := c.send()
	if x == nil {
		if c.failure.Verdict() != verdict.NotRun {
			if c.info.ID != "" {
				c.in.c.Log.Log(evFailed).Str("id", c.info.ID).Str("upstream", c.dispatch.Upstream).Str("verdict", c.failure.Verdict().String()).
					Int("left_ms", int(time.Until(c.deadline).Milliseconds())).Err(c.failure).Send()
			}
			c.answerMayHaveRun()
		}
		return
	}
	c.setAnswerHeaders(x)
	c.w.WriteHeader(x.Response.StatusCode)
	c.copy(x)
}

// send dispatches the request to the upstream. If that fails, it sets the failure of the call
// and returns nil.
func (c *call) send() (x *httpcall.Exchange) {
	begin := time.Now()
	c.in.queueTime.Update(begin.Sub(c.queuedAt).Seconds())
	if c.ctx.Err() != nil || !begin.Before(c.deadline) {
		c.failure = httpcall.NewFailure(httpcall.KindTimeout, verdict.NotRun, errors.New("call was cancelled or expired in the queue"))
		return nil
	}
	if c.in.lineage != nil && c.info.ID != "" {
		isRepeat := c.r.Header.Get(httpcall.HeaderRepeat) != ""
		if isRepeat && !c.in.lineage.MayRepeat(begin) {
			c.failure = newRejection(httpcall.ReasonRetryBudget, errors.New("no retries are left for the calls of the upstream"))
			return nil
		}
		c.execution = c.in.lineage.Begin(c.info.ID, isRepeat, lineage.Parent{
			Service: c.info.Service, Class: c.parentClass(), Priority: c.info.Priority, TeamPriority: c.info.TeamPriority, Deadline: c.deadline,
		}, begin)
		defer c.in.lineage.End(c.execution)
	}
	if reason := c.staleReason(); reason != "" {
		c.failure = newRejection(reason, errors.New("upstream has closed or was replaced while the call was queued"))
		return nil
	}
	header := make(http.Header, len(c.r.Header)+4)
	httpcall.ForwardHeaders(header, c.r.Header)
	c.dispatch = dialect.Dispatch{
		ID: c.info.ID, Remaining: c.deadline.Sub(begin), Caller: c.info.Caller, Upstream: c.slots.upstream.ID,
		Team: c.info.Team,
	}
	c.in.dialect.WriteDispatch(header, c.dispatch)
	if c.info.TargetLatency > 0 {
		usage := &c.slots.stats.usage
		usage.callStarted(c, c.info.Class(), begin)
		defer func() { usage.callEnded(c, c.outcome(x), time.Now()) }()
	}
	answered, f := c.in.client.Do(c.ctx, &httpcall.Request{
		To:   httpcall.Target{Address: c.slots.upstream.Address},
		HTTP: &http.Request{Method: c.r.Method, URL: &c.url, Host: c.r.Host, Header: header},
		Body: c.body, Deadline: c.deadline, UnblockBody: c.unblockBody, BufferBytes: c.in.s.BufferBytes, MayBuffer: c.mayBuffer,
		ID:         c.dispatch.ID,
		Skip:       func(r *http.Response) bool { return c.classify(r) == dialect.AnswerForeign },
		IgnoreBody: func(r *http.Response) bool { return c.classify(r) != dialect.AnswerOwn },
	})
	if f != nil {
		c.failure = f
		return nil
	}
	return c.checkAnswer(answered, begin)
}

// mayBuffer accounts for n bytes of a response that is buffered, and reports whether it may be. Otherwise it is streamed.
func (c *call) mayBuffer(n int64) bool {
	a := pressure.AccountOf(c.r)
	if a == nil {
		return true
	}
	if a.Reserve(account.KindResponse, n) != nil {
		return false
	}
	c.buffered += n
	return true
}

// classify classifies a response, of which only the head was read, to the dispatch.
func (c *call) classify(r *http.Response) dialect.AnswerKind {
	return dialect.ClassifyAnswer(c.in.dialect.ReadAnswer(r), c.dispatch)
}

// outcome returns how the dispatch counts in the statistics of the upstream. x is the answered
// dispatch; nil if it failed.
func (c *call) outcome(x *httpcall.Exchange) outcome {
	switch {
	case x != nil && x.Response.StatusCode < http.StatusInternalServerError:
		return outcomeSuccess
	case x == nil && (c.failure.Kind == httpcall.KindCancelled || c.failure.Kind == httpcall.KindRequestBody || c.failure.Kind == httpcall.KindSlowBody):
		return outcomeIgnored
	}
	return outcomeFailure
}

// checkAnswer returns x if the response is an answer of the upstream to the call. If the
// response is invalid or states that the upstream did not run the call, it sets the failure of
// the call, ends the exchange and returns nil.
func (c *call) checkAnswer(x *httpcall.Exchange, begin time.Time) *httpcall.Exchange {
	a := c.in.dialect.ReadAnswer(x.Response)
	if a.IdleTimeout > 0 {
		x.LimitIdleTime(a.IdleTimeout)
	}
	switch dialect.ClassifyAnswer(a, c.dispatch) {
	case dialect.AnswerRejected:
		c.failure = newRejection(httpcall.ReasonUpstreamRejected, errors.Newf("upstream did not run the call, status %d", x.Response.StatusCode))
	case dialect.AnswerMisdirected:
		c.in.announce.HandleMisdirected(c.dispatch.Upstream)
		c.failure = newRejection(httpcall.ReasonWrongUpstream, errors.New("another upstream answers at the address"))
	case dialect.AnswerInvalid, dialect.AnswerForeign:
		c.failure = httpcall.NewFailure(httpcall.KindCut, verdict.MayHaveRun, errors.Newf("response with status %d is not a complete answer of the upstream to this call", x.Response.StatusCode))
		x.Finish(false)
		return nil
	default:
		now := time.Now()
		c.slots.stats.minRun.observe(now.Sub(begin), now)
		c.slots.stats.storeReportedLoad(x.Response.Header)
		if a.HasLoad {
			c.slots.stats.slowdownPercent.Store(int64(a.Load.SlowdownPercent))
			c.slots.stats.work.observe(a.Load.SlowdownPercent, now)
		}
		if x.Response.StatusCode < http.StatusInternalServerError {
			c.observeWork(now.Sub(begin), a.HasLoad && a.Load.SlowdownPercent > 0, now)
		}
		return x
	}
	x.MarkRefused()
	if x.Drain() != nil {
		c.in.c.Log.Log(evCut).Str("id", c.info.ID).Send()
	}
	return nil
}

// newRejection returns the failure of a call that is proved not to have run.
func newRejection(reason string, err error) *httpcall.Failure {
	f := httpcall.NewFailure(httpcall.KindRejected, verdict.NotRun, err)
	f.Reason = reason
	return f
}

func (c *call) unblockBody() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}
