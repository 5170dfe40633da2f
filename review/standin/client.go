package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// client is a client on a node's machine with one connection, which it keeps open.
type client struct {
	m    *machine
	name string
	conn net.Conn
	br   *httphead.Reader
}

// answer is what a client got for one request.
type answer struct {
	id string
	// limit is the deadline of the client or the timeout of the route, whichever ends first.
	limit time.Duration
	sent  time.Time // when the last byte of the request was sent
	end   time.Time
	// status is 0 if the connection ended without a complete answer; err then tells why.
	status  int
	stamped bool // the answer bears the endpoint's signature
	body    string
	err     error
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12+lastID.Add(1)) }

// connect opens the connection; a client waits for it for at most a second.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	nc, err := net.DialTimeout("tcp", c.m.address(c.m.p.ports.outbound), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.br = nc, httphead.NewReader(nc, httphead.ExternalLimits)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one request on the client's connection and waits for its answer until the deadline.
func (c *client) do(method, path, id string, deadline time.Duration) answer {
	a := answer{id: id, limit: deadline}
	rec := c.m.p.record
	begin := time.Now()
	if a.err = c.connect(); a.err != nil {
		rec.add(c.name, "%s: no connection: %v", id, a.err)
		return a
	}
	body := ""
	if method != http.MethodGet {
		body = "a request body"
	}
	_ = c.conn.SetDeadline(begin.Add(deadline + 300*time.Millisecond))
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, routeHost, id, strconv.FormatInt(deadline.Milliseconds(), 10), len(body), body)
	a.sent = time.Now()
	rec.add(c.name, "sends %s (%s %s) to %s", id, method, path, c.m.name)
	if a.err == nil {
		a.read(c)
	}
	a.end = time.Now()
	switch {
	case a.err != nil:
		rec.add(c.name, "%s ends without a complete answer: %v", id, a.err)
		c.close()
	default:
		rec.add(c.name, "%s is answered %d, signed by the endpoint: %t, %q", id, a.status, a.stamped, strings.TrimSpace(a.body))
	}
	return a
}

func (a *answer) read(c *client) {
	resp, err := c.br.ReadResponse(&http.Request{Method: http.MethodGet})
	if err != nil {
		a.err = err
		return
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.stamped, a.body = resp.StatusCode, resp.Header.Get("X-Celeryyard-Server-Stamp") != "", string(b)
	if resp.Close {
		c.close()
	}
}
