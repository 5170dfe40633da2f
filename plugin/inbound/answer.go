package inbound

import (
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// setAnswerHeaders sets the headers of the answer.
func (c *call) setAnswerHeaders(x *httpcall.Exchange) {
	h := c.w.Header()
	httpcall.ForwardHeaders(h, x.Response.Header)
	httpcall.SetBodyHeaders(h, x.Response)
	h["Date"] = nil // not used between nodes
	c.setLoadHeader(h)
	if x.Early {
		h.Set("Connection", "close")
	}
}

// copy forwards the body of the answer and finishes the exchange.
func (c *call) copy(x *httpcall.Exchange) {
	rc := http.NewResponseController(c.w)
	if n := x.Response.ContentLength; n < 0 || n > httpcall.MaxKeptBytes {
		// A node that does not read the answer must not hold a slot beyond the deadline.
		_ = rc.SetWriteDeadline(c.deadline)
	}
	readErr, writeErr := x.CopyBody(c.w, rc.Flush)
	x.Finish(readErr == nil && writeErr == nil)
	if readErr != nil {
		c.in.c.Log.Log(evCut).Err(readErr).Send()
	}
	c.aborted = readErr != nil || writeErr != nil
}

// answerMayHaveRun answers a call that failed with the verdict that it may have run.
func (c *call) answerMayHaveRun() {
	h := c.w.Header()
	h.Set(httpcall.HeaderVerdict, verdict.MayHaveRun.String())
	if !c.body.IsFullyKept() {
		h.Set("Connection", "close")
	}
	c.setLoadHeader(h)
	status := http.StatusBadGateway
	if c.failure.Kind == httpcall.KindTimeout || c.failure.Kind == httpcall.KindSlowBody {
		status = http.StatusGatewayTimeout
	}
	c.w.WriteHeader(status)
}

// setLoadHeader sets the header with the load of the upstream and the time since the call was
// queued.
func (c *call) setLoadHeader(h http.Header) {
	if c.slots == nil {
		return
	}
	l := httpcall.NodeLoad{Load: c.slots.load()}
	if !c.queuedAt.IsZero() {
		l.TimeAtNode = time.Since(c.queuedAt)
	}
	if c.slots.stats.work.isOn.Load() {
		h[httpcall.HeaderLoad] = []string{l.Encode(), c.nodeWork(time.Now()).Encode()}
		return
	}
	h[httpcall.HeaderLoad] = []string{l.Encode()}
}
