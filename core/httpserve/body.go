package httpserve

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return 0, io.EOF
	}
	if ask {
		if _, err := io.WriteString(b.c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		_ = b.c.nc.SetReadDeadline(time.Time{})
		close(b.done)
	}
}

// Close implements io.Closer. The rest of the body is read, if at all, after the response.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
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
