package httpcall

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxKeptBytes is the number of bytes of a request body that are read before the dispatch and kept
// for retries. A longer body cannot be sent again once its rest was read.
const MaxKeptBytes = 64 << 10

const (
	// copyBytes is the size of the buffers in copyBuffers, that which io.Copy uses.
	copyBytes = 32 << 10
	// smallCopyBytes is the size of the buffer in place of them when memory is short.
	smallCopyBytes = 4 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// keptBuffers hold the kept part of request bodies, at most MaxKeptBytes+1 bytes: the additional
// byte shows that a body is longer.
var keptBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Body is the body of a request: its start, which is kept, and the rest of the stream.
type Body struct {
	kept *bytes.Buffer
	// rest is nil when the whole body is kept.
	rest io.Reader
	// length is the number of bytes of the whole body; -1 if unknown.
	length int64
	// restUsed is set when a dispatch has read from rest.
	restUsed bool
	// restErr is the first error of rest other than io.EOF. An error after interrupt was called is not recorded.
	restErr error
	// interrupted is set before this process ends a blocked read of rest, so that the error of that read is not taken
	// for one of the sender.
	interrupted atomic.Bool
}

// ReadBody reads the first MaxKeptBytes of the request's body. It blocks until these bytes or
// the end of the body have arrived. The deadline applies to this wait and, if the body is longer, to
// each later read of the rest. ReadBody returns nil if there is no body. The caller must call
// Release on the returned body.
func ReadBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	b := &Body{kept: keptBuffers.Get().(*bytes.Buffer), length: r.ContentLength}
	b.kept.Reset()
	n, err := io.Copy(b.kept, io.LimitReader(r.Body, MaxKeptBytes+1))
	if err != nil {
		b.Release()
		return nil, errors.Wrap(err, "request body")
	}
	if n <= MaxKeptBytes {
		b.length = n
		return b, errors.Wrap(rc.SetReadDeadline(time.Time{}), "request body")
	}
	b.rest = r.Body
	return b, errors.Wrap(rc.EnableFullDuplex(), "request body")
}

const (
	// unreadBodyTimeout is how long an early answer waits for the request body. A body that is sent
	// together with its head arrives in this time, and the connection can then be reused.
	unreadBodyTimeout = 20 * time.Millisecond
	// lingerTimeout is how long the rest of the body is read after the early answer was sent. Without
	// this, closing the connection while the peer is still sending could reset it before the peer
	// has read the answer.
	lingerTimeout = time.Second
)

// PrepareEarlyAnswer prepares the connection for an answer to a request whose body was not read. It
// must be called before the answer is written. It waits for the body for at most unreadBodyTimeout. If
// the body has not arrived by then, net/http sends the answer at once; it would otherwise first read
// up to 256 KiB of the body without a deadline.
func PrepareEarlyAnswer(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	// Reading the body would send "100 Continue" to a client that waits for that before it sends the
	// body. In HTTP/1.0 requests, net/http ignores the Expect header and waits for the body.
	if r.Header.Get("Expect") != "" && r.ProtoAtLeast(1, 1) {
		return
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, MaxKeptBytes+1); errors.Is(err, io.EOF) {
		_ = rc.SetReadDeadline(time.Time{})
		return
	}
	w.Header().Set("Connection", "close")
	_ = rc.EnableFullDuplex()
	_ = rc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// NewBytesBody returns a body that holds p. Release must not be called on it, since p is not one of
// the pooled buffers.
func NewBytesBody(p []byte) *Body {
	return &Body{kept: bytes.NewBuffer(p), length: int64(len(p))}
}

// IsFullyKept reports whether the body is kept completely; it returns true for a nil Body.
func (b *Body) IsFullyKept() bool { return b == nil || b.rest == nil }

// IsLargerThan reports whether the body has more than n bytes or an unknown length.
func (b *Body) IsLargerThan(n int64) bool { return b != nil && (b.length < 0 || b.length > n) }

// Bytes returns the kept part of the body.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.kept.Bytes()
}

// CanRewind reports whether the body can be sent again from its start, because nothing beyond the
// kept part was read. It returns true for a nil Body.
func (b *Body) CanRewind() bool { return b == nil || !b.restUsed }

// Release returns the buffer of the kept part to its pool; the body must not be used
// afterwards.
func (b *Body) Release() {
	if b != nil && b.kept.Cap() <= 2*MaxKeptBytes {
		keptBuffers.Put(b.kept)
	}
}

// interrupt makes a blocked read of the rest return by calling unblock, which may be nil.
func (b *Body) interrupt(unblock func()) {
	if b == nil || unblock == nil {
		return
	}
	b.interrupted.Store(true)
	unblock()
}

// IsSlowBody reports whether err means that a request body did not arrive before the deadline.
func IsSlowBody(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// newReader returns a reader of the body from its start, for one dispatch.
func (b *Body) newReader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.kept.Bytes()))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept.Bytes()), (*restReader)(b)))
}

// restReader reads the rest of a body.
type restReader Body

// Read implements io.Reader. It records that the rest of the body was read, and the first error.
func (r *restReader) Read(p []byte) (int, error) {
	r.restUsed = true
	n, err := r.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && r.restErr == nil && !r.interrupted.Load() {
		r.restErr = err
	}
	return n, err
}
