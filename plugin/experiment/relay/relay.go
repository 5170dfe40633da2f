// Package relay forwards TCP connections, so that an experiment or a test can partition processes,
// add delay and count the transferred bytes.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the maximum size of one read from a connection.
const maxChunkBytes = 32 << 10

// maxQueuedChunks is the maximum number of delayed chunks in one direction of a connection.
const maxQueuedChunks = 256

// Relay forwards TCP connections to a target. It can partition two processes (Cut) and simulate the
// latency of a longer line. Its methods are safe for concurrent use.
type Relay struct {
	// Address is the IP:port at which the relay listens.
	Address string
	// ToTarget and FromTarget count the forwarded bytes in each direction.
	ToTarget, FromTarget atomic.Int64

	target   string
	delay    time.Duration
	listener net.Listener

	// mu guards the fields below. It is a leaf lock below all ranks: while it is held, only Close of
	// connections is called.
	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool
}

// New starts a relay that listens at listen (IP:port), forwards to target and adds delay in each
// direction.
func New(listen, target string, delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), target: target, delay: delay, listener: l, conns: map[net.Conn]bool{}}
	r.healed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Cut stops forwarding in both directions without closing connections, so that neither side is
// notified, as in a network partition.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

// Heal resumes forwarding. It closes all existing connections, since their queued data may be hours
// old.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	r.closeConns()
	r.healed.Broadcast()
}

// CloseConnections closes all current connections. The relay continues to accept new ones.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConns()
}

func (r *Relay) closeConns() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// Close closes the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeConns()
	r.healed.Broadcast()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(in net.Conn) {
	if !r.waitUntilHealed(in) {
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", r.target, 2*time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	if !r.waitUntilHealed(out) {
		_ = in.Close()
		_ = out.Close()
		return
	}
	go r.copyDelayed(in, out, &r.ToTarget)
	go r.copyDelayed(out, in, &r.FromTarget)
}

// waitUntilHealed registers c, so that the relay can close it, and waits while the relay is cut. It
// returns false if the relay is closed.
func (r *Relay) waitUntilHealed(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	for r.cut && !r.closed {
		r.healed.Wait()
	}
	return !r.closed
}

// chunk is data that is forwarded at a given time.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// copyDelayed copies one direction of a connection. Each chunk is written the relay's delay after it
// was read.
func (r *Relay) copyDelayed(from, to net.Conn, copied *atomic.Int64) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, maxChunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				queue <- chunk{b[:n], time.Now().Add(r.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range queue {
		if failed {
			continue // drain the queue, so that the reader can return
		}
		time.Sleep(time.Until(c.sendAt))
		if !r.waitUntilHealed(to) {
			failed = true
			continue
		}
		_, err := to.Write(c.data)
		copied.Add(int64(len(c.data)))
		failed = err != nil
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}
