package httpcall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// errSendingFailed means that the request could not be sent to its end, so that the end of an answer
// without a length cannot be told from a reset.
var errSendingFailed = errors.New("connection ended behind an answer without a length while the request was being sent")

// isUnframed reports whether the body of the response has neither a length nor chunks, and therefore
// ends with its connection.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// unframedBody is the body of an answer that ends with its connection.
//
// The kernel reports the error of a reset connection once, to a read or to a write. If a write of the
// request has got it, the reads see a proper end. So the end of the connection is the end of the answer
// only if the request was sent without an error.
type unframedBody struct {
	io.ReadCloser
	x        *Exchange
	ctx      context.Context
	deadline time.Time
}

// Read implements io.Reader. At the end of the connection it waits until the request was sent, sending
// it has failed or the exchange ends.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.x.isSent(b) {
		err = errSendingFailed
	}
	return n, err
}

// isSent waits for the goroutine that sends the request, if there is one, and reports whether the whole
// request was sent.
func (x *Exchange) isSent(b *unframedBody) bool {
	if x.writeDone == nil {
		return x.sendErr == nil
	}
	t := time.NewTimer(time.Until(b.deadline))
	defer t.Stop()
	select {
	case x.sendErr = <-x.writeDone:
		x.writeDone = nil
		x.countDispatch()
		return x.sendErr == nil
	case <-b.ctx.Done():
	case <-t.C:
	}
	return false
}
