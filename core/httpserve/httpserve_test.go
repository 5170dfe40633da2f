package httpserve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startServer serves h on a loopback port until the end of the test.
func startServer(t testing.TB, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ReadHeaderTimeout, s.MaxHeaderBytes = 5*time.Second, 32<<10
	if s.MayOverlap == nil {
		s.MayOverlap = func(r *http.Request) bool { return r.Method == http.MethodGet }
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-done; err != http.ErrServerClosed {
			t.Errorf("serve: %v", err)
		}
	})
	return l.Addr().String()
}

func dial(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n" }

// readBody reads the next response and its body.
func readBody(t testing.TB, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("response: %v", err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("body: %v", err)
	}
	return r, string(b)
}

// Guards against pipelined requests that wait for the ones before them, and against responses that
// are sent in another order than the requests.
func TestPipelinedRequestsOverlapAndAnswersKeepTheirOrder(t *testing.T) {
	const n = 8
	var running atomic.Int32
	all := make(chan struct{})
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) == n {
			close(all)
		}
		select {
		case <-all:
		case <-time.After(5 * time.Second):
		}
		// The later a request was sent, the earlier it is answered.
		k := int(r.URL.Path[1] - '0')
		time.Sleep(time.Duration(n-k) * 5 * time.Millisecond)
		if k%2 == 0 {
			w.Header().Set("Content-Length", "4000")
		}
		fmt.Fprint(w, strings.Repeat(r.URL.Path[1:], 4000))
	})})
	c, br := dial(t, address)
	text := ""
	for i := range n {
		text += get(fmt.Sprintf("/%d", i))
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if _, body := readBody(t, br); body != strings.Repeat(fmt.Sprint(i), 4000) {
			t.Fatalf("response %d has the body %.10q of %d bytes", i, body, len(body))
		}
	}
	if running.Load() != n {
		t.Fatalf("%d requests ran", running.Load())
	}
}

// Guards against requests that run although their connection is closed before their response, in a
// planned stop above all, and against a last response that does not tell of it.
func TestNothingRunsBehindTheLastResponse(t *testing.T) {
	var closing atomic.Bool
	var paths sync.Map
	address := startServer(t, &Server{IsClosing: closing.Load, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths.Store(r.URL.Path, true)
		if r.URL.Path == "/a" {
			closing.Store(true)
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	})})
	c, br := dial(t, address)
	if _, err := io.WriteString(c, get("/a")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	if _, err := io.WriteString(c, get("/b")+get("/c")+get("/d")); err != nil {
		t.Fatal(err)
	}
	if _, body := readBody(t, br); body != "/a" {
		t.Fatalf("first response %q", body)
	}
	if r, body := readBody(t, br); body != "/b" || !r.Close {
		t.Fatalf("last response %q, close %v", body, r.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("behind the last response: %v", err)
	}
	for _, p := range []string{"/c", "/d"} {
		if _, ran := paths.Load(p); ran {
			t.Errorf("%s ran although its connection was closed", p)
		}
	}
}

// Guards against a request that runs beside one whose response may close the connection, against a
// body taken for the next request, and against handlers that keep running for a client that is gone.
func TestBodiesAndDisconnects(t *testing.T) {
	var posts atomic.Int32
	cancelled := make(chan struct{}, 4)
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/post":
			posts.Add(1)
			defer posts.Add(-1)
			time.Sleep(20 * time.Millisecond)
			b, _ := io.ReadAll(r.Body)
			fmt.Fprint(w, len(b))
		case "/unread":
			w.WriteHeader(http.StatusTeapot)
		case "/wait":
			<-r.Context().Done()
			cancelled <- struct{}{}
		default:
			fmt.Fprint(w, posts.Load())
		}
	})})
	c, br := dial(t, address)
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	smuggled := get("/smuggled")
	chunked := "POST /post HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	if _, err := io.WriteString(c, post("/post", smuggled)+get("/x")+chunked+post("/unread", smuggled)+get("/x")); err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{fmt.Sprint(len(smuggled)), "0", "5", "", "0"} {
		if _, body := readBody(t, br); body != want {
			t.Fatalf("response %d is %q, want %q", i, body, want)
		}
	}
	if _, err := io.WriteString(c, get("/wait")+get("/wait")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	for range 2 {
		select {
		case <-cancelled:
		case <-time.After(5 * time.Second):
			t.Fatal("a handler runs on for a client that is gone")
		}
	}
}

// Guards against a handler that keeps running for a client that is gone, because the connection takes
// no further request and is not read any more: its request asks for the close, or the server stops.
func TestLastRequestIsCancelledWithItsClient(t *testing.T) {
	for _, tc := range []struct {
		name, request string
		closing       bool
	}{
		{"close requested", "GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		{"upload", "POST /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", false},
		{"stopping", get("/short") + get("/wait"), true},
	} {
		var closing atomic.Bool
		cancelled := make(chan struct{})
		address := startServer(t, &Server{IsClosing: closing.Load, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/short" {
				closing.Store(tc.closing)
				time.Sleep(30 * time.Millisecond)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			close(cancelled)
		})})
		c, _ := dial(t, address)
		if _, err := io.WriteString(c, tc.request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond)
		_ = c.Close()
		select {
		case <-cancelled:
		case <-time.After(3 * time.Second):
			t.Fatalf("%s: the handler runs on", tc.name)
		}
	}
}

// Guards against a handler that is held beyond its deadline by a client that does not read, also when
// the deadline was set before the turn of its response.
func TestWriteDeadlineHoldsForPipelinedResponses(t *testing.T) {
	failed := make(chan time.Duration, 1)
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			time.Sleep(30 * time.Millisecond)
			return
		}
		begin := time.Now()
		_ = http.NewResponseController(w).SetWriteDeadline(begin.Add(300 * time.Millisecond))
		chunk := make([]byte, 64<<10)
		for range 1000 {
			if _, err := w.Write(chunk); err != nil {
				failed <- time.Since(begin)
				panic(http.ErrAbortHandler)
			}
		}
	})})
	c, _ := dial(t, address)
	if _, err := io.WriteString(c, get("/short")+get("/long")); err != nil {
		t.Fatal(err)
	}
	select {
	case d := <-failed:
		if d > 2*time.Second {
			t.Fatalf("the write failed after %v", d)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the handler is held by a client that does not read")
	}
}

// Guards against an aborted response that looks complete, against a later response that follows it, and
// against one that cuts the responses before it, which take longer.
func TestAbortedResponseEndsTheConnection(t *testing.T) {
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cut" {
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "whole")
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	})})
	c, br := dial(t, address)
	if _, err := io.WriteString(c, get("/ok")+get("/cut")+get("/ok")); err != nil {
		t.Fatal(err)
	}
	if _, body := readBody(t, br); body != "whole" {
		t.Fatalf("first response %q", body)
	}
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return // nothing of the aborted response was sent
	}
	if b, err := io.ReadAll(r.Body); err == nil {
		t.Fatalf("an aborted response of %d bytes looks complete", len(b))
	}
}

// Guards against malformed requests that are passed on, and against refusals with a wrong status.
func TestMalformedRequestsAreRefused(t *testing.T) {
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"no host":           {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":         {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"space in name":     {"GET / HTTP/1.1\r\nHost: a\r\nA B: c\r\n\r\n", 400},
		"version":           {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"unknown encoding":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
		"two lengths":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"long head":         {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"other expectation": {"POST / HTTP/1.1\r\nHost: a\r\nExpect: coffee\r\nContent-Length: 1\r\n\r\na", 417},
	} {
		c, br := dial(t, address)
		if _, err := io.WriteString(c, tc.text); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(br, nil)
		if err != nil || r.StatusCode != tc.status || !r.Close {
			t.Errorf("%s: %v, %v", name, r, err)
		}
	}
}

// FuzzConnection sends a request with any body between two others, with a length or in chunks, cut at
// any byte. The body must not be taken for a request, whether the handler reads it or not, and the
// responses must be those of the requests, in their order.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/evil")+get("/evil")), uint16(1000), true, true)
	f.Add([]byte("0\r\n\r\n"+get("/evil")), uint16(150), true, false)
	f.Add([]byte(get("/evil")), uint16(1000), false, true)
	f.Add(bytes.Repeat([]byte(get("/evil")), 200), uint16(9000), false, false)
	f.Fuzz(func(t *testing.T, body []byte, cut uint16, chunked, read bool) {
		var unexpected atomic.Bool
		s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/first", "/after":
			case "/post":
				if read {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			default:
				unexpected.Store(true)
			}
			fmt.Fprint(w, r.URL.Path)
		})}
		text := get("/first")
		if chunked {
			text += "POST /post HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			if len(body) > 0 {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			text += "0\r\n\r\n"
		} else {
			text += fmt.Sprintf("POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		text += get("/after")
		c, br := dial(t, startServer(t, s))
		_, _ = io.WriteString(c, text[:min(len(text), int(cut))])
		_ = c.(*net.TCPConn).CloseWrite()
		for _, want := range []string{"/first", "/post", "/after"} {
			r, err := http.ReadResponse(br, nil)
			if err != nil {
				break // cut off
			}
			b, err := io.ReadAll(r.Body)
			if err == nil && r.StatusCode == http.StatusOK && string(b) != want {
				t.Fatalf("response %q in place of %q", b, want)
			}
		}
		if unexpected.Load() {
			t.Fatal("a part of a body ran as a request")
		}
	})
}

// Guards against cancelled requests whose connection ends before their handlers could answer them.
func TestCancelledRequestsAreAnswered(t *testing.T) {
	var running sync.WaitGroup
	running.Add(3)
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Done()
		<-r.Context().Done()
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, r.URL.Path)
	})}
	address := startServer(t, s)
	for range 20 {
		c, br := dial(t, address)
		fmt.Fprint(c, get("/1")+get("/2")+get("/3"))
		running.Wait()
		s.CancelRequests()
		for _, path := range []string{"/1", "/2", "/3"} {
			if r, body := readBody(t, br); r.StatusCode != http.StatusBadGateway || body != path {
				t.Fatalf("got status %d and %q to %s", r.StatusCode, body, path)
			}
		}
		_ = c.Close()
		running.Add(3)
	}
	running.Add(-3)
}
