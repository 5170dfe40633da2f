package httpcall

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/netconn"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Request is one dispatch.
type Request struct {
	To Target
	// HTTP holds the method, URL, host and headers. Do sets its body fields and may modify the header
	// map.
	HTTP *http.Request
	// Call is sent to other nodes; nil for upstreams.
	Call *Call
	// Body may be nil.
	Body *Body
	// Deadline bounds the exchange up to the end of the response body.
	Deadline time.Time
	// UnblockBody must make a blocked read of the rest of the body return. It is called when the
	// exchange ends before the whole body was sent; nil if no read can block.
	UnblockBody func()
	// Skip reports whether a response belongs to another request, in which case the next
	// response on the connection is read. If nil, the first response is accepted.
	Skip func(*http.Response) bool
	// ID is the request ID by which an answer identifies the call; empty if answers contain none. The
	// call is not sent on a connection on which a call with the same ID was refused: a copy of that
	// refusal could not be distinguished from the answer.
	ID string
	// IgnoreBody reports whether the head of a response alone determines the outcome, so that its
	// body need not be buffered. The caller ends the exchange of such a response with Drain. May be
	// nil.
	IgnoreBody func(*http.Response) bool
	// BufferBytes is the length in bytes up to which Do reads a response body completely before it
	// returns, so that a truncated answer is a failure of the dispatch. A longer body is streamed. If
	// BufferBytes is above 0, an upstream may also end a body by closing the connection; nodes
	// always send a length or chunks.
	BufferBytes int
	// MayBuffer reports whether n bytes more may be held for the response. Otherwise it is streamed in small parts. May be nil.
	MayBuffer func(n int64) bool
	// AwaitAcceptance holds the body back until the other node has accepted the request; see
	// AwaitsAcceptance. It has no effect without a body.
	AwaitAcceptance bool
	// MaxIdleTime is the idle time from which a connection is not reused for this request, in addition
	// to the limits of the client and of the other side; 0 means no additional limit.
	MaxIdleTime time.Duration
}

// Exchange is an answered dispatch. Either Finish or Drain must be called, once.
type Exchange struct {
	// Response is the answer; its body is read with CopyBody or directly.
	Response *http.Response
	// Early means that the answer came before the whole request body was sent. Neither this
	// connection nor the one from which the request body is read can then be reused.
	Early bool

	client    *Client
	conn      *conn
	requestID string
	// stopCancellation ends the effect of the context on the connection. It returns false if the
	// context was cancelled before.
	stopCancellation func() bool
	// writeDone gets the result of sending the request; nil once sendErr holds it.
	writeDone chan error
	// sendErr is the error with which sending the request ended; nil if it was sent to its end.
	sendErr     error
	held        *heldBody // the body that waits for the request to be accepted; nil if none does
	body        *Body
	unblockBody func()
	// mayBuffer is that of the request.
	mayBuffer func(n int64) bool
}

// rejectionMargin is the largest amount that is subtracted from the remaining time that is sent to
// another node. If the call cannot start there in time, the other node thus rejects it slightly
// before the deadline, and the rejection still arrives in time.
const rejectionMargin = 5 * time.Millisecond

// Do sends the request once and reads the head of the answer. If no byte could be written to a
// reused connection, Do sends the request on a new one. It blocks until the head is read, ctx ends
// or the deadline passes. If ctx has ended before, Do sends nothing.
func (c *Client) Do(ctx context.Context, r *Request) (*Exchange, *Failure) {
	for forceNew := false; ; forceNew = true {
		if err := ctx.Err(); err != nil {
			return nil, NewFailure(KindCancelled, verdict.NotRun, err)
		}
		k, reused, err := c.getConn(ctx, r, forceNew)
		if err != nil {
			return nil, c.classifyConnectError(ctx, r, err)
		}
		x, f := c.roundTrip(ctx, k, r)
		if f == nil || f.Kind != KindUnsent || !reused || !r.Body.CanRewind() {
			return x, f
		}
	}
}

// classifyConnectError classifies a failure to connect.
func (c *Client) classifyConnectError(ctx context.Context, r *Request, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return NewFailure(KindCancelled, verdict.NotRun, ctx.Err())
	case !time.Now().Before(r.Deadline):
		return NewFailure(KindTimeout, verdict.NotRun, err)
	}
	return NewFailure(KindUnreachable, verdict.NotRun, err)
}

func (c *Client) roundTrip(ctx context.Context, k *conn, r *Request) (*Exchange, *Failure) {
	k.bytesWritten = 0
	k.auth.requestCount++
	x := &Exchange{client: c, conn: k, requestID: r.ID, body: r.Body, unblockBody: r.UnblockBody, mayBuffer: r.MayBuffer}
	err := k.SetDeadline(r.Deadline)
	x.stopCancellation = context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	if err == nil {
		err = x.send(r)
	}
	if err != nil && x.writeDone == nil && (k.bytesWritten == 0 || r.Body != nil && r.Body.restErr != nil) {
		x.abort()
		return nil, x.classifyFailure(ctx, r, err)
	}
	x.sendErr = err
	// The other side may have answered before the write failed.
	resp, respErr := x.readResponse(r)
	if respErr != nil {
		x.abort()
		return nil, x.classifyFailure(ctx, r, respErr)
	}
	x.Response = resp
	if isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, x: x, ctx: ctx, deadline: r.Deadline}
	}
	rejection, respErr := x.checkRejection()
	if respErr == nil && rejection == nil && (r.IgnoreBody == nil || !r.IgnoreBody(resp)) {
		respErr = bufferBody(resp, r.BufferBytes, r.MayBuffer)
	}
	if respErr != nil {
		x.abort()
		return nil, x.classifyFailure(ctx, r, respErr)
	}
	x.Early = err != nil || x.isBodyUnsent()
	if rejection != nil {
		_ = x.Drain()
		return nil, rejection
	}
	return x, nil
}

// send writes the request. A body that is not kept completely is written by a separate
// goroutine, so that an early answer can be read.
func (x *Exchange) send(r *Request) error {
	h := r.HTTP
	if _, ok := h.Header["User-Agent"]; !ok {
		h.Header["User-Agent"] = noUserAgent
	}
	if r.Call != nil {
		left := time.Until(r.Deadline)
		r.Call.Remaining = left - min(left/10, rejectionMargin)
		h.Header[headerCall] = []string{r.Call.Encode()}
	}
	delete(h.Header, headerProof)
	if x.conn.proof != "" {
		h.Header[headerProof] = []string{x.conn.proof}
		x.conn.proof = ""
	}
	h.Body, h.ContentLength = nil, 0
	if r.Body != nil {
		h.Body, h.ContentLength = r.Body.newReader(), r.Body.length
	}
	if r.AwaitAcceptance && r.Body != nil {
		x.held = newHeldBody(x.conn.bw, h.Body)
		h.Body = x.held
		h.Header["Expect"] = expectContinue
	}
	if r.Body.IsFullyKept() && x.held == nil {
		err := x.writeRequest(h)
		x.countDispatch()
		return err
	}
	x.writeDone = make(chan error, 1)
	go func() {
		err := x.writeRequest(h)
		if r.Body.restErr != nil && x.held.isReleased() {
			// There will be no answer to an incomplete request, so stop waiting for one.
			_ = x.conn.SetReadDeadline(time.Unix(1, 0))
		}
		x.writeDone <- err
	}()
	return nil
}

func (x *Exchange) writeRequest(h *http.Request) error {
	if err := h.Write(x.conn.bw); err != nil {
		return err
	}
	return x.conn.bw.Flush()
}

// countDispatch increments ClientOptions.Dispatches if at least one byte of the request was written.
// It must be called after the request was written or its writing has failed: bytesWritten is not
// final before.
func (x *Exchange) countDispatch() {
	if x.conn.bytesWritten > 0 {
		x.client.options.Dispatches.Inc()
	}
}

// isBodyUnsent reports whether the request body has not been sent completely.
func (x *Exchange) isBodyUnsent() bool {
	if x.writeDone == nil {
		return false
	}
	select {
	case x.sendErr = <-x.writeDone:
		x.writeDone = nil
		x.countDispatch()
		return x.sendErr != nil
	default:
		return true
	}
}

// stopWriter stops the goroutine that writes the request body and waits for it.
func (x *Exchange) stopWriter() {
	if x.writeDone == nil {
		return
	}
	if x.held.abandon() {
		_ = x.conn.SetDeadline(time.Unix(1, 0)) // the head may not be sent yet
		<-x.writeDone                           // nothing of the body was read
		x.writeDone = nil
		return
	}
	_ = x.conn.SetDeadline(time.Unix(1, 0))
	x.body.interrupt(x.unblockBody)
	if <-x.writeDone != nil {
		netconn.ResetOnClose(x.conn.Conn) // the other side may not read, and would not notice a proper close
	}
	x.writeDone = nil
	x.countDispatch()
}

// classifyFailure returns the failure of an exchange that ended with err and without an answer. The
// verdict is NotRun only if no byte was written.
func (x *Exchange) classifyFailure(ctx context.Context, r *Request, err error) *Failure {
	v := verdict.MayHaveRun
	if x.conn.bytesWritten == 0 || x.held.isAbandoned() {
		v = verdict.NotRun
	}
	switch {
	case r.Body != nil && IsSlowBody(r.Body.restErr):
		return NewFailure(KindSlowBody, v, errors.New("the request body did not arrive before the deadline"))
	case r.Body != nil && r.Body.restErr != nil:
		return NewFailure(KindRequestBody, v, r.Body.restErr)
	case !time.Now().Before(r.Deadline):
		// First, since a server also cancels the context of a request whose body does not arrive in time.
		return NewFailure(KindTimeout, v, errors.New("deadline passed"))
	case ctx.Err() != nil:
		return NewFailure(KindCancelled, v, ctx.Err())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return NewFailure(KindTimeout, v, errors.New("deadline passed"))
	case v == verdict.NotRun:
		return NewFailure(KindUnsent, v, err)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("connection was closed before the answer")
	}
	return NewFailure(KindCut, v, err)
}

func (x *Exchange) abort() {
	x.stopCancellation()
	x.stopWriter()
	_ = x.conn.Close()
}

// Finish ends the exchange. complete means that the response body was read to its end
// without an error; only then can the connection be reused.
func (x *Exchange) Finish(complete bool) {
	stopped := x.stopCancellation()
	x.stopWriter()
	k := x.conn
	if !complete || !stopped || x.Early || x.Response.Close || k.br.Buffered() > 0 || x.Response.StatusCode == http.StatusRequestTimeout {
		_ = k.Close()
		return
	}
	x.client.putIdle(k)
}

// LimitIdleTime limits how long the connection may be idle before its next use. It must be called
// before the exchange is finished.
func (x *Exchange) LimitIdleTime(d time.Duration) { x.conn.maxIdleTime = d }

// MarkRefused records that the answer refused the call, so that no other call with the same request
// ID is sent on the connection. It must be called before the exchange is finished.
func (x *Exchange) MarkRefused() {
	x.conn.refusedIDs = append(x.conn.refusedIDs, xxhash.Sum64String(x.requestID))
}
