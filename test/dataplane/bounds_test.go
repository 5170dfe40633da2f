package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/dialect"
	_ "github.com/celeryyard/celeryyard/platform/dialect" // registers itself
)

// raw answers each request with bytes on its connection.
func raw(t *testing.T, serve func(c net.Conn, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		serve(c, r)
	})
}

// Guards against a proof that the call did not run which is held until the deadline
// because the body of the refusal does not come, and against the same wait for the
// body of what is no answer.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Celeryyard-Attempt-Id: a\r\nX-Celeryyard-Not-Executed: full\r\n"
	for name, tc := range map[string]struct {
		head string
		part string // is sent again and again
		want int
	}{
		"no body":        {notRun + "Content-Length: 10\r\n\r\n", "", 503},
		"half a body":    {notRun + "Content-Length: 10\r\n\r\nabcde", "", 503},
		"slow body":      {notRun + "Content-Length: 1000000\r\n\r\n", "x", 503},
		"slow chunks":    {notRun + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 503},
		"no length":      {notRun + "\r\n", "x", 503},
		"misdirected":    {"HTTP/1.1 421 Misdirected Request\r\nX-Celeryyard-Attempt-Id: a\r\nContent-Length: 10\r\n\r\n", "", 503},
		"not the answer": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "", 502},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4)
			f.extra, f.buffer = []string{dialect.Name}, 256<<10
			quit := make(chan struct{})
			n := f.add("a", "z1", raw(t, func(c net.Conn, _ *http.Request) {
				defer c.Close()
				_, err := io.WriteString(c, tc.head)
				for err == nil && tc.part != "" {
					select {
					case <-quit:
						return
					case <-time.After(5 * time.Millisecond):
						_, err = io.WriteString(c, tc.part)
					}
				}
				if tc.part == "" {
					<-quit
				}
			}))
			defer close(quit)
			begin := time.Now()
			got := n.call("POST", "north", "/", "body", "X-Celeryyard-Attempt-Id", "a")
			// The deadline of the route is 2 s.
			if took := time.Since(begin); got.err != nil || got.status != tc.want || took > time.Second {
				t.Errorf("status %d, %v after %v, want %d before 1 s", got.status, got.err, took, tc.want)
			}
		})
	}
}

// Guards against requests whose heads take memory without a bound, on the listeners
// for callers and for nodes.
func TestHeadsOfRequestsAreBounded(t *testing.T) {
	f := newFleet(t, 4)
	n := f.add("a", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for name, address := range map[string]string{"callers": n.outbound, "nodes": n.inbound} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		go func() {
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: north\r\nA: %s\r\n\r\n", strings.Repeat("x", 256<<10))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: %v, %v, want status 431", name, resp, err)
		}
		_ = c.Close()
	}
	// What callers may send passes both.
	if got := n.call("GET", "north", "/", "", "A", strings.Repeat("x", 31<<10)); got.err != nil || got.status != 200 {
		t.Errorf("a head of 31 KiB: %+v", got)
	}
}

// wholes are answers of upstreams in each framing; the body is always the same.
var wholes = []struct {
	name, head, body string
	// ends means that the end of the connection is the end of the body.
	ends bool
}{
	{name: "length", head: "HTTP/1.1 200 OK\r\nX-Test: 1234\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
	{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Test: 1234\r\n\r\n", body: "hello, world"},
	{name: "bare line feeds", head: "HTTP/1.1 200 OK\nX-Test: 1234\nContent-Length: 12\n\n", body: "hello, world"},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	{name: "interim", head: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
	{name: "no length", head: "HTTP/1.1 200 OK\r\nX-Test: 1234\r\n\r\n", body: "hello, world", ends: true},
}

// end closes a connection, with a reset if wanted.
func end(c net.Conn, reset bool) {
	if tc, ok := c.(*net.TCPConn); ok && reset {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against an answer that the upstream cut at any of its bytes and that the
// caller gets as a whole one. Only the end of the connection ends an answer without
// a length: there a clean end after the head is its proper end.
func TestAnswerCutByTheUpstreamIsNeverWhole(t *testing.T) {
	for _, buffer := range []int{0, 256 << 10} {
		for _, reset := range []bool{false, true} {
			for _, w := range wholes {
				t.Run(fmt.Sprintf("buffer %d, reset %v, %s", buffer, reset, w.name), func(t *testing.T) {
					f := newFleet(t, 4)
					f.buffer, f.clust.EjectAfter = buffer, 1<<20
					all, cut := w.head+w.body, 0
					n := f.add("a", "z1", raw(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, all[:cut])
						end(c, reset)
					}))
					for cut = range len(all) {
						got := n.call("POST", "north", "/", "body")
						if got.err != nil || got.status >= 500 {
							continue
						}
						if w.ends && !reset && buffer > 0 && got.status == 200 && cut >= len(w.head) && got.body == all[len(w.head):cut] {
							continue
						}
						t.Errorf("cut at %d of %d bytes: status %d, body %q", cut, len(all), got.status, got.body)
					}
					cut = len(all)
					// A reset may overtake the bytes, and without a buffer no answer without a length is taken.
					if got := n.call("POST", "north", "/", "body"); !reset && (!w.ends || buffer > 0) && (got.status != 200 || got.body != "hello, world") {
						t.Errorf("whole: %+v", got)
					}
				})
			}
		}
	}
}

// cutter passes connections on to a node and ends each answer behind the greeting
// after a number of bytes.
type cutter struct {
	address string
	to      string
	after   atomic.Int64
	// least is the least number of bytes that are missing.
	least int64
	reset bool
	// length is that of the last answer.
	length atomic.Int64
}

func newCutter(t *testing.T, to string, least int64, reset bool) *cutter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	k := &cutter{address: l.Addr().String(), to: to, least: least, reset: reset}
	k.after.Store(math.MaxInt64)
	go func() {
		for a, err := l.Accept(); err == nil; a, err = l.Accept() {
			go k.serve(a)
		}
	}()
	return k
}

// serve forwards the greeting, one request and its answer as far as wanted.
func (k *cutter) serve(a net.Conn) {
	defer end(a, k.reset)
	b, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer b.Close()
	go func() { _, _ = io.Copy(b, a) }()
	br := bufio.NewReader(b)
	for line := ""; line != "\r\n"; {
		if line, err = br.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(a, line)
	}
	// The length of an answer varies with the time that it states, so it is read first.
	var all bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(br, &all)), nil)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return
	}
	k.length.Store(int64(all.Len()))
	_, _ = a.Write(all.Bytes()[:min(k.after.Load(), int64(all.Len())-k.least)])
}

// Guards against an answer that was cut at any of its bytes on the way between two
// nodes and that the caller gets as a whole one.
func TestAnswerCutBetweenNodesIsNeverWhole(t *testing.T) {
	for _, buffer := range []int{0, 256 << 10} {
		for _, reset := range []bool{false, true} {
			for _, w := range wholes {
				if buffer == 0 && w.ends {
					continue // not accepted from the upstream
				}
				t.Run(fmt.Sprintf("buffer %d, reset %v, %s", buffer, reset, w.name), func(t *testing.T) {
					f := newFleet(t, 4)
					f.buffer, f.clust.EjectAfter = buffer, 1<<20
					callee := f.add("callee", "z1", raw(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, w.head+w.body)
						_ = c.Close()
					}))
					caller := f.add("caller", "z1", nil)
					k := newCutter(t, callee.inbound, 0, false)
					callee.endpoint.Address = k.address
					f.publish()
					if got := caller.call("POST", "north", "/", "body"); got.status != 200 || got.body != "hello, world" {
						t.Fatalf("whole: %+v", got)
					}
					length := k.length.Load()
					k = newCutter(t, callee.inbound, 1, reset)
					callee.endpoint.Address = k.address
					f.publish()
					for n := range length {
						k.after.Store(n)
						got := caller.call("POST", "north", "/", "body")
						if got.err == nil && got.status < 500 {
							t.Errorf("cut at %d of %d bytes: status %d, body %q", n, length, got.status, got.body)
						}
					}
				})
			}
		}
	}
}

// Guards against an answer that was cut and that a caller with HTTP/1.0, who knows
// no chunks, takes for whole because its connection ends properly.
func TestCutAnswerOfAnOldCallerIsNotWhole(t *testing.T) {
	f := newFleet(t, 4)
	n := f.add("a", "z1", raw(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		_ = c.Close()
	}))
	c, err := net.Dial("tcp", n.outbound)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "POST / HTTP/1.0\r\nHost: north\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if b, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("status %d and body %q look whole", resp.StatusCode, b)
	}
}

// Guards against an answer without end that holds the worker and the slot beyond the
// deadline of its call, whatever its framing.
func TestEndlessAnswerEndsAtItsDeadline(t *testing.T) {
	for name, tc := range map[string]struct{ begin, part string }{
		"large length": {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 1<<12)},
		"slow length":  {"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 1<<12) + "\r\n"},
		"slow chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"no length":    {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<12)},
		"slow interim": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.buffer, f.route.TimeoutMillis, f.clust.EjectAfter = 256<<10, 1000, 1<<20
			ended := make(chan struct{})
			n := f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/ok" {
					return
				}
				raw(t, func(c net.Conn, _ *http.Request) {
					defer close(ended)
					defer c.Close()
					_, err := io.WriteString(c, tc.begin)
					for err == nil {
						time.Sleep(time.Millisecond)
						_, err = io.WriteString(c, tc.part)
					}
				}).ServeHTTP(w, r)
			}))
			begin := time.Now()
			if got := n.call("POST", "north", "/", "body"); got.err == nil && got.status < 500 {
				t.Errorf("status %d and %d bytes look whole", got.status, len(got.body))
			}
			// The deadline of the route is 1 s.
			if took := time.Since(begin); took > 5*time.Second {
				t.Errorf("the call ended after %v", took)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Error("the connection to the upstream is open 5 s after the call")
			}
			if got := n.call("POST", "north", "/ok", "body"); got.err != nil || got.status != 200 {
				t.Errorf("the only slot is not free: %+v", got)
			}
		})
	}
}

// Guards against an endpoint that sends heads without end and goes on getting its
// share of the calls.
func TestEndlessHeadsCountAgainstTheEndpoint(t *testing.T) {
	f := newFleet(t, 4)
	f.clust.RetryBudgetPercent = 100
	var bad atomic.Int64
	f.add("bad", "z1", raw(t, func(c net.Conn, _ *http.Request) {
		defer c.Close()
		bad.Add(1)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ")
		for n := 0; n < 1<<20 && err == nil; n += 1 << 10 {
			_, err = io.WriteString(c, strings.Repeat("x", 1<<10))
		}
	}))
	f.add("good", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	caller := f.add("caller", "z1", nil)
	for i := range 100 {
		if got := caller.call("GET", "north", "/", ""); got.err != nil || got.status != 200 {
			t.Errorf("call %d: %+v", i, got)
		}
	}
	if n := bad.Load(); n > 10 {
		t.Errorf("%d of 100 calls reached the faulty endpoint", n)
	} else {
		t.Logf("%d of 100 calls reached the faulty endpoint", n)
	}
	f = newFleet(t, 4)
	only := f.add("bad", "z1", raw(t, func(c net.Conn, _ *http.Request) {
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 1<<16))
	}))
	if got := only.call("POST", "north", "/", "body"); got.status != http.StatusBadGateway || got.verdict != "may-have-run" {
		t.Errorf("%+v, want status 502 and the verdict may-have-run", got)
	}
}

// Guards against a refusal of a node that waits for the body of the request: what
// cannot be served is refused at once, and a body that does not come holds nothing.
func TestRefusalDoesNotWaitForTheRequest(t *testing.T) {
	f := newFleet(t, 4)
	n := f.add("a", "z1", nil)
	for name, tc := range map[string]struct {
		request string
		want    int
	}{
		"no route, length":   {"POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 100\r\n\r\n", 404},
		"no route, chunks":   {"POST / HTTP/1.1\r\nHost: none\r\nTransfer-Encoding: chunked\r\n\r\n", 404},
		"no route, slow":     {"POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 100\r\n\r\nabc", 404},
		"malformed timeout":  {"POST / HTTP/1.1\r\nHost: north\r\nCeleryyard-Timeout-Ms: x\r\nContent-Length: 100\r\n\r\n", 400},
		"no route, large":    {"POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 10000000\r\n\r\n" + strings.Repeat("x", 200<<10), 404},
		"no route, HTTP/1.0": {"POST / HTTP/1.0\r\nHost: none\r\nConnection: keep-alive\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", 404},
		"no route, has body": {"POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 3\r\n\r\nabc", 404},
	} {
		c, err := net.Dial("tcp", n.outbound)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		begin := time.Now()
		_, _ = io.WriteString(c, tc.request)
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != tc.want {
			t.Errorf("%s: %v, %v, want status %d", name, resp, err, tc.want)
			_ = c.Close()
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if took := time.Since(begin); took > time.Second/2 {
			t.Errorf("%s: refused after %v", name, took)
		}
		_, err = br.Peek(1)
		var timeout net.Error
		if kept := errors.As(err, &timeout) && timeout.Timeout(); kept != (name == "no route, has body") {
			t.Errorf("%s: connection kept %v (%v)", name, kept, err)
		}
		_ = c.Close()
	}
}
