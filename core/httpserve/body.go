package httpserve

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/account"
)

// requestBody is the body of a request. Until it was read to its end, it has the read side of the
// connection; afterwards the goroutine that reads requests has.
type requestBody struct {
	c    *conn
	r    *response
	from io.ReadCloser
	// done is closed once the body was read to its end.
	done chan struct{}

	// mu guards the fields below. It is a leaf lock below all lock ranks.
	mu sync.Mutex
	// ended is set once the body was read to its end or reading it failed.
	ended bool
	// continuePending is set while the client waits for "100 Continue" before it sends the body.
	continuePending bool
	// kept is the number of bytes that were read while the request waits for the kept part of its body; -1 once the request may run.
	kept int64
	// refused is set once the connection is closed for lack of memory. Reads fail then.
	refused bool
}

func newRequestBody(c *conn, r *response, req *http.Request) *requestBody {
	return &requestBody{
		c: c, r: r, from: req.Body, done: make(chan struct{}),
		continuePending: req.ProtoAtLeast(1, 1) && req.Header.Get("Expect") != "",
	}
}

// Read implements io.Reader. The first call asks a client that waits for it to send the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	ask := b.continuePending
	b.continuePending = false
	ended, refused := b.ended, b.refused
	b.mu.Unlock()
	if refused {
		return 0, os.ErrDeadlineExceeded
	}
	if ended {
		return 0, io.EOF
	}
	if ask {
		if _, err := io.WriteString(b.c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.from.Read(p)
	if keepErr := b.keep(n, errors.Is(err, io.EOF)); keepErr != nil {
		return 0, keepErr
	}
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

// keep accounts for n bytes of the kept part of the body, which the handler holds in a buffer of up to twice the length. Once
// the part is complete, the request may run.
func (b *requestBody) keep(n int, isEnd bool) error {
	if b.kept < 0 {
		return nil
	}
	n = min(n, int(b.c.s.KeptBodyBytes-b.kept))
	if n > 0 {
		if err := b.c.account.Reserve(account.KindBody, 2*int64(n)); err != nil {
			return err
		}
		b.r.held.Add(2 * int64(n))
		b.kept += int64(n)
	}
	if !isEnd && b.kept < b.c.s.KeptBodyBytes {
		return nil
	}
	b.kept = -1
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.c.receiving = nil
	if !b.c.account.SetPhase(account.PhaseRunning) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// shed ends the reads of the body for lack of memory.
func (b *requestBody) shed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused = true
	if !b.ended {
		_ = b.c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		b.r.held.Add(b.c.heads.TakeCost()) // that of the trailer
		_ = b.c.nc.SetReadDeadline(time.Time{})
		close(b.done)
	}
}

// Close implements io.Closer. The rest of the body is read, if at all, after the response.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.refused {
		return nil
	}
	return b.c.nc.SetReadDeadline(t)
}

func (b *requestBody) isContinuePending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.continuePending
}

// discard reads the rest of a body whose request was answered, and reports whether the connection can
// be used again.
func (b *requestBody) discard() bool {
	if b.r.closeAfter || b.isContinuePending() {
		return false
	}
	_ = b.setDeadline(time.Now().Add(lingerTime))
	n, err := io.CopyN(io.Discard, b, maxUnreadBody)
	return errors.Is(err, io.EOF) && n < maxUnreadBody
}
