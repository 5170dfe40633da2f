package httpcall

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Target is the destination of a dispatch.
type Target struct {
	// Node is the expected name of the other node; empty for upstreams.
	Node    string
	Address string
}

// ClientOptions configures a client.
type ClientOptions struct {
	// Authenticate makes the client prove that it has the key and verify that the other side
	// has it.
	Authenticate bool
	Key          rpc.Key
	// IdleTimeout is the idle time after which a connection is not reused. It must be well
	// below the idle timeout of the servers.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the number of idle connections to each address.
	MaxIdlePerAddress int
	DialTimeout       time.Duration
	// SilenceTimeout is the time without a response from the TCP stack of the other side
	// after which a connection fails.
	SilenceTimeout time.Duration
	// Rank is the lock rank of the table of idle connections.
	Rank rank.Rank
	// Dispatches counts the exchanges of which at least one byte was written to a connection.
	Dispatches *metrics.Counter
}

// Client dispatches calls and reuses idle connections. It is safe for concurrent use.
type Client struct {
	o  ClientOptions
	mu *rank.Mutex
	// idle holds the idle connections to each address, the most recently used last.
	idle   map[string][]*conn
	closed bool
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.MaxIdlePerAddress == 0 {
		o.MaxIdlePerAddress = 16
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 10 * time.Second
	}
	if o.Dispatches == nil {
		o.Dispatches = new(metrics.Counter)
	}
	return &Client{o: o, mu: rank.NewMutex(o.Rank), idle: map[string][]*conn{}}
}

// takeIdle removes and returns a usable idle connection on which no call with the same request
// ID was refused, or nil. It closes unusable ones. If maxIdle is above 0, connections that
// were idle for longer count as unusable.
func (c *Client) takeIdle(address string, idHash uint64, maxIdle time.Duration) *conn {
	now := time.Now()
	for {
		k := c.popIdle(address, idHash)
		if k == nil {
			return nil
		}
		idle := now.Sub(k.idleSince)
		if idle < c.o.IdleTimeout && (k.maxIdleTime == 0 || idle < k.maxIdleTime) && (maxIdle == 0 || idle < maxIdle) && k.idleCheck.check() == nil {
			return k
		}
		_ = k.Close()
	}
}

func (c *Client) popIdle(address string, idHash uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if k := conns[i]; !slices.Contains(k.refusedIDs, idHash) {
			c.idle[address] = slices.Delete(conns, i, i+1)
			return k
		}
	}
	return nil
}

// putIdle keeps a connection for the next call, or closes it if it may not be kept.
func (c *Client) putIdle(k *conn) {
	k.idleSince = time.Now()
	if !c.addIdle(k) {
		_ = k.Close()
	}
}

func (c *Client) addIdle(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[k.address]) >= c.o.MaxIdlePerAddress || len(k.refusedIDs) >= maxRefusedPerConn {
		return false
	}
	c.idle[k.address] = append(c.idle[k.address], k)
	return true
}

// CloseIdle closes the idle connections to the addresses for which drop returns
// true, and those that have been idle for longer than IdleTimeout.
func (c *Client) CloseIdle(drop func(address string) bool) {
	for _, k := range c.removeIdle(time.Now(), drop) {
		_ = k.Close()
	}
}

func (c *Client) removeIdle(now time.Time, drop func(string) bool) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*conn
	for address, conns := range c.idle {
		dropAll := drop(address)
		kept := conns[:0]
		for _, k := range conns {
			if dropAll || now.Sub(k.idleSince) >= c.o.IdleTimeout {
				removed = append(removed, k)
			} else {
				kept = append(kept, k)
			}
		}
		clear(conns[len(kept):])
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	return removed
}

// Close closes all idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle(func(string) bool { return true })
}

// getConn returns an idle connection or, if there is none or forceNew is set, a new one.
func (c *Client) getConn(ctx context.Context, r *Request, forceNew bool) (k *conn, reused bool, err error) {
	if !forceNew {
		if k := c.takeIdle(r.To.Address, xxhash.Sum64String(r.ID), r.MaxIdleTime); k != nil {
			return k, true, nil
		}
	}
	k, err = c.dial(ctx, r.To, r.Deadline)
	return k, false, err
}
