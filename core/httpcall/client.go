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
	// Node is the name that the other node must prove; empty for upstreams.
	Node string
	// Address is the host:port to connect to.
	Address string
}

// ClientOptions configures a client.
type ClientOptions struct {
	// Authenticate is set for connections to other nodes. The client then proves that it has Key
	// and verifies that the other side has it.
	Authenticate bool
	// Key is the fleet key; unused without Authenticate.
	Key rpc.Key
	// IdleTimeout is the idle time after which a connection is not reused. It must be well
	// below the idle timeout of the servers.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the number of idle connections to each address.
	MaxIdlePerAddress int
	// DialTimeout bounds the time to connect, including the handshake.
	DialTimeout time.Duration
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
	options ClientOptions
	mu      *rank.Mutex
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
	return &Client{options: o, mu: rank.NewMutex(o.Rank), idle: map[string][]*conn{}}
}

// takeIdle removes a usable idle connection on which no call with the same request ID was refused,
// and returns it; nil if there is none. It closes the unusable connections that it finds. If
// maxIdleTime is above 0, a connection that was idle for that long is unusable.
func (c *Client) takeIdle(address string, idHash uint64, maxIdleTime time.Duration) *conn {
	now := time.Now()
	for {
		k := c.popIdle(address, idHash)
		if k == nil {
			return nil
		}
		idle := now.Sub(k.idleSince)
		if idle < c.options.IdleTimeout && (k.maxIdleTime == 0 || idle < k.maxIdleTime) && (maxIdleTime == 0 || idle < maxIdleTime) && k.idleCheck.check() == nil {
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
	if c.closed || len(c.idle[k.address]) >= c.options.MaxIdlePerAddress || len(k.refusedIDs) >= maxRefusedPerConn {
		return false
	}
	c.idle[k.address] = append(c.idle[k.address], k)
	return true
}

// CloseIdle closes the idle connections to the addresses for which shouldClose returns true, and
// those that have been idle for IdleTimeout or longer.
func (c *Client) CloseIdle(shouldClose func(address string) bool) {
	for _, k := range c.removeIdle(time.Now(), shouldClose) {
		_ = k.Close()
	}
}

func (c *Client) removeIdle(now time.Time, shouldClose func(string) bool) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*conn
	for address, conns := range c.idle {
		closeAll := shouldClose(address)
		kept := conns[:0]
		for _, k := range conns {
			if closeAll || now.Sub(k.idleSince) >= c.options.IdleTimeout {
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

// Close closes all idle connections. Connections in use are closed when their exchange ends.
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
