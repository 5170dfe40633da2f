// Package peer connects the processes of the fleet: it accepts authenticated connections,
// re-establishes outgoing ones, and runs the handler of each request as a job on the kernel's
// worker pool.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/netconn"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/pressure"
)

var (
	evListening            = event.Declare(200, zerolog.InfoLevel, "listening for processes of the fleet")
	evRejected             = event.Declare(201, zerolog.WarnLevel, "incoming connection rejected")
	evConnected            = event.Declare(202, zerolog.DebugLevel, "connected to process")
	evDisconnected         = event.Declare(203, zerolog.InfoLevel, "lost connection to process")
	evDialFailed           = event.Declare(204, zerolog.DebugLevel, "connection attempt failed")
	evInstanceLearned      = event.Declare(206, zerolog.InfoLevel, "control instance discovered")
	evSilenceTimeoutFailed = event.Declare(207, zerolog.WarnLevel, "failed to set the silence timeout of a connection")
	evDialKeepsFailing     = event.Declare(205, zerolog.WarnLevel, "connection attempts keep failing")
)

// Handler handles one request. It runs on a worker of the kernel's pool; requests of the same
// connection are handled in order. It must not block, and may reply after it has returned.
type Handler func(c *rpc.Conn, r *rpc.Request)

// Peer is the plug-in. Handle and OnClose must be called before Start.
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
	// pressure limits the connections that have not authenticated yet; nil without that plug-in.
	pressure *pressure.Pressure

	// mu guards the fields below.
	mu    *rank.Mutex
	conns map[uint64]*rpc.Conn
	links map[*Link]bool
	// stopping is set by Stop. A connection whose handshake ends after that is closed at once.
	stopping  bool
	directory directory
	// closedConnBytesSent and closedConnBytesReceived count the bytes sent and received on
	// connections that are closed.
	closedConnBytesSent, closedConnBytesReceived uint64
}

func newPeer(c *kernel.Context) (*Peer, error) {
	p := &Peer{
		c: c, s: c.Settings.(*Settings), handlers: map[string]Handler{}, mu: rank.NewMutex(rank.Peer),
		conns: map[uint64]*rpc.Conn{}, links: map[*Link]bool{},
		directory: newDirectory(c.Settings.(*Settings)),
		requests:  c.Metrics.NewCounter("celeryyard_peer_requests_total"),
	}
	p.pressure, _ = kernel.Find[*pressure.Pressure](c, "pressure")
	c.Metrics.NewGauge("celeryyard_peer_connections", func() float64 { return float64(p.connCount()) })
	c.Metrics.NewGauge("celeryyard_peer_sent_bytes_total", func() float64 { s, _ := p.Traffic(); return float64(s) })
	c.Metrics.NewGauge("celeryyard_peer_received_bytes_total", func() float64 { _, r := p.Traffic(); return float64(r) })
	return p, nil
}

// Handle sets the handler of a method. It panics if the method already has one.
func (p *Peer) Handle(method string, h Handler) {
	if _, ok := p.handlers[method]; ok {
		panic(fmt.Sprintf("method %q has two handlers", method))
	}
	p.handlers[method] = h
}

// OnClose adds a function that is called when a connection ends. The call is a job that runs after
// the handlers of all requests of the connection.
func (p *Peer) OnClose(f func(c *rpc.Conn)) { p.onClose = append(p.onClose, f) }

// Key returns the fleet key. It is valid after Start.
func (p *Peer) Key() rpc.Key { return p.key }

// Traffic returns the bytes sent and received on all connections since the start.
func (p *Peer) Traffic() (sent, received uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, received = p.closedConnBytesSent, p.closedConnBytesReceived
	for _, c := range p.conns {
		sent += c.Traffic.Sent.Load()
		received += c.Traffic.Received.Load()
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
	go p.acceptLoop()
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

func (p *Peer) acceptLoop() {
	defer p.wg.Done()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			if p.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				p.c.Fail(errors.Wrap(err, "accept"))
			}
			return
		}
		if p.connCount() >= p.s.MaxConns {
			p.c.Log.Log(evRejected).Str("remote", nc.RemoteAddr().String()).Str("reason", "too many connections").Send()
			_ = nc.Close()
			continue
		}
		p.setSilenceTimeout(nc)
		limited, err := p.openAccount(nc)
		if err != nil {
			_ = nc.Close()
			continue
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			if limited != nil {
				defer limited.Close() // an authenticated connection is limited by MaxConns alone
			}
			if _, err := p.openConn(nc, false); err != nil {
				p.c.Log.Log(evRejected).Str("remote", nc.RemoteAddr().String()).Err(err).Send()
			}
		}()
	}
}

// openAccount opens the account of an incoming connection until it has authenticated; nil without the plug-in pressure. The
// oldest ones that have not done so are closed if there are too many.
func (p *Peer) openAccount(nc net.Conn) (*pressure.Conn, error) {
	if p.pressure == nil {
		return nil, nil
	}
	return p.pressure.Open(pressure.Control, func(account.Phase) { _ = nc.Close() })
}

// setSilenceTimeout makes the connection fail once the peer has been unreachable for
// SilenceTimeout. Without it, a connection that breaks without a TCP reset stays open.
func (p *Peer) setSilenceTimeout(nc net.Conn) {
	if err := netconn.SetSilenceTimeout(nc, p.s.SilenceTimeout.AsDuration()); err != nil {
		p.c.Log.Log(evSilenceTimeoutFailed).Err(err).Send()
	}
}

// openConn runs the handshake and adds the connection to the table. On the side that dialled, the
// handshake takes at most SilenceTimeout: the operating system of a paused process accepts
// connections, and another instance may answer.
func (p *Peer) openConn(nc net.Conn, isClient bool) (*rpc.Conn, error) {
	timeout := rpc.MaxHandshakeTime
	if isClient {
		timeout = min(timeout, p.s.SilenceTimeout.AsDuration())
	}
	c, err := rpc.Open(nc, p.key, p.c.Instance.Name, isClient, timeout, p.dispatch)
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
		p.removeConn(c)
	}()
	return c, nil
}

// removeConn removes a closed connection from the table and schedules the OnClose functions.
func (p *Peer) removeConn(c *rpc.Conn) {
	p.mu.Lock()
	delete(p.conns, c.ID())
	p.closedConnBytesSent += c.Traffic.Sent.Load()
	p.closedConnBytesReceived += c.Traffic.Received.Load()
	p.mu.Unlock()
	p.c.Go(connJobKey(c), func() {
		for _, f := range p.onClose {
			f(c)
		}
	})
}

// dispatch schedules the handler of a request. It runs on the goroutine that reads from the
// connection. When the worker pool is full it blocks, which stops reading and slows the sender
// down.
func (p *Peer) dispatch(c *rpc.Conn, r *rpc.Request) {
	h, ok := p.handlers[r.Method]
	if !ok {
		r.ReplyError(rpc.CodeUnknownMethod, errors.Newf("method %q is unknown", r.Method))
		return
	}
	p.requests.Inc()
	if !p.c.Go(connJobKey(c), func() { h(c, r) }) {
		r.ReplyError(rpc.CodeUnavailable, errors.New("process is stopping"))
	}
}

func (p *Peer) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// connJobKey returns the key of the jobs of a connection; jobs with the same key run in order.
func connJobKey(c *rpc.Conn) string { return fmt.Sprintf("conn/%d", c.ID()) }
