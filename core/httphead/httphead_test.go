package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// Guards against limits whose result depends on how the head is split across reads, or on the bytes
// after the head.
func TestHeadLimits(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	line := func(n int) string { return "A: " + strings.Repeat("x", n-5) + "\r\n" }
	headAtLimit := begin + line(MaxBytes-len(begin)-2) + "\r\n"
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"small":             {begin + "\r\nok", nil},
		"bytes at limit":    {headAtLimit + "ok", nil},
		"bytes above limit": {begin + line(MaxBytes-len(begin)-1) + "\r\nok", ErrTooLarge},
		"lines at limit":    {begin + strings.Repeat("a:\n", MaxLines-3) + "\r\nok", nil},
		"lines above limit": {begin + strings.Repeat("a:\n", MaxLines-2) + "\r\nok", ErrTooLarge},
		"long body":         {"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("\n", 40000), nil},
	} {
		for readerName, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
		} {
			h := NewReader(wrap(strings.NewReader(tc.text)), ExternalLimits)
			resp, err := h.ReadResponse(nil)
			if !errors.Is(err, tc.want) {
				t.Errorf("%s, %s: %v, want %v", name, readerName, err, tc.want)
			}
			if err == nil {
				if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != resp.ContentLength {
					t.Errorf("%s, %s: body of %d bytes, %v", name, readerName, n, err)
				}
			}
		}
	}
}

// Guards against counting the body of a response towards the head of the next response
// on the same connection.
func TestConsecutiveHeads(t *testing.T) {
	const one = "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"
	text := strings.Repeat(one+strings.Repeat("\n", 300), 500)
	h := NewReader(strings.NewReader(text), ExternalLimits)
	for i := range 500 {
		resp, err := h.ReadResponse(nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != 300 || err != nil {
			t.Fatalf("response %d: body of %d bytes, %v", i, n, err)
		}
	}
}

// Guards against accepting a truncated head as complete when the connection ends.
func TestTruncatedHeadsFail(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 1234\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n c\nX: y\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n",
	} {
		for n := range len(head) {
			if resp, err := NewReader(strings.NewReader(head[:n]), ExternalLimits).ReadResponse(nil); err == nil {
				t.Errorf("%q was accepted: %v", head[:n], resp.Header)
			}
		}
	}
}

// validStatus matches the status of a response that RFC 9110 allows.
var validStatus = regexp.MustCompile(`^[1-5][0-9]{2}( |$)`)

var (
	// twoFramings matches a head that has both fields that frame a body.
	twoFramings = regexp.MustCompile(`(?is)\n(content-length:.*\ntransfer-encoding:|transfer-encoding:.*\ncontent-length:)`)
	// headEnd matches the end of a head.
	headEnd = regexp.MustCompile(`\n\r?\n`)
	// validName matches a field name.
	validName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
)

// isValidResponse reports whether a response that net/http accepts has a valid version, status and names, one framing and, if it
// is an interim one, no body. b starts with it.
func isValidResponse(r *http.Response, b []byte) bool {
	if !validStatus.MatchString(r.Status) || r.Proto != "HTTP/1.0" && r.Proto != "HTTP/1.1" || twoFramings.MatchString(headEnd.Split(string(b), 2)[0]) {
		return false
	}
	for name := range r.Header {
		if !validName.MatchString(name) {
			return false
		}
	}
	length := r.Header.Get("Content-Length")
	return r.StatusCode >= 200 || len(r.TransferEncoding) == 0 && r.Header.Get("Transfer-Encoding") == "" && (length == "" || length == "0")
}

// FuzzReadResponse checks that ReadResponse parses valid heads within the limits like net/http, and
// that it stops reading a larger head soon after the limit.
func FuzzReadResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n c\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\r\n\r\n", "HTTP/1.0 200\r\n\r\n" + strings.Repeat("a:\n", 300), strings.Repeat("x", 20000), "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\n", 300),
	} {
		f.Add([]byte(s), false)
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, b []byte, oneByteReads bool) {
		in := &countingReader{r: bytes.NewReader(b)}
		var r io.Reader = in
		if oneByteReads {
			r = iotest.OneByteReader(in)
		}
		got, err := NewReader(r, ExternalLimits).ReadResponse(nil)
		want, wantErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err == nil && wantErr != nil {
			t.Fatalf("accepted what net/http rejects: %v", wantErr)
		}
		if err != nil && wantErr == nil && !errors.Is(err, ErrTooLarge) && isValidResponse(want, b) {
			t.Fatalf("rejected what net/http accepts: %v", err)
		}
		if err == nil && (got.Status != want.Status || got.ContentLength != want.ContentLength || !reflect.DeepEqual(got.Header, want.Header)) {
			t.Fatalf("read %+v, want %+v", got, want)
		}
		if in.n > MaxBytes+4096 {
			t.Fatalf("read %d bytes of a head", in.n)
		}
		if err == nil {
			lines := 0
			for _, v := range got.Header {
				lines += len(v)
			}
			if lines > MaxLines {
				t.Fatalf("head with %d fields was accepted", lines)
			}
		}
	})
}

// countingReader counts the bytes read from r.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

// Guards against a limit on lines that allows heads that use too much memory: the largest
// heads on 100 connections to an upstream must fit into the memory of a node.
func TestMemoryOfTheLargestHeads(t *testing.T) {
	const conns, maxHeapGrowthBytes = 100, 8 << 20
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := range MaxLines - 2 {
		b.WriteString(string(rune('A'+i%26)) + string(rune('a'+i/26)) + ": " + strings.Repeat("x", MaxBytes/MaxLines-8) + "\n")
	}
	b.WriteString("\r\n")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	responses := make([]*http.Response, conns)
	for i := range responses {
		var err error
		if responses[i], err = NewReader(strings.NewReader(b.String()), ExternalLimits).ReadResponse(nil); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapGrowthBytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d heads of %d bytes and %d fields hold %d KiB", conns, b.Len(), len(responses[0].Header), heapGrowthBytes>>10)
	if heapGrowthBytes > maxHeapGrowthBytes {
		t.Errorf("%d heads hold %d KiB, the limit is %d", conns, heapGrowthBytes>>10, maxHeapGrowthBytes>>10)
	}
}
