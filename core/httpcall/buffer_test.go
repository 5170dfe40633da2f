package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// doBuffered sends a request whose answer must have the header "Id: 1".
func doBuffered(c *Client, address string) (*Exchange, *Failure) {
	return c.Do(context.Background(), &Request{
		To: Target{Address: address}, Deadline: time.Now().Add(2 * time.Second), BufferBytes: 1 << 10,
		Skip: func(r *http.Response) bool { return r.Header.Get("Id") != "1" },
		HTTP: &http.Request{Method: "GET", URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
	})
}

// Guards against forwarding a late answer to another request, and against losing the answer to the
// call that follows on the connection.
func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	const late, own = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew"
	for name, tc := range map[string]struct {
		answer string
		ok     bool
	}{
		"own":           {own, true},
		"late, own":     {late + own, true},
		"late twice":    {late + late + own, true},
		"late only":     {late, false},
		"late, closing": {"HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\nContent-Length: 3\r\n\r\nold" + own, false},
	} {
		address, _ := startRawServer(t, func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, tc.answer)
			_ = c.Close()
		})
		c := NewClient(ClientOptions{Rank: rank.Routing})
		x, f := doBuffered(c, address)
		switch {
		case (f == nil) != tc.ok:
			t.Errorf("%s: failure %v", name, f)
		case f != nil && f.Verdict() != verdict.MayHaveRun:
			t.Errorf("%s: verdict %v of a request that was sent", name, f.Verdict())
		case f == nil:
			if b, err := io.ReadAll(x.Response.Body); err != nil || string(b) != "new" {
				t.Errorf("%s: body %q, %v", name, b, err)
			}
			x.Finish(true)
		}
		c.Close()
	}
}

// Guards against forwarding the start of a truncated answer, which can then no longer be replaced
// by an error, and against refusing an answer that ends when its connection is closed.
func TestBufferedAnswersAreWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		ok     bool
	}{
		"short body":     {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", false},
		"cut chunks":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		"chunks":         {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"no framing":     {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", true},
		"bytes, no head": {"\x00\x01\x02\r\n\r\n", false},
	} {
		address, _ := startRawServer(t, func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, tc.answer)
			_ = c.Close()
		})
		c := NewClient(ClientOptions{Rank: rank.Routing})
		x, f := doBuffered(c, address)
		if (f == nil) != tc.ok {
			t.Errorf("%s: failure %v", name, f)
		}
		if f == nil {
			if b, err := io.ReadAll(x.Response.Body); err != nil || string(b) != "ok" || x.Response.ContentLength != 2 {
				t.Errorf("%s: body %q of %d, %v", name, b, x.Response.ContentLength, err)
			}
			x.Finish(true)
		}
		c.Close()
	}
}
