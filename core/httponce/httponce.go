// Package httponce is an HTTP/1.1 client that never sends a request twice. It does not use
// http.Transport: if a reused connection fails, http.Transport resends idempotent requests and
// all requests with an Idempotency-Key.
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

// Response is a response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests over persistent connections. Its methods are safe for concurrent use.
type Client struct {
	// MaxIdlePerAddress is the maximum number of idle connections for each address. A further
	// connection is closed after its response.
	MaxIdlePerAddress int
	// MaxBodyBytes is the maximum size of a response body. A request whose response has a
	// larger one fails.
	MaxBodyBytes int64
	// IdleTimeout is the idle time after which a connection is not reused. It must be shorter
	// than the idle timeout of the servers.
	IdleTimeout time.Duration

	// mu guards idleConns. It is a leaf lock without a rank: no other lock is acquired while it
	// is held.
	mu        sync.Mutex
	idleConns map[string][]*conn
}

type conn struct {
	net.Conn
	reader *httphead.Reader
	// writtenBytes counts the bytes of the current request that were written.
	writtenBytes int64
	idleSince    time.Time
}

// Write counts the bytes of the request that it passes to the operating system.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.writtenBytes += int64(n)
	return n, err
}

// New returns a client that keeps at most maxIdlePerAddress idle connections for each
// address.
func New(maxIdlePerAddress int) *Client {
	return &Client{MaxIdlePerAddress: maxIdlePerAddress, MaxBodyBytes: 8 << 20, IdleTimeout: 5 * time.Second, idleConns: map[string][]*conn{}}
}

// Do sends req once to address (IP:port) and reads the whole response; ctx limits the
// duration of both. An error has the verdict NotRun if no byte of the request was written, and
// MayHaveRun otherwise.
func (c *Client) Do(ctx context.Context, address string, req *http.Request) (*Response, error) {
	cn, err := c.getConn(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	cn.writtenBytes = 0
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	res, reuse, err := c.roundTrip(cn, req)
	if !stop() || err != nil || !reuse {
		_ = cn.Close()
	} else {
		c.putIdle(address, cn)
	}
	if err == nil {
		return res, nil
	}
	if ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), err.Error())
	}
	if cn.writtenBytes == 0 {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	return nil, verdict.Wrap(verdict.MayHaveRun, err)
}

// roundTrip sends the request and reads the response. It also reports whether the connection
// can be reused.
func (c *Client) roundTrip(cn *conn, req *http.Request) (*Response, bool, error) {
	if err := req.Write(cn); err != nil {
		return nil, false, errors.Wrap(err, "send request")
	}
	resp, err := cn.reader.ReadResponse(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "read response")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxBodyBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read response body")
	}
	if int64(len(body)) > c.MaxBodyBytes {
		return nil, false, errors.Newf("response body exceeds %d bytes", c.MaxBodyBytes)
	}
	reuse := !resp.Close && !req.Close && cn.reader.Buffered() == 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, reuse, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idleConns {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
	clear(c.idleConns)
}

func (c *Client) getConn(ctx context.Context, address string) (*conn, error) {
	if cn := c.popIdle(address); cn != nil {
		return cn, nil
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: httphead.NewReader(nc, httphead.ExternalLimits)}, nil
}

// popIdle returns the most recently used idle connection, or nil if there is none or it
// has been idle for too long.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idleConns[address] = list[:len(list)-1]
	if time.Since(cn.idleSince) < c.IdleTimeout {
		return cn
	}
	// The list is sorted by idle time, so all other connections have expired too.
	for _, old := range list {
		_ = old.Close()
	}
	delete(c.idleConns, address)
	return nil
}

func (c *Client) putIdle(address string, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) >= c.MaxIdlePerAddress {
		_ = cn.Close()
		return
	}
	c.idleConns[address] = append(list, cn)
}
