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
	// bytesWritten is the number of bytes of the current exchange that were written.
	bytesWritten int64
	auth         authState
	// proof is the client's proof that it has the fleet key. It is sent with the first request after
	// the handshake and empty afterwards; for upstreams it is always empty.
	proof     string
	idleSince time.Time
	// maxIdleTime is the idle time that the other side has stated as its limit; 0 if it stated none.
	maxIdleTime time.Duration
	idleCheck   *idleCheck
	// refusedIDs holds the hashes of the request IDs of the calls that were refused on the
	// connection. If two IDs have the same hash, a call merely uses another connection.
	refusedIDs []uint64
}

// maxRefusedPerConn is the number of refusals after which a connection is closed. If the oldest ID
// were dropped from refusedIDs instead, a copy of its refusal could be mistaken for the answer to a
// later call. Under overload, the limit costs one new connection per maxRefusedPerConn refusals, and
// 2 KiB of memory for each idle connection.
const maxRefusedPerConn = 256

// Write implements io.Writer and counts the written bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// errWrongNode means that a node other than the expected one answers at the address.
var errWrongNode = errors.New("another node answers at the address")

// dial opens a connection. If the client authenticates, it also verifies that the other side has the
// fleet key and the expected node name.
func (c *Client) dial(ctx context.Context, to Target, deadline time.Time) (*conn, error) {
	now := time.Now()
	dialDeadline := now.Add(c.options.DialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	d := net.Dialer{Deadline: dialDeadline, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	if err := netconn.SetSilenceTimeout(nc, c.options.SilenceTimeout); err != nil {
		_ = nc.Close()
		return nil, err
	}
	k := &conn{Conn: nc, address: to.Address, idleCheck: newIdleCheck(nc)}
	headLimits := httphead.ExternalLimits
	if c.options.Authenticate {
		headLimits = httphead.NodeLimits
	}
	k.br, k.bw = httphead.NewReader(nc, headLimits), bufio.NewWriter(k)
	if !c.options.Authenticate {
		return k, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := k.handshake(c, to, dialDeadline); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "handshake with %s", to.Address)
	}
	return k, nil
}

// handshake exchanges nonces with the other node, verifies its key and name, and prepares the
// client's proof.
func (c *conn) handshake(client *Client, to Target, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	c.auth = authState{key: client.options.Key, clientNonce: nonce}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: handshakePath}, Host: to.Address,
		Header: http.Header{headerHello: {hex.EncodeToString(nonce)}, "User-Agent": noUserAgent},
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
	name, err := c.auth.verifyHello(resp.Header.Get(headerHello), resp.Header.Get(headerNode))
	if err != nil {
		return err
	}
	if to.Node != "" && name != to.Node {
		return errors.Wrapf(errWrongNode, "%q instead of %q", name, to.Node)
	}
	c.proof = hex.EncodeToString(client.options.Key.MAC(purposeClient, c.auth.clientNonce, c.auth.serverNonce))
	return c.SetDeadline(time.Time{})
}

// noUserAgent keeps http.Request.Write from adding a User-Agent of its own.
var noUserAgent = []string{""}
