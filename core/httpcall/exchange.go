package httpcall

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Request is one dispatch.
type Request struct {
	To Target
	// HTTP gives method, URL, host and headers; its body fields are set by Do. The
	// header map belongs to the dispatch.
	HTTP *http.Request
	// Call is sent between nodes; nil towards upstreams.
	Call *Call
	// Body may be nil.
	Body *Body
	// Deadline bounds the exchange up to the end of the response body.
	Deadline time.Time
	// Unblock ends a blocked read of the rest of the body; it is called when the
	// answer arrives before the body was sent.
	Unblock func()
	// Skip tells that a response belongs to another request, so that the answer is
	// still to come on the connection; nil takes the first response.
	Skip func(*http.Response) bool
	// Name is what the answer names the call by; empty when it names none. The
	// call is not sent on a connection on which one of this name was refused: a copy
	// of that refusal could not be told from the answer.
	Name string
	// Decided tells that the head alone says what became of the request. The body of
	// such a response is not buffered; Drain ends the exchange. May be nil.
	Decided func(*http.Response) bool
	// Buffer makes Do read a body of up to this many bytes before it returns, so that
	// a cut answer is a failure of the dispatch. A longer body is streamed. With it,
	// a body of an upstream that ends with its connection is taken as well; nodes
	// always send a length or chunks.
	Buffer int
	// Fresh asks for a connection that was idle for at most this long; 0 takes any.
	Fresh time.Duration
}

// Exchange is an answered dispatch. Finish must be called once.
type Exchange struct {
	Response *http.Response
	// Early means that the answer came before the whole request body was sent; the
	// connection on which the request came cannot be used again.
	Early bool

	client  *Client
	conn    *conn
	name    string
	stop    func() bool
	written chan error // nil when the body was sent before the answer was read
	unblock func()
}

// proofMargin is kept of the time left, so that the proof that a call did not
// start in time still arrives before this side gives up.
const proofMargin = 5 * time.Millisecond

// Do sends the request once and reads the head of the answer. Only when no byte
// met a kept connection does it use a new one. It blocks until the head is read,
// ctx ends or the deadline passes.
func (c *Client) Do(ctx context.Context, r *Request) (*Exchange, *Failure) {
	for fresh := false; ; fresh = true {
		k, reused, err := c.open(ctx, r, fresh)
		if err != nil {
			return nil, c.notSent(ctx, r, err)
		}
		x, f := c.exchange(ctx, k, r)
		if f == nil || f.Kind != KindUnsent || !reused || !r.Body.CanSend() {
			return x, f
		}
	}
}

// notSent classifies a failure to connect.
func (c *Client) notSent(ctx context.Context, r *Request, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return NewFailure(KindCancelled, verdict.NotRun, ctx.Err())
	case !time.Now().Before(r.Deadline):
		return NewFailure(KindTimeout, verdict.NotRun, err)
	}
	return NewFailure(KindUnreachable, verdict.NotRun, err)
}

func (c *Client) exchange(ctx context.Context, k *conn, r *Request) (*Exchange, *Failure) {
	k.written = 0
	k.secret.requests++
	x := &Exchange{client: c, conn: k, name: r.Name, unblock: r.Unblock}
	err := k.SetDeadline(r.Deadline)
	x.stop = context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	if err == nil {
		err = x.send(r)
	}
	if err != nil && x.written == nil && (k.written == 0 || r.Body != nil && r.Body.restErr != nil) {
		x.abort()
		return nil, x.failure(ctx, r, err)
	}
	// After a failed write the other side may still have answered.
	resp, err2 := x.readAnswer(r)
	if err2 != nil {
		x.abort()
		return nil, x.failure(ctx, r, err2)
	}
	x.Response = resp
	rejection, err2 := x.rejection()
	if err2 == nil && rejection == nil && (r.Decided == nil || !r.Decided(resp)) {
		err2 = bufferBody(resp, r.Buffer)
	}
	if err2 != nil {
		x.abort()
		return nil, x.failure(ctx, r, err2)
	}
	x.Early = err != nil || x.stillWriting()
	if rejection != nil {
		_ = x.Drain()
		return nil, rejection
	}
	return x, nil
}

// send writes the request. A body that is not kept as a whole is written by a
// goroutine of its own, so that an early answer can be read.
func (x *Exchange) send(r *Request) error {
	h := r.HTTP
	if _, ok := h.Header["User-Agent"]; !ok {
		h.Header["User-Agent"] = noAgent
	}
	if r.Call != nil {
		left := time.Until(r.Deadline)
		r.Call.Remaining = left - min(left/10, proofMargin)
		h.Header[headerCall] = []string{r.Call.Encode()}
	}
	delete(h.Header, headerProof)
	if x.conn.proof != "" {
		h.Header[headerProof] = []string{x.conn.proof}
		x.conn.proof = ""
	}
	h.Body, h.ContentLength = nil, 0
	if r.Body != nil {
		h.Body, h.ContentLength = r.Body.reader(), r.Body.length
	}
	if r.Body.Whole() {
		err := x.write(h)
		x.count()
		return err
	}
	x.written = make(chan error, 1)
	go func() {
		err := x.write(h)
		if r.Body.restErr != nil {
			// Without the rest of the body no answer is to be waited for.
			_ = x.conn.SetReadDeadline(time.Unix(1, 0))
		}
		x.written <- err
	}()
	return nil
}

func (x *Exchange) write(h *http.Request) error {
	if err := h.Write(x.conn.bw); err != nil {
		return err
	}
	return x.conn.bw.Flush()
}

// count notes a dispatch once the writing has ended.
func (x *Exchange) count() {
	if x.conn.written > 0 {
		x.client.o.Dispatches.Inc()
	}
}

// stillWriting reports whether the body was not sent completely.
func (x *Exchange) stillWriting() bool {
	if x.written == nil {
		return false
	}
	select {
	case err := <-x.written:
		x.written = nil
		x.count()
		return err != nil
	default:
		return true
	}
}

// join ends the writing goroutine and waits for it.
func (x *Exchange) join() {
	if x.written == nil {
		return
	}
	_ = x.conn.SetDeadline(time.Unix(1, 0))
	if x.unblock != nil {
		x.unblock()
	}
	<-x.written
	x.written = nil
	x.count()
}

// failure classifies an exchange that ended without an answer.
func (x *Exchange) failure(ctx context.Context, r *Request, err error) *Failure {
	v := verdict.MayHaveRun
	if x.conn.written == 0 {
		v = verdict.NotRun
	}
	switch {
	case r.Body != nil && r.Body.restErr != nil:
		return NewFailure(KindSource, v, r.Body.restErr)
	case ctx.Err() != nil:
		return NewFailure(KindCancelled, v, ctx.Err())
	case errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(r.Deadline):
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
	x.stop()
	x.join()
	_ = x.conn.Close()
}

// Finish ends the exchange. complete tells that the response body was read up to
// its end without an error; only then can the connection be used again.
func (x *Exchange) Finish(complete bool) {
	stopped := x.stop()
	x.join()
	k := x.conn
	if !complete || !stopped || x.Early || x.Response.Close || k.br.Buffered() > 0 || x.Response.StatusCode == http.StatusRequestTimeout {
		_ = k.Close()
		return
	}
	x.client.put(k)
}

// KeepFor bounds how long the connection may be idle before its next use.
func (x *Exchange) KeepFor(d time.Duration) { x.conn.keep = d }

// Refused notes that the answer refused the call by its name. It must be called
// before the exchange is finished.
func (x *Exchange) Refused() {
	x.conn.refused = append(x.conn.refused, xxhash.Sum64String(x.name))
}
