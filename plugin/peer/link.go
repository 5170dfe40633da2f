package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/rpc"
)

// Link is an outgoing connection that is kept up until Close.
type Link struct {
	p       *Peer
	next    func(attempt int) (address string)
	up      func(c *rpc.Conn)
	cancel  context.CancelFunc
	ctx     context.Context
	rng     *rand.Rand
	current *rpc.Conn // guarded by Peer.mu
}

// Connect keeps a connection to one address. up is called in a job, keyed by
// the connection, each time the connection is made; OnClose tells of its end.
func (p *Peer) Connect(address string, up func(c *rpc.Conn)) *Link {
	return p.ConnectAny(func(int) string { return address }, up)
}

// ConnectAny keeps a connection to the address that next returns for each
// attempt; attempt counts the failures since the last connection. next is called
// on the goroutine of the link.
func (p *Peer) ConnectAny(next func(attempt int) string, up func(c *rpc.Conn)) *Link {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &Link{p: p, next: next, up: up, ctx: ctx, cancel: cancel, rng: p.c.Rand()}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	p.wg.Add(1)
	go l.run()
	return l
}

// Conn returns the connection, or nil while there is none.
func (l *Link) Conn() *rpc.Conn {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.current
}

// Close ends the connection and does not renew it.
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

// warnFailures is the number of failed attempts in a row that is logged once as a
// warning. With the default back-off it is reached after about 5 s.
const warnFailures = 8

func (l *Link) run() {
	defer l.p.wg.Done()
	for failures := 0; l.ctx.Err() == nil; {
		c, err := l.dial(l.next(failures))
		if err != nil {
			l.p.c.Log.Log(evDialled).Err(err).Send()
			if failures+1 == warnFailures {
				l.p.c.Log.Log(evNoAnswer).Int("attempts", failures+1).Err(err).Send()
			}
			if !l.pause(failures) {
				return
			}
			failures++
			continue
		}
		failures = 0
		l.serve(c)
		if !l.pause(0) {
			return
		}
	}
}

func (l *Link) dial(address string) (*rpc.Conn, error) {
	d := net.Dialer{Timeout: l.p.s.DialTimeout.D(), KeepAlive: -1}
	nc, err := d.DialContext(l.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.p.guard(nc)
	c, err := l.p.open(nc, true)
	return c, errors.Wrapf(err, "connect to %s", address)
}

// serve holds the connection until it ends.
func (l *Link) serve(c *rpc.Conn) {
	l.p.mu.Lock()
	l.current = c
	l.p.mu.Unlock()
	if l.ctx.Err() != nil {
		c.Close()
	}
	l.p.c.Log.Log(evUp).Str("process", c.Peer).Send()
	l.p.c.Go(jobKey(c), func() { l.up(c) })
	<-c.Done()
	l.p.mu.Lock()
	l.current = nil
	l.p.mu.Unlock()
	if l.ctx.Err() == nil {
		l.p.c.Log.Log(evDown).Str("process", c.Peer).Send()
	}
}

// pause waits for the back-off after the given number of failures and reports
// whether the link is still wanted.
func (l *Link) pause(failures int) bool {
	t := time.NewTimer(Backoff(failures, l.p.s.MinBackoff.D(), l.p.s.MaxBackoff.D(), l.rng))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}
