package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that a sound upstream runs and that get no answer, because the answer to an earlier request of their
// connection is cut: over framings, places of the cut and numbers of requests behind it. A whole answer, and the status of
// a cut one, must reach the caller too.
func TestRequestsBehindACutAnswerAreAnswered(t *testing.T) {
	const length = 4 * completeBufferBytes
	var cases []answerCase
	for _, f := range []framing{framingLength, framingChunks, framingNothing} {
		for eighth := range 9 {
			cases = append(cases, answerCase{f, endingClose, requestShort, length, length / 8 * eighth})
		}
		cases = append(cases, answerCase{f, endingReset, requestShort, length, length / 2}, answerCase{f, endingClose, requestShort, 1 << 10, 512})
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	f := newFleet(t, 30)
	f.bufferBytes, f.cluster.EjectAfter, f.route.TimeoutMillis, f.route.MaxAttempts = completeBufferBytes, 1<<20, 20_000, 1
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var i int
		if _, err := fmt.Sscanf(r.URL.Path, "/cut/%d", &i); err != nil {
			mu.Lock()
			ran[r.URL.Path] = true
			mu.Unlock()
			_, _ = io.WriteString(w, "answer to "+r.URL.Path)
			return
		}
		time.Sleep(50 * time.Millisecond) // the requests behind this one run meanwhile
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		cases[i].write(c)
		closeConn(c, cases[i].ending == endingReset)
	}))
	caller := f.addNode("b", "z1", nil)
	lost := 0
	for i, a := range cases {
		for _, behind := range []int{1, 2, 7} {
			c, err := net.Dial("tcp", caller.callersAddress)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			paths := []string{fmt.Sprintf("/cut/%d", i)}
			for n := range behind {
				paths = append(paths, fmt.Sprintf("/behind/%d/%d/%d", i, behind, n))
			}
			var b strings.Builder
			for _, p := range paths {
				fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: north\r\n\r\n", p)
			}
			_, _ = io.WriteString(c, b.String())
			br := bufio.NewReader(c)
			for n, p := range paths {
				resp, err := http.ReadResponse(br, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				mu.Lock()
				hasRun := ran[p]
				mu.Unlock()
				switch whole, undecided := a.isWhole(); {
				case n == 0 && err == nil && resp.StatusCode == http.StatusOK && !whole:
					t.Errorf("%s: a cut answer is a success", a)
				case n == 0 && whole && !undecided && (err != nil || resp.StatusCode != http.StatusOK || len(body) != a.sent):
					t.Errorf("%s, %d behind: whole answer: %v, %d bytes", a, behind, err, len(body))
				case n > 0 && hasRun && (err != nil || resp.StatusCode != http.StatusOK || string(body) != "answer to "+p):
					lost++
					t.Errorf("%s, %d behind: request %d has run and got no answer: %v", a, behind, n, err)
				}
			}
			_ = c.Close()
		}
	}
	t.Logf("%d cases, %d answers lost", 3*len(cases), lost)
}
