package httpcall

import (
	"bufio"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// expectContinue is the value of the Expect header of requests whose bodies are held back.
var expectContinue = []string{"100-continue"}

// AwaitsAcceptance reports whether the sender of a request holds its body back until the request is
// accepted, which reading the body does (RFC 9110, section 10.1.1). A node that rejects such a request
// costs the sender no body: the request can be offered to another node.
func AwaitsAcceptance(r *http.Request) bool { return r.Header.Get("Expect") != "" }

// errNotAccepted ends the writing of a body whose request was not accepted.
var errNotAccepted = errors.New("request was not accepted")

// heldBody is a request body that is not read before the request was accepted. The methods of a nil
// heldBody treat the body as released.
type heldBody struct {
	io.ReadCloser
	bw *bufio.Writer
	// headSent is set once the head of the request was flushed. Only Read uses it.
	headSent bool
	accepted chan struct{}
	refused  chan struct{}

	// mu guards the fields below. It is a leaf lock below all lock ranks.
	mu                  sync.Mutex
	released, abandoned bool
}

func newHeldBody(bw *bufio.Writer, body io.ReadCloser) *heldBody {
	return &heldBody{ReadCloser: body, bw: bw, accepted: make(chan struct{}), refused: make(chan struct{})}
}

// Read implements io.Reader. The first call sends the head, and reads nothing: the writer's buffer,
// into which http.Request.Write reads the body, is empty only after it.
func (b *heldBody) Read(p []byte) (int, error) {
	if !b.headSent {
		b.headSent = true
		return 0, b.bw.Flush()
	}
	select {
	case <-b.accepted:
		return b.ReadCloser.Read(p)
	case <-b.refused:
		return 0, errNotAccepted
	}
}

// release lets the body be sent. It has no effect on an abandoned body.
func (b *heldBody) release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && !b.abandoned {
		b.released = true
		close(b.accepted)
	}
}

// abandon ends the wait for the acceptance. It returns false if the body was released before, or if
// the request holds no body back.
func (b *heldBody) abandon() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && !b.abandoned {
		b.abandoned = true
		close(b.refused)
	}
	return b.abandoned
}

// isAbandoned reports whether nothing of the body was sent and nothing will be.
func (b *heldBody) isAbandoned() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.abandoned
}

func (b *heldBody) isReleased() bool { return !b.isAbandoned() }
