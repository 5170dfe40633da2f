package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/rpc"
)

// Link is an outgoing connection that is re-established until Close is called.
type Link struct {
	p           *Peer
	nextAddress func(attempt int) (address string)
	onConnect   func(c *rpc.Conn)
	cancel      context.CancelFunc
	ctx         context.Context
	rng         *rand.Rand
	current     *rpc.Conn // guarded by Peer.mu
}

// Connect keeps a connection to one address. Each time the connection is established, onConnect is
// called in a job with the key of the connection. Each time the connection ends, the functions
// added by OnClose are called.
func (p *Peer) Connect(address string, onConnect func(c *rpc.Conn)) *Link {
	return p.ConnectAny(func(int) string { return address }, onConnect)
}

// ConnectAny keeps a connection to one of several addresses: nextAddress returns the address for each
// attempt to connect, and attempt is the number of failures since the last connection. nextAddress
// runs on the goroutine of the link and may block. For onConnect, see Connect.
func (p *Peer) ConnectAny(nextAddress func(attempt int) string, onConnect func(c *rpc.Conn)) *Link {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &Link{p: p, nextAddress: nextAddress, onConnect: onConnect, ctx: ctx, cancel: cancel, rng: p.c.NewRand()}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	p.wg.Add(1)
	go l.run()
	return l
}

// Conn returns the current connection, or nil while there is none.
func (l *Link) Conn() *rpc.Conn {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.current
}

// Close closes the connection and stops reconnecting.
func (l *Link) Close() {
	l.cancel()
	l.p.mu.Lock()
	c := l.current
	delete(l.p.links, l)
	l.p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// warnAfterFailures is the number of consecutive failed attempts after which one warning is
// logged. With the default back-off it is reached after about 5 s.
const warnAfterFailures = 8

func (l *Link) run() {
	defer l.p.wg.Done()
	for failures := 0; l.ctx.Err() == nil; {
		c, err := l.dial(l.nextAddress(failures))
		if err != nil {
			l.p.c.Log.Log(evDialFailed).Err(err).Send()
			if failures+1 == warnAfterFailures {
				l.p.c.Log.Log(evDialKeepsFailing).Int("attempts", failures+1).Err(err).Send()
			}
			if !l.waitBackoff(failures) {
				return
			}
			failures++
			continue
		}
		failures = 0
		l.runConn(c)
		if !l.waitBackoff(0) {
			return
		}
	}
}

func (l *Link) dial(address string) (*rpc.Conn, error) {
	d := net.Dialer{Timeout: l.p.s.DialTimeout.AsDuration(), KeepAlive: -1}
	nc, err := d.DialContext(l.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.p.setSilenceTimeout(nc)
	c, err := l.p.openConn(nc, true)
	return c, errors.Wrapf(err, "connect to %s", address)
}

// runConn makes c the current connection, schedules onConnect, and waits until c is closed.
func (l *Link) runConn(c *rpc.Conn) {
	l.p.mu.Lock()
	l.current = c
	l.p.mu.Unlock()
	if l.ctx.Err() != nil {
		c.Close()
	}
	l.p.c.Log.Log(evConnected).Str("process", c.Peer).Send()
	l.p.c.Go(connJobKey(c), func() { l.onConnect(c) })
	<-c.Done()
	l.p.mu.Lock()
	l.current = nil
	l.p.mu.Unlock()
	if l.ctx.Err() == nil {
		l.p.c.Log.Log(evDisconnected).Str("process", c.Peer).Send()
	}
}

// waitBackoff waits for the back-off after the given number of failures. It returns false when
// the link has been closed.
func (l *Link) waitBackoff(failures int) bool {
	t := time.NewTimer(Backoff(failures, l.p.s.MinBackoff.AsDuration(), l.p.s.MaxBackoff.AsDuration(), l.rng))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}
