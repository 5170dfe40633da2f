package announce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against probes that read a head of megabytes, and against a result that waits for a body
// that never arrives: only the head determines the result. Guards also against a status that is none (000) and counts as healthy.
func TestProbeResultDependsOnBoundedHead(t *testing.T) {
	const timeout = 2 * time.Second
	for name, tc := range map[string]struct {
		answer string
		want   probeResult
	}{
		"small":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", probeOK},
		"failing":       {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\n", probeNegative},
		"body missing":  {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", probeOK},
		"chunk missing": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", probeOK},
		"status 000":    {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", probeNegative},
		"status 099":    {"HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n", probeNegative},
		"status 999":    {"HTTP/1.1 999 Trouble\r\nContent-Length: 0\r\n\r\n", probeNegative},
		"large head":    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", probeRefused},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		quit := make(chan struct{})
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, tc.answer)
				<-quit
			}
		}()
		a := &Announce{client: newProbeClient(timeout), ctx: context.Background()}
		begin := time.Now()
		got := a.sendProbe("http://" + l.Addr().String() + "/")
		if took := time.Since(begin); got != tc.want || took >= timeout {
			t.Errorf("%s: result %v after %v, want %v before %v", name, got, took, tc.want, timeout)
		}
		close(quit)
		_ = l.Close()
	}
}
