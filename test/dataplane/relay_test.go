package dataplane

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards connections of other nodes to a node's listener for nodes. A test can make the
// node unreachable at once by shutting the relay down or pausing it.
type relay struct {
	t        testing.TB
	address  string
	target   string
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// pauseMu is locked for writing while the relay is paused.
	pauseMu sync.RWMutex
}

// gatedReader is a reader whose Read does not return while the relay is paused.
type gatedReader struct {
	io.Reader
	pauseMu *sync.RWMutex
}

func (g gatedReader) Read(b []byte) (int, error) {
	n, err := g.Reader.Read(b)
	g.pauseMu.RLock()
	defer g.pauseMu.RUnlock()
	return n, err
}

// pause stops forwarding, without closing connections, until resume is called.
func (r *relay) pause() (resume func()) {
	r.pauseMu.Lock()
	return r.pauseMu.Unlock
}

func newRelay(t testing.TB, address, target string) *relay {
	r := &relay{t: t, address: address, target: target, conns: map[net.Conn]bool{}}
	r.open()
	t.Cleanup(r.shutdown)
	return r
}

// open listens at the relay's address and forwards connections.
func (r *relay) open() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	r.listener = l
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

func (r *relay) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	r.mu.Lock()
	if r.listener == nil {
		r.mu.Unlock()
		return
	}
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	done := make(chan bool, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, gatedReader{from, &r.pauseMu})
		done <- true
	}
	go pipe(client, server)
	go pipe(server, client)
	<-done
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, server)
	r.mu.Unlock()
}

// shutdown closes the listener and resets all connections.
func (r *relay) shutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	r.listener = nil
	for c := range r.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}
