package httphead

import (
	"strings"
	"testing"
)

// Guards against a status outside 100 to 599 that is accepted, and against an interim response behind whose head a body is
// read as the next head.
func TestStatusOfResponses(t *testing.T) {
	for head, ok := range map[string]bool{
		"HTTP/1.1 100 Continue\r\n\r\n": true, "HTTP/1.1 199 X\r\n\r\n": true, "HTTP/1.1 200 OK\r\n\r\n": true, "HTTP/1.1 599 X\r\n\r\n": true,
		"HTTP/1.1 204\r\n\r\n": true, "HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 000 X\r\n\r\n": false, "HTTP/1.1 000\r\n\r\n": false, "HTTP/1.1 099 X\r\n\r\n": false, "HTTP/1.1 600 X\r\n\r\n": false, "HTTP/1.1 999 X\r\n\r\n": false,
		"HTTP/1.1 -00 X\r\n\r\n": false, "HTTP/1.1 +99 X\r\n\r\n": false, "HTTP/1.1 20 X\r\n\r\n": false, "HTTP/1.1 2000 X\r\n\r\n": false,
		"HTTP/1.1 103 X\r\nContent-Length: 1\r\n\r\n": false, "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n": false,
	} {
		if _, err := NewReader(strings.NewReader(head), ExternalLimits).ReadResponse(nil); (err == nil) != ok {
			t.Errorf("%q: error %v", head, err)
		}
	}
}

// Guards against bytes that end the process, and against a response that is accepted with a status that is none.
func FuzzStatus(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 103 X\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := NewReader(strings.NewReader(string(data)), ExternalLimits).ReadResponse(nil)
		if err != nil {
			return
		}
		if resp.StatusCode < 100 || resp.StatusCode > 599 || !strings.Contains(string(data), resp.Status) {
			t.Fatalf("status %d, %q of %q is accepted", resp.StatusCode, resp.Status, data)
		}
		if resp.StatusCode < 200 && (resp.ContentLength > 0 || len(resp.TransferEncoding) > 0) {
			t.Fatalf("interim response %q with a body is accepted", data)
		}
	})
}
