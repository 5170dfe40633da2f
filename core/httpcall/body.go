package httpcall

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// KeepBytes is the part of a request body that is read before the dispatch and
// kept for retries; a body up to this size can be sent again.
const KeepBytes = 64 << 10

// copyBuffers hold 32 KiB each, the size that io.Copy uses.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// keepBuffers hold request bodies; they grow to at most KeepBytes.
var keepBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Body is the body of a request: a kept start and the rest of the stream.
type Body struct {
	kept *bytes.Buffer
	// rest is nil when the whole body is kept.
	rest     io.Reader
	length   int64
	restUsed bool
	// restErr is the first error of rest other than io.EOF.
	restErr error
}

// ReadBody reads the first KeepBytes of the request's body. It blocks until
// they or the end of the body have arrived, at most up to the deadline, which
// stays set for the rest. It returns nil when there is no body. Release frees the
// kept bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	b := &Body{kept: keepBuffers.Get().(*bytes.Buffer), length: r.ContentLength}
	b.kept.Reset()
	n, err := io.Copy(b.kept, io.LimitReader(r.Body, KeepBytes+1))
	if err != nil {
		b.Release()
		return nil, errors.Wrap(err, "request body")
	}
	if n <= KeepBytes {
		b.length = n
		return b, errors.Wrap(rc.SetReadDeadline(time.Time{}), "request body")
	}
	b.rest = r.Body
	return b, errors.Wrap(rc.EnableFullDuplex(), "request body")
}

const (
	// unreadTime is how long a refusal waits for the request body. One that was sent with
	// its head is there, and leaves the connection usable.
	unreadTime = 20 * time.Millisecond
	// lingerTime is how long the rest of the body is read behind the refusal. A connection
	// that is closed while its peer sends may be reset before the peer reads the answer.
	lingerTime = time.Second
)

// AnswerUnread prepares an answer to a request whose body was not read. net/http reads
// up to 256 KiB of the body before it sends such an answer and has no deadline for it;
// here the answer comes first unless the body is there. It blocks for unreadTime at most.
func AnswerUnread(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	// Reading the body would ask a client that expects "100 Continue" for it. net/http
	// ignores the header in requests with HTTP/1.0 and waits for their bodies.
	if r.Header.Get("Expect") != "" && r.ProtoAtLeast(1, 1) {
		return
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(time.Now().Add(unreadTime)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, KeepBytes+1); errors.Is(err, io.EOF) {
		_ = rc.SetReadDeadline(time.Time{})
		return
	}
	w.Header().Set("Connection", "close")
	_ = rc.EnableFullDuplex()
	_ = rc.SetReadDeadline(time.Now().Add(lingerTime))
}

// BytesBody returns a body that holds p. It is not to be released.
func BytesBody(p []byte) *Body {
	return &Body{kept: bytes.NewBuffer(p), length: int64(len(p))}
}

// Whole reports whether the body is kept completely; a nil Body is.
func (b *Body) Whole() bool { return b == nil || b.rest == nil }

// Bytes returns the kept part.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.kept.Bytes()
}

// CanSend reports whether the body can be sent from its start: nothing beyond
// the kept part was read.
func (b *Body) CanSend() bool { return b == nil || !b.restUsed }

// Release returns the kept bytes; the body must not be used afterwards.
func (b *Body) Release() {
	if b != nil && b.kept.Cap() <= 2*KeepBytes {
		keepBuffers.Put(b.kept)
	}
}

// reader returns the body from its start, for one dispatch.
func (b *Body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.kept.Bytes()))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept.Bytes()), (*restReader)(b)))
}

type restReader Body

// Read notes that the rest was used and why it ended.
func (r *restReader) Read(p []byte) (int, error) {
	r.restUsed = true
	n, err := r.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && r.restErr == nil {
		r.restErr = err
	}
	return n, err
}
