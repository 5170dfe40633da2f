package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

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
