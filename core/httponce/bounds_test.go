package httponce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Guards against reading and buffering an endless response head until the deadline.
func TestEndlessHeadFailsTheRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	quit := make(chan struct{})
	defer close(quit)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		// The limit bounds the memory use of a failing test.
		for n := 0; n < 4<<20 && err == nil; n += 700 {
			_, err = io.WriteString(conn, strings.Repeat("Ab: c\r\n", 100))
		}
		<-quit
	}()
	c := New(1)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Do(ctx, l.Addr().String(), req)
	if err == nil || errors.Is(err, context.DeadlineExceeded) || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("error %v with verdict %v, want a failure before the deadline that may have run", err, verdict.Of(err))
	}
}
