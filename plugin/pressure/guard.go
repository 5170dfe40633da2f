package pressure

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/netconn"
	"github.com/celeryyard/celeryyard/kernel"
)

// lingerTime is how long received bytes are discarded after a refusal. Closing a connection with unread bytes resets it, and the
// client could lose the refusal.
const lingerTime = 500 * time.Millisecond

// ListenHTTP serves s on address (IP:port) until the server is shut down, with the limits of a class. With an empty address it does
// nothing. If listening fails, the error starts with purpose.
func ListenHTTP(c *kernel.Context, s *http.Server, address, purpose string, class Class) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, purpose)
	}
	ServeHTTP(c, s, l, class)
	return nil
}

// ServeHTTP serves s on l like kernel.Context.Serve, with the limits of a class.
func ServeHTTP(c *kernel.Context, s *http.Server, l net.Listener, class Class) {
	p, _ := kernel.Find[*Pressure](c, "pressure")
	if p == nil {
		c.Serve(s, l)
		return
	}
	g := &guard{p: p, class: class, limits: p.RequestLimits(s.MaxHeaderBytes + headSlackBytes), handler: s.Handler}
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.Handler = g
	c.Serve(s, &listener{Listener: l, guard: g})
}

// headSlackBytes is what net/http accepts in addition to Server.MaxHeaderBytes.
const headSlackBytes = 4 << 10

// connKey is the key of the guardedConn in the context of a request.
type connKey struct{}

// AccountOf returns the account of the connection of a request that ServeHTTP serves; nil if it has none.
func AccountOf(r *http.Request) *Conn {
	if g, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
		return g.account
	}
	return nil
}

// OnLargeHead sets a function that gets each large head on a connection of a server that ServeHTTP serves, before it is accounted for. If it
// returns true, the other side has proved to belong to the fleet. It is called by the goroutine of the connection.
func OnLargeHead(nc net.Conn, belongs func(head []byte) bool) {
	if g, ok := nc.(*guardedConn); ok {
		g.heads.OnLargeHead(func(head []byte) {
			if belongs(head) {
				g.account.Trust()
			}
		})
	}
}

// guard limits the connections of a server of net/http. It is the handler of the server.
type guard struct {
	p       *Pressure
	class   Class
	limits  httphead.RequestLimits
	handler http.Handler
}

// ServeHTTP implements http.Handler. It states what body follows the head, and accounts for the request until the handler returns.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nc, ok := r.Context().Value(connKey{}).(*guardedConn)
	if !ok {
		g.handler.ServeHTTP(w, r)
		return
	}
	if r.Body != http.NoBody && r.ContentLength != 0 {
		nc.heads.SetBody(r.ContentLength)
	}
	cost := nc.heads.TakeCost()
	nc.running.Store(true)
	if !nc.account.SetPhase(account.PhaseRunning) {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		if cost >= largeBytes {
			// The server keeps the request until it has closed the connection, which takes half a second after an early answer.
			r.Header = http.Header{"Connection": r.Header["Connection"], "Expect": r.Header["Expect"]}
		}
		nc.account.Release(cost)
		nc.account.SetPhase(account.PhaseIdle)
		nc.running.Store(false)
	}()
	g.handler.ServeHTTP(w, r)
}

// listener opens an account for each connection.
type listener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := &guardedConn{Conn: nc, guard: l.guard}
		g.account, err = l.guard.p.Open(l.guard.class, func(account.Phase) { g.reset() })
		if err != nil {
			g.reset()
			continue
		}
		g.heads = httphead.NewRequestReader(nc, g.account, l.guard.limits)
		return g, nil
	}
}

// guardedConn is a connection of a server of net/http.
type guardedConn struct {
	net.Conn
	guard   *guard
	account *Conn
	heads   *httphead.RequestReader
	// running is set while a handler runs.
	running atomic.Bool
	// refused is set once a head was refused or cut. Nothing is written from then on.
	refused atomic.Bool
}

// NetConn returns the connection below.
func (g *guardedConn) NetConn() net.Conn { return g.Conn }

// Read implements net.Conn.
func (g *guardedConn) Read(p []byte) (int, error) {
	n, err := g.heads.Read(p)
	if n > 0 && !g.running.Load() {
		g.account.SetPhase(account.PhaseHead)
	}
	if err == nil || g.running.Load() {
		return n, err
	}
	var limit *account.LimitError
	if errors.As(err, &limit) && len(p) > 1 { // net/http reads a single byte ahead of a response
		g.refuse(limit)
		return 0, io.EOF // net/http closes the connection without a response of its own
	}
	if g.heads.HeadErr() != nil {
		g.refused.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (g *guardedConn) Write(p []byte) (int, error) {
	if g.refused.Load() {
		return 0, net.ErrClosed
	}
	return g.Conn.Write(p)
}

// CloseWrite shuts down the writing side of the connection.
func (g *guardedConn) CloseWrite() error {
	if c, ok := netconn.Unwrap(g.Conn).(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (g *guardedConn) Close() error {
	g.account.Close()
	return g.Conn.Close()
}

// refuse answers a head that exceeds a limit.
func (g *guardedConn) refuse(e *account.LimitError) {
	g.guard.p.CountRefusal(e)
	g.refused.Store(true)
	status := http.StatusText(e.Status)
	_ = g.SetDeadline(time.Now().Add(lingerTime))
	_, _ = g.Conn.Write(account.AppendRefusal(nil, e, strconv.Itoa(e.Status)+" "+status, e.Error(), nil))
	if g.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, g.Conn)
	}
}

// reset closes the connection at once.
func (g *guardedConn) reset() {
	netconn.ResetOnClose(g.Conn)
	_ = g.Conn.Close()
}
