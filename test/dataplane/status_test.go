package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response whose status is none (000) or outside 100 to 599 that reaches a caller as an answer, or whose body is
// read as the head of the next response; the same for an interim response with a body. The caller must get a failure of the
// node at once, and the next call on the connections its own answer.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	statuses := []string{"000 Trouble", "000", "001 A", "042 B", "099 C", "600 D", "777 E", "999 F", "-00 G", "+20 H", "+99 I", "-01 J", "20 K", "2000 L", "2x0 M"}
	interims := []string{"100 Continue", "102 Processing", "103 Early Hints", "199 N"}
	frame := map[string]func(body string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"end of connection": func(body string) string { return "\r\n" + body },
	}
	var cases []string
	for framing, f := range frame {
		for _, body := range []string{"", "ok", inner, "\r\n" + inner} {
			for _, s := range statuses {
				cases = append(cases, "HTTP/1.1 "+s+"\r\n"+f(body))
			}
			for _, s := range interims {
				if framing != "end of connection" {
					cases = append(cases, "HTTP/1.1 "+s+"\r\n"+f(body))
				}
			}
		}
	}
	f := newFleet(t, 9)
	f.cluster.EjectAfter, f.route.TimeoutMillis = 1<<20, 4000
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var i int
		if _, err := fmt.Sscanf(r.URL.Path, "/odd/%d", &i); err != nil {
			_, _ = io.WriteString(w, "own answer to "+r.URL.Path)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, cases[i])
		if strings.Contains(cases[i], "Transfer") || strings.Contains(cases[i], "Length") {
			time.Sleep(100 * time.Millisecond) // the node decides before the connection ends
		}
		_ = c.Close()
	}))
	caller := f.addNode("b", "z1", nil)
	for i, bytes := range cases {
		began := time.Now()
		got := caller.call("POST", "north", fmt.Sprintf("/odd/%d", i), "x")
		if got.err != nil || got.status != http.StatusBadGateway || got.verdict != "may-have-run" || strings.Contains(got.body, "inner") {
			t.Errorf("%q: status %d, verdict %q, body %q, error %v", bytes, got.status, got.verdict, got.body, got.err)
		}
		if d := time.Since(began); d > time.Second {
			t.Errorf("%q: answered after %v", bytes, d)
		}
		path := fmt.Sprintf("/next/%d", i)
		if got := caller.call("POST", "north", path, "x"); got.status != http.StatusOK || got.body != "own answer to "+path {
			t.Errorf("after %q: status %d, body %q, error %v", bytes, got.status, got.body, got.err)
		}
	}
}
