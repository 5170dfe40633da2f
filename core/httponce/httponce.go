// Package httponce makes HTTP/1.1 calls that are never sent twice. http.Transport
// is not used for them, because it re-sends idempotent requests, and any request
// with an Idempotency-Key, when a reused connection fails.
package httponce

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Result is a complete answer.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls servers by IP:port over connections that it keeps open. Its
// methods are safe for concurrent use.
type Client struct {
	// IdlePerAddress bounds the idle connections kept for each address.
	IdlePerAddress int
	// MaxBody bounds the bytes of an answer.
	MaxBody int64
	// IdleTimeout is the age from which an idle connection is not used again. It
	// is shorter than the idle timeout of servers.
	IdleTimeout time.Duration

	// mu guards idle. It is a leaf lock below all ranks: nothing is called while
	// it is held.
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	r     *httphead.Reader
	wrote int64
	since time.Time
}

// Write counts the bytes that were handed to the operating system.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote += int64(n)
	return n, err
}

// New returns a client that keeps up to idle connections for each address.
func New(idle int) *Client {
	return &Client{IdlePerAddress: idle, MaxBody: 8 << 20, IdleTimeout: 5 * time.Second, idle: map[string][]*conn{}}
}

// Do sends req to address once and reads the whole answer; ctx bounds both. An
// error carries the verdict NotRun when no byte of the request was written, and
// MayHaveRun after that.
func (c *Client) Do(ctx context.Context, address string, req *http.Request) (*Result, error) {
	cn, err := c.take(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	cn.wrote = 0
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	res, reuse, err := c.exchange(cn, req)
	if !stop() || err != nil || !reuse {
		_ = cn.Close()
	} else {
		c.put(address, cn)
	}
	if err == nil {
		return res, nil
	}
	if ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), err.Error())
	}
	if cn.wrote == 0 {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	return nil, verdict.Wrap(verdict.MayHaveRun, err)
}

func (c *Client) exchange(cn *conn, req *http.Request) (*Result, bool, error) {
	if err := req.Write(cn); err != nil {
		return nil, false, errors.Wrap(err, "send request")
	}
	resp, err := cn.r.ReadResponse(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "read answer")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxBody+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read body of answer")
	}
	if int64(len(body)) > c.MaxBody {
		return nil, false, errors.Newf("answer exceeds %d bytes", c.MaxBody)
	}
	reuse := !resp.Close && !req.Close && cn.r.Buffered() == 0
	return &Result{Status: resp.StatusCode, Header: resp.Header, Body: body}, reuse, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
	clear(c.idle)
}

func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	if cn := c.pop(address); cn != nil {
		return cn, nil
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, r: httphead.NewReader(nc, httphead.Outside)}, nil
}

// pop returns the idle connection used last, if it is young enough.
func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	if time.Since(cn.since) < c.IdleTimeout {
		return cn
	}
	// The list is in order of age: all others are older.
	for _, old := range list {
		_ = old.Close()
	}
	delete(c.idle, address)
	return nil
}

func (c *Client) put(address string, cn *conn) {
	cn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) >= c.IdlePerAddress {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(list, cn)
}
