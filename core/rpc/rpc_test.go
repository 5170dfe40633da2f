package rpc

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against frames whose decoded body differs from the encoded one, or whose size on the
// wire is miscounted.
func TestFramesRoundTrip(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2)
	props := gopter.NewProperties(params)
	props.Property("body and size are preserved", prop.ForAll(func(s string, times int) bool {
		body := []byte(strings.Repeat(s, times))
		frame, err := encodeFrame(body)
		if err != nil {
			return false
		}
		var wire TrafficCounters
		got, err := readFrame(bufio.NewReader(countingReader{bytes.NewReader(frame), &wire}))
		return err == nil && bytes.Equal(got, body) && wire.Received.Load() == uint64(len(frame))
	}, gen.AnyString(), gen.IntRange(0, 200)))
	props.TestingRun(t)
}

// FuzzReadFrame guards against crashes and unbounded memory use on untrusted input.
func FuzzReadFrame(f *testing.F) {
	frame, _ := encodeFrame(bytes.Repeat([]byte(`{"jsonrpc":"2.0"}`), 10))
	f.Add(frame)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, b []byte) {
		body, err := readFrame(bufio.NewReader(bytes.NewReader(b)))
		if err == nil && len(body) > MaxFrameBytes {
			t.Fatalf("body of %d bytes exceeds the limit", len(body))
		}
	})
}

// Guards against a peer that stops reading and thereby blocks the sender, or makes the sender's queue
// grow without bound.
func TestSlowPeerIsDisconnected(t *testing.T) {
	a, b := newTCPPair(t)
	key := NewKey([]byte("0123456789abcdef"))
	opened := make(chan *Conn, 1)
	go func() {
		c, err := Open(a, key, "a", true, MaxHandshakeTime, func(*Conn, *Request) {})
		if err != nil {
			t.Error(err)
		}
		opened <- c
	}()
	// The peer completes the handshake and then reads nothing.
	if _, err := handshake(b, key, "b", false, MaxHandshakeTime); err != nil {
		t.Fatal(err)
	}
	c := <-opened
	// Encoded once, so that the bound counts only the time for which the sender is blocked.
	big, err := NewMessage("m", newIncompressibleBytes(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for i := 0; i < 200; i++ {
		if err := c.Send(big); err != nil {
			if err := c.Notify("m", 1); err == nil {
				t.Error("a notification is accepted after the queue overflowed")
			}
			if d := time.Since(start); d > 30*time.Second {
				t.Fatalf("sender was blocked for %v", d)
			}
			select {
			case <-c.Done():
				return
			case <-time.After(5 * time.Second):
				t.Fatal("connection stays open after the queue overflowed")
			}
		}
	}
	t.Fatal("200 MiB were queued for a peer that reads nothing")
}

// Guards against answers that reach the wrong request when they are sent out of order.
func TestAnswersOutOfOrderReachTheirRequests(t *testing.T) {
	a, b := newTCPPair(t)
	key := NewKey([]byte("0123456789abcdef"))
	var held []*Request
	ready := make(chan struct{})
	go func() {
		_, err := Open(b, key, "b", false, MaxHandshakeTime, func(_ *Conn, r *Request) {
			held = append(held, r)
			if len(held) < 2 {
				return
			}
			for i := len(held) - 1; i >= 0; i-- {
				held[i].Reply(string(held[i].Params))
			}
		})
		if err != nil {
			t.Error(err)
		}
		close(ready)
	}()
	c, err := Open(a, key, "a", true, MaxHandshakeTime, func(*Conn, *Request) {})
	if err != nil {
		t.Fatal(err)
	}
	<-ready
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	results := make(chan [2]string, 2)
	for _, q := range []string{`"one"`, `"two"`} {
		go func() {
			var got string
			if err := c.Call(ctx, "echo", strings.Trim(q, `"`), &got); err != nil {
				got = err.Error()
			}
			results <- [2]string{q, got}
		}()
	}
	for range 2 {
		if r := <-results; r[0] != r[1] {
			t.Fatalf("request %s got the answer %s", r[0], r[1])
		}
	}
}

func newIncompressibleBytes(n int) []byte {
	b := make([]byte, n)
	x := uint64(88172645463325252)
	for i := range b {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		b[i] = byte(x)
	}
	return b
}

func newTCPPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	a, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b = <-accepted
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// Guards against a message that is encoded once, sent on many connections and received altered
// on some of them.
func TestMessageReachesEachConnection(t *testing.T) {
	key := NewKey([]byte("0123456789abcdef"))
	m, err := NewMessage("node.update", map[string]string{"name": strings.Repeat("x", 200)})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		a, b := newTCPPair(t)
		got := make(chan *Request, 1)
		go func() {
			if _, err := Open(b, key, "b", false, MaxHandshakeTime, func(_ *Conn, r *Request) { got <- r }); err != nil {
				t.Error(err)
			}
		}()
		c, err := Open(a, key, "a", true, MaxHandshakeTime, func(*Conn, *Request) {})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Send(m); err != nil {
			t.Fatal(err)
		}
		select {
		case r := <-got:
			var params map[string]string
			if err := r.Decode(&params); err != nil || r.Method != "node.update" || len(params["name"]) != 200 || len(r.Params) != m.PlainBytes {
				t.Fatalf("%s %s: %v", r.Method, r.Params, err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the message did not arrive")
		}
		c.Close()
		if err := c.Send(m); err == nil {
			t.Fatal("a closed connection accepts messages")
		}
	}
}
