// Package relay provides a TCP proxy for experiments and tests. It can simulate a network partition,
// delay data and count the forwarded bytes.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the maximum size of one read from a connection; larger data is split.
const maxChunkBytes = 32 << 10

// maxQueuedChunks is the maximum number of chunks in the queue between reading and writing, for one
// direction of a connection. While the queue is full, the relay stops reading, so that TCP slows the
// sender down.
const maxQueuedChunks = 256

// Relay forwards TCP connections to a target. Cut simulates a network partition, and the delay
// simulates the latency of a longer network path. Its methods are safe for concurrent use.
type Relay struct {
	// Address is the IP:port at which the relay listens.
	Address string
	// BytesToTarget and BytesFromTarget count the forwarded bytes in each direction.
	BytesToTarget, BytesFromTarget atomic.Int64

	// target is the IP:port to which connections are forwarded.
	target string
	// delay is the minimum time between reading a chunk and writing it, in each direction.
	delay    time.Duration
	listener net.Listener

	// mu guards the fields below. It is a leaf lock below all ranks: while it is held, the relay only
	// closes connections and takes no other lock.
	mu sync.Mutex
	// healed is signalled when cut becomes false or closed becomes true.
	healed *sync.Cond
	cut    bool
	closed bool
	// conns holds the open connections: those that the relay accepted and those that it opened to
	// target.
	conns map[net.Conn]bool
}

// New starts a relay that listens at listen and forwards connections to target, both IP:port. It
// delays data by delay in each direction.
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

// Cut stops forwarding in both directions until Heal. As in a network partition, it closes no
// connections, so that neither side gets an error.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

// Heal resumes forwarding for new connections. It closes all existing connections, since their
// queued data may be hours old.
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
	go r.copyDelayed(in, out, &r.BytesToTarget)
	go r.copyDelayed(out, in, &r.BytesFromTarget)
}

// waitUntilHealed adds c to conns, so that the relay can close c, and waits while the relay is cut.
// It returns false if the relay is closed.
func (r *Relay) waitUntilHealed(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	for r.cut && !r.closed {
		r.healed.Wait()
	}
	return !r.closed
}

// chunk is data to be forwarded, and the time at which it is due.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// copyDelayed forwards one direction of a connection until it ends or fails, and adds the forwarded
// bytes to copiedBytes. It writes each chunk r.delay after reading it.
func (r *Relay) copyDelayed(from, to net.Conn, copiedBytes *atomic.Int64) {
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
		copiedBytes.Add(int64(len(c.data)))
		failed = err != nil
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}
