// Package peer connects the processes of the fleet: it accepts authenticated
// connections, keeps outgoing ones up, and hands each request to the handler of
// its method as a job on the kernel's pool.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/netconn"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evListening = event.Declare(200, zerolog.InfoLevel, "listening for processes of the fleet")
	evRefused   = event.Declare(201, zerolog.WarnLevel, "connection refused")
	evUp        = event.Declare(202, zerolog.DebugLevel, "connected to process")
	evDown      = event.Declare(203, zerolog.InfoLevel, "lost connection to process")
	evDialled   = event.Declare(204, zerolog.DebugLevel, "connection attempt failed")
	evLearned   = event.Declare(206, zerolog.InfoLevel, "control instance learned")
	evGuard     = event.Declare(207, zerolog.WarnLevel, "silence timeout of a connection could not be set")
	evNoAnswer  = event.Declare(205, zerolog.WarnLevel, "connection attempts keep failing")
)

// Handler handles one request. It runs on a worker of the kernel's pool;
// requests of one connection are handled in order. It must not block and may
// answer the request later.
type Handler func(c *rpc.Conn, r *rpc.Request)

// Peer is the plug-in. Handle and OnClose are called before Start.
type Peer struct {
	c        *kernel.Context
	s        *Settings
	key      rpc.Key
	handlers map[string]Handler
	onClose  []func(c *rpc.Conn)
	listener net.Listener
	ctx      context.Context
	wg       sync.WaitGroup
	requests *metrics.Counter

	// mu guards the tables of connections.
	mu    *rank.Mutex
	conns map[uint64]*rpc.Conn
	links map[*Link]bool
	// stopping makes connections close whose handshake ends after Stop has begun.
	stopping  bool
	directory directory
	// total sums the traffic of closed connections.
	sent, received uint64
}

func newPeer(c *kernel.Context) (*Peer, error) {
	p := &Peer{
		c: c, s: c.Settings.(*Settings), handlers: map[string]Handler{}, mu: rank.New(rank.Peer),
		conns: map[uint64]*rpc.Conn{}, links: map[*Link]bool{},
		directory: newDirectory(c.Settings.(*Settings)),
		requests:  c.Metrics.NewCounter("celeryyard_peer_requests_total"),
	}
	c.Metrics.NewGauge("celeryyard_peer_connections", func() float64 { return float64(p.count()) })
	c.Metrics.NewGauge("celeryyard_peer_sent_bytes_total", func() float64 { s, _ := p.Traffic(); return float64(s) })
	c.Metrics.NewGauge("celeryyard_peer_received_bytes_total", func() float64 { _, r := p.Traffic(); return float64(r) })
	return p, nil
}

// Handle sets the handler of a method. A method has one handler.
func (p *Peer) Handle(method string, h Handler) {
	if _, ok := p.handlers[method]; ok {
		panic(fmt.Sprintf("method %q has two handlers", method))
	}
	p.handlers[method] = h
}

// OnClose adds a function that is called, in a job after the last request of
// the connection, when a connection ends.
func (p *Peer) OnClose(f func(c *rpc.Conn)) { p.onClose = append(p.onClose, f) }

// Key returns the fleet key. It is valid after Start.
func (p *Peer) Key() rpc.Key { return p.key }

// Traffic returns the bytes of all connections since the start.
func (p *Peer) Traffic() (sent, received uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, received = p.sent, p.received
	for _, c := range p.conns {
		sent += c.Bytes.Sent.Load()
		received += c.Bytes.Received.Load()
	}
	return sent, received
}

// Start implements kernel.Plugin.
func (p *Peer) Start(ctx context.Context) error {
	p.ctx = ctx
	key, err := rpc.LoadKey(p.c.Instance.FleetKeyFile)
	if err != nil {
		return err
	}
	p.key = key
	if p.s.Listen == "" {
		return nil
	}
	p.listener, err = net.Listen("tcp", p.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for processes of the fleet")
	}
	p.c.Log.Log(evListening).Str("address", p.listener.Addr().String()).Send()
	p.wg.Add(1)
	go p.accept()
	return nil
}

// Stop implements kernel.Plugin.
func (p *Peer) Stop(ctx context.Context) error {
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.mu.Lock()
	p.stopping = true
	links := make([]*Link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	conns := make([]*rpc.Conn, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	for _, c := range conns {
		c.Close()
	}
	done := make(chan struct{})
	go func() {
		p.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("connections did not close in time")
	}
}

func (p *Peer) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if p.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				p.c.Fail(errors.Wrap(err, "accept"))
			}
			return
		}
		if p.count() >= p.s.MaxConns {
			p.c.Log.Log(evRefused).Str("remote", c.RemoteAddr().String()).Str("reason", "too many connections").Send()
			_ = c.Close()
			continue
		}
		p.guard(c)
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			if _, err := p.open(c, false); err != nil {
				p.c.Log.Log(evRefused).Str("remote", c.RemoteAddr().String()).Err(err).Send()
			}
		}()
	}
}

// guard makes the connection fail once the other side has been out of reach for
// the silence timeout, so that a cut without a reset is noticed.
func (p *Peer) guard(c net.Conn) {
	if err := netconn.Guard(c, p.s.SilenceTimeout.D()); err != nil {
		p.c.Log.Log(evGuard).Err(err).Send()
	}
}

// open runs the handshake and enters the connection into the table.
func (p *Peer) open(nc net.Conn, client bool) (*rpc.Conn, error) {
	c, err := rpc.Open(nc, p.key, p.c.Instance.Name, client, p.dispatch)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.conns[c.ID()] = c
	stopping := p.stopping
	p.mu.Unlock()
	if stopping || p.ctx.Err() != nil {
		c.Close()
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		<-c.Done()
		p.forget(c)
	}()
	return c, nil
}

func (p *Peer) forget(c *rpc.Conn) {
	p.mu.Lock()
	delete(p.conns, c.ID())
	p.sent += c.Bytes.Sent.Load()
	p.received += c.Bytes.Received.Load()
	p.mu.Unlock()
	p.c.Go(jobKey(c), func() {
		for _, f := range p.onClose {
			f(c)
		}
	})
}

// dispatch runs on the reading goroutine of the connection. When the pool is
// full it waits, which stops the reading and pushes back to the sender.
func (p *Peer) dispatch(c *rpc.Conn, r *rpc.Request) {
	h, ok := p.handlers[r.Method]
	if !ok {
		r.Fail(rpc.CodeUnknown, errors.Newf("method %q is unknown", r.Method))
		return
	}
	p.requests.Inc()
	if !p.c.Go(jobKey(c), func() { h(c, r) }) {
		r.Fail(rpc.CodeUnavailable, errors.New("process is stopping"))
	}
}

func (p *Peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func jobKey(c *rpc.Conn) string { return fmt.Sprintf("conn/%d", c.ID()) }
