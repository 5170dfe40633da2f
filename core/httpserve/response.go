package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// response is the http.ResponseWriter of one request. It holds what is written until it is the turn
// of the response: until the responses to the earlier requests of the connection are complete.
type response struct {
	c      *conn
	req    *http.Request
	cancel context.CancelFunc
	body   *requestBody // nil if the request has none
	// turn is closed once the earlier responses are complete, and done once this one is.
	turn <-chan struct{}
	done chan struct{}
	// exclusive means that no other request of the connection is in progress at the same time.
	exclusive bool
	// writeDeadline is the deadline for writes that the handler has set; zero if it set none. It
	// applies from the turn of the response on.
	writeDeadline time.Time
	// closeAfter means that the connection is closed after this response.
	closeAfter bool

	header      http.Header
	status      int
	wroteHeader bool
	// out holds the head and the part of the body that was not sent yet.
	out []byte
	// headDone is set once the head is in out or was sent. chunked is then valid.
	headDone, chunked bool
	// length is the Content-Length of the response; -1 if it is unknown. written counts its body.
	length, written int64
	hijacked        bool
	// streaming is set once a part of the response may be sent before the handler returns, and sent once any of it was.
	// spooled is the part of Server.spooled that this response accounts for.
	streaming, sent bool
	spooled         int64
	// held is what the account of the connection holds for this request; outHeld is the part of it for out.
	held    atomic.Int64
	outHeld int64
}

// outBytes is the initial size of the buffers in outBuffers.
const outBytes = 8 << 10

// outBuffers hold encoded responses.
var outBuffers = sync.Pool{New: func() any { b := make([]byte, 0, outBytes); return &b }}

// maxPooledBytes bounds the capacity of the buffers in outBuffers.
const maxPooledBytes = 64 << 10

func newResponse(c *conn, req *http.Request, turn <-chan struct{}) *response {
	ctx, cancel := context.WithCancel(c.requestCtx)
	r := &response{c: c, cancel: cancel, turn: turn, done: make(chan struct{}), header: http.Header{}, length: -1}
	if req.Body != nil && req.Body != http.NoBody && req.ContentLength != 0 {
		r.body = newRequestBody(c, r, req)
		req.Body = r.body
	} else {
		req.Body = http.NoBody
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	r.held.Store(c.heads.TakeCost())
	r.req = req.WithContext(ctx)
	r.closeAfter = req.Close
	out := outBuffers.Get().(*[]byte)
	r.out = (*out)[:0]
	return r
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.wroteHeader || r.hijacked {
		return
	}
	r.wroteHeader, r.status = true, status
	if v := r.header.Get("Content-Length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			r.header.Del("Content-Length")
		} else {
			r.length = n
		}
	}
	if hasToken(r.header.Get("Connection"), "close") {
		r.closeAfter = true
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.hijacked {
		return 0, http.ErrHijacked
	}
	if !bodyAllowed(r.status) {
		return 0, http.ErrBodyNotAllowed
	}
	r.written += int64(len(p))
	if r.length >= 0 && r.written > r.length {
		return 0, http.ErrContentLength
	}
	if r.req.Method == http.MethodHead || len(p) == 0 {
		return len(p), nil
	}
	if r.length < 0 && !r.headDone && len(r.out)+len(p) <= maxUnframed {
		r.out = append(r.out, p...) // the length is known if the handler returns now
		return len(p), nil
	}
	r.encodeHead()
	r.appendBody(p)
	if len(r.out) > flushBytes && r.isTurn() || len(r.out) > maxHeldBytes || !r.holdOut() {
		if err := r.stream(); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// stream sends what out holds, once it is the turn of the response, unless a later request of the connection has been started:
// its response would be lost with the connection if this one were cut. The response is then held until the handler
// returns, as long as the bounds of spooled responses permit. Once a response is streamed, no later request starts before its end.
func (r *response) stream() error {
	if err := r.awaitTurn(); err != nil {
		return err
	}
	if !r.streaming && r.c.hasLater(r) && r.spool() {
		return nil
	}
	r.streaming = true
	return r.send()
}

// TryReset discards what was written to w, a response of a Server, if nothing of it was sent. It reports whether it did; the
// handler may then write another response.
func TryReset(w http.ResponseWriter) bool {
	r, ok := w.(*response)
	if !ok || r.sent || r.hijacked {
		return false
	}
	r.unspool()
	clear(r.header)
	r.status, r.wroteHeader, r.headDone, r.chunked, r.length, r.written = 0, false, false, false, -1, 0
	r.out, r.closeAfter = r.out[:0], r.req.Close
	return true
}

const (
	// maxUnframed is the size of a body of unknown length up to which its end is awaited, so that a
	// length can be sent in place of chunks.
	maxUnframed = 2 << 10
	// flushBytes is the number of bytes of a response that are collected before they are sent.
	flushBytes = 32 << 10
)

func (r *response) isTurn() bool {
	select {
	case <-r.turn:
		return true
	default:
		return false
	}
}

func (r *response) appendBody(p []byte) {
	if r.chunked {
		r.out = strconv.AppendInt(r.out, int64(len(p)), 16)
		r.out = append(r.out, "\r\n"...)
		r.out = append(append(r.out, p...), "\r\n"...)
		return
	}
	r.out = append(r.out, p...)
}

// encodeHead puts the head before the body that out holds. It does nothing if that was done before.
func (r *response) encodeHead() {
	if r.headDone {
		return
	}
	r.headDone = true
	body := append([]byte(nil), r.out...)
	h := r.header
	r.chunked = r.length < 0 && bodyAllowed(r.status) && r.req.Method != http.MethodHead && r.req.ProtoAtLeast(1, 1)
	if r.length < 0 && !r.chunked && bodyAllowed(r.status) && r.req.Method != http.MethodHead {
		r.closeAfter = true // the end of the connection ends the body
	}
	if r.c.isLast(r) || !r.canReuse() {
		r.closeAfter = true
	}
	r.out = append(r.out[:0], "HTTP/1.1 "+statusLine(r.status)+"\r\n"...)
	if _, ok := h["Date"]; !ok {
		r.out = time.Now().UTC().AppendFormat(append(r.out, "Date: "...), http.TimeFormat)
		r.out = append(r.out, "\r\n"...)
	}
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	if !bodyAllowed(r.status) {
		h.Del("Content-Length")
	}
	for name, values := range h {
		for _, v := range values {
			r.out = append(append(append(append(r.out, name...), ": "...), headerValue(v)...), "\r\n"...)
		}
	}
	if r.chunked {
		r.out = append(r.out, "Transfer-Encoding: chunked\r\n"...)
	}
	switch {
	case r.closeAfter:
		r.out = append(r.out, "Connection: close\r\n"...)
	case !r.req.ProtoAtLeast(1, 1):
		r.out = append(r.out, "Connection: keep-alive\r\n"...)
	}
	r.out = append(r.out, "\r\n"...)
	if len(body) > 0 {
		r.appendBody(body)
	}
}

// canReuse reports whether the connection can be used after this response.
func (r *response) canReuse() bool {
	if !r.req.ProtoAtLeast(1, 1) && !hasToken(r.req.Header.Get("Connection"), "keep-alive") {
		return false
	}
	return r.body == nil || !r.body.isContinuePending()
}

// send writes what out holds to the connection, once it is the turn of the response.
func (r *response) send() error {
	if err := r.awaitTurn(); err != nil {
		return err
	}
	r.unspool()
	if len(r.out) == 0 {
		return nil
	}
	r.sent = true
	if !r.writeDeadline.IsZero() {
		if err := r.c.nc.SetWriteDeadline(r.writeDeadline); err != nil {
			return err
		}
	}
	_, err := r.c.nc.Write(r.out)
	r.out = r.out[:0]
	return err
}

// awaitTurn waits until the earlier responses of the connection are complete.
func (r *response) awaitTurn() error {
	select {
	case <-r.turn:
		return nil
	case <-r.c.ctx.Done():
		return errConnClosed
	}
}

var errConnClosed = errors.New("connection was closed before the response was sent")

// complete sends the rest of the response and reports whether all of it was sent.
func (r *response) complete() bool {
	if r.hijacked {
		return true
	}
	r.WriteHeader(http.StatusOK)
	if r.length < 0 && !r.headDone && bodyAllowed(r.status) && (r.req.Method != http.MethodHead || r.written > 0) {
		r.length = r.written
		r.header["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	r.encodeHead()
	if r.chunked {
		r.out = append(r.out, "0\r\n\r\n"...)
	}
	short := r.length >= 0 && r.written < r.length && r.req.Method != http.MethodHead && bodyAllowed(r.status)
	err := r.send()
	if !r.writeDeadline.IsZero() {
		_ = r.c.nc.SetWriteDeadline(time.Time{})
	}
	if cap(r.out) <= maxPooledBytes {
		out := r.out
		outBuffers.Put(&out)
	}
	r.out = nil
	return err == nil && !short
}

// FlushError sends what was written so far. A response whose turn has not come is not held up: what
// it holds is sent with its end.
func (r *response) FlushError() error {
	r.WriteHeader(http.StatusOK)
	if r.length >= 0 && r.written >= r.length || !r.isTurn() && len(r.out) <= maxHeldBytes {
		return nil // complete sends the whole response
	}
	r.encodeHead()
	return r.stream()
}

// SetWriteDeadline implements the method of http.ResponseController. Until the turn of the response
// another one is being written, so the deadline is set with the first write after that.
func (r *response) SetWriteDeadline(t time.Time) error {
	r.writeDeadline = t
	return nil
}

// SetReadDeadline implements the method of http.ResponseController. It bounds reads of the request
// body and has no effect once the body was read.
func (r *response) SetReadDeadline(t time.Time) error {
	if r.body == nil {
		return nil
	}
	return r.body.setDeadline(t)
}

// EnableFullDuplex implements the method of http.ResponseController: the body can always be read while
// the response is written.
func (r *response) EnableFullDuplex() error { return nil }

// Hijack implements http.Hijacker. It must be called in the turn of the response.
func (r *response) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	if r.headDone && len(r.out) > 0 {
		if err := r.send(); err != nil {
			return nil, nil, err
		}
	}
	r.hijacked = true
	r.c.mu.Lock()
	r.c.closed, r.c.noMore = true, true
	r.c.forget(r)
	r.c.changed.Broadcast()
	r.c.mu.Unlock()
	return r.c.nc, bufio.NewReadWriter(r.c.br, bufio.NewWriter(r.c.nc)), nil
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	return strconv.Itoa(status) + " " + text
}

// headerValue returns a value without line breaks, which would end the field.
func headerValue(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
	}
	return v
}

// hasToken reports whether a comma-separated header value contains the token.
func hasToken(value, token string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

var _ io.Writer = (*response)(nil)
