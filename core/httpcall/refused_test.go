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

// refusing makes a call of the name, which the other side refuses, and returns the
// local address of its connection.
func refusing(t *testing.T, c *Client, address, name string) string {
	t.Helper()
	x, f := c.Do(context.Background(), &Request{
		To: Target{Address: address}, Deadline: time.Now().Add(5 * time.Second), Name: name,
		HTTP: &http.Request{Method: "POST", URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
	})
	if f != nil {
		t.Fatal(f)
	}
	k := x.conn
	x.Refused()
	if err := x.Drain(); err != nil {
		t.Fatal(err)
	}
	return k.LocalAddr().String()
}

// Guards against a call on a connection on which one of its name was refused, against
// new connections for calls of other names, and against a connection that outlives
// its memory of refusals.
func TestRefusedNamesStayOffTheirConnection(t *testing.T) {
	address, _ := scripted(t, func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	})
	c := NewClient(ClientOptions{Rank: rank.Routing})
	defer c.Close()
	names := map[string]map[string]bool{}
	use := func(name string) {
		k := refusing(t, c, address, name)
		if names[k] == nil {
			names[k] = map[string]bool{}
		}
		if names[k][name] {
			t.Fatalf("%q is sent again on connection %s", name, k)
		}
		names[k][name] = true
	}
	for range 3 {
		for i := range 8 {
			use(fmt.Sprint(i))
		}
	}
	if len(names) != 3 {
		t.Errorf("%d connections for names that came 3 times", len(names))
	}
	for i := range 4 * maxRefused {
		use(fmt.Sprint("n", i))
	}
	for k, of := range names {
		if len(of) > maxRefused {
			t.Errorf("connection %s was kept after %d refusals", k, len(of))
		}
	}
	if len(names) > 3+5 {
		t.Errorf("%d connections", len(names))
	}
}
