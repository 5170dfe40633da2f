package dataplane

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/netconn"
)

// maxLeaveTime is how soon an upstream must be told that the client of its request has left.
const maxLeaveTime = 500 * time.Millisecond

// Guards against a slot that is held until the deadline by a call whose client has left while its body was
// being sent to an upstream that does not read it.
func TestClientThatLeavesMidBodyFreesTheUpstream(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes int // sent by the client before it leaves
		leave func(c net.Conn)
	}{
		{"reset with all buffers full", 32 << 20, netconn.ResetOnClose},
		{"reset with little sent", 200 << 10, netconn.ResetOnClose},
		{"close with little sent", 200 << 10, func(net.Conn) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.route.TimeoutMillis = 20_000
			f.withoutRelays = true // a relay that waits to send does not pass a reset on
			running := make(chan net.Conn, 1)
			f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, "ok")
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				running <- c
			}))
			b := f.addNode("b", "z1", nil)
			client, err := net.Dial("tcp", b.callersAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if _, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: north\r\nContent-Length: %d\r\n\r\n", 64<<20); err != nil {
				t.Fatal(err)
			}
			_ = client.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = client.Write(make([]byte, test.bytes)) // blocks once all buffers on the way are full
			upstream := <-running
			defer upstream.Close()
			if netconn.IsClosedByPeer(upstream) {
				t.Fatal("the call to the upstream ended before the client left")
			}
			test.leave(client)
			_ = client.Close()
			left := time.Now()
			for !netconn.IsClosedByPeer(upstream) {
				if time.Since(left) > maxLeaveTime {
					t.Fatalf("the call to the upstream goes on %v after its client has left", maxLeaveTime)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if got := b.call("GET", "north", "/", "", "Celeryyard-Timeout-Ms", "1000"); got.status != http.StatusOK {
				t.Errorf("call for the only slot after the client has left: %+v", got)
			}
		})
	}
}
