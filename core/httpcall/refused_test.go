package httpcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/rank"
)

// doRefused makes a call with the request ID id, which the other side refuses, and returns
// the local address of its connection.
func doRefused(t *testing.T, c *Client, address, id string) string {
	t.Helper()
	x, f := c.Do(context.Background(), &Request{
		To: Target{Address: address}, Deadline: time.Now().Add(5 * time.Second), ID: id,
		HTTP: &http.Request{Method: "POST", URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
	})
	if f != nil {
		t.Fatal(f)
	}
	conn := x.conn
	x.MarkRefused()
	if err := x.Drain(); err != nil {
		t.Fatal(err)
	}
	return conn.LocalAddr().String()
}

// Guards against sending a call on a connection on which a call with the same request ID was
// refused, against opening new connections for calls with other IDs, and against keeping a
// connection after maxRefusedPerConn refusals.
func TestRefusedIDsAvoidTheirConnection(t *testing.T) {
	address, _ := startRawServer(t, func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	})
	c := NewClient(ClientOptions{Rank: rank.Routing})
	defer c.Close()
	idsByConn := map[string]map[string]bool{}
	use := func(id string) {
		k := doRefused(t, c, address, id)
		if idsByConn[k] == nil {
			idsByConn[k] = map[string]bool{}
		}
		if idsByConn[k][id] {
			t.Fatalf("%q is sent again on connection %s", id, k)
		}
		idsByConn[k][id] = true
	}
	for range 3 {
		for i := range 8 {
			use(fmt.Sprint(i))
		}
	}
	if len(idsByConn) != 3 {
		t.Errorf("%d connections for IDs that were used 3 times", len(idsByConn))
	}
	for i := range 4 * maxRefusedPerConn {
		use(fmt.Sprint("n", i))
	}
	for k, ids := range idsByConn {
		if len(ids) > maxRefusedPerConn {
			t.Errorf("connection %s was kept after %d refusals", k, len(ids))
		}
	}
	if len(idsByConn) > 3+5 {
		t.Errorf("%d connections", len(idsByConn))
	}
}
