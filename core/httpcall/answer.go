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

// Errors of responses that are no answer to the call.
var (
	// errUnframed means that the end of a response could not be told from a cut.
	errUnframed = errors.New("response has neither a length nor chunks")
	// errUnproven means that a rejection is not signed for this call.
	errUnproven = errors.New("the rejection by the node is not one of this call")
	// errForeign means that only responses to other requests arrived.
	errForeign = errors.New("the response belongs to another request")
)

// maxForeign bounds the responses to other requests that are skipped.
const maxForeign = 4

// readAnswer reads the head of the answer.
func (x *Exchange) readAnswer(r *Request) (*http.Response, error) {
	for range maxForeign {
		resp, err := x.readHead(r.HTTP, r.Buffer > 0 && !x.client.o.Authenticate)
		if err != nil {
			return nil, err
		}
		if r.Skip == nil || !r.Skip(resp) {
			return resp, nil
		}
		if resp.Close {
			return nil, errForeign
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, KeepBytes))
		if err != nil || n == KeepBytes {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// bufferBody reads a body of at most limit bytes. A longer one is left to be
// streamed behind what was read.
func bufferBody(resp *http.Response, limit int) error {
	if limit <= 0 || resp.Body == http.NoBody || resp.ContentLength > int64(limit) {
		return nil
	}
	size := resp.ContentLength
	if size < 0 {
		size = 1024
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

// readHead reads the head of a final response.
func (x *Exchange) readHead(h *http.Request, unframed bool) (*http.Response, error) {
	for range 8 { // bounds the interim responses of a faulty upstream
		resp, err := x.conn.br.ReadResponse(h)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("response switches protocols, which was not asked for")
		}
		if resp.StatusCode < 200 {
			continue
		}
		if !unframed && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
			return nil, errUnframed
		}
		return resp, nil
	}
	return nil, errors.New("too many interim responses")
}

// rejection returns the failure of a call that the other node proved not to have run, or
// nil. The error tells that the answer is a rejection without the proof for this call.
func (x *Exchange) rejection() (*Failure, error) {
	h := x.Response.Header
	v := h.Get(headerRejected)
	if v == "" || !x.client.o.Authenticate {
		return nil, nil
	}
	reason, ok := x.conn.secret.verifyRejection(v)
	if !ok {
		return nil, errUnproven
	}
	f := NewFailure(KindRejected, verdict.NotRun, errors.New("rejected by the node"))
	f.Reason = reason
	var l NodeLoad
	l, f.HasLoad = ParseLoad(h.Get(HeaderLoad))
	f.Load = l.Busy
	return f, nil
}

// drainTime is how long Drain waits for a body that is sent behind the head instead of
// with it. It is short: the caller of a refused call still has to try elsewhere.
const drainTime = 2 * time.Millisecond

// Drain finishes the exchange of a response whose body is not used. It reads a short
// body that is there, or about to be, so that the connection can be used again. What
// the head says does not wait for more: the connection is closed then.
func (x *Exchange) Drain() error {
	if err := x.conn.SetReadDeadline(time.Now().Add(drainTime)); err != nil {
		x.Finish(false)
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, KeepBytes))
	x.Finish(err == nil && n < KeepBytes)
	return err
}

// CopyBody copies the response body to w. flush sends what w holds back: after
// each part of a body of unknown length, else once at the end, so that the other
// side need not wait for the handler to return. readErr tells that the response
// was cut; writeErr that w failed.
func (x *Exchange) CopyBody(w io.Writer, flush func() error) (readErr, writeErr error) {
	stream := x.Response.ContentLength < 0
	if x.Response.Body == http.NoBody {
		return nil, flush()
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
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

// SetLength gives an answer the framing of the response and keeps the server
// from guessing a content type.
func SetLength(to http.Header, resp *http.Response) {
	if resp.ContentLength >= 0 {
		to["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
