package httpcall

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// endlessBytes is how much a test connection sends of an endless head or body. It bounds the
// memory of a failing test.
const endlessBytes = 4 << 20

// endlessHeads holds response heads that do not end: begin is sent once, then part repeatedly.
var endlessHeads = map[string]struct{ begin, part string }{
	"one line":        {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1<<10)},
	"status line":     {"HTTP/1.1 200 ", strings.Repeat("x", 1<<10)},
	"many lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("Ab: c\r\n", 150)},
	"short lines":     {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\n", 300)},
	"continued line":  {"HTTP/1.1 200 OK\r\nA: b\r\n", strings.Repeat(" c\r\n", 250)},
	"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 40)},
	"interim head":    {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("Link: c\r\n", 110)},
}

// streamEndless sends begin, then part repeatedly, and keeps the connection open until quit is
// closed.
func streamEndless(c net.Conn, begin, part string, quit <-chan struct{}) {
	_, err := io.WriteString(c, begin)
	for n := 0; n < endlessBytes && err == nil; n += len(part) {
		_, err = io.WriteString(c, part)
	}
	<-quit
}

// Guards against reading an endless head until the deadline: the process would hold all of
// it in memory, and the call would fail late.
func TestEndlessHeadsEndTheExchange(t *testing.T) {
	for name, e := range endlessHeads {
		quit := make(chan struct{})
		address, _ := startRawServer(t, func(c net.Conn, _ int) { streamEndless(c, e.begin, e.part, quit) })
		c := NewClient(ClientOptions{Rank: rank.Routing})
		x, f := doGet(c, address)
		switch {
		case f == nil:
			t.Errorf("%s: answer %v", name, x.Response.Status)
			x.Finish(false)
		case f.Kind != KindCut || f.Verdict() != verdict.MayHaveRun:
			t.Errorf("%s: %v, want a cut that may have run", name, f)
		}
		if len(c.idle[address]) > 0 {
			t.Errorf("%s: the connection was kept", name)
		}
		c.Close()
		close(quit)
	}
}

// Guards against heads with so many short fields that they use much memory although they are
// within the limit in bytes: a field takes up several times its length in memory.
func TestFieldsOfAHeadAreBounded(t *testing.T) {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
	for i := range 3000 {
		b.WriteString(string(rune('A'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)) + ":\n")
	}
	b.WriteString("\r\n")
	address, _ := startRawServer(t, func(c net.Conn, _ int) { _, _ = io.WriteString(c, b.String()) })
	c := NewClient(ClientOptions{Rank: rank.Routing})
	defer c.Close()
	if x, f := doGet(c, address); f == nil {
		t.Errorf("a head of %d bytes with %d fields was accepted", b.Len(), len(x.Response.Header))
		x.Finish(false)
	} else if f.Kind != KindCut || f.Verdict() != verdict.MayHaveRun {
		t.Errorf("%v, want a cut that may have run", f)
	}
}

// Guards against a faulty upstream that exhausts the memory of the node: 32 connections send
// endless heads at the same time.
func TestMemoryOfEndlessHeads(t *testing.T) {
	const conns, maxHeapGrowthBytes = 32, 64 << 20
	e := endlessHeads["one line"]
	quit := make(chan struct{})
	defer close(quit)
	address, _ := startRawServer(t, func(c net.Conn, _ int) { streamEndless(c, e.begin, e.part, quit) })
	c := NewClient(ClientOptions{Rank: rank.Routing})
	defer c.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if x, f := doGet(c, address); f == nil {
				x.Finish(false)
			}
		}()
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	// HeapSys never shrinks, so it shows the peak.
	heapGrowthBytes := int64(after.HeapSys) - int64(before.HeapSys)
	t.Logf("heap taken from the system grew by %d KiB", heapGrowthBytes>>10)
	if heapGrowthBytes > maxHeapGrowthBytes {
		t.Errorf("heap taken from the system grew by %d MiB, the limit is %d", heapGrowthBytes>>20, maxHeapGrowthBytes>>20)
	}
}

// Guards against a client that waits until the deadline for the body of a rejection. The signed
// head alone proves that the call did not run.
func TestRejectionDoesNotWaitForItsBody(t *testing.T) {
	quit := make(chan struct{})
	a := &Acceptor{Key: testKey, Node: "n"}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := a.Accept(w, r)
		if s == nil {
			return
		}
		w.Header().Set("Content-Length", "10")
		s.Reject(w, ReasonQueueFull)
		_ = http.NewResponseController(w).Flush()
		<-quit
	}))
	srv.Config.ConnContext = a.ConnContext
	srv.Start()
	defer srv.Close()
	defer close(quit)
	c := NewClient(ClientOptions{Rank: rank.Routing, Authenticate: true, Key: testKey})
	defer c.Close()
	for _, buffer := range []int{0, 1 << 10} {
		r := newRequest(srv.Listener.Addr().String())
		r.Call, r.BufferBytes = &Call{Service: "s", Organisation: "o"}, buffer
		_, f := c.Do(t.Context(), r)
		if f == nil || f.Kind != KindRejected || f.Reason != ReasonQueueFull || f.Verdict() != verdict.NotRun {
			t.Errorf("buffer %d: %v, want the rejection", buffer, f)
		}
		if !time.Now().Before(r.Deadline) {
			t.Errorf("buffer %d: the rejection was held until the deadline", buffer)
		}
	}
}

// Guards against an exchange that reads endless chunk headers, trailers or skipped bodies until the
// deadline, and against reusing a connection on which further bytes follow an answer without a body.
func TestEndlessPartsOfBodies(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		begin, part string
		method      string
		whole       bool // the answer is complete in spite of the bytes after it
	}{
		"chunk size":        {begin: chunked, part: strings.Repeat("0", 1<<10)},
		"chunk extension":   {begin: chunked + "2;a=", part: strings.Repeat("x", 1<<10)},
		"chunk extensions":  {begin: chunked, part: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer line":      {begin: chunked + "0\r\nA: ", part: strings.Repeat("x", 1<<10)},
		"trailer lines":     {begin: chunked + "0\r\n", part: strings.Repeat("A: b\r\n", 200)},
		"other's body":      {begin: "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1000000000\r\n\r\n", part: strings.Repeat("x", 1<<10)},
		"other's chunks":    {begin: "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", part: strings.Repeat("1\r\nx\r\n", 200)},
		"behind HEAD":       {begin: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n" + strings.Repeat("x", 9), part: strings.Repeat("x", 1<<10), method: "HEAD", whole: true},
		"behind status 204": {begin: "HTTP/1.1 204 X\r\nId: 1\r\n\r\n" + strings.Repeat("x", 9), part: strings.Repeat("x", 1<<10), whole: true},
		"behind status 304": {begin: "HTTP/1.1 304 X\r\nId: 1\r\n\r\n" + strings.Repeat("x", 9), part: strings.Repeat("x", 1<<10), whole: true},
	} {
		for _, buffer := range []int{0, 256 << 10} {
			quit := make(chan struct{})
			address, _ := startRawServer(t, func(c net.Conn, _ int) { streamEndless(c, tc.begin, tc.part, quit) })
			c := NewClient(ClientOptions{Rank: rank.Routing})
			r := newRequest(address)
			if tc.method != "" {
				r.HTTP.Method = tc.method
			}
			r.BufferBytes, r.Skip = buffer, func(r *http.Response) bool { return r.Header.Get("Id") != "1" }
			x, f := c.Do(t.Context(), r)
			whole := f == nil
			if f == nil {
				readErr, _ := x.CopyBody(io.Discard, func() error { return nil })
				whole = readErr == nil
				x.Finish(whole)
			} else if f.Kind != KindCut || f.Verdict() != verdict.MayHaveRun {
				t.Errorf("%s, buffer %d: %v, want a cut that may have run", name, buffer, f)
			}
			if whole != tc.whole || !time.Now().Before(r.Deadline) || len(c.idle[address]) > 0 {
				t.Errorf("%s, buffer %d: whole %v, want %v before the deadline; %d connections kept", name, buffer, whole, tc.whole, len(c.idle[address]))
			}
			c.Close()
			close(quit)
		}
	}
}

// Guards against opening a new connection after each refusal. The connection must be kept if a
// short body arrives with the head of the refusal, and closed if the body is missing or long.
func TestDrainedConnectionIsKept(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		kept   bool
	}{
		"length":       {"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull", true},
		"chunks":       {"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", true},
		"body missing": {"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\n", false},
		"long body":    {"HTTP/1.1 503 X\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000), false},
	} {
		address, _ := startRawServer(t, func(c net.Conn, _ int) { _, _ = io.WriteString(c, tc.answer) })
		c := NewClient(ClientOptions{Rank: rank.Routing})
		r := newRequest(address)
		r.BufferBytes, r.IgnoreBody = 1<<10, func(*http.Response) bool { return true }
		x, f := c.Do(t.Context(), r)
		if f != nil {
			t.Fatalf("%s: %v", name, f)
		}
		if err := x.Drain(); err != nil && tc.kept {
			t.Errorf("%s: %v", name, err)
		}
		if kept := len(c.idle[address]) == 1; kept != tc.kept || !time.Now().Before(r.Deadline) {
			t.Errorf("%s: connection kept %v, want %v", name, kept, tc.kept)
		}
		c.Close()
	}
}

// Guards against accepting an answer between nodes that has neither a length nor chunks:
// nodes always send one of them, so that a truncated answer is noticed.
func TestAnswersOfNodesAreFramed(t *testing.T) {
	a := &Acceptor{Key: testKey, Node: "n"}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.Accept(w, r) == nil {
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
		_ = c.Close()
	}))
	srv.Config.ConnContext = a.ConnContext
	srv.Start()
	defer srv.Close()
	c := NewClient(ClientOptions{Rank: rank.Routing, Authenticate: true, Key: testKey})
	defer c.Close()
	r := newRequest(srv.Listener.Addr().String())
	r.Call, r.BufferBytes = &Call{Service: "s", Organisation: "o"}, 1<<10
	if x, f := c.Do(t.Context(), r); f == nil {
		t.Errorf("answer %v was accepted", x.Response.Status)
		x.Finish(false)
	} else if f.Kind != KindCut || f.Verdict() != verdict.MayHaveRun {
		t.Errorf("%v, want a cut that may have run", f)
	}
}

func newRequest(address string) *Request {
	r, _ := http.NewRequest(http.MethodGet, "/", nil)
	r.Host = "h"
	return &Request{To: Target{Address: address}, Deadline: time.Now().Add(2 * time.Second), HTTP: r}
}
