// Package relay forwards TCP connections so that an experiment or a test can cut
// them, delay them and count their bytes.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayChunk is the most that a relay reads at a time.
const relayChunk = 32 << 10

// relayQueue bounds the chunks under way in one direction of a connection.
const relayQueue = 256

// Relay forwards TCP connections to a target. A test cuts it to partition two
// processes, or delays it to stand for a longer line. Its methods are safe for
// concurrent use.
type Relay struct {
	// Address is where the relay listens.
	Address string
	// ToTarget and FromTarget count the bytes that were passed on.
	ToTarget, FromTarget atomic.Int64

	target string
	delay  time.Duration
	l      net.Listener

	// mu guards the fields below. It is a leaf lock below all ranks: nothing is
	// called while it is held but Close of connections.
	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool
}

// New starts a relay at listen, IP:port, that adds delay in each direction.
func New(listen, target string, delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), target: target, delay: delay, l: l, conns: map[net.Conn]bool{}}
	r.healed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Cut holds back all bytes, in both directions, without closing connections:
// the two sides learn nothing, as in a partition.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

// Heal lets bytes pass again. Connections from before the cut are closed, as
// their data may be hours old to both sides.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	r.closeAll()
	r.healed.Broadcast()
}

// Break closes all connections; new ones are accepted.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

func (r *Relay) closeAll() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeAll()
	r.healed.Broadcast()
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(in net.Conn) {
	if !r.pass(in) {
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", r.target, 2*time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	if !r.pass(out) {
		_ = in.Close()
		_ = out.Close()
		return
	}
	go r.pipe(in, out, &r.ToTarget)
	go r.pipe(out, in, &r.FromTarget)
}

// pass waits until the relay is not cut and keeps c for closing. It returns
// false when the relay is closed.
func (r *Relay) pass(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	for r.cut && !r.closed {
		r.healed.Wait()
	}
	return !r.closed
}

type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies one direction. Each chunk leaves delay after it came.
func (r *Relay) pipe(from, to net.Conn, count *atomic.Int64) {
	queue := make(chan chunk, relayQueue)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, relayChunk)
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
			continue // drained so that the reader ends
		}
		time.Sleep(time.Until(c.due))
		if !r.pass(to) {
			failed = true
			continue
		}
		_, err := to.Write(c.data)
		count.Add(int64(len(c.data)))
		failed = err != nil
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}
