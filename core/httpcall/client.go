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

// Target is where a dispatch goes.
type Target struct {
	// Node is the expected name of the other node; empty towards upstreams.
	Node    string
	Address string
}

// ClientOptions configures a client.
type ClientOptions struct {
	// Authenticate makes the client prove the key and check the other side's.
	Authenticate bool
	Key          rpc.Key
	// IdleTimeout bounds the age of an idle connection that is used again. It must
	// be well below the idle timeout of the servers.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle     int
	DialTimeout time.Duration
	// SilenceTimeout is the time without a sign of the other side's kernel after
	// which a connection fails.
	SilenceTimeout time.Duration
	// Rank is the lock rank of the table of idle connections.
	Rank rank.Rank
	// Dispatches counts the exchanges of which at least one byte met a connection.
	Dispatches *metrics.Counter
}

// Client dispatches calls over kept connections. It is safe for concurrent use.
type Client struct {
	o  ClientOptions
	mu *rank.Mutex
	// idle holds the connections of each address, the latest used last.
	idle   map[string][]*conn
	closed bool
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = 16
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
	return &Client{o: o, mu: rank.New(o.Rank), idle: map[string][]*conn{}}
}

// take returns a usable idle connection on which no call of the name was refused, or
// nil. Unusable ones are closed.
func (c *Client) take(address string, name uint64, fresh time.Duration) *conn {
	now := time.Now()
	for {
		k := c.pop(address, name)
		if k == nil {
			return nil
		}
		idle := now.Sub(k.idleSince)
		if idle < c.o.IdleTimeout && (k.keep == 0 || idle < k.keep) && (fresh == 0 || idle < fresh) && k.idle.check() == nil {
			return k
		}
		_ = k.Close()
	}
}

func (c *Client) pop(address string, name uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if k := list[i]; !slices.Contains(k.refused, name) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return k
		}
	}
	return nil
}

// put keeps a connection for the next call or closes it.
func (c *Client) put(k *conn) {
	k.idleSince = time.Now()
	if !c.keep(k) {
		_ = k.Close()
	}
}

func (c *Client) keep(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[k.address]) >= c.o.MaxIdle || len(k.refused) >= maxRefused {
		return false
	}
	c.idle[k.address] = append(c.idle[k.address], k)
	return true
}

// CloseIdle closes the idle connections to the addresses for which drop returns
// true, and those that are idle for longer than the idle timeout.
func (c *Client) CloseIdle(drop func(address string) bool) {
	for _, k := range c.expired(time.Now(), drop) {
		_ = k.Close()
	}
}

func (c *Client) expired(now time.Time, drop func(string) bool) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*conn
	for address, list := range c.idle {
		all := drop(address)
		kept := list[:0]
		for _, k := range list {
			if all || now.Sub(k.idleSince) >= c.o.IdleTimeout {
				out = append(out, k)
			} else {
				kept = append(kept, k)
			}
		}
		clear(list[len(kept):])
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	return out
}

// Close closes all idle connections; those in use close when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle(func(string) bool { return true })
}

// open returns a connection: a kept one unless fresh is set, or a new one.
func (c *Client) open(ctx context.Context, r *Request, fresh bool) (k *conn, reused bool, err error) {
	if !fresh {
		if k := c.take(r.To.Address, xxhash.Sum64String(r.Name), r.Fresh); k != nil {
			return k, true, nil
		}
	}
	k, err = c.dial(ctx, r.To, r.Deadline)
	return k, false, err
}
