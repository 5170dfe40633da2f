package httpcall

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Errors for responses that cannot be used as the answer to the call.
var (
	// errUnframed means that a response has no framing, so that a complete body could not be
	// distinguished from a truncated one.
	errUnframed = errors.New("response has neither a length nor chunked encoding")
	// errInvalidRejection means that a rejection has no valid signature for this call.
	errInvalidRejection = errors.New("rejection by the node is not signed for this call")
	// errUnrelatedResponse means that only responses to other requests arrived.
	errUnrelatedResponse = errors.New("response belongs to another request")
)

// maxUnrelatedResponses is the number of responses to other requests after which the exchange
// fails and its connection is closed.
const maxUnrelatedResponses = 4

// readResponse reads the head of the response to r. It skips responses to other requests, together
// with their bodies.
func (x *Exchange) readResponse(r *Request) (*http.Response, error) {
	for range maxUnrelatedResponses {
		resp, err := x.readResponseHead(r.HTTP, r.BufferBytes > 0 && !x.client.options.Authenticate)
		if err != nil {
			return nil, err
		}
		if r.Skip == nil || !r.Skip(resp) {
			return resp, nil
		}
		if resp.Close {
			return nil, errUnrelatedResponse
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxKeptBytes))
		if err != nil || n == MaxKeptBytes {
			return nil, errUnrelatedResponse
		}
	}
	return nil, errUnrelatedResponse
}

// bufferBody reads a body of at most limit bytes into memory if mayBuffer permits. A longer body is streamed: reading it
// returns the buffered bytes first and then the rest.
func bufferBody(resp *http.Response, limit int, mayBuffer func(int64) bool) error {
	if limit <= 0 || resp.Body == http.NoBody || resp.ContentLength > int64(limit) {
		return nil
	}
	size, needed := resp.ContentLength, resp.ContentLength
	if size < 0 {
		size, needed = 1024, int64(limit)
	}
	if mayBuffer != nil && !mayBuffer(needed+bytes.MinRead) {
		return nil
	}
	buf := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(buf, io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return err
	}
	if n > int64(limit) {
		resp.Body = io.NopCloser(io.MultiReader(buf, resp.Body))
		return nil
	}
	resp.Body, resp.ContentLength, resp.TransferEncoding = io.NopCloser(buf), n, nil
	return nil
}

// readResponseHead reads the head of the first response that is not interim (1xx). With
// allowUnframed it accepts a body without a length or chunks, which ends with its connection.
func (x *Exchange) readResponseHead(h *http.Request, allowUnframed bool) (*http.Response, error) {
	for range 8 { // bounds the interim responses that a faulty upstream can send
		resp, err := x.conn.br.ReadResponse(h)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("response switches protocols although no upgrade was requested")
		}
		if resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusContinue {
				x.held.release()
			}
			continue
		}
		if !allowUnframed && isUnframed(resp) {
			return nil, errUnframed
		}
		return resp, nil
	}
	return nil, errors.New("too many interim responses")
}

// checkRejection returns the failure of the call if the response is a signed rejection, which
// proves that the call did not run, and nil if the response is not a rejection. It returns an error
// if the signature is not valid for this call.
func (x *Exchange) checkRejection() (*Failure, error) {
	h := x.Response.Header
	v := h.Get(headerRejected)
	if v == "" || !x.client.options.Authenticate {
		return nil, nil
	}
	reason, ok := x.conn.auth.verifyRejection(v)
	if !ok {
		return nil, errInvalidRejection
	}
	f := NewFailure(KindRejected, verdict.NotRun, errors.New("rejected by the node"))
	f.Reason = reason
	var l NodeLoad
	l, f.HasLoad = ParseNodeLoad(h.Get(HeaderLoad))
	f.Load = l.Load
	f.Work, f.HasWork = ParseNodeWork(h)
	return f, nil
}

// drainTimeout is how long Drain waits for a body that does not arrive together with its head.
// It is short because a refused call is then still to be sent to another endpoint.
const drainTimeout = 2 * time.Millisecond

// Drain finishes the exchange without using the response body. It reads a short body that
// arrives within drainTimeout, so that the connection can be reused. Otherwise it closes the
// connection: the outcome is known from the head and must not wait for the body.
func (x *Exchange) Drain() error {
	if _, ok := x.Response.Body.(*unframedBody); ok {
		x.Finish(false) // its connection cannot be reused, and its end may be long in coming
		return nil
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		x.Finish(false)
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, MaxKeptBytes))
	x.Finish(err == nil && n < MaxKeptBytes)
	return err
}

// CopyBody copies the response body to w. It calls flush, which sends what w has buffered, so that
// the receiver need not wait until the handler returns: after each read if the length of the body
// is unknown, and once at the end otherwise. readErr means that the response was truncated;
// writeErr means that writing to w or flushing it failed.
func (x *Exchange) CopyBody(w io.Writer, flush func() error) (readErr, writeErr error) {
	stream := x.Response.ContentLength < 0
	if x.Response.Body == http.NoBody {
		return nil, flush()
	}
	var buf *[]byte
	if x.mayBuffer == nil || x.mayBuffer(copyBytes) {
		buf = copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buf)
	} else {
		small := make([]byte, smallCopyBytes)
		buf = &small
	}
	for {
		n, err := x.Response.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return nil, werr
			}
			if stream {
				if werr := flush(); werr != nil {
					return nil, werr
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && stream:
			return nil, nil
		case errors.Is(err, io.EOF):
			return nil, flush()
		case err != nil:
			return err, nil
		}
	}
}

// SetBodyHeaders copies the length of the response to the headers of an answer. If the headers have
// no content type, SetBodyHeaders keeps net/http from adding a guess based on the body.
func SetBodyHeaders(to http.Header, resp *http.Response) {
	if resp.ContentLength >= 0 {
		to["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
