package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// countingReader counts the bytes read from a body beyond its kept part.
type countingReader struct {
	io.Reader
	n atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// newHeldRequest returns a request with a body of 100 KB that waits for its acceptance.
func newHeldRequest(t *testing.T, address string) (*Request, *countingReader) {
	t.Helper()
	rest := &countingReader{Reader: strings.NewReader(strings.Repeat("y", 100<<10))}
	in := httptest.NewRequest(http.MethodPost, "/", rest)
	in.ContentLength = 100 << 10
	b, err := ReadBody(deadlineWriter{httptest.NewRecorder()}, in, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	rest.n.Store(0)
	return &Request{
		To: Target{Address: address}, Body: b, AwaitAcceptance: true, Deadline: time.Now().Add(2 * time.Second), BufferBytes: 1 << 10,
		HTTP: &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
	}, rest
}

// deadlineWriter accepts the calls of http.ResponseController that ReadBody makes.
type deadlineWriter struct{ http.ResponseWriter }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }
func (deadlineWriter) EnableFullDuplex() error         { return nil }

// Guards against a body that is sent to a node which rejects the request, against one that cannot be
// offered again because its rest was read, and against one that is not sent once it was accepted.
func TestBodyIsSentOnceAccepted(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Refuse") == "" {
			n, _ := io.Copy(io.Discard, r.Body)
			received.Store(n)
		}
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	c := NewClient(ClientOptions{})
	defer c.Close()
	address := server.Listener.Addr().String()

	r, rest := newHeldRequest(t, address)
	r.HTTP.Header.Set("Refuse", "1")
	x, f := c.Do(context.Background(), r)
	if f != nil {
		t.Fatal(f)
	}
	_ = x.Drain()
	if rest.n.Load() != 0 || !r.Body.CanRewind() {
		t.Fatalf("%d bytes of a refused body were read, can be sent again: %v", rest.n.Load(), r.Body.CanRewind())
	}

	r, _ = newHeldRequest(t, address)
	if x, f = c.Do(context.Background(), r); f != nil {
		t.Fatal(f)
	}
	x.Finish(true)
	if received.Load() != 100<<10 {
		t.Fatalf("%d bytes arrived", received.Load())
	}
}

// Guards against a request that counts as possibly run although its connection broke before the body
// was asked for: nodes dispatch nothing before that.
func TestCutBeforeAcceptanceHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 1024))
			_ = nc.Close()
		}
	}()
	c := NewClient(ClientOptions{})
	defer c.Close()
	r, rest := newHeldRequest(t, l.Addr().String())
	_, f := c.Do(context.Background(), r)
	if f == nil || f.Verdict() != verdict.NotRun || rest.n.Load() != 0 {
		t.Fatalf("%v, %d bytes read", f, rest.n.Load())
	}
}
