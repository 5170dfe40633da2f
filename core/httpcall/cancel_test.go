package httpcall

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Guards against calls that are sent on after their client has left. A node that was paused or short of
// processor time reads the request and the end of its connection at once.
func TestCancelledCallIsNotSent(t *testing.T) {
	address, requests := startRawServer(t, func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := NewClient(ClientOptions{Rank: rank.Routing})
	defer client.Close()
	x, f := doGet(client, address)
	if f != nil {
		t.Fatal(f)
	}
	if err := x.Drain(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		_, f := doGetWith(ctx, client, address)
		if f == nil || f.Kind != KindCancelled || f.Verdict() != verdict.NotRun {
			t.Fatalf("cancelled call: %v, want a cancelled call that was not run", f)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("server has received %d requests of cancelled calls", n-1)
	}
}
