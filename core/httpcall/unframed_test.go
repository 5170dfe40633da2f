package httpcall

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/rank"
)

// answerEarly answers each request without a length before it reads the body, and then ends the
// connection: by a reset, or by a proper end after it has read the body if reset is false.
func answerEarly(t *testing.T, body string, reset bool) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				tc := c.(*net.TCPConn)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
				if reset {
					time.Sleep(50 * time.Millisecond) // the sender blocks
					_ = tc.SetLinger(0)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_ = tc.CloseWrite()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer without a length that is reset on the way and taken as complete, because
// the error of the reset reached the goroutine that sends the request, and against whole answers that
// are refused because they came before the request was sent.
func TestResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	const buffer = 16 << 10
	for _, requestBytes := range []int{0, 1 << 10, 24 << 20} {
		for _, answerBytes := range []int{0, 1 << 10, 4 * buffer} {
			for _, reset := range []bool{false, true} {
				name := fmt.Sprintf("request of %d, answer of %d bytes, reset %v", requestBytes, answerBytes, reset)
				address := answerEarly(t, strings.Repeat("a", answerBytes), reset)
				c := NewClient(ClientOptions{Rank: rank.Routing})
				rest := strings.Repeat("x", max(requestBytes-1, 0)) // built before the deadline is set
				r := newRequest(address)
				r.BufferBytes, r.HTTP.Method = buffer, http.MethodPost
				if requestBytes > 0 {
					r.Body = NewBytesBody([]byte("x"))
					r.Body.rest, r.Body.length = strings.NewReader(rest), int64(requestBytes)
				}
				x, f := c.Do(t.Context(), r)
				whole := f == nil
				if f == nil {
					readErr, _ := x.CopyBody(io.Discard, func() error { return nil })
					whole = readErr == nil
					x.Finish(whole)
				}
				if whole == reset {
					t.Errorf("%s: whole %v, failure %v", name, whole, f)
				}
				if !time.Now().Before(r.Deadline) {
					t.Errorf("%s: ended at the deadline", name)
				}
				c.Close()
			}
		}
	}
}

// Guards against a reset that is taken for the end of an answer without a length, because the error of sending
// the request was noticed, and forgotten, before the answer was read to its end.
func TestErrorOfSendingIsRemembered(t *testing.T) {
	client := NewClient(ClientOptions{Rank: rank.Routing})
	defer client.Close()
	for _, sendErr := range []error{nil, io.ErrClosedPipe} {
		x := &Exchange{client: client, conn: &conn{}, writeDone: make(chan error, 1)}
		x.writeDone <- sendErr
		if unsent := x.isBodyUnsent(); unsent != (sendErr != nil) {
			t.Errorf("error %v: request unsent %v", sendErr, unsent)
		}
		b := &unframedBody{ReadCloser: io.NopCloser(strings.NewReader("")), x: x, ctx: t.Context(), deadline: time.Now().Add(time.Second)}
		if _, err := b.Read(make([]byte, 1)); (err == io.EOF) != (sendErr == nil) {
			t.Errorf("error %v: the body ends with %v", sendErr, err)
		}
	}
}
