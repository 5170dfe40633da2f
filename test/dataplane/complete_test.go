package dataplane

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// framing is how an answer states where its body ends.
type framing string

const (
	framingLength  framing = "length"
	framingChunks  framing = "chunks"
	framingNothing framing = "end of connection"
)

// ending is what an upstream does behind the bytes of its answer.
type ending string

const (
	endingKeep  ending = "kept" // the connection stays open
	endingClose ending = "closed"
	endingReset ending = "reset"
)

// requestState is how far the request body has come when the upstream answers.
type requestState string

const (
	requestShort  requestState = "short"      // it was sent with the head
	requestRead   requestState = "long, read" // the upstream has read all of it
	requestUnread requestState = "long, unread"
)

// answerCase is one way in which an upstream answers.
type answerCase struct {
	framing framing
	ending  ending
	request requestState
	// bytes is the length of the body, of which the upstream sends sent.
	bytes, sent int
}

func (a answerCase) String() string {
	return fmt.Sprintf("%s, %s, request %s, %d of %d bytes", a.framing, a.ending, a.request, a.sent, a.bytes)
}

// isWhole reports whether the caller must get the answer as a success. With a reset behind the last byte, it may or
// may not: the operating system discards what was not read by then.
func (a answerCase) isWhole() (whole, undecided bool) {
	switch {
	case a.framing == framingNothing && a.ending != endingClose:
		return false, false // there is no end, or a reset hides whether it was the end
	case a.framing == framingNothing && a.sent < a.bytes:
		return true, true // looks like a whole answer that is shorter; see TestAnswerTruncatedByUpstreamIsDetected
	case a.sent < a.bytes:
		return false, false
	case a.ending == endingReset:
		return true, true
	case a.request == requestUnread:
		// Closing with unread bytes is a reset, at the upstream and at the caller, which is still sending.
		return true, true
	case a.framing == framingNothing && a.bytes > completeBufferBytes:
		return true, true // refused where it cannot be told from a cut
	}
	return true, false
}

const (
	completeBufferBytes = 64 << 10
	longRequestBytes    = 4 << 20
	// cutTimeout is the timeout of calls whose answer never ends.
	cutTimeout = time.Second
)

// write sends the answer.
func (a answerCase) write(c net.Conn) {
	body := strings.Repeat("0123456789abcdef", a.bytes/16)
	head, framed := "", body[:a.sent]
	switch a.framing {
	case framingLength:
		head = fmt.Sprintf("Content-Length: %d\r\n", a.bytes)
	case framingChunks:
		head = "Transfer-Encoding: chunked\r\n"
		framed = ""
		for rest := body[:a.sent]; rest != ""; {
			n := min(len(rest), 8<<10)
			framed += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		if a.sent == a.bytes {
			framed += "0\r\n\r\n"
		}
	}
	// No further request is served on the connection.
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+head+"\r\n"+framed)
}

// Guards against an answer that broke off and reaches the caller as a complete success, and against a whole one
// that is refused, over all framings, ends of the connection, states of the request body and lengths below
// and above the bytes that a node buffers.
func TestOnlyWholeAnswersSucceed(t *testing.T) {
	var cases []answerCase
	for _, f := range []framing{framingLength, framingChunks, framingNothing} {
		for _, e := range []ending{endingKeep, endingClose, endingReset} {
			for _, r := range []requestState{requestShort, requestRead, requestUnread} {
				for _, n := range []int{1 << 10, 4 * completeBufferBytes} {
					for _, sent := range []int{0, n / 2, n} {
						cases = append(cases, answerCase{f, e, r, n, sent})
					}
				}
			}
		}
	}
	f := newFleet(t, 9)
	f.bufferBytes, f.cluster.EjectAfter, f.route.TimeoutMillis = completeBufferBytes, 1<<20, 20_000
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var i int
		if _, err := fmt.Sscanf(r.URL.Path, "/%d", &i); err != nil {
			t.Error(err)
			return
		}
		a := cases[i]
		if a.request != requestUnread {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		a.write(c)
		switch a.ending {
		case endingKeep:
			time.Sleep(2 * cutTimeout)
			_ = c.Close()
		case endingClose:
			time.Sleep(20 * time.Millisecond)
			closeConn(c, false)
		case endingReset:
			time.Sleep(20 * time.Millisecond) // the answer has been read by then
			closeConn(c, true)
		}
	}))
	caller := f.addNode("b", "z1", nil)
	results := make([]answer, len(cases))
	done := make(chan int)
	const parallel = 6
	for worker := range parallel {
		go func() {
			for i := worker; i < len(cases); i += parallel {
				body, timeout := "x", 20*time.Second
				if cases[i].request != requestShort {
					body = strings.Repeat("x", longRequestBytes)
				}
				if whole, _ := cases[i].isWhole(); !whole && cases[i].ending == endingKeep {
					timeout = cutTimeout // such an answer ends only there
				}
				results[i] = caller.call("POST", "north", fmt.Sprintf("/%d", i), body, "Celeryyard-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
			}
			done <- worker
		}()
	}
	for range parallel {
		<-done
	}
	succeeded, refused := 0, 0
	for i, a := range cases {
		got := results[i]
		want := bytes.Repeat([]byte("0123456789abcdef"), a.sent/16)
		success := got.err == nil && got.status == http.StatusOK
		whole, undecided := a.isWhole()
		switch {
		case got.status == http.StatusServiceUnavailable && got.verdict == "not-run":
			refused++ // for lack of time or slots on a busy machine; there was no answer
		case success && (!whole || got.body != string(want)):
			t.Errorf("%s: success with %d bytes", a, len(got.body))
		case !success && whole && !undecided:
			t.Errorf("%s: status %d, error %v", a, got.status, got.err)
		case success:
			succeeded++
		}
	}
	t.Logf("%d of %d cases succeeded, %d were refused", succeeded, len(cases), refused)
	if refused > len(cases)/10 {
		t.Errorf("%d of %d calls were refused before they ran", refused, len(cases))
	}
}
