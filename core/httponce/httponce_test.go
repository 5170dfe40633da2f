package httponce

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// startBreakingServer starts a server that answers the first request on each connection
// and closes the connection after reading the second one. It returns the address of the
// server and the number of requests that it has read.
func startBreakingServer(t *testing.T) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var read atomic.Int64
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for i := range 2 {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					read.Add(1)
					if i == 0 {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &read
}

// Guards against resending a request when a reused connection fails, as http.Transport
// does for GET and for any request with an Idempotency-Key.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	address, requestsRead := startBreakingServer(t)
	c := New(1)
	defer c.Close()
	for i, fails := range []bool{false, true, false} {
		req, err := http.NewRequest(http.MethodGet, "http://x/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		res, err := c.Do(ctx, address, req)
		cancel()
		switch {
		case fails && (err == nil || verdict.Of(err) != verdict.MayHaveRun):
			t.Fatalf("request %d: response %v, error %v", i, res, err)
		case !fails && (err != nil || string(res.Body) != "ok"):
			t.Fatalf("request %d: response %v, error %v", i, res, err)
		}
		if n := requestsRead.Load(); n != int64(i+1) {
			t.Fatalf("the server read %d requests after %d calls", n, i+1)
		}
	}
}

// Guards against the verdict NotRun for a request that may have run, and against
// MayHaveRun for one that was not sent.
func TestVerdictTellsWhetherBytesWereWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := l.Addr().String()
	refusing := "127.0.0.1:1"
	defer l.Close()
	for address, want := range map[string]verdict.Verdict{silent: verdict.MayHaveRun, refusing: verdict.NotRun} {
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err = New(1).Do(ctx, address, req)
		cancel()
		if err == nil || verdict.Of(err) != want {
			t.Errorf("%s: error %v, expected the verdict %v", address, err, want)
		}
	}
}
