package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// partialUpload is a request whose body the client does not send to its end.
type partialUpload struct {
	length  int // announced length of the body; -1 for chunks
	sent    int // bytes that are sent of the body, without the framing of chunks
	ending  string
	address string
}

// start sends the part of the request on a new connection.
func (u partialUpload) start(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", u.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	framing, body := fmt.Sprintf("Content-Length: %d", u.length), make([]byte, u.sent)
	if u.length < 0 {
		framing, body = "Transfer-Encoding: chunked", append([]byte(fmt.Sprintf("%x\r\n", u.sent)), body...)
	}
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: north\r\n%s\r\n\r\n%s%s", framing, body, u.ending)
	return c
}

// readStatus returns the status of the answer and its verdict; 0 without an answer.
func readStatus(c net.Conn) (int, string) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, r.Header.Get("Celeryyard-Verdict")
}

const longBody, shortBody = 600_000, 20_000

// party is who ends an upload first.
type party int

const (
	client party = iota
	farNode
	upstream
	nobody
)

// uploadCase is an upload that does not end well, and the status that its client gets.
type uploadCase struct {
	upload partialUpload
	breaks party
	want   int
}

// Guards against a client that is blamed with 400 for a body which the product itself, another node or the upstream has
// broken off, or which was only slow, and against a promise that such a call has not run.
func TestOnlyTheClientsOwnFaultIsABadRequest(t *testing.T) {
	checkUploads(t, map[string]uploadCase{
		"long body, node dies":         {partialUpload{length: longBody, sent: longBody / 2}, farNode, http.StatusBadGateway},
		"long chunked body, node dies": {partialUpload{length: -1, sent: longBody / 2, ending: "\r\n"}, farNode, http.StatusBadGateway},
		"long body, upstream resets":   {partialUpload{length: longBody, sent: longBody / 2}, upstream, http.StatusBadGateway},
		"short body, client is slow":   {partialUpload{length: shortBody, sent: shortBody / 2}, nobody, http.StatusRequestTimeout},
		"short chunked body, slow":     {partialUpload{length: -1, sent: shortBody, ending: "\r\n"}, nobody, http.StatusRequestTimeout},
		"short body, malformed chunk":  {partialUpload{length: -1, sent: shortBody, ending: "\r\nzz\r\n"}, client, http.StatusBadRequest},
		"long body, malformed chunk":   {partialUpload{length: -1, sent: longBody / 2, ending: "\r\nzz\r\n"}, client, http.StatusBadRequest},
	})
}

// Guards against a long body that is too slow and ends with another status than that of a timeout.
func TestSlowLongBodyIsATimeout(t *testing.T) {
	checkUploads(t, map[string]uploadCase{
		"long body, client is slow": {partialUpload{length: longBody, sent: longBody / 2}, nobody, http.StatusGatewayTimeout},
		"long chunked body, slow":   {partialUpload{length: -1, sent: longBody / 2, ending: "\r\n"}, nobody, http.StatusGatewayTimeout},
	})
}

func checkUploads(t *testing.T, cases map[string]uploadCase) {
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{})
			var once sync.Once
			f := newFleet(t, 8)
			f.route.TimeoutMillis = 1200
			caller := f.addNode("caller", "z1", nil)
			far := f.addNode("far", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.CopyN(io.Discard, r.Body, longBody/4)
				once.Do(func() { close(arrived) })
				if tc.breaks == upstream {
					resetCaller(w)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			tc.upload.address = caller.callersAddress
			c := tc.upload.start(t)
			if tc.breaks == farNode {
				<-arrived
				far.relay.shutdown()
			}
			status, verdict := readStatus(c)
			if status != tc.want {
				t.Errorf("status %d (%s), want %d", status, verdict, tc.want)
			}
			if notRun := status == http.StatusRequestTimeout || status == http.StatusServiceUnavailable; notRun != (verdict == "not-run") && status != http.StatusBadRequest {
				t.Errorf("status %d with verdict %q", status, verdict)
			}
		})
	}
}

// resetCaller resets the connection of a request.
func resetCaller(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		closeConn(c, true)
	}
}
