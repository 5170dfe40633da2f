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

// completeAnswers lists complete answers of an upstream, one for each framing. All have the body
// "hello, world".
var completeAnswers = []struct {
	name, head, body string
	// ends is set if the end of the connection marks the end of the body.
	ends bool
}{
	{name: "length", head: "HTTP/1.1 200 OK\r\nX-Test: 1234\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
	{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Test: 1234\r\n\r\n", body: "hello, world"},
	{name: "bare line feeds", head: "HTTP/1.1 200 OK\nX-Test: 1234\nContent-Length: 12\n\n", body: "hello, world"},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	{name: "interim", head: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
	{name: "no length", head: "HTTP/1.1 200 OK\r\nX-Test: 1234\r\n\r\n", body: "hello, world", ends: true},
}

// closeConn closes a connection, with a TCP reset if reset is set.
func closeConn(c net.Conn, reset bool) {
	if tc, ok := c.(*net.TCPConn); ok && reset {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a node that passes on an answer as complete although the upstream truncated it. The
// answer is truncated at each byte in turn. An answer without a length ends with its connection: if
// the connection is closed without a reset after the head, the answer counts as complete.
func TestAnswerTruncatedByUpstreamIsDetected(t *testing.T) {
	for _, buffer := range []int{0, 256 << 10} {
		for _, reset := range []bool{false, true} {
			for _, w := range completeAnswers {
				t.Run(fmt.Sprintf("buffer %d, reset %v, %s", buffer, reset, w.name), func(t *testing.T) {
					f := newFleet(t, 4)
					f.bufferBytes, f.cluster.EjectAfter = buffer, 1<<20
					full, cut := w.head+w.body, 0
					n := f.addNode("a", "z1", newRawHandler(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, full[:cut])
						closeConn(c, reset)
					}))
					for cut = range len(full) {
						got := n.call("POST", "north", "/", "body")
						if got.err != nil || got.status >= 500 {
							continue
						}
						if w.ends && !reset && buffer > 0 && got.status == 200 && cut >= len(w.head) && got.body == full[len(w.head):cut] {
							continue
						}
						t.Errorf("truncated at %d of %d bytes: status %d, body %q", cut, len(full), got.status, got.body)
					}
					cut = len(full)
					// A reset may discard bytes before they are read. Without a buffer, nodes refuse
					// answers without a length.
					if got := n.call("POST", "north", "/", "body"); !reset && (!w.ends || buffer > 0) && (got.status != 200 || got.body != "hello, world") {
						t.Errorf("complete answer: %+v", got)
					}
				})
			}
		}
	}
}

// truncatingProxy is a proxy between two nodes. On each connection it forwards the handshake and one
// request, and truncates the answer.
type truncatingProxy struct {
	address string
	target  string
	// maxForwardedBytes is the maximum number of bytes of an answer that are forwarded.
	maxForwardedBytes atomic.Int64
	// minMissingBytes is the minimum number of bytes of an answer that are not forwarded.
	minMissingBytes int64
	reset           bool
	// answerLength is the length of the last answer in bytes.
	answerLength atomic.Int64
}

func newTruncatingProxy(t *testing.T, target string, minMissingBytes int64, reset bool) *truncatingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &truncatingProxy{address: listener.Addr().String(), target: target, minMissingBytes: minMissingBytes, reset: reset}
	p.maxForwardedBytes.Store(math.MaxInt64)
	go func() {
		for client, err := listener.Accept(); err == nil; client, err = listener.Accept() {
			go p.serve(client)
		}
	}()
	return p
}

// serve forwards the handshake, one request, and the answer to it as far as the fields of p allow.
func (p *truncatingProxy) serve(client net.Conn) {
	defer closeConn(client, p.reset)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, client) }()
	br := bufio.NewReader(server)
	for line := ""; line != "\r\n"; {
		if line, err = br.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(client, line)
	}
	// The answer contains a duration, so that its length varies. Read the whole answer before
	// forwarding it, so that at least minMissingBytes are left out.
	var buffered bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(br, &buffered)), nil)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return
	}
	p.answerLength.Store(int64(buffered.Len()))
	_, _ = client.Write(buffered.Bytes()[:min(p.maxForwardedBytes.Load(), int64(buffered.Len())-p.minMissingBytes)])
}

// Guards against a node that passes on an answer as complete although it was truncated on the way
// from the other node. The answer is truncated at each byte in turn.
func TestAnswerTruncatedBetweenNodesIsDetected(t *testing.T) {
	for _, buffer := range []int{0, 256 << 10} {
		for _, reset := range []bool{false, true} {
			for _, w := range completeAnswers {
				if buffer == 0 && w.ends {
					continue // the node refuses this answer of the upstream
				}
				t.Run(fmt.Sprintf("buffer %d, reset %v, %s", buffer, reset, w.name), func(t *testing.T) {
					f := newFleet(t, 4)
					f.bufferBytes, f.cluster.EjectAfter = buffer, 1<<20
					callee := f.addNode("callee", "z1", newRawHandler(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, w.head+w.body)
						_ = c.Close()
					}))
					caller := f.addNode("caller", "z1", nil)
					proxy := newTruncatingProxy(t, callee.nodesAddress, 0, false)
					callee.endpoint.Address = proxy.address
					f.publish()
					if got := caller.call("POST", "north", "/", "body"); got.status != 200 || got.body != "hello, world" {
						t.Fatalf("complete answer: %+v", got)
					}
					length := proxy.answerLength.Load()
					proxy = newTruncatingProxy(t, callee.nodesAddress, 1, reset)
					callee.endpoint.Address = proxy.address
					f.publish()
					for n := range length {
						proxy.maxForwardedBytes.Store(n)
						got := caller.call("POST", "north", "/", "body")
						if got.err == nil && got.status < 500 {
							t.Errorf("truncated at %d of %d bytes: status %d, body %q", n, length, got.status, got.body)
						}
					}
				})
			}
		}
	}
}

// Guards against a truncated answer that an HTTP/1.0 caller accepts as complete. Such a caller does
// not support chunks, so only a reset of the connection tells it that the answer is truncated.
func TestHTTP10CallerDetectsTruncatedAnswer(t *testing.T) {
	f := newFleet(t, 4)
	n := f.addNode("a", "z1", newRawHandler(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		_ = c.Close()
	}))
	c, err := net.Dial("tcp", n.callersAddress)
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
		t.Errorf("status %d and body %q look complete", resp.StatusCode, b)
	}
}
