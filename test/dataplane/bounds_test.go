package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// newRawHandler returns a handler that reads each request, takes the connection over from the HTTP
// server and passes it to serve.
func newRawHandler(t *testing.T, serve func(c net.Conn, r *http.Request)) http.Handler {
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

// Guards against requests whose heads use unlimited memory, on the listener for callers and on
// the listener for nodes.
func TestRequestHeadSizeIsLimited(t *testing.T) {
	f := newFleet(t, 4)
	n := f.addNode("a", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for name, address := range map[string]string{"callers": n.callersAddress, "nodes": n.nodesAddress} {
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
	// A head that callers may send must pass both listeners.
	if got := n.call("GET", "north", "/", "", "A", strings.Repeat("x", 31<<10)); got.err != nil || got.status != 200 {
		t.Errorf("a head of 31 KiB: %+v", got)
	}
}

// Guards against an endless answer that occupies its worker and slot after the deadline of the call.
// The cases differ in the framing and speed of the answer.
func TestEndlessAnswerEndsAtDeadline(t *testing.T) {
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
			f.bufferBytes, f.route.TimeoutMillis, f.cluster.EjectAfter = 256<<10, 1000, 1<<20
			ended := make(chan struct{})
			n := f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/ok" {
					return
				}
				newRawHandler(t, func(c net.Conn, _ *http.Request) {
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
				t.Errorf("status %d and %d bytes look complete", got.status, len(got.body))
			}
			// The deadline of the route is 1 s.
			if took := time.Since(begin); took > 5*time.Second {
				t.Errorf("the call ended after %v", took)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Error("the connection to the upstream is still open 5 s after the call")
			}
			if got := n.call("POST", "north", "/ok", "body"); got.err != nil || got.status != 200 {
				t.Errorf("the only slot is not free: %+v", got)
			}
		})
	}
}

// Guards against an endpoint that sends endless heads and still receives its share of the calls: an
// answer with an endless head must count as a failure.
func TestEndlessHeadsCountAsFailures(t *testing.T) {
	f := newFleet(t, 4)
	f.cluster.RetryBudgetPercent = 100
	var badCalls atomic.Int64
	f.addNode("bad", "z1", newRawHandler(t, func(c net.Conn, _ *http.Request) {
		defer c.Close()
		badCalls.Add(1)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ")
		for n := 0; n < 1<<20 && err == nil; n += 1 << 10 {
			_, err = io.WriteString(c, strings.Repeat("x", 1<<10))
		}
	}))
	f.addNode("good", "z1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	caller := f.addNode("caller", "z1", nil)
	for i := range 100 {
		if got := caller.call("GET", "north", "/", ""); got.err != nil || got.status != 200 {
			t.Errorf("call %d: %+v", i, got)
		}
	}
	if n := badCalls.Load(); n > 10 {
		t.Errorf("%d of 100 calls reached the faulty endpoint", n)
	} else {
		t.Logf("%d of 100 calls reached the faulty endpoint", n)
	}
	f = newFleet(t, 4)
	only := f.addNode("bad", "z1", newRawHandler(t, func(c net.Conn, _ *http.Request) {
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 1<<16))
	}))
	if got := only.call("POST", "north", "/", "body"); got.status != http.StatusBadGateway || got.verdict != "may-have-run" {
		t.Errorf("%+v, want status 502 and the verdict may-have-run", got)
	}
}

// Guards against a node that waits for the body of a request before it refuses the request. The node
// must refuse at once, so that a missing body does not occupy any resource.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	f := newFleet(t, 4)
	n := f.addNode("a", "z1", nil)
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
		c, err := net.Dial("tcp", n.callersAddress)
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
			t.Errorf("%s: connection kept open: %v (%v)", name, kept, err)
		}
		_ = c.Close()
	}
}
