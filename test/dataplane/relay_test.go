package dataplane

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay stands between nodes and one node's inbound listener, so that a test can
// make the node look dead at once: it refuses and cuts connections.
type relay struct {
	t       testing.TB
	address string
	to      string
	mu      sync.Mutex
	l       net.Listener
	conns   map[net.Conn]bool
	// gate is held while the relay forwards nothing.
	gate sync.RWMutex
}

// gated reads through the gate of its relay.
type gated struct {
	io.Reader
	gate *sync.RWMutex
}

func (g gated) Read(b []byte) (int, error) {
	n, err := g.Reader.Read(b)
	g.gate.RLock()
	defer g.gate.RUnlock()
	return n, err
}

// silence keeps connections open and forwards nothing until the returned function
// is called.
func (r *relay) silence() (end func()) {
	r.gate.Lock()
	return r.gate.Unlock
}

func newRelay(t testing.TB, address, to string) *relay {
	r := &relay{t: t, address: address, to: to, conns: map[net.Conn]bool{}}
	r.open()
	t.Cleanup(r.kill)
	return r
}

func (r *relay) open() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	r.l = l
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
}

func (r *relay) serve(a net.Conn) {
	defer a.Close()
	b, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer b.Close()
	r.mu.Lock()
	if r.l == nil {
		r.mu.Unlock()
		return
	}
	r.conns[a], r.conns[b] = true, true
	r.mu.Unlock()
	done := make(chan bool, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, gated{from, &r.gate})
		done <- true
	}
	go pipe(a, b)
	go pipe(b, a)
	<-done
	r.mu.Lock()
	delete(r.conns, a)
	delete(r.conns, b)
	r.mu.Unlock()
}

// kill refuses new connections and cuts the present ones.
func (r *relay) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.l == nil {
		return
	}
	_ = r.l.Close()
	r.l = nil
	for c := range r.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}
