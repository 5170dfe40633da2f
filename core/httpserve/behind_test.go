package httpserve

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests that have been started and get no response, because that of an earlier request of the connection was cut
// after a part of it had been sent.
func TestRequestBehindACutResponseIsAnswered(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40<<10/16)
	started := make(chan string, 8)
	cut := make(chan struct{})
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path != "/cut" {
			_, _ = io.WriteString(w, "whole")
			return
		}
		<-cut // the request behind this one has been started
		for range 8 {
			_, _ = io.WriteString(w, long)
			_ = http.NewResponseController(w).Flush()
		}
		if !TryReset(w) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "cut")
	})})
	c, br := dial(t, address)
	_, _ = io.WriteString(c, get("/cut")+get("/behind"))
	for range 2 {
		<-started
	}
	close(cut)
	if r, body := readBody(t, br); r.StatusCode != http.StatusBadGateway || body != "cut" || r.Header.Get("Connection") != "" {
		t.Fatalf("the cut response is %d %q", r.StatusCode, body)
	}
	if r, body := readBody(t, br); r.StatusCode != http.StatusOK || body != "whole" {
		t.Fatalf("the response behind it is %d %q", r.StatusCode, body)
	}
	_, _ = io.WriteString(c, get("/next"))
	if r, _ := readBody(t, br); r.StatusCode != http.StatusOK {
		t.Fatalf("the next response is %d", r.StatusCode)
	}
}

// Guards against a request that is started behind a response of which a part has been sent, and is lost if that is cut; and
// against a response that is held although no request is behind it.
func TestRequestIsNotStartedBehindAStream(t *testing.T) {
	started := make(chan string, 8)
	end := make(chan struct{})
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/stream" {
			_, _ = io.WriteString(w, strings.Repeat("x", 4<<10))
			_ = http.NewResponseController(w).Flush()
			<-end
		}
	})})
	c, br := dial(t, address)
	_, _ = io.WriteString(c, get("/stream"))
	<-started
	if _, err := br.Peek(1); err != nil {
		t.Fatalf("the stream is held: %v", err)
	}
	_, _ = io.WriteString(c, get("/behind"))
	select {
	case p := <-started:
		t.Fatalf("%s was started behind a stream", p)
	case <-time.After(100 * time.Millisecond):
	}
	close(end)
	readBody(t, br)
	<-started
	readBody(t, br)
}

// Guards against held responses that take more memory than their bounds, and against an account of them that is not settled.
func TestSpooledResponsesAreBounded(t *testing.T) {
	s := &Server{}
	peak := make(chan int64, 8)
	behind := make(chan struct{}, 8)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			behind <- struct{}{}
			return
		}
		<-behind
		highest := int64(0)
		for range 3 * maxSpooledBytes / flushBytes {
			_, _ = w.Write(make([]byte, flushBytes))
			highest = max(highest, s.spooled.Load())
		}
		peak <- highest
	})
	address := startServer(t, s)
	c, br := dial(t, address)
	_, _ = io.WriteString(c, get("/long")+get("/behind"))
	if _, body := readBody(t, br); len(body) != 3*maxSpooledBytes {
		t.Fatalf("the long response has %d bytes", len(body))
	}
	readBody(t, br)
	if n := <-peak; n < maxSpooledBytes/2 || n > maxSpooledBytes {
		t.Errorf("%d bytes were held, the bound is %d", n, maxSpooledBytes)
	}
	if n := s.spooled.Load(); n != 0 {
		t.Errorf("%d bytes are accounted for after the responses", n)
	}
}
