package httpcall

import (
	"bufio"
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/netconn"
)

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	address string
	br      *httphead.Reader
	bw      *bufio.Writer
	// written counts the bytes of the current exchange that met the connection.
	written int64
	secret  secret
	// proof is sent with the first call; empty afterwards and towards upstreams.
	proof     string
	idleSince time.Time
	// keep bounds the idle time as the other side has asked; 0 for no bound.
	keep time.Duration
	idle *idleCheck
	// refused holds the hashes of the names of calls that were refused on the
	// connection. Two names of one hash only cost a call another connection.
	refused []uint64
}

// maxRefused bounds the refusals on one connection, which is closed after them: a
// refusal that is forgotten could come once more. Under overload this costs one new
// connection for so many refusals, and 2 KiB for each kept one.
const maxRefused = 256

// Write counts the bytes that the connection took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// errWrongNode means that the address belongs to another node than expected.
var errWrongNode = errors.New("another node answers at the address")

// dial connects and, between nodes, checks the other side's key and name.
func (c *Client) dial(ctx context.Context, to Target, deadline time.Time) (*conn, error) {
	now := time.Now()
	limit := now.Add(c.o.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	d := net.Dialer{Deadline: limit, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	if err := netconn.Guard(nc, c.o.SilenceTimeout); err != nil {
		_ = nc.Close()
		return nil, err
	}
	k := &conn{Conn: nc, address: to.Address, idle: newIdleCheck(nc)}
	limits := httphead.Outside
	if c.o.Authenticate {
		limits = httphead.Nodes
	}
	k.br, k.bw = httphead.NewReader(nc, limits), bufio.NewWriter(k)
	if !c.o.Authenticate {
		return k, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := k.greet(c, to, limit); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "greeting of %s", to.Address)
	}
	return k, nil
}

// greet exchanges nonces with the other node and prepares the client's proof.
func (c *conn) greet(cl *Client, to Target, limit time.Time) error {
	if err := c.SetDeadline(limit); err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	c.secret = secret{key: cl.o.Key, client: nonce}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: helloPath}, Host: to.Address,
		Header: http.Header{headerHello: {hex.EncodeToString(nonce)}, "User-Agent": noAgent},
	}
	if err := r.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	resp, err := c.br.ReadResponse(r)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent || resp.Close {
		return errors.Newf("status %d", resp.StatusCode)
	}
	name, err := c.secret.checkHello(resp.Header.Get(headerHello), resp.Header.Get(headerNode))
	if err != nil {
		return err
	}
	if to.Node != "" && name != to.Node {
		return errors.Wrapf(errWrongNode, "%q instead of %q", name, to.Node)
	}
	c.proof = hex.EncodeToString(cl.o.Key.MAC(purposeClient, c.secret.client, c.secret.server))
	return c.SetDeadline(time.Time{})
}

// noAgent keeps http.Request.Write from adding a User-Agent of its own.
var noAgent = []string{""}
